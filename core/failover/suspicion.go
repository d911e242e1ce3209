package failover

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

const (
	// suspicionLife is the age in W at which a peer's suspicion is forgotten.
	suspicionLife = 2
	// suspicionRepeats is the number of times within W that a suspicion is told.
	suspicionRepeats = 2
	// ownerPatience is the silence in W after which the primary's owner replaces
	// a primary that only it cannot reach, since it alone sends writes there.
	ownerPatience = 3
	// settleShare divides W into the time between agreement and campaign.
	settleShare = 32
	// failedConnections is the number of connection failures in a row after
	// which half the time is enough to suspect the primary.
	failedConnections = 3
)

// suspicion is the state of the agreement that the primary has failed.
type suspicion struct {
	self   bool
	cause  string
	toldAt types.Time
	peers  map[types.Host]peerOpinion
	// agreed says that owners of a majority agree since agreedAt. The jitter
	// delays the campaigns of all but the first host.
	agreed   bool
	agreedAt types.Time
	jitter   time.Duration
}

type peerOpinion struct {
	opinion Suspicion
	at      types.Time
}

// onPeerSuspicion takes in a peer's opinion. A peer that does not suspect a later
// primary than the one known here knows that primary.
func (m *Machine) onPeerSuspicion(ev PeerSuspicion) {
	m.observe(ev.Suspicion.Term)
	if ev.Suspicion.Term > m.term && !ev.Suspicion.Suspected {
		m.askAll()
	}
	m.suspicion.peers[ev.From] = peerOpinion{opinion: ev.Suspicion, at: m.now}
	if w := m.watches[m.primary]; w != nil && ev.Suspicion.Suspected {
		w.askNow = w.askNow || m.now.Sub(w.askedAt) >= m.cfg.QuestionInterval/2
	}
}

func (m *Machine) advanceSuspicion() {
	if m.campaign != nil {
		m.suspicion.agreed = false
		return
	}
	cause, gone := m.primaryGone()
	if gone != m.suspicion.self {
		m.changeOpinion(gone, cause)
	}
	if gone && m.now.Sub(m.suspicion.toldAt) >= m.cfg.W/suspicionRepeats {
		m.tellPeers()
	}
	m.advanceAgreement()
}

func (m *Machine) changeOpinion(gone bool, cause string) {
	m.suspicion.self = gone
	if gone {
		m.suspicion.cause = cause
		m.note(NoteSuspected, m.seen, cause, "host %q suspects primary %q", m.cfg.Host, m.primary)
	} else {
		m.note(NoteCleared, m.seen, "answer", "host %q no longer suspects a primary", m.cfg.Host)
	}
	m.tellPeers()
}

func (m *Machine) tellPeers() {
	m.suspicion.toldAt = m.now
	opinion := Suspicion{Term: m.seen, Primary: m.primary, Suspected: m.suspicion.self}
	for _, h := range m.peers() {
		m.emit(TellPeer{Host: h, Suspicion: opinion})
	}
}

// primaryGone reports whether the database has no primary that answers this
// host, and why.
func (m *Machine) primaryGone() (cause string, gone bool) {
	if m.primary == "" || m.seen > m.term {
		return "no primary", m.now.Sub(m.seenAt) >= m.noPrimaryAfter()
	}
	w := m.watches[m.primary]
	if w == nil {
		return "primary removed", true
	}
	return "silence", m.silent(w)
}

// noPrimaryAfter is the time that a campaign elsewhere is given to finish.
func (m *Machine) noPrimaryAfter() time.Duration {
	if m.seen == 0 {
		return m.cfg.SuspectAfter
	}
	return m.cfg.W + m.cfg.Drift + m.cfg.SuspectAfter
}

// silent reports whether the endpoint answers neither over the old connection
// nor over a new one. Connections that fail tell so sooner than silent ones.
func (m *Machine) silent(w *watch) bool {
	if !w.reconnected || !w.triedNew {
		return false
	}
	if w.failures >= failedConnections {
		return w.silentFor(m.now) >= m.cfg.SuspectAfter/2
	}
	return w.silentFor(m.now) >= m.cfg.SuspectAfter
}

// suspects reports whether the host is known to suspect the primary now.
func (m *Machine) suspects(h types.Host) bool {
	if h == m.cfg.Host {
		return m.suspicion.self
	}
	p, ok := m.suspicion.peers[h]
	fresh := ok && m.now.Sub(p.at) < suspicionLife*m.cfg.W
	return fresh && p.opinion.Suspected && p.opinion.Term == m.seen
}

// ownerCutOff reports whether this host owns a primary that has not answered it
// for long, whatever the other owners find.
func (m *Machine) ownerCutOff() bool {
	w := m.watches[m.primary]
	if w == nil || m.owners[m.primary] != m.cfg.Host || !m.silent(w) {
		return false
	}
	return w.silentFor(m.now) >= ownerPatience*m.cfg.W
}

// advanceAgreement starts a campaign once the owners of a majority of the
// endpoints suspect the primary, or its own owner is cut off from it. The
// suspecting hosts start one after another.
func (m *Machine) advanceAgreement() {
	agreed := m.suspicion.self && (m.ownerCutOff() || m.majorityOfAll(func(e types.Endpoint) bool {
		return m.owners[e] != "" && m.suspects(m.owners[e])
	}))
	if agreed && !m.suspicion.agreed {
		m.suspicion.agreedAt = m.now
		m.suspicion.jitter = m.random.below(m.cfg.W / 4)
	}
	m.suspicion.agreed = agreed
	if agreed && !m.now.Before(m.campaignAt()) && !m.now.Before(m.retryAt) {
		m.startCampaign(string(NoteSuspected), "")
	}
}

// campaignAt returns when this host starts a campaign. It orders the hosts that
// suspect the primary, and lets their opinions arrive before the first one starts.
func (m *Machine) campaignAt() types.Time {
	hosts := append(m.peers(), m.cfg.Host)
	slices.Sort(hosts)
	rank := 0
	for _, h := range hosts {
		if h == m.cfg.Host {
			break
		}
		if m.suspects(h) {
			rank++
		}
	}
	if rank == 0 {
		return m.suspicion.agreedAt.Add(m.cfg.W / settleShare)
	}
	return m.suspicion.agreedAt.Add(time.Duration(rank)*m.cfg.W/2 + m.suspicion.jitter)
}
