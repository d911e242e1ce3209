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
	// behindWait is how long a read waits for a replica that is a little behind.
	behindWait = 60 * time.Millisecond
	// behindChecks is the number of checks within behindWait.
	behindChecks = 4
	// replicationWait bounds the wait for a majority to hold a commit.
	replicationWait = 10 * time.Second
	// idleInTransaction is how long a transaction may wait for its next batch
	// before it is rolled back, since it holds a slot.
	idleInTransaction = 60 * time.Second
	// answerPart is the largest part of an answer in one frame, in bytes.
	answerPart = 512 << 10
	// uniqueViolation is the SQLSTATE of a request key that is stored already.
	uniqueViolation = "23505"
)

var (
	outcomesDone    = metrics.NewCounter(`baobab_owner_outcomes_total{kind="done"}`)
	outcomesNotRun  = metrics.NewCounter(`baobab_owner_outcomes_total{kind="not_run"}`)
	outcomesUnknown = metrics.NewCounter(`baobab_owner_outcomes_total{kind="unknown"}`)
)

// txn carries out one statement or transaction for an entry host. It owns the
// stream, and the connection from its grant to its finish message.
type txn struct {
	stream  *mesh.Stream
	open    *meshpb.Open
	ep      *endpointTask
	tasks   databaseTasks
	promise types.Promise
	id      types.RequestID

	conn  *endpoint.Conn
	term  types.Term
	write bool
	fresh bool
	began time.Time
	// broken is set where the connection must not be used again.
	broken bool
	// connStatus is the transaction status of the connection after its last
	// batch; 0 before the first one.
	connStatus byte
	allDone    bool
	grant      grant
	inTx       bool
	keyGiven   bool
	// tail is the end of the answer that goes with the result.
	tail []byte
	// ended is set once the entry host has been told that the transaction is over.
	ended bool
	view  failover.View
}

// run serves the stream until its transaction ends.
func (x *txn) run(ctx context.Context) {
	out := x.acquire(ctx)
	if out.Kind != types.Done {
		x.sendResult(out, pgwire.StatusIdle, types.LogPoint{})
		return
	}
	x.began = time.Now()
	defer x.release()
	out = x.prepare(ctx)
	if out.Kind != types.Done {
		x.sendResult(out, pgwire.StatusIdle, types.LogPoint{})
		return
	}
	batch := x.open.GetBatch()
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
	timer := time.NewTimer(idleInTransaction)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			x.broken = true
			return nil
		case f, ok := <-x.stream.Frames():
			if !ok {
				x.broken = true
				return nil
			}
			if next := f.GetBatch(); next != nil {
				return next
			}
		case <-ctx.Done():
			x.broken = true
			return nil
		}
	}
}

// acquire waits for a connection to the endpoint.
func (x *txn) acquire(ctx context.Context) types.Outcome {
	x.write = x.open.GetWrite()
	reply := make(chan grant, 1)
	deadline := clock.Now().Add(time.Duration(x.open.GetDeadlineUs()) * time.Microsecond)
	sent := x.ep.post(submit{
		id: x.id, rank: types.Rank(x.open.GetRank()), feature: types.Feature(x.open.GetFeature()),
		job: types.Job(x.open.GetJob()), deadline: deadline, write: x.write, reply: reply,
	})
	if !sent {
		return types.Refused(types.ReasonNotOwner, x.open.GetEndpoint())
	}
	frames := x.stream.Frames()
	for {
		select {
		case x.grant = <-reply:
			x.conn = x.grant.conn
			return x.grant.outcome
		case <-ctx.Done():
			ctx = context.Background()
			x.ep.post(cancelRequest{id: x.id})
		case _, ok := <-frames:
			if !ok {
				frames = nil
			}
			x.ep.post(cancelRequest{id: x.id})
		case <-x.ep.stopped:
			return types.Refused(types.ReasonNotOwner, x.open.GetEndpoint())
		}
	}
}

// release gives the connection back. One with an open transaction, whatever
// ended the stream, must not serve another request: it is closed.
func (x *txn) release() {
	open := x.connStatus != 0 && x.connStatus != pgwire.StatusIdle
	ok := x.ep.post(finish{id: x.id, conn: x.conn, broken: x.broken || open, ok: x.allDone, service: time.Since(x.began)})
	if !ok {
		x.conn.Close()
	}
}

// prepare checks that the endpoint may serve the request, and sets the term
// that it must be in.
func (x *txn) prepare(ctx context.Context) types.Outcome {
	view := x.tasks.watch.View(ctx)
	self, ok := endpointView(view, types.Endpoint(x.open.GetEndpoint()))
	if !ok {
		return types.Refused(types.ReasonNotOwner, x.open.GetEndpoint())
	}
	x.view = view
	primary := view.Primary == self.ID
	if x.write && !primary {
		return types.Refused(types.ReasonNotPrimary, x.open.GetEndpoint())
	}
	x.term = self.Term
	if primary {
		x.term = view.Term
	}
	if out := x.admitRole(ctx, primary, self); out.Kind != types.Done {
		return out
	}
	if err := x.setTerm(); err != nil {
		x.broken = true
		return types.Refused(types.ReasonUnreachable, err.Error())
	}
	if x.fresh {
		return types.Outcome{}
	}
	return x.checkPosition(self)
}

// setTerm sets the connection's term; a connection that has been idle is
// checked by it.
func (x *txn) setTerm() error {
	if x.grant.check {
		if _, err := x.conn.Status(); err != nil {
			return err
		}
	}
	return x.conn.Prepare(x.term, !x.write)
}

// admitRole checks authority at the primary, or the age of a replica's data.
func (x *txn) admitRole(ctx context.Context, primary bool, self failover.EndpointView) types.Outcome {
	if primary && x.tasks.watch.MaySendWrite(ctx, x.term) {
		x.fresh = true
		return types.Outcome{}
	}
	if x.write {
		return types.Refused(types.ReasonNoAuthority, x.open.GetEndpoint())
	}
	age, known := self.Staleness(clock.Now())
	limit := time.Duration(x.open.GetMaxAgeUs()) * time.Microsecond
	if !known || age > limit {
		if primary {
			return types.Refused(types.ReasonNoAuthority, x.open.GetEndpoint())
		}
		return types.Refused(types.ReasonStale, x.open.GetEndpoint())
	}
	return types.Outcome{}
}

// checkPosition checks that the endpoint's log contains the session's writes;
// it waits a little for an endpoint that is about to.
func (x *txn) checkPosition(self failover.EndpointView) types.Outcome {
	after := x.open.GetAfter()
	if after == nil {
		return types.Outcome{}
	}
	token := types.LogPoint{Term: types.Term(after.GetTerm()), Position: types.Position(after.GetPosition())}
	verdict := session.CheckCoverage(token, self.LastLogPoint, self.TermStarts)
	for i := 0; verdict == session.Behind && i < behindChecks; i++ {
		if i > 0 {
			time.Sleep(behindWait / behindChecks)
		}
		s, err := x.conn.Status()
		if err != nil {
			x.broken = true
			return types.Refused(types.ReasonUnreachable, err.Error())
		}
		verdict = session.CheckCoverage(token, s.Last, s.TermStarts)
	}
	switch verdict {
	case session.Behind:
		return types.Refused(types.ReasonBehind, x.open.GetEndpoint())
	case session.Lost:
		return types.Refused(types.ReasonLostWrite, fmt.Sprintf("write at %s", token))
	}
	return types.Outcome{}
}

// endpointView returns an endpoint's entry in a view.
func endpointView(v failover.View, id types.Endpoint) (failover.EndpointView, bool) {
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
	x.allDone = out.Kind == types.Done
	r := &meshpb.Result{
		RequestId:   x.open.GetRequestId(),
		Kind:        uint32(out.Kind),
		Reason:      uint32(out.Reason),
		Detail:      out.Detail,
		Transaction: uint32(status),
		State:       x.state(),
		Messages:    x.tail,
	}
	x.tail = nil
	if x.tasks.watch != nil {
		r.View = x.dbView(out)
	}
	if committed != (types.LogPoint{}) {
		r.Committed = &meshpb.LogPoint{Term: uint64(committed.Term), Position: uint64(committed.Position)}
	}
	err := x.stream.Send(&meshpb.Frame{Body: &meshpb.Frame_Result{Result: r}})
	x.ended = err == nil && status == pgwire.StatusIdle
}

// dbView returns the database's view, a current one where the request failed.
func (x *txn) dbView(out types.Outcome) *meshpb.DatabaseView {
	if out.Kind != types.Done || x.view.Primary == "" {
		x.view = x.tasks.watch.View(context.Background())
	}
	return encodeView(types.Database(x.open.GetDatabase()), x.view)
}

// state returns the admission levels of the endpoint for the entry host.
func (x *txn) state() *meshpb.EndpointState {
	if x.ep == nil {
		return nil
	}
	s := &meshpb.EndpointState{Endpoint: x.open.GetEndpoint(), Reachable: true}
	for _, l := range x.grant.levels {
		s.Levels = append(s.Levels, &meshpb.RankLevel{
			Rank: string(l.Rank), Feature: string(l.Feature), Job: string(l.Job), Admit: uint32(l.Level),
		})
	}
	return s
}

// sendAnswer sends a part of an answer.
func (x *txn) sendAnswer(chunk []byte) error {
	for len(chunk) > 0 {
		n := min(len(chunk), answerPart)
		f := &meshpb.Frame{Body: &meshpb.Frame_Answer{Answer: &meshpb.Answer{Messages: chunk[:n]}}}
		if err := x.stream.Send(f); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}
