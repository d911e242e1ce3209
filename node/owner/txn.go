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
	// catchUpTimeout is how long a read waits for a replica that is a little behind.
	catchUpTimeout = 60 * time.Millisecond
	// catchUpChecks is the number of checks within behindWait.
	catchUpChecks = 4
	// replicationTimeout bounds the wait for a majority to hold a commit.
	replicationTimeout = 10 * time.Second
	// idleInTransactionTimeout is how long a transaction may wait for its next batch
	// before it is rolled back, since it holds a slot.
	idleInTransactionTimeout = 60 * time.Second
	// maxAnswerFrameBytes is the largest part of an answer in one frame, in bytes.
	maxAnswerFrameBytes = 512 << 10
	// sqlStateUniqueViolation is the SQLSTATE of a request key that is stored already.
	sqlStateUniqueViolation = "23505"
)

var (
	outcomesDone    = metrics.NewCounter(`baobab_owner_outcomes_total{kind="done"}`)
	outcomesNotRun  = metrics.NewCounter(`baobab_owner_outcomes_total{kind="not_run"}`)
	outcomesUnknown = metrics.NewCounter(`baobab_owner_outcomes_total{kind="unknown"}`)
)

// txn carries out one statement or transaction for an entry host. It owns the
// stream, and the connection from its grant to its finish message.
type txn struct {
	stream     *mesh.Stream
	request    *meshpb.Open
	task       *endpointTask
	database   databaseTasks
	durability types.Promise
	requestID  types.RequestID

	conn         *endpoint.Conn
	term         types.Term
	write        bool
	hasAuthority bool
	startedAt    time.Time
	// connBroken is set where the connection must not be used again.
	connBroken bool
	// connStatus is the transaction status of the connection after its last
	// batch; 0 before the first one.
	connStatus     byte
	lastBatchDone  bool
	granted        connectionReply
	inTx           bool
	requestKeyUsed bool
	// answerTail is the end of the answer that goes with the result.
	answerTail []byte
	// endSent is set once the entry host has been told that the transaction is over.
	endSent bool
	view    failover.View
}

// run serves the stream until its transaction ends.
func (x *txn) run(ctx context.Context) {
	out := x.acquireConnection(ctx)
	if out.Kind != types.Done {
		x.sendResult(out, pgwire.StatusIdle, types.LogPoint{})
		return
	}
	x.startedAt = time.Now()
	defer x.releaseConnection()
	out = x.prepareRequest(ctx)
	if out.Kind != types.Done {
		x.sendResult(out, pgwire.StatusIdle, types.LogPoint{})
		return
	}
	batch := x.request.GetBatch()
	for batch != nil {
		batch = x.serveBatch(ctx, batch)
	}
}

// serveBatch runs a batch, sends its result, and waits for the next batch of
// the same transaction; nil ends the transaction.
func (x *txn) serveBatch(ctx context.Context, b *meshpb.Batch) *meshpb.Batch {
	out, status, committed := x.runBatch(ctx, b)
	x.sendResult(out, status, committed)
	if out.Kind != types.Done || status == pgwire.StatusIdle {
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
		return types.Refused(types.ReasonNotOwner, x.request.GetEndpoint())
	}
	frames := x.stream.Frames()
	for {
		select {
		case x.granted = <-reply:
			x.conn = x.granted.conn
			return x.granted.outcome
		case <-ctx.Done():
			ctx = context.Background()
			x.task.post(cancelRequest{id: x.requestID})
		case _, ok := <-frames:
			if !ok {
				frames = nil
			}
			x.task.post(cancelRequest{id: x.requestID})
		case <-x.task.stopped:
			return types.Refused(types.ReasonNotOwner, x.request.GetEndpoint())
		}
	}
}

// releaseConnection gives the connection back. One with an open transaction, whatever
// ended the stream, must not serve another request: it is closed.
func (x *txn) releaseConnection() {
	inTransaction := x.connStatus != 0 && x.connStatus != pgwire.StatusIdle
	ok := x.task.post(returnConnection{id: x.requestID, conn: x.conn, broken: x.connBroken || inTransaction, succeeded: x.lastBatchDone, serviceTime: time.Since(x.startedAt)})
	if !ok {
		x.conn.Close()
	}
}

// prepareRequest checks that the endpoint may serve the request, and sets the term
// that it must be in.
func (x *txn) prepareRequest(ctx context.Context) types.Outcome {
	view := x.database.watch.View(ctx)
	self, ok := findEndpointView(view, types.Endpoint(x.request.GetEndpoint()))
	if !ok {
		return types.Refused(types.ReasonNotOwner, x.request.GetEndpoint())
	}
	x.view = view
	primary := view.Primary == self.ID
	if x.write && !primary {
		return types.Refused(types.ReasonNotPrimary, x.request.GetEndpoint())
	}
	x.term = self.Term
	if primary {
		x.term = view.Term
	}
	if out := x.checkRole(ctx, primary, self); out.Kind != types.Done {
		return out
	}
	if err := x.prepareConnection(); err != nil {
		x.connBroken = true
		return types.Refused(types.ReasonUnreachable, err.Error())
	}
	if x.hasAuthority {
		return types.Outcome{}
	}
	return x.checkPosition(self)
}

// prepareConnection sets the connection's term; a connection that has been idle is
// checked by it.
func (x *txn) prepareConnection() error {
	if x.granted.checkBeforeUse {
		if _, err := x.conn.Status(); err != nil {
			return err
		}
	}
	return x.conn.PrepareTransaction(x.term, !x.write)
}

// checkRole checks authority at the primary, or the age of a replica's data.
func (x *txn) checkRole(ctx context.Context, primary bool, self failover.EndpointView) types.Outcome {
	if primary && x.database.watch.MaySend(ctx, x.term) {
		x.hasAuthority = true
		return types.Outcome{}
	}
	if x.write {
		return types.Refused(types.ReasonNoAuthority, x.request.GetEndpoint())
	}
	staleness, known := self.Staleness(clock.Now())
	maxStaleness := time.Duration(x.request.GetMaxAgeUs()) * time.Microsecond
	if !known || staleness > maxStaleness {
		if primary {
			return types.Refused(types.ReasonNoAuthority, x.request.GetEndpoint())
		}
		return types.Refused(types.ReasonStale, x.request.GetEndpoint())
	}
	return types.Outcome{}
}

// checkPosition checks that the endpoint's log contains the session's writes;
// it waits a little for an endpoint that is about to.
func (x *txn) checkPosition(self failover.EndpointView) types.Outcome {
	after := x.request.GetAfter()
	if after == nil {
		return types.Outcome{}
	}
	sessionPoint := types.LogPoint{Term: types.Term(after.GetTerm()), Position: types.Position(after.GetPosition())}
	verdict := session.CheckCoverage(sessionPoint, self.LastLogPoint, self.TermStarts)
	for i := 0; verdict == session.Behind && i < catchUpChecks; i++ {
		if i > 0 {
			time.Sleep(catchUpTimeout / catchUpChecks)
		}
		s, err := x.conn.Status()
		if err != nil {
			x.connBroken = true
			return types.Refused(types.ReasonUnreachable, err.Error())
		}
		verdict = session.CheckCoverage(sessionPoint, s.LastLogPoint, s.TermStarts)
	}
	switch verdict {
	case session.Behind:
		return types.Refused(types.ReasonBehind, x.request.GetEndpoint())
	case session.Lost:
		return types.Refused(types.ReasonLostWrite, fmt.Sprintf("write at %s", sessionPoint))
	}
	return types.Outcome{}
}

// findEndpointView returns an endpoint's entry in a view.
func findEndpointView(v failover.View, id types.Endpoint) (failover.EndpointView, bool) {
	for _, e := range v.Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return failover.EndpointView{}, false
}

// sendResult tells the entry host the outcome of a batch. An entry host that
// is gone needs no result.
func (x *txn) sendResult(out types.Outcome, status byte, committed types.LogPoint) {
	switch out.Kind {
	case types.Done:
		outcomesDone.Inc()
	case types.NotRun:
		outcomesNotRun.Inc()
	default:
		outcomesUnknown.Inc()
	}
	x.lastBatchDone = out.Kind == types.Done
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

// resultView returns the database's view, a current one where the request failed.
func (x *txn) resultView(out types.Outcome) *meshpb.DatabaseView {
	if out.Kind != types.Done || x.view.Primary == "" {
		x.view = x.database.watch.View(context.Background())
	}
	return encodeView(types.Database(x.request.GetDatabase()), x.view)
}

// admissionState returns the admission levels of the endpoint for the entry host.
func (x *txn) admissionState() *meshpb.EndpointState {
	if x.task == nil {
		return nil
	}
	s := &meshpb.EndpointState{Endpoint: x.request.GetEndpoint(), Reachable: true}
	for _, l := range x.granted.levels {
		s.Levels = append(s.Levels, &meshpb.RankLevel{
			Rank: string(l.Rank), Feature: string(l.Feature), Job: string(l.Job), Admit: uint32(l.Level),
		})
	}
	return s
}

// sendAnswer sends a part of an answer.
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
