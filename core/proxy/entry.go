package proxy

import (
	"fmt"
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// maxTries bounds the endpoints and owners that one statement is sent to.
	maxTries = 12
	// defaultTimeout limits a statement whose route names no limit.
	defaultTimeout = 2 * time.Second
	// parkLimit is how long a request waits for a primary that is not about to be
	// there: a caller that tries three times is then not kept for half of the time
	// that it has, and a service without a primary lacks one for seconds.
	parkLimit = 300 * time.Millisecond
	// parkedRetry is the time between two tries of a request that waits for a
	// primary.
	parkedRetry = 40 * time.Millisecond
)

// request is a caller's statement on its way to an endpoint and back.
type request struct {
	id      RequestID
	session *session
	query   pool.Query
	route   catalog.Route
	// needsPrimary is set where no replica can serve the request; primary is set
	// while the request is with the primary in that role.
	needsPrimary, primary bool
	// opens is set on the first statement of a transaction, continues on later ones.
	opens, continues bool
	endpoint         types.Endpoint
	host             types.Host
	// excluded are the endpoints, and avoided the owners, that have refused.
	excluded []types.Endpoint
	avoided  []types.Host
	tries    int
	arrived  types.Time
	due      types.Time
	deadline types.Time
	// parkedAt is the time at which the request began to wait; zero while it is sent.
	parkedAt types.Time
	retryAt  types.Time
	// waitsSince is the time at which it began to wait for the first time.
	waitsSince types.Time
	reason     types.Reason
}

// writes reports whether the caller's outcome is in doubt if the answer is lost.
func (r *request) writes() bool {
	return r.query.Stmt.Kind == statement.KindCommit || (!r.inTx() && r.query.Stmt.Writes())
}

func (r *request) inTx() bool { return r.opens || r.continues }

// forward sends a statement to an endpoint.
func (m *Machine) forward(s *session, q pool.Query) {
	m.nextRequest++
	r := &request{id: m.nextRequest, session: s, query: q, arrived: m.now}
	switch {
	case s.tx != nil:
		r.route, r.needsPrimary = s.tx.route, s.tx.needsPrimary
		r.opens, r.continues = !s.tx.open, s.tx.open
		if r.continues {
			r.endpoint, r.host, r.primary = s.tx.endpoint, s.tx.host, s.tx.atPrimary
		}
	default:
		route, ok := m.cat.Route(s.database)
		if !ok {
			m.fail(s, statement.CodeNoDatabase, "database "+string(s.database)+" does not exist any more")
			return
		}
		r.route = route
		r.needsPrimary = q.Stmt.Writes() || route.Consistency == catalog.ConsistencyPrimary
	}
	timeout := r.route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = m.now.Add(timeout)
	r.due = m.now.Add(r.route.TargetLatency)
	s.current = r
	m.requests[r.id] = r
	m.try(r)
}

// try chooses an endpoint and its owner, and sends the request there.
func (m *Machine) try(r *request) {
	r.parkedAt = 0
	if !r.continues {
		if reason := m.place(r); reason != types.ReasonNone {
			m.refused(r, reason)
			return
		}
	}
	r.tries++
	m.placeOf(r.endpoint).outstanding++
	exec := Exec{
		ID: r.id, Service: r.route.Service, Endpoint: r.endpoint, Primary: r.primary,
		Query: r.query, Values: r.session.values, Rank: r.route.Rank,
		DueIn: r.due.Sub(m.now), DeadlineIn: r.deadline.Sub(m.now), MaxAge: r.route.MaxStaleness,
	}
	if r.inTx() {
		exec.Tx = r.session.tx.id
	}
	if r.opens {
		begin := r.session.tx.begin
		exec.Begin = &begin
	}
	if !r.primary && r.session.service == r.route.Service && r.route.Consistency == catalog.ConsistencyReadYourWrites {
		exec.After = r.session.written
	}
	m.expect(r.host)
	m.send(r.host, exec)
}

// done takes an owner's result.
func (m *Machine) done(from types.Host, d Done) {
	r := m.requests[d.ID]
	if r == nil || r.parkedAt != 0 || r.host != from {
		return
	}
	m.heard(from)
	m.returned(r)
	p := m.placeOf(r.endpoint)
	p.observe(m.now, d)
	switch {
	case d.Reason == types.ReasonNone && d.Reply.Code == statement.CodeOK:
		m.succeeded(r, d)
	case !d.Ran:
		m.notRun(r, d)
	case d.Reason == types.ReasonNone:
		m.failedReply(r, d)
	default:
		m.lostAnswer(r, d.Reason)
	}
}

// returned takes a request off its owner's and its endpoint's counts.
func (m *Machine) returned(r *request) {
	m.unexpect(r.host)
	if p := m.placeOf(r.endpoint); p.outstanding > 0 {
		p.outstanding--
	}
}

// succeeded passes an endpoint's answer on.
func (m *Machine) succeeded(r *request, d Done) {
	s := r.session
	tx := s.tx
	if tx != nil {
		tx.open, tx.atPrimary = d.TxOpen, r.primary
		tx.endpoint, tx.host = r.endpoint, r.host
		if d.Reply.State == statement.StateIdle {
			s.tx = nil
		}
	}
	if r.writes() && d.Reply.Position != (types.LogPoint{}) {
		s.written, s.service = d.Reply.Position, r.route.Service
	}
	m.finish(r, d.Reply)
}

// finish answers the caller.
func (m *Machine) finish(r *request, reply statement.Reply) {
	delete(m.requests, r.id)
	m.unpark(r)
	took := m.now.Sub(r.arrived)
	level := Debug
	if reply.Code != statement.CodeOK {
		level = Info
	}
	m.log(level, "request", f("id", r.query.ID), f("kind", r.query.Stmt.Kind.String()), f("database", r.session.database),
		f("config", m.cat.ConfigVersion()), f("endpoint", r.endpoint), f("owner", r.host), f("primary", r.primary),
		f("outcome", reply.Code.String()), f("reason", r.reason.String()), f("text", reply.Text), f("tries", r.tries), f("took", took))
	m.emit(Count{Name: fmt.Sprintf("baobab_request_seconds{rank=\"%d\",outcome=%q}", r.route.Rank, reply.Code.String()), Sample: max(took, 1)})
	m.reply(r.session, reply)
}

// notRun handles a result that says that the statement has not run.
func (m *Machine) notRun(r *request, d Done) {
	reason := d.Reason
	switch d.Reply.Code {
	case statement.CodeLagging:
		reason = types.ReasonBehind
	case statement.CodeReadOnly:
		reason = types.ReasonNotPrimary
	case statement.CodeBusy, statement.CodeConnectionLimit:
		reason = types.ReasonQueueFull
	case statement.CodeMalformed:
		m.refuse(r, statement.CodeMalformed, d.Reply.Text)
		return
	case statement.CodeOK:
	default:
		reason = types.ReasonUnreachable
	}
	m.refused(r, reason)
}

// refused decides whether a request that has not run is tried again.
func (m *Machine) refused(r *request, reason types.Reason) {
	r.reason = reason
	switch {
	case !m.now.Before(r.deadline) || r.tries >= maxTries:
		m.refuse(r, statement.CodeBusy, "not run: "+reason.String())
	case r.continues:
		m.abort(r, reason)
	case r.needsPrimary:
		m.refusedPrimary(r, reason)
	default:
		m.refusedRead(r, reason)
	}
}

// refusedPrimary waits for a primary that can be used, unless the primary itself
// has too much to do.
func (m *Machine) refusedPrimary(r *request, reason types.Reason) {
	switch reason {
	case types.ReasonLate, types.ReasonQueueFull, types.ReasonShed:
		m.refuse(r, statement.CodeBusy, "not run: "+reason.String())
	case types.ReasonUnreachable, types.ReasonLeaving, types.ReasonBroken:
		if r.host != "" && !slices.Contains(r.avoided, r.host) {
			r.avoided = append(r.avoided, r.host)
		}
		m.park(r)
	default:
		m.park(r)
	}
}

// refusedRead tries the next replica, and in the end the primary.
func (m *Machine) refusedRead(r *request, reason types.Reason) {
	if r.endpoint != "" {
		switch reason {
		case types.ReasonLeaving:
			r.avoided = append(r.avoided, r.host)
		default:
			r.excluded = append(r.excluded, r.endpoint)
		}
	}
	if reason == types.ReasonNoMajority || m.allExcluded(r) {
		if reason == types.ReasonLate || reason == types.ReasonQueueFull {
			m.refuse(r, statement.CodeBusy, "not run: "+reason.String())
			return
		}
		r.needsPrimary = true
		r.endpoint, r.excluded = "", nil
	}
	m.try(r)
}

// failedReply handles an endpoint's error after the statement ran.
func (m *Machine) failedReply(r *request, d Done) {
	if !r.inTx() && !r.writes() && len(r.excluded) == 0 && m.now.Before(r.deadline) {
		r.excluded = append(r.excluded, r.endpoint)
		r.reason = types.ReasonBroken
		m.try(r)
		return
	}
	if tx := r.session.tx; tx != nil {
		tx.open, tx.failed, tx.atPrimary = d.TxOpen, true, r.primary
		tx.endpoint, tx.host = r.endpoint, r.host
		if r.query.Stmt.Kind == statement.KindCommit || r.query.Stmt.Kind == statement.KindRollback {
			m.endTx(r.session)
		}
	}
	reply := d.Reply
	reply.State = r.session.state()
	m.finish(r, reply)
}

// lostAnswer handles a statement whose answer will not come.
func (m *Machine) lostAnswer(r *request, reason types.Reason) {
	r.reason = reason
	s := r.session
	switch {
	case r.query.Stmt.Kind == statement.KindRollback:
		m.endTx(s)
		m.finish(r, statement.Reply{})
	case r.writes():
		m.endTx(s)
		m.finish(r, statement.Reply{Code: statement.CodeInDoubt, Text: "the answer was lost: " + reason.String()})
	case r.continues:
		m.abort(r, reason)
	case m.now.Before(r.deadline) && r.tries < maxTries:
		m.retryLost(r)
	case r.inTx():
		m.abort(r, reason)
	default:
		m.finish(r, statement.Reply{Code: statement.CodeTimedOut, Text: "the answer was lost: " + reason.String()})
	}
}

// retryLost repeats a read, or a transaction's first statement under a
// transaction id of its own.
func (m *Machine) retryLost(r *request) {
	if r.opens {
		m.send(r.host, EndTx{Tx: r.session.tx.id})
		m.nextTx++
		r.session.tx.id = m.nextTx
	}
	if r.needsPrimary {
		m.park(r)
		return
	}
	r.excluded = append(r.excluded, r.endpoint)
	if m.allExcluded(r) {
		r.excluded = nil
	}
	m.try(r)
}

// abort fails the caller's transaction; nothing of it is kept.
func (m *Machine) abort(r *request, reason types.Reason) {
	s := r.session
	r.reason = reason
	reply := statement.Reply{Code: statement.CodeAborted, Text: "the transaction is rolled back: " + reason.String()}
	if s.tx.open {
		m.send(s.tx.host, EndTx{Tx: s.tx.id})
		s.tx.open = false
	}
	if r.query.Stmt.Kind == statement.KindCommit || r.query.Stmt.Kind == statement.KindRollback {
		s.tx = nil
	} else {
		s.tx.failed = true
	}
	reply.State = s.state()
	m.finish(r, reply)
}

// refuse answers that the statement has not run and will not run.
func (m *Machine) refuse(r *request, code statement.Code, text string) {
	if r.continues {
		m.abort(r, r.reason)
		return
	}
	if r.opens {
		r.session.tx.failed = true
		if r.query.Stmt.Kind == statement.KindCommit {
			r.session.tx = nil
		}
	}
	m.finish(r, statement.Reply{Code: code, Text: text, State: r.session.state()})
}

// park keeps a request until a primary can be used.
func (m *Machine) park(r *request) {
	r.parkedAt = m.now
	if r.waitsSince == 0 {
		r.waitsSince = m.now
	}
	r.retryAt = m.now.Add(parkedRetry)
	m.parked = append(m.parked, r)
}

func (m *Machine) unpark(r *request) {
	if i := slices.Index(m.parked, r); i >= 0 {
		m.parked = slices.Delete(m.parked, i, i+1)
	}
}

// retryParked tries the requests that wait again; a change of what the host
// believes lets all of them go on.
func (m *Machine) retryParked(all bool) {
	parked := m.parked
	m.parked = nil
	for _, r := range parked {
		switch {
		case !m.now.Before(m.waitsUntil(r)):
			m.refuse(r, statement.CodeBusy, "not run: "+r.reason.String())
		case all || !m.now.Before(r.retryAt):
			if all {
				r.avoided = nil
			}
			r.tries = max(0, r.tries-1)
			m.try(r)
		default:
			m.parked = append(m.parked, r)
		}
	}
}

// waitsUntil is when a request that waits for a primary is given up. While one is
// being promoted it may take all of its time.
func (m *Machine) waitsUntil(r *request) types.Time {
	if m.cat.Leadership(r.route.Service).Candidate != "" {
		return r.deadline
	}
	return min(r.deadline, r.waitsSince.Add(parkLimit))
}

// deadlineSlack is the time that an owner has for its own answer at a request's
// deadline before the entry gives the request up.
const deadlineSlack = 150 * time.Millisecond

// tickRequests ends the requests that nobody answers.
func (m *Machine) tickRequests() {
	m.retryParked(false)
	for _, r := range ordered(m.requests) {
		if r.parkedAt != 0 || m.now.Before(r.deadline.Add(deadlineSlack)) {
			continue
		}
		m.returned(r)
		m.lostAnswer(r, types.ReasonLate)
	}
}

// giveUp forgets a request whose caller has gone.
func (m *Machine) giveUp(r *request) {
	delete(m.requests, r.id)
	if r.parkedAt != 0 {
		m.unpark(r)
		return
	}
	m.returned(r)
	if r.opens && r.session.tx != nil {
		m.send(r.host, EndTx{Tx: r.session.tx.id})
	}
}

// ownerLost ends or repeats the requests that a lost owner had.
func (m *Machine) ownerLost(h types.Host) {
	for _, s := range ordered(m.sessions) {
		if s.tx != nil && s.tx.open && s.tx.host == h && s.current == nil {
			s.tx.open, s.tx.failed = false, true
		}
	}
	var lost []*request
	for _, r := range ordered(m.requests) {
		if r.host == h && r.parkedAt == 0 {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, r := range lost {
		m.returned(r)
		if r.session.tx != nil && r.session.tx.host == h {
			r.session.tx.open = false
		}
		m.lostAnswer(r, types.ReasonBroken)
	}
}
