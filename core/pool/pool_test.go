package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const startTime = types.Time(time.Second)

// harness drives a pool step by step and records its effects.
type harness struct {
	is           *is.I
	pool         *pool.Pool
	now          types.Time
	nextConn     pool.ConnID
	sentCommands map[pool.ConnID]pool.Command
	sendOrder    []pool.ConnID
	results      map[pool.RequestID]pool.Result
	closed       []pool.ConnID
	dials        []pool.ConnID
}

func newHarness(t *testing.T, slots, connections int) *harness {
	r := &harness{is: is.New(t), now: startTime, sentCommands: map[pool.ConnID]pool.Command{}, results: map[pool.RequestID]pool.Result{}}
	r.pool = pool.New(pool.Config{Slots: slots, MaxConnections: connections}, func() pool.ConnID { r.nextConn++; return r.nextConn })
	return r
}

// runEffects carries out the effects. Dials succeed at once.
func (r *harness) runEffects() {
	for effects := r.pool.TakeEffects(); len(effects) > 0; effects = r.pool.TakeEffects() {
		for _, e := range effects {
			switch e := e.(type) {
			case pool.Dial:
				r.dials = append(r.dials, e.Conn)
				r.pool.HandleConnected(r.now, e.Conn)
			case pool.Send:
				r.sentCommands[e.Conn] = e.Command
				r.sendOrder = append(r.sendOrder, e.Conn)
			case pool.Close:
				r.closed = append(r.closed, e.Conn)
			case pool.Result:
				r.results[e.ID] = e
			}
		}
	}
}

func (r *harness) submit(req pool.Request) {
	if req.Due == 0 {
		req.Due = r.now.Add(200 * time.Millisecond)
	}
	if req.Deadline == 0 {
		req.Deadline = r.now.Add(800 * time.Millisecond)
	}
	r.pool.Submit(r.now, req)
	r.runEffects()
}

// replyToOldest replies to the oldest command without a reply and returns it.
func (r *harness) replyToOldest(reply statement.Reply) pool.Command {
	conn := r.sendOrder[0]
	r.sendOrder = r.sendOrder[1:]
	cmd := r.sentCommands[conn]
	r.pool.HandleReply(r.now, conn, reply)
	r.runEffects()
	return cmd
}

func (r *harness) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.pool.Tick(r.now)
	r.runEffects()
}

func read(id string) pool.Query {
	return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.Read, Text: "READ 1"}}
}

func write(id string) pool.Query {
	return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.Write, Text: "WRITE 1 x"}}
}

func TestUrgentRequestsStartFirst(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.submit(pool.Request{ID: 1, Query: read("a"), Rank: 2})
	r.submit(pool.Request{ID: 2, Query: read("b"), Rank: 2})
	r.submit(pool.Request{ID: 3, Query: read("c"), Rank: 0})
	r.replyToOldest(statement.Reply{})
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "c")
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "b")
}

// TestLowRankStartsDuringUrgentFlood guards against starvation of less urgent ranks.
func TestLowRankStartsDuringUrgentFlood(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.submit(pool.Request{ID: 1, Query: read("first"), Rank: 0})
	far := r.now.Add(time.Hour)
	r.submit(pool.Request{ID: 2, Query: read("low"), Rank: 2, Due: far, Deadline: far})
	for i := range 40 {
		r.submit(pool.Request{ID: pool.RequestID(10 + i), Query: read("urgent"), Rank: 0, Due: far, Deadline: far})
	}
	served := 0
	for r.replyToOldest(statement.Reply{}).ID != "low" {
		served++
	}
	r.is.True(served <= 10)
}

func TestRequestsThatWouldBeLateAreRefusedAtSubmit(t *testing.T) {
	r := newHarness(t, 1, 2)
	for i := range 200 {
		r.submit(pool.Request{ID: pool.RequestID(1 + i), Query: read("x")})
	}
	refused := 0
	for _, res := range r.results {
		r.is.True(!res.MayHaveRun)
		r.is.Equal(res.Reason, types.ReasonLate)
		refused++
	}
	// About fifty requests of the assumed 15 ms fit into the deadline of 800 ms.
	r.is.True(refused > 100)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	r := newHarness(t, 2, 2)
	begin := pool.Query{ID: "t0", Stmt: statement.Statement{Kind: statement.Begin, Text: "BEGIN"}}
	r.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("t1")})
	r.is.Equal(r.replyToOldest(statement.Reply{State: statement.InTransaction}).ID, "t0")
	conn := r.sendOrder[0]
	r.is.Equal(r.replyToOldest(statement.Reply{State: statement.InTransaction}).ID, "t1")
	r.is.True(r.results[1].TxOpen)
	// Other requests must not use the connection of the transaction.
	for i := range 5 {
		r.submit(pool.Request{ID: pool.RequestID(10 + i), Query: read("other")})
	}
	for _, c := range r.sendOrder {
		r.is.True(c != conn)
	}
	r.sendOrder = nil
	r.submit(pool.Request{ID: 2, Tx: 7, Query: pool.Query{ID: "t2", Stmt: statement.Statement{Kind: statement.Commit, Text: "COMMIT"}}})
	r.is.Equal(r.sendOrder[0], conn)
}

// TestRefusedBeginSendsNoFurtherCommands checks that no statement of a transaction is
// sent after its BEGIN was refused.
func TestRefusedBeginSendsNoFurtherCommands(t *testing.T) {
	r := newHarness(t, 1, 2)
	begin := pool.Query{ID: "t0", Stmt: statement.Statement{Kind: statement.Begin, Text: "BEGIN"}}
	r.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("t1")})
	r.replyToOldest(statement.Reply{Code: statement.ReadOnly})
	r.is.Equal(len(r.sendOrder), 0)
	r.is.True(!r.results[1].MayHaveRun)
	r.is.True(!r.results[1].TxOpen)
}

func TestNewConnectionIsUsedOnceTrusted(t *testing.T) {
	r := newHarness(t, 2, 4)
	r.submit(pool.Request{ID: 1, Query: write("w"), RequireTrusted: true})
	r.is.Equal(len(r.sendOrder), 0)
	r.pool.TrustConnections(r.now, r.now-1) // vouches only for those opened before
	r.runEffects()
	r.is.Equal(len(r.sendOrder), 0)
	r.submit(pool.Request{ID: 2, Query: write("v"), RequireTrusted: true})
	r.is.Equal(len(r.dials), 1) // the untrusted one is awaited
	r.pool.TrustConnections(r.now, r.now)
	r.runEffects()
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "w")
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "v")
}

// TestReplyOnTrustedConnectionExtendsTrust checks that a reply on a trusted connection
// makes the connections trusted that were opened before its command was sent.
func TestReplyOnTrustedConnectionExtendsTrust(t *testing.T) {
	r := newHarness(t, 2, 4)
	r.submit(pool.Request{ID: 1, Query: write("a"), RequireTrusted: true})
	r.pool.TrustConnections(r.now, r.now)
	r.runEffects()
	r.now = r.now.Add(time.Millisecond)
	r.submit(pool.Request{ID: 2, Query: write("b"), RequireTrusted: true}) // dials the second
	r.is.Equal(len(r.dials), 2)
	r.is.Equal(len(r.sendOrder), 1)
	r.replyToOldest(statement.Reply{}) // was asked before the second was open
	r.is.Equal(len(r.sendOrder), 1)    // and serves the next request itself
	r.submit(pool.Request{ID: 3, Query: write("c"), RequireTrusted: true})
	r.is.Equal(len(r.sendOrder), 1)
	r.replyToOldest(statement.Reply{})
	r.submit(pool.Request{ID: 4, Query: write("d"), RequireTrusted: true})
	r.is.Equal(len(r.sendOrder), 2) // both are in use
}

func TestSessionValuesAreAppliedAndReset(t *testing.T) {
	r := newHarness(t, 1, 1)
	var values statement.Values
	values = values.With("mode", "fast")
	r.submit(pool.Request{ID: 1, Query: read("a"), Values: values})
	set := r.replyToOldest(statement.Reply{})
	r.is.Equal(set.Stmt.Kind, statement.Set)
	r.is.Equal(set.Stmt.Value, "fast")
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "a")
	// The settings of another session must not apply.
	r.submit(pool.Request{ID: 2, Query: read("b")})
	r.is.True(r.replyToOldest(statement.Reply{}).Reset)
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "b")
}

func TestShapeIsPreparedOncePerConnection(t *testing.T) {
	r := newHarness(t, 1, 1)
	exec := func(id string) pool.Query {
		return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.Execute, Name: "own" + id, Value: "1", Shape: statement.Shape{Text: "q"}}}
	}
	r.submit(pool.Request{ID: 1, Query: exec("a")})
	r.is.Equal(r.replyToOldest(statement.Reply{}).Stmt.Kind, statement.Prepare)
	r.is.Equal(r.replyToOldest(statement.Reply{}).Stmt.Name, "bf.r.q")
	r.submit(pool.Request{ID: 2, Query: exec("b")})
	r.is.Equal(r.replyToOldest(statement.Reply{}).ID, "b")
}

// TestOverdueRepliesFreeSlotAndRetryReads checks that an overdue reply frees the slot. A
// read is sent again, and a write is not.
func TestOverdueRepliesFreeSlotAndRetryReads(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.submit(pool.Request{ID: 1, Query: read("r")})
	r.submit(pool.Request{ID: 2, Query: write("w")})
	r.advance(300 * time.Millisecond) // the read is overdue, and asked again
	r.advance(300 * time.Millisecond)
	count := map[string]int{}
	for _, c := range r.sendOrder {
		count[r.sentCommands[c].ID]++
	}
	r.is.Equal(count["r"], 2)
	r.is.Equal(count["w"], 1)
	r.advance(time.Second)
	r.is.True(r.results[2].MayHaveRun) // nobody knows
	r.is.Equal(r.results[2].Reason, types.ReasonLate)
}

func TestDisconnectReportsWhetherStatementMayHaveRun(t *testing.T) {
	r := newHarness(t, 2, 4)
	r.submit(pool.Request{ID: 1, Query: write("w")})
	var values statement.Values
	r.submit(pool.Request{ID: 2, Query: write("v"), Values: values.With("a", "b")})
	r.pool.HandleDisconnect(r.now, r.sendOrder[0])
	r.pool.HandleDisconnect(r.now, r.sendOrder[1]) // only the SET was sent
	r.runEffects()
	r.is.True(r.results[1].MayHaveRun)
	r.is.True(!r.results[2].MayHaveRun)
}

// TestDrainedPoolRefusesRequests checks that a draining pool refuses queued and new
// requests as not run.
func TestDrainedPoolRefusesRequests(t *testing.T) {
	r := newHarness(t, 1, 1)
	r.submit(pool.Request{ID: 1, Query: read("a")})
	r.submit(pool.Request{ID: 2, Query: read("b")})
	r.pool.Drain(r.now)
	r.runEffects()
	r.is.Equal(r.results[2].Reason, types.ReasonLeaving)
	r.submit(pool.Request{ID: 3, Query: read("c")})
	r.is.Equal(r.results[3].Reason, types.ReasonLeaving)
	r.replyToOldest(statement.Reply{})
	r.is.Equal(r.results[1].Reply.Code, statement.OK)
}

// TestNextWakeIsAfterTick guards against a wake-up time in the past, which would make
// the owner call Tick in a busy loop.
func TestNextWakeIsAfterTick(t *testing.T) {
	r := newHarness(t, 1, 1)
	for i := range 3 {
		r.submit(pool.Request{ID: pool.RequestID(1 + i), Query: read("x")})
	}
	for range 100 {
		at, ok := r.pool.NextWake()
		if !ok {
			return
		}
		r.now = max(r.now, at)
		r.pool.Tick(r.now)
		r.runEffects()
		if again, ok := r.pool.NextWake(); ok {
			r.is.True(again.After(r.now))
		}
	}
	t.Error("the pool never comes to rest")
}
