package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const start = types.Time(time.Second)

// rig drives a pool by hand.
type rig struct {
	is      *is.I
	p       *pool.Pool
	now     types.Time
	next    pool.ConnID
	sent    map[pool.ConnID]pool.Command
	order   []pool.ConnID
	results map[pool.RequestID]pool.Result
	closed  []pool.ConnID
	dials   []pool.ConnID
}

func newRig(t *testing.T, slots, connections int) *rig {
	r := &rig{is: is.New(t), now: start, sent: map[pool.ConnID]pool.Command{}, results: map[pool.RequestID]pool.Result{}}
	r.p = pool.New(pool.Config{Slots: slots, MaxConnections: connections}, func() pool.ConnID { r.next++; return r.next })
	return r
}

// flush takes the effects; dials succeed at once.
func (r *rig) flush() {
	for effects := r.p.Effects(); len(effects) > 0; effects = r.p.Effects() {
		for _, e := range effects {
			switch e := e.(type) {
			case pool.Dial:
				r.dials = append(r.dials, e.Conn)
				r.p.Connected(r.now, e.Conn)
			case pool.Send:
				r.sent[e.Conn] = e.Command
				r.order = append(r.order, e.Conn)
			case pool.Close:
				r.closed = append(r.closed, e.Conn)
			case pool.Result:
				r.results[e.ID] = e
			}
		}
	}
}

func (r *rig) submit(req pool.Request) {
	if req.Due == 0 {
		req.Due = r.now.Add(200 * time.Millisecond)
	}
	if req.Deadline == 0 {
		req.Deadline = r.now.Add(800 * time.Millisecond)
	}
	r.p.Submit(r.now, req)
	r.flush()
}

// answer answers the oldest command that was sent.
func (r *rig) answer(reply statement.Reply) pool.Command {
	conn := r.order[0]
	r.order = r.order[1:]
	cmd := r.sent[conn]
	r.p.Replied(r.now, conn, reply)
	r.flush()
	return cmd
}

func (r *rig) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.p.Tick(r.now)
	r.flush()
}

func read(id string) pool.Query {
	return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindRead, Text: "READ 1"}}
}

func write(id string) pool.Query {
	return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindWrite, Text: "WRITE 1 x"}}
}

func TestUrgentWorkGoesFirst(t *testing.T) {
	r := newRig(t, 1, 4)
	r.submit(pool.Request{ID: 1, Query: read("a"), Rank: 2})
	r.submit(pool.Request{ID: 2, Query: read("b"), Rank: 2})
	r.submit(pool.Request{ID: 3, Query: read("c"), Rank: 0})
	r.answer(statement.Reply{})
	r.is.Equal(r.answer(statement.Reply{}).ID, "c")
	r.is.Equal(r.answer(statement.Reply{}).ID, "b")
}

// A flood of urgent requests leaves a floor to the others.
func TestFloodLeavesAFloor(t *testing.T) {
	r := newRig(t, 1, 4)
	r.submit(pool.Request{ID: 1, Query: read("first"), Rank: 0})
	far := r.now.Add(time.Hour)
	r.submit(pool.Request{ID: 2, Query: read("low"), Rank: 2, Due: far, Deadline: far})
	for i := range 40 {
		r.submit(pool.Request{ID: pool.RequestID(10 + i), Query: read("urgent"), Rank: 0, Due: far, Deadline: far})
	}
	served := 0
	for r.answer(statement.Reply{}).ID != "low" {
		served++
	}
	r.is.True(served <= 10)
}

func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 1, 2)
	for i := range 200 {
		r.submit(pool.Request{ID: pool.RequestID(1 + i), Query: read("x")})
	}
	refused := 0
	for _, res := range r.results {
		r.is.True(!res.Ran)
		r.is.Equal(res.Reason, types.ReasonLate)
		refused++
	}
	// 800 ms hold some fifty services of the assumed 15 ms.
	r.is.True(refused > 100)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	r := newRig(t, 2, 2)
	begin := pool.Query{ID: "t0", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	r.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("t1")})
	r.is.Equal(r.answer(statement.Reply{State: statement.StateInTransaction}).ID, "t0")
	conn := r.order[0]
	r.is.Equal(r.answer(statement.Reply{State: statement.StateInTransaction}).ID, "t1")
	r.is.True(r.results[1].TxOpen)
	// Other work never gets the connection.
	for i := range 5 {
		r.submit(pool.Request{ID: pool.RequestID(10 + i), Query: read("other")})
	}
	for _, c := range r.order {
		r.is.True(c != conn)
	}
	r.order = nil
	r.submit(pool.Request{ID: 2, Tx: 7, Query: pool.Query{ID: "t2", Stmt: statement.Statement{Kind: statement.KindCommit, Text: "COMMIT"}}})
	r.is.Equal(r.order[0], conn)
}

// A statement of a transaction never runs where its begin was refused.
func TestRefusedBeginSendsNothingMore(t *testing.T) {
	r := newRig(t, 1, 2)
	begin := pool.Query{ID: "t0", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	r.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("t1")})
	r.answer(statement.Reply{Code: statement.CodeReadOnly})
	r.is.Equal(len(r.order), 0)
	r.is.True(!r.results[1].Ran)
	r.is.True(!r.results[1].TxOpen)
}

func TestNewConnectionIsUsedOnceItIsTrusted(t *testing.T) {
	r := newRig(t, 2, 4)
	r.submit(pool.Request{ID: 1, Query: write("w"), Trusted: true})
	r.is.Equal(len(r.order), 0)
	r.p.Trust(r.now, r.now-1) // vouches only for those opened before
	r.flush()
	r.is.Equal(len(r.order), 0)
	r.submit(pool.Request{ID: 2, Query: write("v"), Trusted: true})
	r.is.Equal(len(r.dials), 1) // the untrusted one is awaited
	r.p.Trust(r.now, r.now)
	r.flush()
	r.is.Equal(r.answer(statement.Reply{}).ID, "w")
	r.is.Equal(r.answer(statement.Reply{}).ID, "v")
}

// An answer on a trusted connection vouches for those opened before its question.
func TestAnswerOnATrustedConnectionVouchesForOthers(t *testing.T) {
	r := newRig(t, 2, 4)
	r.submit(pool.Request{ID: 1, Query: write("a"), Trusted: true})
	r.p.Trust(r.now, r.now)
	r.flush()
	r.now = r.now.Add(time.Millisecond)
	r.submit(pool.Request{ID: 2, Query: write("b"), Trusted: true}) // dials the second
	r.is.Equal(len(r.dials), 2)
	r.is.Equal(len(r.order), 1)
	r.answer(statement.Reply{}) // was asked before the second was open
	r.is.Equal(len(r.order), 1) // and serves the next request itself
	r.submit(pool.Request{ID: 3, Query: write("c"), Trusted: true})
	r.is.Equal(len(r.order), 1)
	r.answer(statement.Reply{})
	r.submit(pool.Request{ID: 4, Query: write("d"), Trusted: true})
	r.is.Equal(len(r.order), 2) // both are in use
}

func TestSessionValuesAreInForce(t *testing.T) {
	r := newRig(t, 1, 1)
	var values statement.SessionVariables
	values = values.With("mode", "fast")
	r.submit(pool.Request{ID: 1, Query: read("a"), Values: values})
	set := r.answer(statement.Reply{})
	r.is.Equal(set.Stmt.Kind, statement.KindSet)
	r.is.Equal(set.Stmt.Value, "fast")
	r.is.Equal(r.answer(statement.Reply{}).ID, "a")
	// A session without values must not see them.
	r.submit(pool.Request{ID: 2, Query: read("b")})
	r.is.True(r.answer(statement.Reply{}).Reset)
	r.is.Equal(r.answer(statement.Reply{}).ID, "b")
}

func TestShapeIsPreparedOnceOnAConnection(t *testing.T) {
	r := newRig(t, 1, 1)
	exec := func(id string) pool.Query {
		return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindExecute, Name: "own" + id, Value: "1", Template: statement.Template{Text: "q"}}}
	}
	r.submit(pool.Request{ID: 1, Query: exec("a")})
	r.is.Equal(r.answer(statement.Reply{}).Stmt.Kind, statement.KindPrepare)
	r.is.Equal(r.answer(statement.Reply{}).Stmt.Name, "bf.r.q")
	r.submit(pool.Request{ID: 2, Query: exec("b")})
	r.is.Equal(r.answer(statement.Reply{}).ID, "b")
}

// A lost answer frees the slot early; a read is asked again, a write never.
func TestLostAnswers(t *testing.T) {
	r := newRig(t, 1, 4)
	r.submit(pool.Request{ID: 1, Query: read("r")})
	r.submit(pool.Request{ID: 2, Query: write("w")})
	r.pass(300 * time.Millisecond) // the read is overdue, and asked again
	r.pass(300 * time.Millisecond)
	count := map[string]int{}
	for _, c := range r.order {
		count[r.sent[c].ID]++
	}
	r.is.Equal(count["r"], 2)
	r.is.Equal(count["w"], 1)
	r.pass(time.Second)
	r.is.True(r.results[2].Ran) // nobody knows
	r.is.Equal(r.results[2].Reason, types.ReasonLate)
}

func TestBrokenConnection(t *testing.T) {
	r := newRig(t, 2, 4)
	r.submit(pool.Request{ID: 1, Query: write("w")})
	var values statement.SessionVariables
	r.submit(pool.Request{ID: 2, Query: write("v"), Values: values.With("a", "b")})
	r.p.Broken(r.now, r.order[0])
	r.p.Broken(r.now, r.order[1]) // only the SET was sent
	r.flush()
	r.is.True(r.results[1].Ran)
	r.is.True(!r.results[2].Ran)
}

// A leaving endpoint gets no new work; what waits is refused as not run.
func TestDrainedPoolRefuses(t *testing.T) {
	r := newRig(t, 1, 1)
	r.submit(pool.Request{ID: 1, Query: read("a")})
	r.submit(pool.Request{ID: 2, Query: read("b")})
	r.p.Drain(r.now)
	r.flush()
	r.is.Equal(r.results[2].Reason, types.ReasonLeaving)
	r.submit(pool.Request{ID: 3, Query: read("c")})
	r.is.Equal(r.results[3].Reason, types.ReasonLeaving)
	r.answer(statement.Reply{})
	r.is.Equal(r.results[1].Reply.Code, statement.CodeOK)
}

// Ticks that have nothing left to do are not asked for.
func TestNextWakeIsAlwaysAhead(t *testing.T) {
	r := newRig(t, 1, 1)
	for i := range 3 {
		r.submit(pool.Request{ID: pool.RequestID(1 + i), Query: read("x")})
	}
	for range 100 {
		at, ok := r.p.NextWake()
		if !ok {
			return
		}
		r.now = max(r.now, at)
		r.p.Tick(r.now)
		r.flush()
		if again, ok := r.p.NextWake(); ok {
			r.is.True(again.After(r.now))
		}
	}
	t.Error("the pool never comes to rest")
}
