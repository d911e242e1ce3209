package failover

import (
	"fmt"
	"maps"
	"slices"

	"baobabfield.example/core/types"
)

// Machine is the failover state machine of one database on one host.
type Machine struct {
	cfg    Config
	spec   types.DatabaseSpec
	owners map[types.Endpoint]types.Host
	rng    randomSource

	// now is the time of the step in progress, and effects collects its effects.
	now     types.Time
	effects []Effect

	// allEndpoints is the union of the current and the previous endpoint set.
	currentSet, previousSet, allEndpoints endpointSet
	endpoints                             map[types.Endpoint]*endpointState
	lastRequestID                         RequestID

	// term is the highest term whose primary is known, and primary is that
	// primary. It becomes empty when the endpoint is no longer the primary.
	term    types.Term
	primary types.Endpoint
	// highestTerm is the highest term observed, with or without a primary.
	highestTerm types.Term
	// primaryAwaitedSince starts the timeout after which a missing primary is
	// suspected. It is set when a higher term is observed, when the primary
	// loses its role, and when this host resumes after a pause.
	primaryAwaitedSince types.Time
	// minAuthorityTerm is the lowest term in which this host may have authority.
	// Each campaign of this host raises it to the campaign's term.
	minAuthorityTerm types.Term
	// wonTerm is the term of the last campaign that this host won.
	wonTerm types.Term

	primarySamples []primarySample
	suspicion      suspicionState
	campaign       *campaign
	// abandonedCampaigns counts the campaigns abandoned in a row, up to a maximum.
	// retryAt is the earliest time of the next campaign.
	abandonedCampaigns int
	retryAt            types.Time
	plannedChange      *plannedChange
	// setCompleteTerm is the last term for which SetComplete was reported.
	setCompleteTerm types.Term
	// reportedStaleSet is the last set for which SpecStale was reported.
	reportedStaleSet uint32
	lastReportedView reportedView
	hadAuthority     bool
}

// New returns a machine. The configuration must pass Config.Check.
func New(cfg Config, now types.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:                 cfg,
		rng:                 randomSource{state: cfg.Seed},
		now:                 now,
		primaryAwaitedSince: now,
		endpoints:           map[types.Endpoint]*endpointState{},
		owners:              maps.Clone(cfg.Owners),
	}
	m.suspicion.received = map[types.Host]receivedSuspicion{}
	m.setSpec(cfg.Database)
	return m
}

// Step applies an event and returns the effects to perform, in order. The first
// Tick after New starts the status queries.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	paused := now.Sub(m.now) > pauseThresholdIntervals*m.cfg.QueryInterval
	m.now = now
	m.effects = nil
	if paused {
		m.resetAfterPause()
	}
	m.apply(ev)
	m.advance()
	return m.effects
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case StatusResponse:
		m.onStatusResponse(ev)
	case NoResponse:
		m.onNoResponse(ev)
	case FenceResponse:
		m.onFenceResponse(ev)
	case PromoteResponse:
		m.onPromoteResponse(ev)
	case FollowResponse:
		m.onFollowResponse(ev)
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
	case PrimaryHint:
		m.onPrimaryHint(ev)
	default:
		panic(fmt.Sprintf("failover: unknown event %T", ev))
	}
}

// advance performs all actions that are due at the time of the step.
func (m *Machine) advance() {
	m.reconnectUnresponsive()
	m.advancePlannedChange()
	m.advanceCampaign()
	m.advanceSuspicion()
	m.advanceSetChange()
	m.followPrimary()
	m.sendDueQueries()
	m.reportAuthority()
	m.reportView()
	m.emit(ScheduleTick{Time: m.nextTickTime()})
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) addNote(kind NoteKind, term types.Term, cause, format string, args ...any) {
	m.emit(Note{Kind: kind, Term: term, Cause: cause, Text: fmt.Sprintf(format, args...)})
}

func (m *Machine) nextRequestID() RequestID {
	m.lastRequestID++
	return m.lastRequestID
}

// owns reports whether this host owns the endpoint.
func (m *Machine) owns(e types.Endpoint) bool { return e != "" && m.owners[e] == m.cfg.Host }

// peers returns the other hosts that own endpoints, sorted by name.
func (m *Machine) peers() []types.Host {
	var hosts []types.Host
	for _, e := range m.allEndpoints {
		if h := m.owners[e]; h != "" && h != m.cfg.Host {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// observeTerm records that the term exists.
func (m *Machine) observeTerm(term types.Term) {
	if term <= m.highestTerm {
		return
	}
	m.highestTerm = term
	m.primaryAwaitedSince = m.now
	if term.EndpointSet() > m.spec.EndpointSet && term.EndpointSet() > m.reportedStaleSet {
		m.reportedStaleSet = term.EndpointSet()
		m.emit(SpecStale{Set: term.EndpointSet()})
	}
}

// adoptPrimary records that the endpoint is the primary of the term. A database
// has term 0 before its first campaign, and has no primary then.
func (m *Machine) adoptPrimary(term types.Term, primary types.Endpoint) {
	m.observeTerm(term)
	if term == 0 || term < m.term || (term == m.term && m.primary != "") {
		return
	}
	m.term = term
	m.primary = primary
	m.primarySamples = nil
	m.abandonedCampaigns = 0
	m.queryAll()
}

// onPrimaryHint queries every endpoint if the hint has a later term. The hint
// itself is not trusted.
func (m *Machine) onPrimaryHint(ev PrimaryHint) {
	if ev.Term > m.term {
		m.queryAll()
	}
}
