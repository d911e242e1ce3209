package failover

import (
	"time"

	"baobabfield.example/core/types"
)

// campaignPhase is the progress of a campaign.
type campaignPhase uint8

const (
	// campaignFencing: endpoints are asked to grant the term.
	campaignFencing campaignPhase = iota
	// campaignAwaitingLapse: a majority granted; authority in lower terms has yet to lapse.
	campaignAwaitingLapse
	// campaignPromoting: the chosen endpoint was told to become the primary.
	campaignPromoting
)

// maxBackoffHalfWindows bounds the random delay between campaigns, in W/2.
const maxBackoffHalfWindows = 4

// campaign is an attempt of this host to give the database a primary.
type campaign struct {
	term            types.Term
	cause           string
	preferred       types.Endpoint
	phase           campaignPhase
	deadline        types.Time
	pendingCommands map[RequestID]types.Endpoint
	grants          map[types.Endpoint]grant
	// authorityLapsesAt is when authority in lower terms has lapsed everywhere.
	authorityLapsesAt types.Time
	candidate         types.Endpoint
}

// grant is an endpoint's consent to a campaign's term.
type grant struct {
	lastLogPoint types.LogPoint
	// authorityLapsesAt is when authority that rests on the endpoint's earlier answers
	// has lapsed.
	authorityLapsesAt types.Time
}

// startCampaign fences the endpoints with a new term, if one is left.
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

func (m *Machine) onFenceAnswer(ev FenceResponse) {
	m.observeTerm(ev.Term)
	c := m.campaign
	if c == nil || c.phase == campaignPromoting || c.pendingCommands[ev.RequestID] != ev.Endpoint {
		return
	}
	delete(c.pendingCommands, ev.RequestID)
	if ev.Granted && ev.Term == c.term {
		c.grants[ev.Endpoint] = grant{lastLogPoint: ev.LastLogPoint, authorityLapsesAt: m.authorityLapseTime(ev)}
	}
}

// authorityLapseTime returns when authority that rests on the endpoint's answers to
// questions from before the fence has lapsed. This host's own authority ended
// with the start of the campaign, so only the questions of other hosts count.
func (m *Machine) authorityLapseTime(ev FenceResponse) types.Time {
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
	if c.phase == campaignAwaitingLapse && !m.now.Before(c.authorityLapsesAt) && !m.awaitsPreferredGrant(c) {
		m.sendPromotion(c)
	}
	if c.phase == campaignPromoting && !m.now.Before(c.deadline) {
		m.abandonCampaign("no answer to the promotion")
	}
}

// awaitsPreferredGrant reports whether the preferred endpoint may still grant.
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
	if readyAt, ok := m.majorityLapseTime(c); ok {
		c.phase = campaignAwaitingLapse
		c.authorityLapsesAt = readyAt
		m.addNote(NoteFenced, c.term, string(NoteCampaign), "%d endpoints granted, promotion in %v", len(c.grants), readyAt.Sub(m.now))
		return
	}
	if len(c.pendingCommands) == 0 || !m.now.Before(c.deadline) {
		m.abandonCampaign("no majority granted")
	}
}

// majorityLapseTime returns when authority in lower terms has lapsed at a majority
// of each needed set, so that every majority contains an endpoint where it has.
func (m *Machine) majorityLapseTime(c *campaign) (types.Time, bool) {
	var latest types.Time
	for _, set := range m.requiredSets() {
		at, ok := set.earliestMajorityTime(func(e types.Endpoint) (types.Time, bool) {
			g, ok := c.grants[e]
			return g.authorityLapsesAt, ok
		})
		if !ok {
			return 0, false
		}
		latest = max(latest, at)
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

// chooseCandidate returns the granter with the highest log, and among equals the
// preferred one.
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

// candidatePriority orders endpoints with equal logs.
func (m *Machine) candidatePriority(e types.Endpoint) int {
	switch {
	case e == m.campaign.preferred:
		return 4
	case !m.currentSet.has(e):
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

func (m *Machine) onPromoteAnswer(ev PromoteResponse) {
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

// onCommandNoResponse notes that a campaign's command has no result. A promotion
// without a result may have taken effect, so the endpoint is asked.
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

// confirmPromotion ends the campaign if the chosen endpoint's status shows that it
// was promoted.
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
	m.sendSuspicion()
	m.addNote(NotePromoted, c.term, string(NoteFenced), "endpoint %q is the primary", c.candidate)
	m.emit(RecordPrimary{Term: c.term, Primary: c.candidate})
}

// abandonCampaign ends the campaign without a primary and sets the time of the next.
func (m *Machine) abandonCampaign(reason string) {
	c := m.campaign
	m.campaign = nil
	m.abandonedCampaigns = min(m.abandonedCampaigns+1, maxBackoffHalfWindows)
	backoff := m.cfg.AuthorityWindow/4 + m.random.durationBelow(time.Duration(m.abandonedCampaigns)*m.cfg.AuthorityWindow/2)
	m.retryAt = m.now.Add(backoff)
	m.addNote(NoteAbandoned, c.term, string(NoteCampaign), "%s; next campaign not before %v", reason, backoff)
	m.queryAll()
}
