package caller

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/attributes"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
	"baobabfield.example/node/router"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/pgwire"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a request that waits for a
	// state change is retried. The delay doubles with each retry.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 160 * time.Millisecond
	// ownerProbeInterval is the time without an answer after which the owner of the
	// endpoint is probed, and the time between two probes.
	ownerProbeInterval = 500 * time.Millisecond
	// readyForQueryBytes is the length of a ReadyForQuery message.
	readyForQueryBytes = 6
)

var (
	requestsDone    = metrics.NewCounter(`baobab_requests_total{outcome="done"}`)
	requestsNotRun  = metrics.NewCounter(`baobab_requests_total{outcome="not_run"}`)
	requestsUnknown = metrics.NewCounter(`baobab_requests_total{outcome="unknown"}`)
	retriesSent     = metrics.NewCounter("baobab_retries_total")
	requestSeconds  = metrics.NewHistogram("baobab_request_seconds")
)

// attempt is the state and the result of one attempt to run a batch.
type attempt struct {
	outcome types.Outcome
	status  byte
	// forwarded is set once a part of the answer has been sent to the caller.
	forwarded bool
	// unsent is the end of the answer, which has not been sent to the caller.
	unsent []byte
	// callerDisconnected is set if a write to the caller has failed.
	callerDisconnected bool
	// transactionEnded is set if the owner has confirmed that the transaction has
	// ended and no cancel request was sent on the stream.
	transactionEnded bool
}

// execute runs a batch outside of a transaction and retries it where that is safe.
// It reports whether the session continues.
func (s *sessionTask) execute(ctx context.Context, b *pgwire.Batch, p batchProperties) bool {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.listener.settings.RequestTimeout)
	defer cancel()
	q := s.routerQuery(p)
	r := retryState{delay: minRetryDelay}
	for {
		t := s.attemptBatch(ctx, b, p, &q)
		if t.callerDisconnected {
			return false
		}
		if t.outcome.Kind == types.OutcomeDone || t.forwarded || !s.prepareRetry(ctx, t.outcome, &p, &q, &r) {
			requestSeconds.Update(time.Since(start).Seconds())
			s.attrs.RequestKey = ""
			return s.finishBatch(t)
		}
		retriesSent.Inc()
	}
}

// routerQuery returns the query that requests the target of a batch from the router.
func (s *sessionTask) routerQuery(p batchProperties) router.Query {
	return router.Query{
		Database:        s.database,
		Write:           p.write,
		PrimaryOnly:     s.tokenUnknown,
		MinPosition:     s.token[s.database],
		MaxStaleness:    s.attrs.MaxStaleness,
		HasMaxStaleness: s.attrs.HasMaxStaleness,
		Rank:            s.attrs.Rank,
		Feature:         s.attrs.Feature,
		Job:             s.attrs.Job,
		Caller:          callerHost(s.conn),
	}
}

// callerHost returns the caller's address without its port.
func callerHost(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// retryState holds the delay before a request's next retry and the number of
// redirects so far.
type retryState struct {
	delay     time.Duration
	redirects int
}

// prepareRetry reports whether a request is to be retried, and adapts the query to the
// reason of the failure. It waits for the retry delay if the reason requires one.
func (s *sessionTask) prepareRetry(ctx context.Context, o types.Outcome, p *batchProperties, q *router.Query, r *retryState) bool {
	if ctx.Err() != nil {
		return false
	}
	q.IsRetry = true
	q.RefreshState = false
	if o.Reason == types.ReasonReadOnly {
		p.write, q.Write = true, true
	}
	decision := routing.DecideRetry(o, routing.Attempt{Write: p.write, Repeatable: s.attrs.Repeatable})
	switch decision {
	case routing.RetryElsewhere:
		return s.retryElsewhere(ctx, o, q, r)
	case routing.RetryPrimary:
		q.PrimaryOnly = true
		return s.retryRedirected(ctx, q, r)
	case routing.RetryAfterWait:
		q.RefreshState = true
		return s.waitBeforeRetry(ctx, r)
	}
	return false
}

// retryElsewhere excludes the endpoint that refused the request. If no endpoint is
// left, the exclusions are cleared and all endpoints are tried again after a delay.
func (s *sessionTask) retryElsewhere(ctx context.Context, o types.Outcome, q *router.Query, r *retryState) bool {
	switch {
	case o.Reason == types.ReasonNotOwner:
		return s.retryRedirected(ctx, q, r)
	case s.endpoint == "":
		q.Excluded = nil
		q.RefreshState = true
		return s.waitBeforeRetry(ctx, r)
	}
	q.Excluded = append(q.Excluded, s.endpoint)
	return s.listener.router.AllowRetry(ctx)
}

// retryRedirected retries at another owner or primary. The first redirect is
// followed at once, later ones after a delay and with refreshed state.
func (s *sessionTask) retryRedirected(ctx context.Context, q *router.Query, r *retryState) bool {
	r.redirects++
	if r.redirects == 1 {
		return true
	}
	q.RefreshState = true
	return s.waitBeforeRetry(ctx, r)
}

// waitBeforeRetry waits for the retry delay and doubles it. It reports false if the
// context has ended.
func (s *sessionTask) waitBeforeRetry(ctx context.Context, r *retryState) bool {
	timer := time.NewTimer(r.delay)
	defer timer.Stop()
	r.delay = min(2*r.delay, maxRetryDelay)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attemptBatch sends the batch to the endpoint that the router chooses, and relays
// the answer.
func (s *sessionTask) attemptBatch(ctx context.Context, b *pgwire.Batch, p batchProperties, q *router.Query) attempt {
	target := s.listener.router.Route(ctx, *q)
	s.endpoint = target.Endpoint
	if target.Outcome.Kind != types.OutcomeDone {
		return attempt{outcome: target.Outcome, status: pgwire.StatusIdle}
	}
	stream, err := s.listener.mesh.Open(ctx, target.Host)
	if err != nil {
		s.listener.router.ReportFinished(target.Endpoint)
		return attempt{outcome: types.NotRunOutcome(types.ReasonUnreachable, err.Error()), status: pgwire.StatusIdle}
	}
	s.stream = stream
	s.mayWrite = p.write
	s.cancelled = false
	if err := stream.Send(&meshpb.Frame{Body: &meshpb.Frame_Open{Open: s.openFrame(ctx, b, p, q, target)}}); err != nil {
		s.closeStream()
		return attempt{outcome: brokenStreamOutcome(false, err.Error()), status: pgwire.StatusIdle}
	}
	start := time.Now()
	t := s.relayAnswer(ctx, b, false, target.Host)
	if !p.write {
		s.recordRead(t.outcome, time.Since(start))
	}
	s.releaseStream(t)
	return t
}

// recordRead reports the result of a read to the router. Refusals that depend on
// routing or staleness are not reported, since they do not indicate the endpoint's
// health.
func (s *sessionTask) recordRead(o types.Outcome, latency time.Duration) {
	switch o.Reason {
	case types.ReasonNotOwner, types.ReasonNotPrimary, types.ReasonBehind, types.ReasonStale, types.ReasonReadOnly:
		return
	}
	s.listener.router.RecordRead(s.database, s.endpoint, latency, o.Kind == types.OutcomeDone)
}

// releaseStream ends the use of the stream if its transaction is over. If the owner
// has confirmed the end, the stream is returned to the mesh for reuse; otherwise it
// is closed.
func (s *sessionTask) releaseStream(t attempt) {
	switch {
	case t.transactionEnded:
		s.listener.mesh.Release(s.stream)
		s.clearStream()
	case t.outcome.Kind != types.OutcomeDone || t.status == pgwire.StatusIdle:
		s.closeStream()
	}
}

// brokenStreamOutcome returns the outcome of a batch whose stream broke after the
// batch may have been sent. rollbackCertain is set for a batch that cannot end its
// transaction: the owner rolls the transaction back, so the batch has no effect. The
// outcome of any other batch is unknown.
func brokenStreamOutcome(rollbackCertain bool, detail string) types.Outcome {
	if rollbackCertain {
		return types.NotRunOutcome(types.ReasonBroken, "transaction rolled back: "+detail)
	}
	return types.UnknownOutcome(types.ReasonBroken, detail)
}

// openFrame encodes the message that opens a request at the owner.
func (s *sessionTask) openFrame(ctx context.Context, b *pgwire.Batch, p batchProperties, q *router.Query, target router.Target) *meshpb.Open {
	s.requestID++
	deadline, _ := ctx.Deadline()
	open := &meshpb.Open{
		RequestId:  s.requestID,
		Service:    string(target.Service),
		Database:   string(s.database),
		Endpoint:   string(target.Endpoint),
		Rank:       string(q.Rank),
		Feature:    string(q.Feature),
		Job:        string(q.Job),
		DeadlineUs: uint64(max(0, time.Until(deadline).Microseconds())),
		Write:      p.write,
		Repeatable: s.attrs.Repeatable,
		RequestKey: s.attrs.RequestKey,
		MaxAgeUs:   uint64(target.MaxStaleness.Microseconds()),
		Caller:     q.Caller,
		Batch:      &meshpb.Batch{Messages: b.Messages, CanCommit: p.canCommit, Begins: p.begins},
	}
	if q.MinPosition != (types.LogPoint{}) {
		open.After = &meshpb.LogPoint{Term: uint64(q.MinPosition.Term), Position: uint64(q.MinPosition.Position)}
	}
	return open
}

// relayAnswer relays the answer of a batch to the caller. It holds back the end of
// the answer until the result arrives, since the result determines whether the end
// is sent and adds parameters to it. rollbackCertain is as in brokenStreamOutcome.
func (s *sessionTask) relayAnswer(ctx context.Context, b *pgwire.Batch, rollbackCertain bool, host types.Host) attempt {
	t := attempt{status: pgwire.StatusIdle}
	filter := pgwire.NewCompletionFilter(b)
	probe := time.NewTicker(ownerProbeInterval)
	defer probe.Stop()
	unresponsive := make(chan struct{}, 1)
	for {
		select {
		case <-probe.C:
			go s.listener.probeOwner(ctx, ownerProbe{host: host, db: s.database, endpoint: s.endpoint, write: s.mayWrite}, unresponsive)
		case <-unresponsive:
			t.outcome = brokenStreamOutcome(rollbackCertain, "owner "+string(host)+" does not answer")
			return t
		case f, ok := <-s.stream.Frames():
			if !ok {
				t.outcome = brokenStreamOutcome(rollbackCertain, "owner "+string(host)+" is gone")
				return t
			}
			r := f.GetResult()
			part := f.GetAnswer().GetMessages()
			if r != nil {
				part = r.GetMessages()
			}
			if !s.relayPart(&t, filter, part) {
				return t
			}
			if r != nil {
				return s.applyResult(t, r)
			}
		case c := <-s.control:
			s.handleControl(c)
		case <-ctx.Done():
			s.listener.mesh.SuspectHost(host)
			t.outcome = brokenStreamOutcome(rollbackCertain, "no answer in time from owner "+string(host))
			return t
		}
	}
}

// ownerProbe identifies an owner whose answer to a batch is pending.
type ownerProbe struct {
	host     types.Host
	db       types.Database
	endpoint types.Endpoint
	write    bool
}

// probeOwner signals on unresponsive if an owner with a pending answer does not
// respond to a probe. For a write, it does so only if another endpoint is known to
// be the primary.
func (t *Task) probeOwner(ctx context.Context, p ownerProbe, unresponsive chan<- struct{}) {
	if p.write && !t.router.PrimaryReplaced(ctx, p.db, p.endpoint) {
		return
	}
	if t.mesh.ProbeHost(ctx, p.host) {
		return
	}
	select {
	case unresponsive <- struct{}{}:
	default:
	}
}

// relayPart sends the part that was held back to the caller and holds back the new
// one. It reports false if the attempt has failed.
func (s *sessionTask) relayPart(t *attempt, filter *pgwire.CompletionFilter, messages []byte) bool {
	if len(messages) == 0 {
		return true
	}
	if len(t.unsent) > 0 {
		t.forwarded = true
		if s.writeBuffered(t.unsent) != nil {
			t.callerDisconnected = true
			return false
		}
	}
	rest, err := filter.Append(t.unsent[:0], messages)
	if err != nil {
		t.outcome = types.UnknownOutcome(types.ReasonBroken, err.Error())
		return false
	}
	t.unsent = rest
	return true
}

// handleControl handles a message of the listener during a batch.
func (s *sessionTask) handleControl(c control) {
	if c == controlDrain {
		s.draining = true
		return
	}
	s.cancelled = true
	_ = s.stream.Send(&meshpb.Frame{Body: &meshpb.Frame_Cancel{Cancel: &meshpb.Cancel{}}})
}

// applyResult applies the owner's result at the end of a batch to the session and
// the attempt.
func (s *sessionTask) applyResult(t attempt, r *meshpb.Result) attempt {
	s.listener.router.UpdateState(r.GetView(), r.GetState())
	if r.GetRequestId() != s.requestID {
		t.outcome = types.UnknownOutcome(types.ReasonBroken, "answer of another request")
		return t
	}
	t.outcome = types.Outcome{Kind: types.OutcomeKind(r.GetKind()), Reason: types.Reason(r.GetReason()), Detail: r.GetDetail()}
	t.status = byte(r.GetTransaction())
	t.transactionEnded = t.status == pgwire.StatusIdle && !s.cancelled
	if committed := r.GetCommitted(); committed != nil {
		point := types.LogPoint{Term: types.Term(committed.GetTerm()), Position: types.Position(committed.GetPosition())}
		s.token = s.token.Merge(session.Token{s.database: point})
		t.unsent = insertParameter(t.unsent, attributes.Session, s.tokenText())
	}
	if s.attrs.Trace {
		t.unsent = insertParameter(t.unsent, "baobab.served_by", string(s.endpoint))
	}
	return t
}

// insertParameter inserts a ParameterStatus before the ReadyForQuery at the end of
// an answer.
func insertParameter(answer []byte, name, value string) []byte {
	if len(answer) < readyForQueryBytes {
		return answer
	}
	at := len(answer) - readyForQueryBytes
	ready := append([]byte(nil), answer[at:]...)
	return append(pgwire.AppendParameter(answer[:at:at], name, value), ready...)
}

// finishBatch sends the end of the answer of a completed batch, or an error if the
// batch has not completed. It reports whether the session continues.
func (s *sessionTask) finishBatch(t attempt) bool {
	switch t.outcome.Kind {
	case types.OutcomeDone:
		requestsDone.Inc()
		if t.status == pgwire.StatusFailed {
			s.batcher.ResetStream()
		}
		return s.writeAndFlush(t.unsent)
	case types.OutcomeNotRun:
		requestsNotRun.Inc()
	default:
		requestsUnknown.Inc()
	}
	buf := pgwire.AppendOutcome(nil, t.outcome)
	return s.writeAndFlush(pgwire.AppendReady(buf, pgwire.StatusIdle))
}

// continueTransaction runs a batch in the open transaction. It reports whether the
// session continues.
func (s *sessionTask) continueTransaction(ctx context.Context, b *pgwire.Batch) bool {
	ctx, cancel := context.WithTimeout(ctx, s.listener.settings.RequestTimeout)
	defer cancel()
	p := s.classifyBatch(b)
	frame := &meshpb.Frame{Body: &meshpb.Frame_Batch{Batch: &meshpb.Batch{Messages: b.Messages, CanCommit: p.canCommit}}}
	var t attempt
	if err := s.stream.Send(frame); err != nil {
		t = attempt{outcome: brokenStreamOutcome(!p.canCommit, err.Error())}
	} else {
		t = s.relayAnswer(ctx, b, !p.canCommit, s.stream.Peer)
	}
	if t.callerDisconnected {
		return false
	}
	s.releaseStream(t)
	return s.finishBatch(t)
}
