package failover

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

const (
	// suspicionExpiryWindows is the age at which a peer's suspicion expires, in
	// authority windows.
	suspicionExpiryWindows = 2
	// suspicionSendsPerWindow is the number of times that a suspicion is sent per
	// authority window.
	suspicionSendsPerWindow = 2
	// ownerCutOffWindows is the time without a response, in authority windows,
	// after which the primary's owner replaces a primary that only it cannot
	// reach. The owner alone sends writes to the primary, so writes stop until then.
	ownerCutOffWindows = 3
	// campaignDelayDivisor sets the delay between agreement and the first host's
	// campaign: 1/campaignDelayDivisor of the authority window. Without the delay, two
	// hosts that agree at the same time could both start as the first, and neither
	// would get a majority.
	campaignDelayDivisor = 32
	// failuresForFastSuspicion is the number of consecutive connection failures
	// after which half of Config.SuspectAfter is enough to suspect the primary.
	failuresForFastSuspicion = 3
)

// suspicionState holds this host's and its peers' suspicions of the primary.
type suspicionState struct {
	selfSuspects bool
	cause        string
	sentAt       types.Time
	received     map[types.Host]receivedSuspicion
	// agreed is true if the conditions for a campaign have held since agreedAt.
	// The jitter delays the campaigns of all hosts but the first.
	agreed   bool
	agreedAt types.Time
	jitter   time.Duration
}

type receivedSuspicion struct {
	suspicion  Suspicion
	receivedAt types.Time
}

// onPeerSuspicion records a peer's suspicion. A peer that reports a later term
// without a suspicion knows the primary of that term, so all endpoints are queried. If
// the peer suspects the primary, the primary is queried early, so that this host agrees
// or disagrees sooner.
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

// primaryUnavailable reports whether the database has no primary that responds to
// this host, and the cause. The cause is valid only if unavailable is true.
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

// noPrimaryTimeout returns the time that another host's campaign is given to finish.
// Before the first campaign no authority needs to expire.
func (m *Machine) noPrimaryTimeout() time.Duration {
	if m.highestTerm == 0 {
		return m.cfg.SuspectAfter
	}
	return m.cfg.AuthorityWindow + m.cfg.MaxClockDrift + m.cfg.SuspectAfter
}

// isUnresponsive reports whether the endpoint responds neither on the old connection
// nor on a new one. The timeout is shorter for connections that fail than for ones
// that time out, which a pause or a lost packet can explain.
func (m *Machine) isUnresponsive(ep *endpointState) bool {
	if !ep.reconnectRequested || !ep.queriedSinceReconnect {
		return false
	}
	if ep.consecutiveFailures >= failuresForFastSuspicion {
		return ep.unansweredFor(m.now) >= m.cfg.SuspectAfter/2
	}
	return ep.unansweredFor(m.now) >= m.cfg.SuspectAfter
}

// hostSuspects reports whether the host is known to suspect the primary. A received
// suspicion counts until it expires and only for the highest term.
func (m *Machine) hostSuspects(h types.Host) bool {
	if h == m.cfg.Host {
		return m.suspicion.selfSuspects
	}
	received, ok := m.suspicion.received[h]
	unexpired := ok && m.now.Sub(received.receivedAt) < suspicionExpiryWindows*m.cfg.AuthorityWindow
	return unexpired && received.suspicion.Suspected && received.suspicion.Term == m.highestTerm
}

// ownerIsCutOff reports whether this host owns the primary and has had no response
// from it for ownerCutOffWindows, whether or not other owners suspect the primary.
func (m *Machine) ownerIsCutOff() bool {
	ep := m.endpoints[m.primary]
	if ep == nil || m.owners[m.primary] != m.cfg.Host || !m.isUnresponsive(ep) {
		return false
	}
	return ep.unansweredFor(m.now) >= ownerCutOffWindows*m.cfg.AuthorityWindow
}

// advanceAgreement starts a campaign once the owners of a majority of the endpoints
// suspect the primary, or once this host owns the primary and is cut off from it.
// campaignStartTime staggers the suspecting hosts.
func (m *Machine) advanceAgreement() {
	agreed := m.suspicion.selfSuspects && (m.ownerIsCutOff() || m.hasRequiredMajorities(func(e types.Endpoint) bool {
		return m.owners[e] != "" && m.hostSuspects(m.owners[e])
	}))
	if agreed && !m.suspicion.agreed {
		m.suspicion.agreedAt = m.now
		m.suspicion.jitter = m.rng.durationBelow(m.cfg.AuthorityWindow / 4)
	}
	m.suspicion.agreed = agreed
	if agreed && !m.now.Before(m.campaignStartTime()) && !m.now.Before(m.retryAt) {
		m.startCampaign(string(NoteSuspected), "")
	}
}

// campaignStartTime returns when this host starts a campaign. The hosts that suspect
// the primary start one after another, in the order of their names. The first one
// waits for the suspicions of its peers to arrive.
func (m *Machine) campaignStartTime() types.Time {
	hosts := append(m.peers(), m.cfg.Host)
	slices.Sort(hosts)
	preceding := 0
	for _, h := range hosts {
		if h == m.cfg.Host {
			break
		}
		if m.hostSuspects(h) {
			preceding++
		}
	}
	if preceding == 0 {
		return m.suspicion.agreedAt.Add(m.cfg.AuthorityWindow / campaignDelayDivisor)
	}
	return m.suspicion.agreedAt.Add(time.Duration(preceding)*m.cfg.AuthorityWindow/2 + m.suspicion.jitter)
}
