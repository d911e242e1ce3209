package failover

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

const (
	// suspicionExpiryWindows is the age in W at which a peer's suspicion is forgotten.
	suspicionExpiryWindows = 2
	// suspicionSendsPerWindow is the number of times within W that a suspicion is told.
	suspicionSendsPerWindow = 2
	// ownerCutOffWindows is the silence in W after which the primary's owner replaces
	// a primary that only it cannot reach, since it alone sends writes there.
	ownerCutOffWindows = 3
	// campaignDelayDivisor divides W into the time between agreement and campaign.
	campaignDelayDivisor = 32
	// failuresForFastSuspicion is the number of connection failures in a row after
	// which half the time is enough to suspect the primary.
	failuresForFastSuspicion = 3
)

// suspicionState is the state of the agreement that the primary has failed.
type suspicionState struct {
	selfSuspects bool
	cause        string
	sentAt       types.Time
	received     map[types.Host]receivedSuspicion
	// agreed says that owners of a majority agree since agreedAt. The jitter
	// delays the campaigns of all but the first host.
	agreed   bool
	agreedAt types.Time
	jitter   time.Duration
}

type receivedSuspicion struct {
	suspicion  Suspicion
	receivedAt types.Time
}

// onPeerSuspicion takes in a peer's opinion. A peer that does not suspect a later
// primary than the one known here knows that primary.
func (m *Machine) onPeerSuspicion(ev PeerSuspicion) {
	m.observeTerm(ev.Suspicion.Term)
	if ev.Suspicion.Term > m.term && !ev.Suspicion.Suspected {
		m.queryAll()
	}
	m.suspicion.received[ev.From] = receivedSuspicion{suspicion: ev.Suspicion, receivedAt: m.now}
	if ep := m.endpoints[m.primary]; ep != nil && ev.Suspicion.Suspected {
		ep.queryNow = ep.queryNow || m.now.Sub(ep.lastQueryAt) >= m.cfg.QueryInterval/2
	}
}

func (m *Machine) advanceSuspicion() {
	if m.campaign != nil {
		m.suspicion.agreed = false
		return
	}
	cause, unavailable := m.primaryUnavailable()
	if unavailable != m.suspicion.selfSuspects {
		m.setSuspected(unavailable, cause)
	}
	if unavailable && m.now.Sub(m.suspicion.sentAt) >= m.cfg.AuthorityWindow/suspicionSendsPerWindow {
		m.sendSuspicion()
	}
	m.advanceAgreement()
}

func (m *Machine) setSuspected(suspected bool, cause string) {
	m.suspicion.selfSuspects = suspected
	if suspected {
		m.suspicion.cause = cause
		m.addNote(NoteSuspected, m.highestTerm, cause, "host %q suspects primary %q", m.cfg.Host, m.primary)
	} else {
		m.addNote(NoteCleared, m.highestTerm, "answer", "host %q no longer suspects a primary", m.cfg.Host)
	}
	m.sendSuspicion()
}

func (m *Machine) sendSuspicion() {
	m.suspicion.sentAt = m.now
	suspicion := Suspicion{Term: m.highestTerm, Primary: m.primary, Suspected: m.suspicion.selfSuspects}
	for _, h := range m.peers() {
		m.emit(SendSuspicion{Host: h, Suspicion: suspicion})
	}
}

// primaryUnavailable reports whether the database has no primary that answers this
// host, and why.
func (m *Machine) primaryUnavailable() (cause string, unavailable bool) {
	if m.primary == "" || m.highestTerm > m.term {
		return "no primary", m.now.Sub(m.primaryAwaitedSince) >= m.noPrimaryTimeout()
	}
	ep := m.endpoints[m.primary]
	if ep == nil {
		return "primary removed", true
	}
	return "silence", m.isUnresponsive(ep)
}

// noPrimaryTimeout is the time that a campaign elsewhere is given to finish.
func (m *Machine) noPrimaryTimeout() time.Duration {
	if m.highestTerm == 0 {
		return m.cfg.SuspectAfter
	}
	return m.cfg.AuthorityWindow + m.cfg.MaxClockDrift + m.cfg.SuspectAfter
}

// isUnresponsive reports whether the endpoint answers neither over the old connection
// nor over a new one. Connections that fail tell so sooner than isUnresponsive ones.
func (m *Machine) isUnresponsive(ep *endpointState) bool {
	if !ep.reconnectRequested || !ep.queriedSinceReconnect {
		return false
	}
	if ep.failuresInRow >= failuresForFastSuspicion {
		return ep.unansweredFor(m.now) >= m.cfg.SuspectAfter/2
	}
	return ep.unansweredFor(m.now) >= m.cfg.SuspectAfter
}

// hostSuspects reports whether the host is known to suspect the primary now.
func (m *Machine) hostSuspects(h types.Host) bool {
	if h == m.cfg.Host {
		return m.suspicion.selfSuspects
	}
	received, ok := m.suspicion.received[h]
	fresh := ok && m.now.Sub(received.receivedAt) < suspicionExpiryWindows*m.cfg.AuthorityWindow
	return fresh && received.suspicion.Suspected && received.suspicion.Term == m.highestTerm
}

// ownerIsCutOff reports whether this host owns a primary that has not answered it
// for long, whatever the other owners find.
func (m *Machine) ownerIsCutOff() bool {
	ep := m.endpoints[m.primary]
	if ep == nil || m.owners[m.primary] != m.cfg.Host || !m.isUnresponsive(ep) {
		return false
	}
	return ep.unansweredFor(m.now) >= ownerCutOffWindows*m.cfg.AuthorityWindow
}

// advanceAgreement starts a campaign once the owners of a majority of the
// endpoints suspect the primary, or its own owner is cut off from it. The
// suspecting hosts start one after another.
func (m *Machine) advanceAgreement() {
	agreed := m.suspicion.selfSuspects && (m.ownerIsCutOff() || m.hasRequiredMajorities(func(e types.Endpoint) bool {
		return m.owners[e] != "" && m.hostSuspects(m.owners[e])
	}))
	if agreed && !m.suspicion.agreed {
		m.suspicion.agreedAt = m.now
		m.suspicion.jitter = m.random.durationBelow(m.cfg.AuthorityWindow / 4)
	}
	m.suspicion.agreed = agreed
	if agreed && !m.now.Before(m.campaignStartTime()) && !m.now.Before(m.retryAt) {
		m.startCampaign(string(NoteSuspected), "")
	}
}

// campaignStartTime returns when this host starts a campaign. It orders the hosts that
// suspect the primary, and lets their opinions arrive before the first one starts.
func (m *Machine) campaignStartTime() types.Time {
	hosts := append(m.peers(), m.cfg.Host)
	slices.Sort(hosts)
	rank := 0
	for _, h := range hosts {
		if h == m.cfg.Host {
			break
		}
		if m.hostSuspects(h) {
			rank++
		}
	}
	if rank == 0 {
		return m.suspicion.agreedAt.Add(m.cfg.AuthorityWindow / campaignDelayDivisor)
	}
	return m.suspicion.agreedAt.Add(time.Duration(rank)*m.cfg.AuthorityWindow/2 + m.suspicion.jitter)
}
