package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/pgwire"
)

// batchEnd is what a batch's run on the connection gave.
type batchEnd struct {
	done endpoint.Done
	sent bool
	err  error
}

// runBatch runs one batch and decides its outcome. The end of the answer goes
// to the entry host only after the acknowledgement's conditions hold.
func (x *txn) runBatch(ctx context.Context, b *meshpb.Batch) (types.Outcome, byte, types.LogPoint) {
	commits := x.write && (!x.inTx || b.GetCanCommit())
	if commits && !x.tasks.watch.MaySendWrite(ctx, x.term) {
		return x.abandon(types.Refused(types.ReasonNoAuthority, x.open.GetEndpoint()))
	}
	end := x.execute(ctx, b)
	if end.err != nil {
		return x.failed(end, b)
	}
	x.connStatus = end.done.Status
	if out, refused := x.refusal(end.done); refused {
		return out, pgwire.StatusIdle, types.LogPoint{}
	}
	if x.inTx && end.done.FirstError == pgwire.StateTermMismatch {
		return x.abandon(types.Refused(types.ReasonFenced, "transaction rolled back: primary replaced"))
	}
	if out := x.acknowledge(ctx, end.done, commits); out.Kind != types.Done {
		return out, end.done.Status, types.LogPoint{}
	}
	if len(end.done.Tail) <= answerPart {
		x.tail = end.done.Tail
	} else if err := x.sendAnswer(end.done.Tail); err != nil {
		x.broken = end.done.Status != pgwire.StatusIdle
		return types.InDoubt(types.ReasonBroken, "entry host is gone"), pgwire.StatusIdle, types.LogPoint{}
	}
	return types.Outcome{}, end.done.Status, end.done.Committed
}

// abandon ends a transaction that may not commit; closing the connection rolls
// it back.
func (x *txn) abandon(out types.Outcome) (types.Outcome, byte, types.LogPoint) {
	if x.inTx {
		x.broken = true
	}
	return out, pgwire.StatusIdle, types.LogPoint{}
}

// failed decides the outcome where the connection broke. A transaction whose
// end has not been asked for is rolled back.
func (x *txn) failed(end batchEnd, b *meshpb.Batch) (types.Outcome, byte, types.LogPoint) {
	x.broken = true
	out := types.InDoubt(types.ReasonBroken, end.err.Error())
	switch {
	case !end.sent:
		out = types.Refused(types.ReasonBroken, end.err.Error())
	case x.inTx && !b.GetCanCommit():
		out = types.Refused(types.ReasonBroken, "transaction rolled back: "+end.err.Error())
	}
	return out, pgwire.StatusIdle, types.LogPoint{}
}

// refusal recognises an endpoint's refusal of the whole batch, which did not run.
func (x *txn) refusal(d endpoint.Done) (types.Outcome, bool) {
	if x.inTx || d.Emitted || !d.ErrorFirst || d.Status != pgwire.StatusIdle {
		return types.Outcome{}, false
	}
	switch d.FirstError {
	case pgwire.StateTermMismatch:
		return types.Refused(types.ReasonNotPrimary, x.open.GetEndpoint()), true
	case pgwire.StateReadOnly:
		return types.Refused(types.ReasonReadOnly, x.open.GetEndpoint()), true
	}
	return types.Outcome{}, false
}

// acknowledge checks what an acknowledgement promises: that the term is
// current, and for a replicated service that a majority holds the commit.
func (x *txn) acknowledge(ctx context.Context, d endpoint.Done, commits bool) types.Outcome {
	committed := d.Committed != (types.LogPoint{})
	if committed && x.promise == types.PromiseReplicated {
		if !x.tasks.acks.wait(ctx, d.Committed) {
			return types.InDoubt(types.ReasonNoMajority, "commit "+d.Committed.String())
		}
	}
	if !x.fresh && !committed {
		return types.Outcome{}
	}
	if x.tasks.watch.MayAcknowledgeWrite(ctx, x.term) {
		return types.Outcome{}
	}
	if x.inTx && !committed && !commits {
		return types.Refused(types.ReasonFenced, "transaction rolled back: primary replaced")
	}
	return types.InDoubt(types.ReasonFenced, x.open.GetEndpoint())
}

// execute runs a batch while it watches for cancellation and for the entry
// host's end. The runner owns the connection meanwhile.
func (x *txn) execute(ctx context.Context, b *meshpb.Batch) batchEnd {
	ended := make(chan batchEnd, 1)
	go func() { ended <- x.runOn(b) }()
	frames, replaced := x.stream.Frames(), x.grant.replaced
	for {
		select {
		case end := <-ended:
			return end
		case <-ctx.Done():
			x.conn.Interrupt()
			ctx = context.WithoutCancel(ctx)
		case <-replaced:
			replaced = nil
			x.conn.Interrupt()
		case f, ok := <-frames:
			if !ok {
				frames = nil
				x.conn.Interrupt()
				continue
			}
			if f.GetCancel() != nil {
				x.cancelStatement(ctx)
			}
		}
	}
}

// cancelStatement asks the endpoint to cancel what runs.
func (x *txn) cancelStatement(ctx context.Context) {
	const cancelTimeout = 2 * time.Second
	conn := x.conn
	go func() {
		ctx, stop := context.WithTimeout(ctx, cancelTimeout)
		defer stop()
		_ = conn.Cancel(ctx)
	}()
}

// runOn runs a batch on the connection, with the request key where one is given.
func (x *txn) runOn(b *meshpb.Batch) batchEnd {
	key := x.open.GetRequestKey()
	if key == "" || x.keyGiven || !x.write {
		return x.plain(b)
	}
	x.keyGiven = true
	if x.startsTransaction(b) {
		return x.keyedTransaction(b, key)
	}
	return x.keyedStatement(b, key)
}

// plain runs a batch as it is.
func (x *txn) plain(b *meshpb.Batch) batchEnd {
	done, sent, err := x.conn.Run(b.GetMessages(), x.sendAnswer)
	return batchEnd{done: done, sent: sent, err: err}
}

// startsTransaction reports whether the batch consists of BEGIN.
func (x *txn) startsTransaction(b *meshpb.Batch) bool { return b.GetBegins() }

// keyedTransaction opens the caller's transaction and stores the key in it.
func (x *txn) keyedTransaction(b *meshpb.Batch, key string) batchEnd {
	end := x.plain(b)
	if end.err != nil || end.done.Status != pgwire.StatusInTx {
		return end
	}
	return x.storeKey(end, key)
}

// keyedStatement runs a statement in a transaction of its own, with the key.
func (x *txn) keyedStatement(b *meshpb.Batch, key string) batchEnd {
	if err := x.conn.Begin(); err != nil {
		return batchEnd{err: err}
	}
	if end := x.storeKey(batchEnd{}, key); end.err != nil || end.done.FirstError != "" {
		return end
	}
	end := x.plain(b)
	if end.err != nil {
		return end
	}
	if end.done.Status != pgwire.StatusInTx {
		return x.undo(end)
	}
	commit, err := x.conn.Commit()
	if err != nil {
		return batchEnd{sent: true, err: err}
	}
	if commit.FirstError != "" {
		return batchEnd{done: commit, sent: true}
	}
	end.done.Tail = pgwire.SetStatus(end.done.Tail, pgwire.StatusIdle)
	end.done.Status = pgwire.StatusIdle
	end.done.Committed = commit.Committed
	return end
}

// storeKey inserts the request key. A key that is stored already answers the
// caller with the error, and nothing of the request runs.
func (x *txn) storeKey(end batchEnd, key string) batchEnd {
	err := x.conn.RequestKey(key)
	if err == nil {
		return end
	}
	var refused *endpoint.RefusedError
	if !errors.As(err, &refused) {
		return batchEnd{err: err}
	}
	text := refused.Message
	if refused.State == uniqueViolation {
		text = "request key \"" + key + "\" has been used: the request ran before"
	}
	tail := pgwire.AppendError(nil, "ERROR", refused.State, text)
	return x.undo(batchEnd{done: endpoint.Done{Tail: pgwire.AppendReady(tail, pgwire.StatusFailed), FirstError: refused.State}})
}

// undo rolls back and makes the answer end outside of a transaction.
func (x *txn) undo(end batchEnd) batchEnd {
	if err := x.conn.Rollback(); err != nil {
		return batchEnd{err: err, sent: end.sent}
	}
	end.done.Tail = pgwire.SetStatus(end.done.Tail, pgwire.StatusIdle)
	end.done.Status = pgwire.StatusIdle
	return end
}
