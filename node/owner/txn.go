package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/endpoint"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/pgwire"
)

const (
	// catchUpTimeout is the longest time that a read waits for a replica to reach the
	// session's position.
	catchUpTimeout = 60 * time.Millisecond
	// catchUpChecks is the number of position checks within catchUpTimeout.
	catchUpChecks = 4
	// replicationTimeout is the longest wait for a majority to hold a commit.
	replicationTimeout = 10 * time.Second
	// idleInTransactionTimeout is the longest wait for a transaction's next batch. An
	// idle transaction holds a slot, so it is then rolled back.
	idleInTransactionTimeout = 60 * time.Second
	// maxAnswerFrameBytes is the largest part of an answer in one frame.
	maxAnswerFrameBytes = 512 << 10
	// sqlStateUniqueViolation is the SQLSTATE for a request key that already exists.
	sqlStateUniqueViolation = "23505"
)

var (
	outcomesDone    = metrics.NewCounter(`baobab_owner_outcomes_total{kind="done"}`)
	outcomesNotRun  = metrics.NewCounter(`baobab_owner_outcomes_total{kind="not_run"}`)
	outcomesUnknown = metrics.NewCounter(`baobab_owner_outcomes_total{kind="unknown"}`)
)

// txn executes one statement or transaction for a frontend. It owns the stream, and it
// owns the connection from the connectionReply to its returnConnection.
type txn struct {
	stream     *mesh.Stream
	request    *meshpb.Open
	task       *endpointTask
	database   databaseTasks
	durability types.Durability
	requestID  types.RequestID

	conn  *endpoint.Conn
	term  types.Term
	write bool
	// hasAuthority is set if the endpoint is the primary and the watch confirmed its
	// authority before the first batch.
	hasAuthority bool
	startedAt    time.Time
	// connBroken is set if the connection must not be used again.
	connBroken bool
	// connStatus is the connection's transaction status after the last batch. Zero before
	// the first batch.
	connStatus    byte
	lastBatchDone bool
	// connReply is the endpoint task's reply to the request for a connection.
	connReply      connectionReply
	inTx           bool
	requestKeyUsed bool
	// answerTail is the end of the answer, which is sent in the same frame as the result.
	answerTail []byte
	// endSent is set once a result that ends the transaction is sent to the frontend.
	endSent bool
	view    failover.View
}

// run executes batches from the stream until the transaction ends.
func (x *txn) run(ctx context.Context) {
	out := x.acquireConnection(ctx)
	if out.Kind != types.OutcomeDone {
		x.sendResult(out, pgwire.StatusIdle, types.LogPoint{})
		return
	}
	x.startedAt = time.Now()
	defer x.releaseConnection()
	out = x.prepareRequest(ctx)
	if out.Kind != types.OutcomeDone {
		x.sendResult(out, pgwire.StatusIdle, types.LogPoint{})
		return
	}
	batch := x.request.GetBatch()
	for batch != nil {
		batch = x.serveBatch(ctx, batch)
	}
}

// serveBatch runs a batch, sends its result and waits for the next batch of the same
// transaction. It returns nil if the transaction has ended.
func (x *txn) serveBatch(ctx context.Context, b *meshpb.Batch) *meshpb.Batch {
	out, status, committed := x.runBatch(ctx, b)
	x.sendResult(out, status, committed)
	if out.Kind != types.OutcomeDone || status == pgwire.StatusIdle {
		return nil
	}
	x.inTx = true
	timer := time.NewTimer(idleInTransactionTimeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			x.connBroken = true
			return nil
		case f, ok := <-x.stream.Frames():
			if !ok {
				x.connBroken = true
				return nil
			}
			if next := f.GetBatch(); next != nil {
				return next
			}
		case <-ctx.Done():
			x.connBroken = true
			return nil
		}
	}
}

// acquireConnection waits for a connection to the endpoint.
func (x *txn) acquireConnection(ctx context.Context) types.Outcome {
	x.write = x.request.GetWrite()
	reply := make(chan connectionReply, 1)
	deadline := clock.Now().Add(time.Duration(x.request.GetDeadlineUs()) * time.Microsecond)
	sent := x.task.post(requestConnection{
		id: x.requestID, rank: types.Rank(x.request.GetRank()), feature: types.Feature(x.request.GetFeature()),
		job: types.Job(x.request.GetJob()), deadline: deadline, write: x.write, replyTo: reply,
	})
	if !sent {
		return types.NotRunOutcome(types.ReasonNotOwner, x.request.GetEndpoint())
	}
	frames := x.stream.Frames()
	for {
		select {
		case x.connReply = <-reply:
			x.conn = x.connReply.conn
			return x.connReply.outcome
		case <-ctx.Done():
			ctx = context.Background()
			x.task.post(cancelRequest{id: x.requestID})
		case _, ok := <-frames:
			if !ok {
				frames = nil
			}
			x.task.post(cancelRequest{id: x.requestID})
		case <-x.task.stopped:
			return types.NotRunOutcome(types.ReasonNotOwner, x.request.GetEndpoint())
		}
	}
}

// releaseConnection returns the connection to the endpoint task. A connection with an open
// transaction counts as broken, so that it is closed and never reused.
func (x *txn) releaseConnection() {
	inTransaction := x.connStatus != 0 && x.connStatus != pgwire.StatusIdle
	ok := x.task.post(returnConnection{id: x.requestID, conn: x.conn, broken: x.connBroken || inTransaction, succeeded: x.lastBatchDone, serviceTime: time.Since(x.startedAt)})
	if !ok {
		x.conn.Close()
	}
}

// prepareRequest checks that the endpoint may serve the request. It sets the term in
// which the endpoint must execute the request.
func (x *txn) prepareRequest(ctx context.Context) types.Outcome {
	view := x.database.watch.View(ctx)
	self, ok := findEndpointView(view, types.Endpoint(x.request.GetEndpoint()))
	if !ok {
		return types.NotRunOutcome(types.ReasonNotOwner, x.request.GetEndpoint())
	}
	x.view = view
	primary := view.Primary == self.ID
	if x.write && !primary {
		return types.NotRunOutcome(types.ReasonNotPrimary, x.request.GetEndpoint())
	}
	x.term = self.Term
	if primary {
		x.term = view.Term
	}
	if out := x.checkRole(ctx, primary, self); out.Kind != types.OutcomeDone {
		return out
	}
	if err := x.prepareConnection(); err != nil {
		x.connBroken = true
		return types.NotRunOutcome(types.ReasonUnreachable, err.Error())
	}
	if x.hasAuthority {
		return types.Outcome{}
	}
	return x.checkPosition(self)
}

// prepareConnection checks a connection that was idle for long, and sets the term and the
// access mode of its next transaction.
func (x *txn) prepareConnection() error {
	if x.connReply.checkBeforeUse {
		if _, err := x.conn.Status(); err != nil {
			return err
		}
	}
	return x.conn.PrepareTransaction(x.term, !x.write)
}

// checkRole checks that the endpoint is a primary with authority, or for a read that its
// staleness is within the request's limit.
func (x *txn) checkRole(ctx context.Context, primary bool, self failover.EndpointView) types.Outcome {
	if primary && x.database.watch.MaySendWrite(ctx, x.term) {
		x.hasAuthority = true
		return types.Outcome{}
	}
	if x.write {
		return types.NotRunOutcome(types.ReasonNoAuthority, x.request.GetEndpoint())
	}
	staleness, known := self.Staleness(clock.Now())
	maxStaleness := time.Duration(x.request.GetMaxAgeUs()) * time.Microsecond
	if !known || staleness > maxStaleness {
		if primary {
			return types.NotRunOutcome(types.ReasonNoAuthority, x.request.GetEndpoint())
		}
		return types.NotRunOutcome(types.ReasonStale, x.request.GetEndpoint())
	}
	return types.Outcome{}
}

// checkPosition checks that the endpoint's log contains the session's writes. It waits up
// to catchUpTimeout for an endpoint that lags behind.
func (x *txn) checkPosition(self failover.EndpointView) types.Outcome {
	after := x.request.GetAfter()
	if after == nil {
		return types.Outcome{}
	}
	sessionPoint := types.LogPoint{Term: types.Term(after.GetTerm()), Position: types.Position(after.GetPosition())}
	coverage := session.CheckCoverage(sessionPoint, self.LastLogPoint, self.TermStarts)
	for i := 0; coverage == session.Behind && i < catchUpChecks; i++ {
		if i > 0 {
			time.Sleep(catchUpTimeout / catchUpChecks)
		}
		s, err := x.conn.Status()
		if err != nil {
			x.connBroken = true
			return types.NotRunOutcome(types.ReasonUnreachable, err.Error())
		}
		coverage = session.CheckCoverage(sessionPoint, s.LastLogPoint, s.TermStarts)
	}
	switch coverage {
	case session.Behind:
		return types.NotRunOutcome(types.ReasonBehind, x.request.GetEndpoint())
	case session.Lost:
		return types.NotRunOutcome(types.ReasonLostWrite, fmt.Sprintf("write at %s", sessionPoint))
	}
	return types.Outcome{}
}

// findEndpointView returns the view of one endpoint.
func findEndpointView(v failover.View, id types.Endpoint) (failover.EndpointView, bool) {
	for _, e := range v.Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return failover.EndpointView{}, false
}

// sendResult sends the outcome of a batch to the frontend. A failed send is ignored,
// because a disconnected frontend needs no result.
func (x *txn) sendResult(out types.Outcome, status byte, committed types.LogPoint) {
	switch out.Kind {
	case types.OutcomeDone:
		outcomesDone.Inc()
	case types.OutcomeNotRun:
		outcomesNotRun.Inc()
	default:
		outcomesUnknown.Inc()
	}
	x.lastBatchDone = out.Kind == types.OutcomeDone
	r := &meshpb.Result{
		RequestId:   x.request.GetRequestId(),
		Kind:        uint32(out.Kind),
		Reason:      uint32(out.Reason),
		Detail:      out.Detail,
		Transaction: uint32(status),
		State:       x.admissionState(),
		Messages:    x.answerTail,
	}
	x.answerTail = nil
	if x.database.watch != nil {
		r.View = x.resultView(out)
	}
	if committed != (types.LogPoint{}) {
		r.Committed = &meshpb.LogPoint{Term: uint64(committed.Term), Position: uint64(committed.Position)}
	}
	err := x.stream.Send(&meshpb.Frame{Body: &meshpb.Frame_Result{Result: r}})
	x.endSent = err == nil && status == pgwire.StatusIdle
}

// resultView returns the database's view for a result. If the request failed, the view
// is read again.
func (x *txn) resultView(out types.Outcome) *meshpb.DatabaseView {
	if out.Kind != types.OutcomeDone || x.view.Primary == "" {
		x.view = x.database.watch.View(context.Background())
	}
	return encodeView(types.Database(x.request.GetDatabase()), x.view)
}

// admissionState returns the endpoint's admission levels for the frontend.
func (x *txn) admissionState() *meshpb.EndpointState {
	if x.task == nil {
		return nil
	}
	s := &meshpb.EndpointState{Endpoint: x.request.GetEndpoint(), Reachable: true}
	for _, l := range x.connReply.levels {
		s.Levels = append(s.Levels, &meshpb.RankLevel{
			Rank: string(l.Rank), Feature: string(l.Feature), Job: string(l.Job), Admit: uint32(l.Level),
		})
	}
	return s
}

// sendAnswer sends a part of an answer in frames of at most maxAnswerFrameBytes.
func (x *txn) sendAnswer(answer []byte) error {
	for len(answer) > 0 {
		n := min(len(answer), maxAnswerFrameBytes)
		f := &meshpb.Frame{Body: &meshpb.Frame_Answer{Answer: &meshpb.Answer{Messages: answer[:n]}}}
		if err := x.stream.Send(f); err != nil {
			return err
		}
		answer = answer[n:]
	}
	return nil
}
