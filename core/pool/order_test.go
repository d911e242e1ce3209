package pool_test

import (
	"testing"
	"time"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// Guards against retries that take the slots of first attempts.
func TestRetriesStartAfterFirstAttempts(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.submit(pool.Request{ID: 1, Query: read("running")})
	h.submit(pool.Request{ID: 2, Query: read("retry"), Retry: true})
	h.submit(pool.Request{ID: 3, Query: read("first attempt")})
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "first attempt")
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "retry")
}

// Guards against a retry that waits until its deadline because first attempts never run out.
func TestRetryIsServedBesideFirstAttempts(t *testing.T) {
	h := newHarness(t, 1, 2)
	far := h.now.Add(time.Hour)
	h.submit(pool.Request{ID: 1, Query: read("first attempt"), Due: far, Deadline: far})
	h.submit(pool.Request{ID: 2, Query: read("retry"), Due: far, Deadline: far, Retry: true})
	for i := range 6 {
		h.submit(pool.Request{ID: pool.RequestID(3 + i), Query: read("first attempt"), Due: far, Deadline: far})
		if h.replyToOldest(statement.Reply{}).ID == "retry" {
			return
		}
	}
	t.Error("the retry has not run after six first attempts")
}

// Guards against work for a caller that has stopped waiting: a slot becomes free between the
// deadline and the next tick.
func TestExpiredRequestDoesNotStart(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.submit(pool.Request{ID: 1, Query: read("running")})
	h.submit(pool.Request{ID: 2, Query: read("expired"), Deadline: h.now.Add(100 * time.Millisecond)})
	h.now = h.now.Add(100 * time.Millisecond)
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.results[2].Reason, types.ReasonLate)
	h.is.Equal(len(h.sendOrder), 0)
}

// Guards against a statement of an open transaction that waits behind others of its rank although
// it is past its objective.
func TestOpenTransactionPrecedesOthersOfItsRank(t *testing.T) {
	h := newHarness(t, 1, 3)
	begin := pool.Query{ID: "begin", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	h.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("in transaction")})
	inTx := statement.Reply{State: statement.StateInTransaction}
	h.replyToOldest(inTx)
	h.replyToOldest(inTx)
	h.submit(pool.Request{ID: 2, Query: read("running")})
	h.submit(pool.Request{ID: 3, Query: read("queued")})
	h.submit(pool.Request{ID: 4, Tx: 7, Query: write("continues"), Due: h.now.Add(time.Nanosecond)})
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.replyToOldest(inTx).ID, "continues")
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "queued")
}

// Guards against requests that start just before their objective has passed and miss it on the
// way to the caller, which takes long while hosts are busy.
func TestTimeOfTheWayIsReserved(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.submit(pool.Request{ID: 1, Query: read("measured")})
	h.now = h.now.Add(5 * time.Millisecond)
	h.replyToOldest(statement.Reply{})
	h.submit(pool.Request{ID: 2, Query: read("running")})
	h.submit(pool.Request{ID: 3, Query: read("far caller"), WayTime: 60 * time.Millisecond})
	h.submit(pool.Request{ID: 4, Query: read("near caller")})
	h.now = h.now.Add(130 * time.Millisecond)
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.sentCommands[h.sendOrder[0]].ID, "near caller")
}

// Guards against a rank that is never served because a guess of its service time is above its
// objective: while requests of other ranks go first, the guess is not replaced.
func TestUnmeasuredRankIsNotLate(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.submit(pool.Request{ID: 1, Query: read("running"), Rank: 1})
	h.submit(pool.Request{ID: 2, Query: read("less urgent"), Rank: 1})
	h.submit(pool.Request{ID: 3, Query: read("urgent"), Due: h.now.Add(5 * time.Millisecond)})
	h.now = h.now.Add(time.Millisecond)
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.sentCommands[h.sendOrder[0]].ID, "urgent")
}
