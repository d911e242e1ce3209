package failover

import (
	"time"

	"baobabfield.example/core/types"
)

// phase is the progress of a campaign.
type phase uint8

const (
	// phaseFence: endpoints are asked to grant the term.
	phaseFence phase = iota
	// phaseWait: a majority granted; authority in lower terms has yet to lapse.
	phaseWait
	// phasePromote: the chosen endpoint was told to become the primary.
	phasePromote
)

// maxBackoff bounds the random delay between campaigns, in W/2.
const maxBackoff = 4

// campaign is an attempt of this host to give the database a primary.
type campaign struct {
	term     types.Term
	cause    string
	prefer   types.Endpoint
	phase    phase
	deadline types.Time
	commands map[QuestionID]types.Endpoint
	grants   map[types.Endpoint]grant
	// readyAt is when authority in lower terms has lapsed everywhere.
	readyAt types.Time
	chosen  types.Endpoint
}

// grant is an endpoint's consent to a campaign's term.
type grant struct {
	last types.LogPoint
	// readyAt is when authority that rests on the endpoint's earlier answers
	// has lapsed.
	readyAt types.Time
}

// startCampaign fences the endpoints with a new term, if one is left.
func (m *Machine) startCampaign(cause string, prefer types.Endpoint) {
	term, ok := m.nextTerm()
	if !ok {
		return
	}
	m.observe(term)
	m.floor = term
	m.campaign = &campaign{
		term:     term,
		cause:    cause,
		prefer:   prefer,
		deadline: m.now.Add(m.cfg.AnswerTimeout),
		commands: map[QuestionID]types.Endpoint{},
		grants:   map[types.Endpoint]grant{},
	}
	m.note(NoteCampaign, term, cause, "host %q starts a campaign", m.cfg.Host)
	for _, e := range m.ids {
		id := m.newQuestion()
		m.campaign.commands[id] = e
		m.emit(Fence{Question: id, Endpoint: e, Term: term})
	}
}

func (m *Machine) onFenceAnswer(ev FenceAnswer) {
	m.observe(ev.Term)
	c := m.campaign
	if c == nil || c.phase == phasePromote || c.commands[ev.Question] != ev.Endpoint {
		return
	}
	delete(c.commands, ev.Question)
	if ev.Granted && ev.Term == c.term {
		c.grants[ev.Endpoint] = grant{last: ev.Last, readyAt: m.lapseOf(ev)}
	}
}

// lapseOf returns when authority that rests on the endpoint's answers to
// questions from before the fence has lapsed. This host's own authority ended
// with the start of the campaign, so only the questions of other hosts count.
func (m *Machine) lapseOf(ev FenceAnswer) types.Time {
	wait := m.cfg.W + m.cfg.Drift
	if ev.QuietKnown {
		wait -= min(max(ev.Quiet, 0), wait)
	}
	return m.now.Add(wait)
}

func (m *Machine) advanceCampaign() {
	c := m.campaign
	if c == nil {
		return
	}
	if c.phase == phaseFence {
		m.advanceFence(c)
	}
	if c.phase == phaseWait && !m.now.Before(c.readyAt) && !m.awaitsPreferred(c) {
		m.promote(c)
	}
	if c.phase == phasePromote && !m.now.Before(c.deadline) {
		m.abandon("no answer to the promotion")
	}
}

// awaitsPreferred reports whether the preferred endpoint may still grant.
func (m *Machine) awaitsPreferred(c *campaign) bool {
	if !m.now.Before(c.deadline) {
		return false
	}
	for _, e := range c.commands {
		if e == c.prefer {
			return true
		}
	}
	return false
}

func (m *Machine) advanceFence(c *campaign) {
	if readyAt, ok := m.lapseOfMajority(c); ok {
		c.phase = phaseWait
		c.readyAt = readyAt
		m.note(NoteFenced, c.term, string(NoteCampaign), "%d endpoints granted, promotion in %v", len(c.grants), readyAt.Sub(m.now))
		return
	}
	if len(c.commands) == 0 || !m.now.Before(c.deadline) {
		m.abandon("no majority granted")
	}
}

// lapseOfMajority returns when authority in lower terms has lapsed at a majority
// of each needed set, so that every majority contains an endpoint where it has.
func (m *Machine) lapseOfMajority(c *campaign) (types.Time, bool) {
	var latest types.Time
	for _, set := range m.quorums() {
		at, ok := set.earliestMajority(func(e types.Endpoint) (types.Time, bool) {
			g, ok := c.grants[e]
			return g.readyAt, ok
		})
		if !ok {
			return 0, false
		}
		latest = max(latest, at)
	}
	return latest, true
}

func (m *Machine) promote(c *campaign) {
	c.chosen = m.choose(c)
	c.phase = phasePromote
	c.deadline = m.now.Add(2 * m.cfg.AnswerTimeout)
	clear(c.commands)
	id := m.newQuestion()
	c.commands[id] = c.chosen
	m.emit(Promote{Question: id, Endpoint: c.chosen, Term: c.term})
}

// choose returns the granter with the highest log, and among equals the
// preferred one.
func (m *Machine) choose(c *campaign) types.Endpoint {
	var best types.Endpoint
	for _, e := range m.ids {
		g, ok := c.grants[e]
		if !ok {
			continue
		}
		if best == "" || c.grants[best].last.Less(g.last) {
			best = e
			continue
		}
		if c.grants[best].last == g.last && m.preference(e) > m.preference(best) {
			best = e
		}
	}
	return best
}

// preference orders endpoints with equal logs.
func (m *Machine) preference(e types.Endpoint) int {
	switch {
	case e == m.campaign.prefer:
		return 4
	case !m.current.has(e):
		return 0
	case m.leaving(e):
		return 1
	case e == m.primary:
		return 2
	}
	return 3
}

func (m *Machine) leaving(e types.Endpoint) bool {
	for _, s := range m.spec.Endpoints {
		if s.ID == e {
			return s.Leaving
		}
	}
	return true
}

func (m *Machine) onPromoteAnswer(ev PromoteAnswer) {
	m.observe(ev.Term)
	c := m.campaign
	if c == nil || c.phase != phasePromote || c.commands[ev.Question] != ev.Endpoint {
		return
	}
	if !ev.Done {
		m.abandon("the chosen endpoint granted a later term")
		return
	}
	m.promoted(c)
}

// onCommandSilence notes that a campaign's command has no result. A promotion
// without a result may have taken effect, so the endpoint is asked.
func (m *Machine) onCommandSilence(ev Silence) {
	c := m.campaign
	if c == nil || c.commands[ev.Question] != ev.Endpoint {
		return
	}
	delete(c.commands, ev.Question)
	if c.phase == phasePromote {
		m.watches[ev.Endpoint].askNow = true
	}
}

// checkPromoted ends the campaign if the chosen endpoint's status shows that it
// was promoted.
func (m *Machine) checkPromoted(e types.Endpoint, s Status) {
	c := m.campaign
	if c != nil && c.phase == phasePromote && e == c.chosen && s.Role == RolePrimary && s.Term == c.term {
		m.promoted(c)
	}
}

func (m *Machine) promoted(c *campaign) {
	m.campaign = nil
	m.led = c.term
	m.adopt(c.term, c.chosen)
	m.suspicion.self = false
	m.tellPeers()
	m.note(NotePromoted, c.term, string(NoteFenced), "endpoint %q is the primary", c.chosen)
	m.emit(Record{Term: c.term, Primary: c.chosen})
}

// abandon ends the campaign without a primary and sets the time of the next.
func (m *Machine) abandon(why string) {
	c := m.campaign
	m.campaign = nil
	m.attempts = min(m.attempts+1, maxBackoff)
	backoff := m.cfg.W/4 + m.random.below(time.Duration(m.attempts)*m.cfg.W/2)
	m.retryAt = m.now.Add(backoff)
	m.note(NoteAbandoned, c.term, string(NoteCampaign), "%s; next campaign not before %v", why, backoff)
	m.askAll()
}
