package failover

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// pauseIntervals is the number of question intervals between two steps
	// from which the host counts as having been paused.
	pauseIntervals = 3
	// questionLife is the age in W at which an unanswered question is forgotten.
	questionLife = 2
	// slowIntervals is the number of question intervals between questions to an
	// endpoint that this host neither owns nor needs for authority.
	slowIntervals = 4
	// catchUpPolls divides the question interval while writes are held.
	catchUpPolls = 16
)

// question is one that has no answer yet.
type question struct {
	sentAt    types.Time
	authority bool
}

// watch is what the machine knows of one endpoint.
type watch struct {
	status Status
	// statusSent is when the question that status answers was sent.
	statusSent types.Time
	known      bool
	questions  map[QuestionID]question
	askedAt    types.Time
	askNow     bool

	// authoritySent is when the latest authority question that was answered
	// with authorityTerm was sent.
	authoritySent  types.Time
	authorityTerm  types.Term
	authorityKnown bool

	// unanswered says that no question sent since unansweredSince was answered.
	unanswered      bool
	unansweredSince types.Time
	// failures counts the Silence events since the last answer.
	failures int
	// reconnected says that a new connection was asked for at reconnectedAt,
	// and triedNew that a question was sent after it.
	reconnected   bool
	reconnectedAt types.Time
	triedNew      bool

	freshAt    types.Time
	freshKnown bool

	// followed is the term whose primary the endpoint follows. The command
	// follow for followTerm was sent at followSent.
	followed   types.Term
	follow     QuestionID
	followTerm types.Term
	followSent types.Time
}

func newWatch() *watch { return &watch{questions: map[QuestionID]question{}, askNow: true} }

// silentFor returns how long the endpoint has left questions unanswered.
func (w *watch) silentFor(now types.Time) time.Duration {
	if !w.unanswered {
		return 0
	}
	return now.Sub(w.unansweredSince)
}

// reachable reports whether the endpoint answers in time.
func (w *watch) reachable(now types.Time, timeout time.Duration) bool {
	return w.known && w.failures == 0 && w.silentFor(now) < timeout
}

func (m *Machine) askAll() {
	for _, e := range m.ids {
		m.watches[e].askNow = true
	}
}

func (m *Machine) askDue() {
	for _, e := range m.ids {
		w := m.watches[e]
		if w.askNow || m.now.Sub(w.askedAt) >= m.interval(e) {
			m.ask(e, w)
		}
	}
}

func (m *Machine) ask(e types.Endpoint, w *watch) {
	id := m.newQuestion()
	authority := m.holdsAuthority()
	w.questions[id] = question{sentAt: m.now, authority: authority}
	w.askedAt = m.now
	w.askNow = false
	w.triedNew = w.reconnected
	if !w.unanswered {
		w.unanswered = true
		w.unansweredSince = m.now
	}
	m.emit(Ask{Question: id, Endpoint: e, Authority: authority})
}

// interval returns the time between questions to the endpoint.
func (m *Machine) interval(e types.Endpoint) time.Duration {
	switch {
	case m.planned != nil && m.planned.polls(e):
		return m.cfg.QuestionInterval / catchUpPolls
	case m.owns(e), m.owns(m.primary), e == m.primary:
		return m.cfg.QuestionInterval
	case m.primary == "", m.suspicion.self, m.seen > m.term:
		return m.cfg.QuestionInterval
	}
	return slowIntervals * m.cfg.QuestionInterval
}

func (m *Machine) onAnswer(ev Answer) {
	w := m.watches[ev.Endpoint]
	if w == nil {
		return
	}
	q, ok := w.questions[ev.Question]
	if !ok {
		return
	}
	delete(w.questions, ev.Question)
	w.clearSilence(q.sentAt)
	if !w.accept(q, ev.Status) {
		return
	}
	m.observe(ev.Status.Term)
	m.learnPrimary(ev.Endpoint, ev.Status)
	m.learnFreshness(ev.Endpoint, w)
	m.checkPromoted(ev.Endpoint, ev.Status)
}

// accept takes in a status. It returns false for one that is older than what is
// known already.
func (w *watch) accept(q question, s Status) bool {
	if w.known && (q.sentAt < w.statusSent || s.Term < w.status.Term) {
		return false
	}
	w.known = true
	w.status = s
	w.statusSent = q.sentAt
	if q.authority {
		w.authorityKnown = true
		w.authorityTerm = s.Term
		w.authoritySent = q.sentAt
	}
	return true
}

// clearSilence notes the answer to a question.
func (w *watch) clearSilence(sentAt types.Time) {
	if w.reconnected {
		w.followed = 0
	}
	w.failures = 0
	w.reconnected = false
	w.triedNew = false
	w.unanswered = false
	for _, q := range w.questions {
		if q.sentAt > sentAt && (!w.unanswered || q.sentAt < w.unansweredSince) {
			w.unanswered = true
			w.unansweredSince = q.sentAt
		}
	}
}

// learnPrimary takes the primary from an endpoint's status.
func (m *Machine) learnPrimary(e types.Endpoint, s Status) {
	switch {
	case s.Role == RolePrimary:
		m.adopt(s.Term, e)
	case e == m.primary && s.Term >= m.term:
		m.primary = ""
		m.seenAt = m.now
	}
}

func (m *Machine) onSilence(ev Silence) {
	m.onCommandSilence(ev)
	w := m.watches[ev.Endpoint]
	if w == nil {
		return
	}
	if _, ok := w.questions[ev.Question]; !ok {
		return
	}
	delete(w.questions, ev.Question)
	w.failures++
}

// checkSilence asks for new connections to endpoints that do not answer.
func (m *Machine) checkSilence() {
	for _, e := range m.ids {
		w := m.watches[e]
		m.forgetQuestions(w)
		silent := w.failures > 0 || w.silentFor(m.now) >= m.cfg.AnswerTimeout
		again := w.reconnected && m.now.Sub(w.reconnectedAt) >= m.cfg.SuspectAfter
		if silent && (!w.reconnected || again) {
			w.reconnected = true
			w.reconnectedAt = m.now
			w.askNow = true
			m.emit(Reconnect{Endpoint: e})
		}
	}
}

func (m *Machine) forgetQuestions(w *watch) {
	for id, q := range w.questions {
		if m.now.Sub(q.sentAt) > questionLife*m.cfg.W {
			delete(w.questions, id)
		}
	}
}

// forgetSilence drops the questions from before a pause of this host: the pause
// explains the missing answers.
func (m *Machine) forgetSilence() {
	for _, e := range m.ids {
		w := m.watches[e]
		clear(w.questions)
		w.unanswered = false
		w.failures = 0
		w.reconnected = false
		w.triedNew = false
		w.askNow = true
	}
	m.seenAt = m.now
	m.suspicion.self = false
}
