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

// batchResult is the result of running a batch on the connection.
type batchResult struct {
	answer endpoint.AnswerEnd
	// sent is set if a part of the batch may have reached the endpoint.
	sent bool
	err  error
}

// runBatch runs one batch and returns its outcome, the transaction status and the log
// point of a commit. The end of the answer is sent to the frontend only if
// checkAcknowledgement succeeds.
func (x *txn) runBatch(ctx context.Context, b *meshpb.Batch) (types.Outcome, byte, types.LogPoint) {
	commits := x.write && (!x.inTx || b.GetCanCommit())
	if commits && !x.database.watch.MaySendWrite(ctx, x.term) {
		return x.refuseAndRollBack(types.NotRunOutcome(types.ReasonNoAuthority, x.request.GetEndpoint()))
	}
	result := x.executeBatch(ctx, b)
	if result.err != nil {
		return x.connectionFailure(result, b)
	}
	x.connStatus = result.answer.Status
	if out, didNotRun := x.endpointRefusal(result.answer); didNotRun {
		return out, pgwire.StatusIdle, types.LogPoint{}
	}
	if x.inTx && result.answer.FirstError == pgwire.SQLStateTermMismatch {
		return x.refuseAndRollBack(types.NotRunOutcome(types.ReasonFenced, "transaction rolled back: primary replaced"))
	}
	if out := x.checkAcknowledgement(ctx, result.answer, commits); out.Kind != types.OutcomeDone {
		return out, result.answer.Status, types.LogPoint{}
	}
	if len(result.answer.Tail) <= maxAnswerFrameBytes {
		x.answerTail = result.answer.Tail
	} else if err := x.sendAnswer(result.answer.Tail); err != nil {
		x.connBroken = result.answer.Status != pgwire.StatusIdle
		return types.UnknownOutcome(types.ReasonBroken, "entry host is gone"), pgwire.StatusIdle, types.LogPoint{}
	}
	return types.Outcome{}, result.answer.Status, result.answer.Committed
}

// refuseAndRollBack ends a transaction that must not commit. The endpoint rolls it back
// when the connection closes.
func (x *txn) refuseAndRollBack(out types.Outcome) (types.Outcome, byte, types.LogPoint) {
	if x.inTx {
		x.connBroken = true
	}
	return out, pgwire.StatusIdle, types.LogPoint{}
}

// connectionFailure returns the outcome of a batch whose connection broke. The outcome is
// unknown only if the batch may have committed: a batch that was not sent did not run,
// and the endpoint rolls back a transaction without a COMMIT.
func (x *txn) connectionFailure(result batchResult, b *meshpb.Batch) (types.Outcome, byte, types.LogPoint) {
	x.connBroken = true
	out := types.UnknownOutcome(types.ReasonBroken, result.err.Error())
	switch {
	case !result.sent:
		out = types.NotRunOutcome(types.ReasonBroken, result.err.Error())
	case x.inTx && !b.GetCanCommit():
		out = types.NotRunOutcome(types.ReasonBroken, "transaction rolled back: "+result.err.Error())
	}
	return out, pgwire.StatusIdle, types.LogPoint{}
}

// endpointRefusal returns the outcome if the endpoint refused the whole batch because of
// its term or role. No statement of the batch has run then.
func (x *txn) endpointRefusal(answer endpoint.AnswerEnd) (types.Outcome, bool) {
	if x.inTx || answer.ChunkHandled || !answer.ErrorBeforeExecution || answer.Status != pgwire.StatusIdle {
		return types.Outcome{}, false
	}
	switch answer.FirstError {
	case pgwire.SQLStateTermMismatch:
		return types.NotRunOutcome(types.ReasonNotPrimary, x.request.GetEndpoint()), true
	case pgwire.SQLStateReadOnly:
		return types.NotRunOutcome(types.ReasonReadOnly, x.request.GetEndpoint()), true
	}
	return types.Outcome{}, false
}

// checkAcknowledgement checks the conditions for an acknowledgement. The term must be
// current, and for the durability "replicated" a majority must hold the commit.
func (x *txn) checkAcknowledgement(ctx context.Context, answer endpoint.AnswerEnd, commits bool) types.Outcome {
	committed := answer.Committed != (types.LogPoint{})
	if committed && x.durability == types.DurabilityReplicated {
		if !x.database.acks.waitReplicated(ctx, answer.Committed) {
			return types.UnknownOutcome(types.ReasonNoMajority, "commit "+answer.Committed.String())
		}
	}
	if !x.hasAuthority && !committed {
		return types.Outcome{}
	}
	if x.database.watch.MayAcknowledgeWrite(ctx, x.term) {
		return types.Outcome{}
	}
	if x.inTx && !committed && !commits {
		return types.NotRunOutcome(types.ReasonFenced, "transaction rolled back: primary replaced")
	}
	return types.UnknownOutcome(types.ReasonFenced, x.request.GetEndpoint())
}

// executeBatch runs a batch in a goroutine that owns the connection until the batch ends.
// Meanwhile it handles cancellation, a replaced primary and the end of the stream.
func (x *txn) executeBatch(ctx context.Context, b *meshpb.Batch) batchResult {
	results := make(chan batchResult, 1)
	go func() { results <- x.runWithRequestKey(b) }()
	frames, primaryReplaced := x.stream.Frames(), x.connReply.primaryReplaced
	for {
		select {
		case result := <-results:
			return result
		case <-ctx.Done():
			x.conn.Interrupt()
			ctx = context.WithoutCancel(ctx)
		case <-primaryReplaced:
			primaryReplaced = nil
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

// cancelStatement sends a cancel request for the running statement to the endpoint.
func (x *txn) cancelStatement(ctx context.Context) {
	const cancelTimeout = 2 * time.Second
	conn := x.conn
	go func() {
		ctx, stop := context.WithTimeout(ctx, cancelTimeout)
		defer stop()
		_ = conn.Cancel(ctx)
	}()
}

// runWithRequestKey runs a batch on the connection. The first batch of a write with a
// request key stores the key in the same transaction.
func (x *txn) runWithRequestKey(b *meshpb.Batch) batchResult {
	key := x.request.GetRequestKey()
	if key == "" || x.requestKeyUsed || !x.write {
		return x.runPlain(b)
	}
	x.requestKeyUsed = true
	if x.startsTransaction(b) {
		return x.beginKeyedTransaction(b, key)
	}
	return x.runKeyedStatement(b, key)
}

// runPlain runs a batch without a request key.
func (x *txn) runPlain(b *meshpb.Batch) batchResult {
	answer, sent, err := x.conn.RunBatch(b.GetMessages(), x.sendAnswer)
	return batchResult{answer: answer, sent: sent, err: err}
}

// startsTransaction reports whether the batch consists of BEGIN.
func (x *txn) startsTransaction(b *meshpb.Batch) bool { return b.GetBegins() }

// beginKeyedTransaction opens the caller's transaction and stores the request key in it.
func (x *txn) beginKeyedTransaction(b *meshpb.Batch, key string) batchResult {
	result := x.runPlain(b)
	if result.err != nil || result.answer.Status != pgwire.StatusInTx {
		return result
	}
	return x.insertRequestKey(result, key)
}

// runKeyedStatement runs a statement and stores the request key, both in one transaction
// that it opens and commits.
func (x *txn) runKeyedStatement(b *meshpb.Batch, key string) batchResult {
	if err := x.conn.Begin(); err != nil {
		return batchResult{err: err}
	}
	if keyResult := x.insertRequestKey(batchResult{}, key); keyResult.err != nil || keyResult.answer.FirstError != "" {
		return keyResult
	}
	result := x.runPlain(b)
	if result.err != nil {
		return result
	}
	if result.answer.Status != pgwire.StatusInTx {
		return x.rollBack(result)
	}
	commit, err := x.conn.Commit()
	if err != nil {
		return batchResult{sent: true, err: err}
	}
	if commit.FirstError != "" {
		return batchResult{answer: commit, sent: true}
	}
	result.answer.Tail = pgwire.SetReadyStatus(result.answer.Tail, pgwire.StatusIdle)
	result.answer.Status = pgwire.StatusIdle
	result.answer.Committed = commit.Committed
	return result
}

// insertRequestKey stores the request key in the open transaction. If the endpoint refuses
// the key, for instance because it already exists, the transaction is rolled back. The
// caller then gets an error and the request does not run.
func (x *txn) insertRequestKey(result batchResult, key string) batchResult {
	err := x.conn.InsertRequestKey(key)
	if err == nil {
		return result
	}
	var refused *endpoint.RefusedError
	if !errors.As(err, &refused) {
		return batchResult{err: err}
	}
	text := refused.Message
	if refused.SQLState == sqlStateUniqueViolation {
		text = "request key \"" + key + "\" has been used: the request ran before"
	}
	tail := pgwire.AppendError(nil, "ERROR", refused.SQLState, text)
	return x.rollBack(batchResult{answer: endpoint.AnswerEnd{Tail: pgwire.AppendReady(tail, pgwire.StatusFailed), FirstError: refused.SQLState}})
}

// rollBack rolls the transaction back and sets the status at the end of the answer to
// idle.
func (x *txn) rollBack(result batchResult) batchResult {
	if err := x.conn.Rollback(); err != nil {
		return batchResult{err: err, sent: result.sent}
	}
	result.answer.Tail = pgwire.SetReadyStatus(result.answer.Tail, pgwire.StatusIdle)
	result.answer.Status = pgwire.StatusIdle
	return result
}
