package failover

import (
	"fmt"
	"maps"
	"slices"

	"baobabfield.example/core/types"
)

// Machine is the failover state of one database at one host.
type Machine struct {
	cfg    Config
	spec   types.DatabaseSpec
	owners map[types.Endpoint]types.Host
	random random

	// now is the time of the step in progress, and out collects its effects.
	now types.Time
	out []Effect

	// current and previous are the endpoint sets, and ids is their union.
	current, previous, ids endpointSet
	watches                map[types.Endpoint]*watch
	lastQuestion           QuestionID

	// term and primary are the highest term with a known primary.
	term    types.Term
	primary types.Endpoint
	// seen is the highest term seen, since seenAt.
	seen   types.Term
	seenAt types.Time
	// floor is the lowest term in which this host may have authority.
	floor types.Term
	// led is the term that this host's campaign won.
	led types.Term

	marks     []mark
	suspicion suspicion
	campaign  *campaign
	// attempts counts campaigns abandoned in a row, and retryAt is the earliest
	// time of the next one.
	attempts int
	retryAt  types.Time
	planned  *planned
	// completed is the term for which SetComplete was reported.
	completed types.Term
	// staleSpec is the set for which SpecStale was reported.
	staleSpec uint32
	reported  reportedView
	hadAuth   bool
}

// New returns a machine. The configuration must pass Check.
func New(cfg Config, now types.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:     cfg,
		random:  random{state: cfg.Seed},
		now:     now,
		seenAt:  now,
		watches: map[types.Endpoint]*watch{},
		owners:  maps.Clone(cfg.Owners),
	}
	m.suspicion.peers = map[types.Host]peerOpinion{}
	m.setSpec(cfg.Database)
	return m
}

// Step applies an event and returns the effects to perform, in order. The
// first Tick after New starts the questions.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	paused := now.Sub(m.now) > pauseIntervals*m.cfg.QuestionInterval
	m.now = now
	m.out = nil
	if paused {
		m.forgetSilence()
	}
	m.apply(ev)
	m.advance()
	return m.out
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case Answer:
		m.onAnswer(ev)
	case Silence:
		m.onSilence(ev)
	case FenceAnswer:
		m.onFenceAnswer(ev)
	case PromoteAnswer:
		m.onPromoteAnswer(ev)
	case FollowAnswer:
		m.onFollowAnswer(ev)
	case SpecChanged:
		m.onSpecChanged(ev)
	case OwnersChanged:
		m.owners = maps.Clone(ev.Owners)
	case PeerSuspicion:
		m.onPeerSuspicion(ev)
	case PlannedChange:
		m.onPlannedChange(ev)
	case WritesDrained:
		m.onWritesDrained()
	case Learned:
		m.onLearned(ev)
	default:
		panic(fmt.Sprintf("failover: unknown event %T", ev))
	}
}

// advance does what is due at the time of the step.
func (m *Machine) advance() {
	m.checkSilence()
	m.advancePlanned()
	m.advanceCampaign()
	m.advanceSuspicion()
	m.advanceSetChange()
	m.followPrimary()
	m.askDue()
	m.reportAuthority()
	m.reportView()
	m.emit(WakeAt{Time: m.nextWake()})
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) note(kind NoteKind, term types.Term, cause, format string, args ...any) {
	m.emit(Note{Kind: kind, Term: term, Cause: cause, Text: fmt.Sprintf(format, args...)})
}

func (m *Machine) newQuestion() QuestionID {
	m.lastQuestion++
	return m.lastQuestion
}

// owns reports whether this host owns the endpoint.
func (m *Machine) owns(e types.Endpoint) bool { return e != "" && m.owners[e] == m.cfg.Host }

// peers returns the other hosts that own endpoints, sorted.
func (m *Machine) peers() []types.Host {
	var hosts []types.Host
	for _, e := range m.ids {
		if h := m.owners[e]; h != "" && h != m.cfg.Host {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// observe notes that the term exists.
func (m *Machine) observe(term types.Term) {
	if term <= m.seen {
		return
	}
	m.seen = term
	m.seenAt = m.now
	if term.EndpointSet() > m.spec.EndpointSet && term.EndpointSet() > m.staleSpec {
		m.staleSpec = term.EndpointSet()
		m.emit(SpecStale{Set: term.EndpointSet()})
	}
}

// adopt notes that the endpoint is the primary of the term. Term 0 is that of a
// database without a first campaign, which has no primary.
func (m *Machine) adopt(term types.Term, primary types.Endpoint) {
	m.observe(term)
	if term == 0 || term < m.term || (term == m.term && m.primary != "") {
		return
	}
	m.term = term
	m.primary = primary
	m.marks = nil
	m.attempts = 0
	m.askAll()
}

// onLearned asks every endpoint, since the hint may name a newer primary.
func (m *Machine) onLearned(ev Learned) {
	if ev.Term > m.term {
		m.askAll()
	}
}
