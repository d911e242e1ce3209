package proxy

import (
	"fmt"
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// maxAttempts limits how often one statement is sent. Retries of a deferred request do not
	// count.
	maxAttempts = 12
	// defaultTimeout applies to statements whose route has no timeout.
	defaultTimeout = 2 * time.Second
	// maxDeferral is how long a request waits for a primary while no promotion is in progress.
	// A service without a primary and without a promotion usually stays so for several
	// seconds, and a longer wait rarely helps. A caller that makes three attempts spends less
	// than half of its own time limit waiting.
	maxDeferral = 300 * time.Millisecond
	// deferredRetryInterval is the time between two attempts of a deferred request.
	deferredRetryInterval = 40 * time.Millisecond
	// maxStatementBytes is the size of the largest message of a caller.
	maxStatementBytes = 1 << 20
)

// request is a caller's statement from its arrival until its reply.
type request struct {
	// id identifies the latest attempt.
	id      RequestID
	session *session
	query   pool.Query
	route   catalog.Route
	// needsPrimary is set if no replica can serve the request; atPrimary is set while the
	// request is sent to the primary in that role.
	needsPrimary, atPrimary bool
	// opensTx is set on the first statement of a transaction, continuesTx on later ones.
	opensTx, continuesTx bool
	// endpoint and its owner, host, are those that the request was last sent to; empty for
	// none.
	endpoint types.Endpoint
	host     types.Host
	// remoteReason says why a read was sent to an endpoint of another data centre.
	remoteReason locality.Reason
	// excludedEndpoints and avoidedHosts have refused the request.
	excludedEndpoints []types.Endpoint
	avoidedHosts      []types.Host
	attempts          int
	// attemptedAt is when the last attempt was sent, and hostStartedUnixMs the start time of the
	// process that it was sent to.
	attemptedAt       types.Time
	hostStartedUnixMs int64
	// unsettledSince is when the owner was asked about it; zero if it has answered.
	unsettledSince types.Time
	arrivedAt      types.Time
	due            types.Time
	deadline       types.Time
	// deferredAt is the time at which the request was last deferred; zero while it is in
	// flight.
	deferredAt types.Time
	retryAt    types.Time
	// firstDeferredAt is the time at which the request was first deferred.
	firstDeferredAt types.Time
	lastReason      types.Reason
}

// mayCommit reports whether the statement can commit a change. If its reply is lost, the
// outcome is unknown to the caller.
func (r *request) mayCommit() bool {
	return r.query.Stmt.Kind == statement.KindCommit || (!r.inTx() && r.query.Stmt.Writes())
}

func (r *request) inTx() bool { return r.opensTx || r.continuesTx }

// forwardStatement creates a request for a statement and sends it to an endpoint.
func (m *Machine) forwardStatement(s *session, q pool.Query) {
	r := &request{session: s, query: q, arrivedAt: m.now}
	switch {
	case s.tx != nil:
		r.route, r.needsPrimary = s.tx.route, s.tx.needsPrimary
		r.opensTx, r.continuesTx = !s.tx.open, s.tx.open
		if r.continuesTx {
			r.endpoint, r.host, r.atPrimary = s.tx.endpoint, s.tx.host, s.tx.atPrimary
		}
	default:
		route, ok := m.catalog.Route(s.database)
		if !ok {
			m.replyDatabaseGone(s)
			return
		}
		if !m.authenticateOperation(s, &route) {
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
	s.currentRequest = r
	m.attemptRequest(r)
}

// assignID gives an attempt of a request its own ID. The owner may still answer an earlier
// attempt that counts as lost.
func (m *Machine) assignID(r *request) {
	delete(m.requests, r.id)
	m.nextRequestID++
	r.id = m.nextRequestID
	m.requests[r.id] = r
}

// attemptRequest selects an endpoint and its owner and sends the request there.
func (m *Machine) attemptRequest(r *request) {
	m.assignID(r)
	r.deferredAt, r.unsettledSince = 0, 0
	if !r.continuesTx {
		if !m.authenticateAttempt(r) {
			return
		}
		if reason := m.selectEndpoint(r); reason != types.ReasonNone {
			m.retryOrRefuse(r, reason)
			return
		}
	}
	if !m.placeLargeRequest(r) {
		m.log(Info, "request too large", field("id", r.query.ID), field("owner", r.host), field("bytes", r.messageBytes()), field("limit", maxMessageBytes))
		m.abortTransaction(r, types.ReasonBadRequest)
		return
	}
	r.attempts++
	owner, _ := m.catalog.Host(r.host)
	r.attemptedAt, r.hostStartedUnixMs = m.now, owner.StartedUnixMs
	stats := m.statsFor(r.endpoint)
	stats.InFlight++
	exec := ExecRequest{
		ID: r.id, Service: r.route.Service, Endpoint: r.endpoint, RequirePrimary: r.atPrimary,
		Query: r.query, Variables: r.session.variables, Rank: r.route.Rank,
		Workspace: r.session.workspace, Public: r.route.Public,
		DueIn: r.due.Sub(m.now), DeadlineIn: r.deadline.Sub(m.now), MaxStaleness: r.route.MaxStaleness,
		Retry: r.attempts > 1, WayTime: stats.way.usualLimit(),
	}
	if r.inTx() {
		exec.Tx = r.session.tx.id
	}
	if r.opensTx {
		begin := r.session.tx.begin
		exec.Begin = &begin
	}
	if !r.atPrimary && r.route.Consistency == catalog.ConsistencyReadYourWrites {
		exec.After = r.session.commits[r.route.Service]
	}
	m.expectReply(r.host)
	m.sendToHost(r.host, exec)
}

// placeLargeRequest makes a request that no message to the owner can carry run at this host instead,
// which any host may do. A transaction stays where it has begun, so that one whose later statements
// may be too large begins here. It returns false for a statement of one that has begun elsewhere.
func (m *Machine) placeLargeRequest(r *request) bool {
	if r.host == m.settings.Host {
		return true
	}
	size := r.messageBytes()
	if r.opensTx {
		size = max(size, r.sessionBytes()+maxStatementBytes)
	}
	if size <= maxMessageBytes {
		return true
	}
	if r.continuesTx {
		return false
	}
	r.host = m.settings.Host
	return true
}

// messageBytes returns the approximate size of the message that carries a request to an owner.
func (r *request) messageBytes() int {
	stmt := &r.query.Stmt
	return r.sessionBytes() + len(r.query.ID) + len(stmt.Text) + len(stmt.Name) + len(stmt.Value) + len(stmt.Template.Text)
}

// sessionBytes returns the part of messageBytes that all requests of the session and its transaction
// have.
func (r *request) sessionBytes() int {
	size := 0
	if r.inTx() {
		size += len(r.session.tx.begin.ID)
	}
	for _, v := range r.session.variables {
		size += variableBytes(v.Name, v.Value)
	}
	return size
}

// handleResult handles an owner's result.
func (m *Machine) handleResult(from types.Host, res ExecResult) {
	r := m.requests[res.ID]
	if r == nil || r.deferredAt != 0 || r.host != from {
		return
	}
	m.markPeerUp(from)
	m.removeInFlight(r)
	stats := m.statsFor(r.endpoint)
	stats.recordResult(m.now, res)
	if res.Reason == types.ReasonNone {
		stats.way.record(m.now.Sub(r.attemptedAt) - res.QueueTime - res.ServiceTime)
	}
	switch {
	case res.Reason == types.ReasonNone && res.Reply.Code == statement.CodeOK:
		m.recordRead(r, stats, &res)
		m.countRemoteRead(r)
		m.handleSuccess(r, res)
	case !res.MayHaveRun:
		m.handleNotRun(r, res)
	case res.Reason == types.ReasonNone:
		m.handleErrorReply(r, res)
	default:
		m.handleLostReply(r, res.Reason)
	}
}

// removeInFlight subtracts a request from the in-flight counts of its owner and its endpoint.
func (m *Machine) removeInFlight(r *request) {
	m.dropExpectedReply(r.host)
	if stats := m.statsFor(r.endpoint); stats.InFlight > 0 {
		stats.InFlight--
	}
}

// handleSuccess passes an endpoint's reply on to the caller.
func (m *Machine) handleSuccess(r *request, res ExecResult) {
	s := r.session
	tx := s.tx
	if tx != nil {
		tx.open, tx.atPrimary = res.TxOpen, r.atPrimary
		tx.endpoint, tx.host = r.endpoint, r.host
		if res.Reply.State == statement.StateIdle {
			s.tx = nil
		}
	}
	if r.mayCommit() {
		s.recordCommit(r.route.Service, res.Reply.Position)
	}
	m.finishRequest(r, res.Reply)
}

// finishRequest ends a request and replies to the caller.
func (m *Machine) finishRequest(r *request, reply statement.Reply) {
	delete(m.requests, r.id)
	m.removeDeferred(r)
	took := m.now.Sub(r.arrivedAt)
	level := Debug
	if reply.Code != statement.CodeOK {
		level = Info
	}
	fields := []Field{
		field("id", r.query.ID), field("kind", r.query.Stmt.Kind.String()), field("database", r.session.database),
		field("config", m.catalog.ConfigVersion()), field("endpoint", r.endpoint), field("owner", r.host), field("primary", r.atPrimary),
		field("outcome", reply.Code.String()), field("reason", r.lastReason.String()), field("text", reply.Text), field("tries", r.attempts), field("took", took),
	}
	if r.session.workspace != "" {
		fields = append(fields, field("workspace", r.session.workspace))
	}
	m.log(level, "request", fields...)
	m.emit(Metric{Name: fmt.Sprintf("baobab_request_seconds{rank=\"%d\",outcome=%q}", r.route.Rank, reply.Code.String()), Sample: max(took, 1)})
	m.replyToCaller(r.session, reply)
}

// handleNotRun handles a result that says that the statement has not run.
func (m *Machine) handleNotRun(r *request, res ExecResult) {
	reason := res.Reason
	if reason == types.ReasonLimited {
		r.lastReason = reason
		m.refuseRequest(r, statement.CodeBusy, fmt.Sprintf("not run: %s, retry after %d ms", reason, res.RetryAfter.Milliseconds()))
		return
	}
	switch res.Reply.Code {
	case statement.CodeLagging:
		reason = types.ReasonBehind
	case statement.CodeReadOnly:
		reason = types.ReasonNotPrimary
	case statement.CodeBusy, statement.CodeConnectionLimit:
		reason = types.ReasonQueueFull
	case statement.CodeMalformed:
		m.refuseRequest(r, statement.CodeMalformed, res.Reply.Text)
		return
	case statement.CodeOK:
	default:
		reason = types.ReasonUnreachable
	}
	m.retryOrRefuse(r, reason)
}

// retryOrRefuse decides whether a request that has not run is attempted again.
func (m *Machine) retryOrRefuse(r *request, reason types.Reason) {
	r.lastReason = reason
	switch {
	case !m.now.Before(r.deadline) || r.attempts >= maxAttempts:
		m.refuseRequest(r, statement.CodeBusy, "not run: "+reason.String())
	case r.continuesTx:
		m.abortTransaction(r, reason)
	case r.needsPrimary:
		m.handlePrimaryRefusal(r, reason)
	default:
		m.handleReadRefusal(r, reason)
	}
}

// handlePrimaryRefusal defers a request that the primary has not run until a primary is
// usable, or refuses it if the primary is overloaded.
func (m *Machine) handlePrimaryRefusal(r *request, reason types.Reason) {
	switch reason {
	case types.ReasonLate, types.ReasonQueueFull, types.ReasonShed:
		m.refuseRequest(r, statement.CodeBusy, "not run: "+reason.String())
	case types.ReasonUnreachable, types.ReasonLeaving, types.ReasonBroken:
		if r.host != "" && !slices.Contains(r.avoidedHosts, r.host) {
			r.avoidedHosts = append(r.avoidedHosts, r.host)
		}
		m.deferRequest(r)
	default:
		m.deferRequest(r)
	}
}

// handleReadRefusal attempts a read again. A host that is leaving is avoided, and any other
// refusal excludes the endpoint. Once all endpoints are excluded, the primary included, the
// read is refused if the last one was overloaded. Otherwise it is sent to the primary again
// and waits until one is usable.
func (m *Machine) handleReadRefusal(r *request, reason types.Reason) {
	if r.endpoint != "" {
		switch reason {
		case types.ReasonLeaving:
			r.avoidedHosts = append(r.avoidedHosts, r.host)
		default:
			r.excludedEndpoints = append(r.excludedEndpoints, r.endpoint)
		}
	}
	if reason == types.ReasonNoMajority || m.allEndpointsExcluded(r) {
		if reason == types.ReasonLate || reason == types.ReasonQueueFull {
			m.refuseRequest(r, statement.CodeBusy, "not run: "+reason.String())
			return
		}
		r.needsPrimary = true
		r.endpoint, r.excludedEndpoints = "", nil
	}
	m.attemptRequest(r)
}

// handleErrorReply handles an endpoint's error after the statement has run. A read outside a
// transaction is repeated once at another endpoint.
func (m *Machine) handleErrorReply(r *request, res ExecResult) {
	if !r.inTx() && !r.mayCommit() && len(r.excludedEndpoints) == 0 && m.now.Before(r.deadline) {
		r.excludedEndpoints = append(r.excludedEndpoints, r.endpoint)
		r.lastReason = types.ReasonBroken
		m.attemptRequest(r)
		return
	}
	if tx := r.session.tx; tx != nil {
		tx.open, tx.failed, tx.atPrimary = res.TxOpen, true, r.atPrimary
		tx.endpoint, tx.host = r.endpoint, r.host
		if r.query.Stmt.Kind == statement.KindCommit || r.query.Stmt.Kind == statement.KindRollback {
			m.endTx(r.session)
		}
	}
	reply := res.Reply
	reply.State = r.session.state()
	m.finishRequest(r, reply)
}

// handleLostReply handles a statement whose reply has been lost.
func (m *Machine) handleLostReply(r *request, reason types.Reason) {
	r.lastReason = reason
	s := r.session
	switch {
	case r.query.Stmt.Kind == statement.KindRollback:
		m.endTx(s)
		m.finishRequest(r, statement.Reply{})
	case r.mayCommit():
		m.endTx(s)
		m.finishRequest(r, statement.Reply{Code: statement.CodeInDoubt, Text: "the answer was lost: " + reason.String()})
	case r.continuesTx:
		m.abortTransaction(r, reason)
	case m.now.Before(r.deadline) && r.attempts < maxAttempts:
		m.retryAfterLostReply(r)
	case r.inTx():
		m.abortTransaction(r, reason)
	default:
		m.finishRequest(r, statement.Reply{Code: statement.CodeTimedOut, Text: "the answer was lost: " + reason.String()})
	}
}

// retryAfterLostReply repeats a read, or the first statement of a transaction. The transaction
// gets a new id, since the owner may still hold the transaction of the first attempt.
func (m *Machine) retryAfterLostReply(r *request) {
	if r.opensTx {
		m.sendToHost(r.host, EndTx{Tx: r.session.tx.id})
		m.nextTxID++
		r.session.tx.id = m.nextTxID
	}
	if r.needsPrimary {
		m.deferRequest(r)
		return
	}
	r.excludedEndpoints = append(r.excludedEndpoints, r.endpoint)
	if m.allEndpointsExcluded(r) {
		r.excludedEndpoints = nil
	}
	m.attemptRequest(r)
}

// abortTransaction fails the caller's transaction and rolls it back.
func (m *Machine) abortTransaction(r *request, reason types.Reason) {
	s := r.session
	r.lastReason = reason
	reply := statement.Reply{Code: statement.CodeAborted, Text: "the transaction is rolled back: " + reason.String()}
	if s.tx.open {
		m.sendToHost(s.tx.host, EndTx{Tx: s.tx.id})
		s.tx.open = false
	}
	if r.query.Stmt.Kind == statement.KindCommit || r.query.Stmt.Kind == statement.KindRollback {
		s.tx = nil
	} else {
		s.tx.failed = true
	}
	reply.State = s.state()
	m.finishRequest(r, reply)
}

// refuseRequest replies that the statement has not run and will not run.
func (m *Machine) refuseRequest(r *request, code statement.Code, text string) {
	if r.continuesTx {
		m.abortTransaction(r, r.lastReason)
		return
	}
	if r.opensTx {
		r.session.tx.failed = true
		if r.query.Stmt.Kind == statement.KindCommit {
			r.session.tx = nil
		}
	}
	m.finishRequest(r, statement.Reply{Code: code, Text: text, State: r.session.state()})
}

// deferRequest keeps a request until a primary is usable. An isolated host refuses it, since
// the caller is served sooner by another data centre.
func (m *Machine) deferRequest(r *request) {
	if m.isolatedSince != 0 {
		m.refuseRequest(r, statement.CodeBusy, "not run: this host reaches no other data centre")
		return
	}
	r.deferredAt = m.now
	if r.firstDeferredAt == 0 {
		r.firstDeferredAt = m.now
	}
	r.retryAt = m.now.Add(deferredRetryInterval)
	m.deferred = append(m.deferred, r)
}

func (m *Machine) removeDeferred(r *request) {
	if i := slices.Index(m.deferred, r); i >= 0 {
		m.deferred = slices.Delete(m.deferred, i, i+1)
	}
}

// retryDeferred attempts the deferred requests whose retry is due. With all set, since the
// known hosts or the primary have changed, it attempts every one.
func (m *Machine) retryDeferred(all bool) {
	deferred := m.deferred
	m.deferred = nil
	for _, r := range deferred {
		switch {
		case !m.now.Before(m.deferralDeadline(r)):
			m.refuseRequest(r, statement.CodeBusy, "not run: "+r.lastReason.String())
		case all || !m.now.Before(r.retryAt):
			if all {
				r.avoidedHosts = nil
			}
			// attemptRequest counts the attempt again.
			r.attempts = max(0, r.attempts-1)
			m.attemptRequest(r)
		default:
			m.deferred = append(m.deferred, r)
		}
	}
}

// deferralDeadline returns the time at which a deferred request is refused. While the primary
// is being replaced, the request may wait until its own deadline.
func (m *Machine) deferralDeadline(r *request) types.Time {
	record := m.catalog.Leadership(r.route.Service)
	if record.CampaignOpen && m.now.Sub(m.serviceFor(record.Service).failover.recordChangedAt) < rivalClaimTimeout {
		return r.deadline
	}
	return min(r.deadline, r.firstDeferredAt.Add(maxDeferral))
}

// ownerReplySlack is the time after a request's deadline in which the owner's own reply is
// still accepted before the request ends without a reply.
const ownerReplySlack = 150 * time.Millisecond

// tickRequests retries deferred requests and ends requests without a reply.
func (m *Machine) tickRequests() {
	m.retryDeferred(false)
	for _, r := range ordered(m.requests) {
		if r.deferredAt != 0 || m.endUnsettled(r) || m.now.Before(r.deadline.Add(ownerReplySlack)) {
			continue
		}
		m.removeInFlight(r)
		m.handleLostReply(r, types.ReasonLate)
	}
}

// cancelRequest drops a request whose caller has disconnected.
func (m *Machine) cancelRequest(r *request) {
	delete(m.requests, r.id)
	if r.deferredAt != 0 {
		m.removeDeferred(r)
		return
	}
	m.removeInFlight(r)
	if r.opensTx && r.session.tx != nil {
		m.sendToHost(r.host, EndTx{Tx: r.session.tx.id})
	}
}

// handleOwnerDisconnect ends or repeats the requests in flight at a disconnected owner.
func (m *Machine) handleOwnerDisconnect(h types.Host) {
	for _, s := range ordered(m.sessions) {
		if s.tx != nil && s.tx.open && s.tx.host == h && s.currentRequest == nil {
			s.tx.open, s.tx.failed = false, true
		}
	}
	var inFlight []*request
	for _, r := range ordered(m.requests) {
		if r.host == h && r.deferredAt == 0 {
			inFlight = append(inFlight, r)
		}
	}
	slices.SortFunc(inFlight, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, r := range inFlight {
		m.removeInFlight(r)
		if r.session.tx != nil && r.session.tx.host == h {
			r.session.tx.open = false
		}
		m.handleLostReply(r, types.ReasonBroken)
	}
}
