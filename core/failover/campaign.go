package failover

import (
	"time"

	"baobabfield.example/core/types"
)

// campaignPhase is the progress of a campaign.
type campaignPhase uint8

const (
	// campaignFencing: the term has been requested from the endpoints.
	campaignFencing campaignPhase = iota
	// campaignAwaitingExpiry: a majority has granted the term, but authority in
	// lower terms may not have expired yet.
	campaignAwaitingExpiry
	// campaignPromoting: the promotion command has been sent to the candidate.
	campaignPromoting
)

// maxBackoffHalfWindows limits the random delay between campaigns, in halves of
// the authority window.
const maxBackoffHalfWindows = 4

// campaign is an election campaign of this host: it fences the endpoints with a
// new term and promotes one of them.
type campaign struct {
	term            types.Term
	cause           string
	preferred       types.Endpoint
	phase           campaignPhase
	deadline        types.Time
	pendingCommands map[RequestID]types.Endpoint
	grants          map[types.Endpoint]grant
	// authorityExpiresAt is when authority in lower terms has expired on all hosts.
	authorityExpiresAt types.Time
	candidate          types.Endpoint
}

// grant records that an endpoint has granted the campaign's term.
type grant struct {
	lastLogPoint types.LogPoint
	// authorityExpiresAt is when authority that is based on the endpoint's earlier
	// responses has expired.
	authorityExpiresAt types.Time
}

// startCampaign fences the endpoints with a new term. It does nothing if no new
// term is available.
func (m *Machine) startCampaign(cause string, preferred types.Endpoint) {
	term, ok := m.nextTerm()
	if !ok {
		return
	}
	m.observeTerm(term)
	m.minAuthorityTerm = term
	m.campaign = &campaign{
		term:            term,
		cause:           cause,
		preferred:       preferred,
		deadline:        m.now.Add(m.cfg.ResponseTimeout),
		pendingCommands: map[RequestID]types.Endpoint{},
		grants:          map[types.Endpoint]grant{},
	}
	m.addNote(NoteCampaign, term, cause, "host %q starts a campaign", m.cfg.Host)
	for _, e := range m.allEndpoints {
		requestID := m.nextRequestID()
		m.campaign.pendingCommands[requestID] = e
		m.emit(Fence{RequestID: requestID, Endpoint: e, Term: term})
	}
}

func (m *Machine) onFenceResponse(ev FenceResponse) {
	m.observeTerm(ev.Term)
	c := m.campaign
	if c == nil || c.phase == campaignPromoting || c.pendingCommands[ev.RequestID] != ev.Endpoint {
		return
	}
	delete(c.pendingCommands, ev.RequestID)
	if ev.Granted && ev.Term == c.term {
		c.grants[ev.Endpoint] = grant{lastLogPoint: ev.LastLogPoint, authorityExpiresAt: m.authorityExpiryTime(ev)}
	}
}

// authorityExpiryTime returns when authority that is based on the endpoint's
// responses before the fence has expired. This host ended its own authority at
// the start of the campaign, so only queries of other hosts count. The time for which
// the endpoint has received none is subtracted from the wait.
func (m *Machine) authorityExpiryTime(ev FenceResponse) types.Time {
	wait := m.cfg.AuthorityWindow + m.cfg.MaxClockDrift
	if ev.AuthorityIdleKnown {
		wait -= min(max(ev.AuthorityIdle, 0), wait)
	}
	return m.now.Add(wait)
}

func (m *Machine) advanceCampaign() {
	c := m.campaign
	if c == nil {
		return
	}
	if c.phase == campaignFencing {
		m.advanceFencing(c)
	}
	if c.phase == campaignAwaitingExpiry && !m.now.Before(c.authorityExpiresAt) && !m.awaitsPreferredGrant(c) {
		m.sendPromotion(c)
	}
	if c.phase == campaignPromoting && !m.now.Before(c.deadline) {
		m.abandonCampaign("no answer to the promotion")
	}
}

// awaitsPreferredGrant reports whether the preferred endpoint may still grant the
// term before the deadline.
func (m *Machine) awaitsPreferredGrant(c *campaign) bool {
	if !m.now.Before(c.deadline) {
		return false
	}
	for _, e := range c.pendingCommands {
		if e == c.preferred {
			return true
		}
	}
	return false
}

func (m *Machine) advanceFencing(c *campaign) {
	if expiresAt, ok := m.majorityExpiryTime(c); ok {
		c.phase = campaignAwaitingExpiry
		c.authorityExpiresAt = expiresAt
		m.addNote(NoteFenced, c.term, string(NoteCampaign), "%d endpoints granted, promotion in %v", len(c.grants), expiresAt.Sub(m.now))
		return
	}
	if len(c.pendingCommands) == 0 || !m.now.Before(c.deadline) {
		m.abandonCampaign("no majority granted")
	}
}

// majorityExpiryTime returns when authority in lower terms has expired at a majority
// of each required set. Every other majority then contains an endpoint at which it
// has expired, so no host can have authority in a lower term.
func (m *Machine) majorityExpiryTime(c *campaign) (types.Time, bool) {
	var latest types.Time
	for _, set := range m.requiredSets() {
		expiresAt, ok := set.earliestMajorityTime(func(e types.Endpoint) (types.Time, bool) {
			g, ok := c.grants[e]
			return g.authorityExpiresAt, ok
		})
		if !ok {
			return 0, false
		}
		latest = max(latest, expiresAt)
	}
	return latest, true
}

func (m *Machine) sendPromotion(c *campaign) {
	c.candidate = m.chooseCandidate(c)
	c.phase = campaignPromoting
	c.deadline = m.now.Add(2 * m.cfg.ResponseTimeout)
	clear(c.pendingCommands)
	requestID := m.nextRequestID()
	c.pendingCommands[requestID] = c.candidate
	m.emit(Promote{RequestID: requestID, Endpoint: c.candidate, Term: c.term})
}

// chooseCandidate returns the granting endpoint with the highest log point. Among
// equal log points the one with the highest candidatePriority wins.
func (m *Machine) chooseCandidate(c *campaign) types.Endpoint {
	var best types.Endpoint
	for _, e := range m.allEndpoints {
		g, ok := c.grants[e]
		if !ok {
			continue
		}
		if best == "" || c.grants[best].lastLogPoint.Less(g.lastLogPoint) {
			best = e
			continue
		}
		if c.grants[best].lastLogPoint == g.lastLogPoint && m.candidatePriority(e) > m.candidatePriority(best) {
			best = e
		}
	}
	return best
}

// candidatePriority orders endpoints with equal log points. A higher value is
// better.
func (m *Machine) candidatePriority(e types.Endpoint) int {
	switch {
	case e == m.campaign.preferred:
		return 4
	case !m.currentSet.contains(e):
		return 0
	case m.isLeaving(e):
		return 1
	case e == m.primary:
		return 2
	}
	return 3
}

func (m *Machine) isLeaving(e types.Endpoint) bool {
	for _, s := range m.spec.Endpoints {
		if s.ID == e {
			return s.Leaving
		}
	}
	return true
}

func (m *Machine) onPromoteResponse(ev PromoteResponse) {
	m.observeTerm(ev.Term)
	c := m.campaign
	if c == nil || c.phase != campaignPromoting || c.pendingCommands[ev.RequestID] != ev.Endpoint {
		return
	}
	if !ev.Done {
		m.abandonCampaign("the chosen endpoint granted a later term")
		return
	}
	m.winCampaign(c)
}

// onCommandNoResponse records that a campaign's command got no response. A
// promotion may have taken effect nevertheless, so the endpoint's status is queried.
func (m *Machine) onCommandNoResponse(ev NoResponse) {
	c := m.campaign
	if c == nil || c.pendingCommands[ev.RequestID] != ev.Endpoint {
		return
	}
	delete(c.pendingCommands, ev.RequestID)
	if c.phase == campaignPromoting {
		m.endpoints[ev.Endpoint].queryNow = true
	}
}

// confirmPromotion ends the campaign if the candidate's status shows that it was
// promoted.
func (m *Machine) confirmPromotion(e types.Endpoint, s EndpointStatus) {
	c := m.campaign
	if c != nil && c.phase == campaignPromoting && e == c.candidate && s.Role == RolePrimary && s.Term == c.term {
		m.winCampaign(c)
	}
}

func (m *Machine) winCampaign(c *campaign) {
	m.campaign = nil
	m.wonTerm = c.term
	m.adoptPrimary(c.term, c.candidate)
	m.suspicion.selfSuspects = false
	// The message makes the other owners query the endpoints at once. The new primary's
	// owner would otherwise learn of the promotion only at its next query.
	m.sendSuspicion()
	m.addNote(NotePromoted, c.term, string(NoteFenced), "endpoint %q is the primary", c.candidate)
	m.emit(RecordPrimary{Term: c.term, Primary: c.candidate})
}

// abandonCampaign ends the campaign without a primary and sets the earliest time
// of the next one. The random part of the backoff grows with each abandoned
// campaign.
func (m *Machine) abandonCampaign(reason string) {
	c := m.campaign
	m.campaign = nil
	m.abandonedCampaigns = min(m.abandonedCampaigns+1, maxBackoffHalfWindows)
	backoff := m.cfg.AuthorityWindow/4 + m.rng.durationBelow(time.Duration(m.abandonedCampaigns)*m.cfg.AuthorityWindow/2)
	m.retryAt = m.now.Add(backoff)
	m.addNote(NoteAbandoned, c.term, string(NoteCampaign), "%s; next campaign not before %v", reason, backoff)
	m.queryAll()
}
