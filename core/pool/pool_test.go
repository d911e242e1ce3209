package pool_test

import (
	"fmt"
	"strings"
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

func newHarness(t *testing.T, slots, maxConnections int) *harness {
	h := &harness{is: is.New(t), now: startTime, sentCommands: map[pool.ConnID]pool.Command{}, results: map[pool.RequestID]pool.Result{}}
	h.pool = pool.New(pool.Config{Slots: slots, MaxConnections: maxConnections}, func() pool.ConnID { h.nextConn++; return h.nextConn })
	return h
}

// runEffects carries out the effects. Dials succeed at once.
func (h *harness) runEffects() {
	for effects := h.pool.TakeEffects(); len(effects) > 0; effects = h.pool.TakeEffects() {
		for _, e := range effects {
			switch e := e.(type) {
			case pool.Dial:
				h.dials = append(h.dials, e.Conn)
				h.pool.HandleConnected(h.now, e.Conn)
			case pool.Send:
				h.sentCommands[e.Conn] = e.Command
				h.sendOrder = append(h.sendOrder, e.Conn)
			case pool.Close:
				h.closed = append(h.closed, e.Conn)
			case pool.Result:
				h.results[e.ID] = e
			}
		}
	}
}

func (h *harness) submit(req pool.Request) {
	if req.Due == 0 {
		req.Due = h.now.Add(200 * time.Millisecond)
	}
	if req.Deadline == 0 {
		req.Deadline = h.now.Add(800 * time.Millisecond)
	}
	h.pool.Submit(h.now, req)
	h.runEffects()
}

// replyToOldest replies to the oldest command without a reply and returns it.
func (h *harness) replyToOldest(reply statement.Reply) pool.Command {
	conn := h.sendOrder[0]
	h.sendOrder = h.sendOrder[1:]
	cmd := h.sentCommands[conn]
	h.pool.HandleReply(h.now, conn, reply)
	h.runEffects()
	return cmd
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.pool.Tick(h.now)
	h.runEffects()
}

func read(id string) pool.Query {
	return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindRead, Text: "READ 1"}}
}

func write(id string) pool.Query {
	return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindWrite, Text: "WRITE 1 x"}}
}

func TestUrgentRequestsStartFirst(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.submit(pool.Request{ID: 1, Query: read("a"), Rank: 2})
	h.submit(pool.Request{ID: 2, Query: read("b"), Rank: 2})
	h.submit(pool.Request{ID: 3, Query: read("c"), Rank: 0})
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "c")
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "b")
}

// TestLowRankStartsDuringUrgentOverload guards against starvation of less urgent ranks.
func TestLowRankStartsDuringUrgentOverload(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.submit(pool.Request{ID: 1, Query: read("first"), Rank: 0})
	far := h.now.Add(time.Hour)
	h.submit(pool.Request{ID: 2, Query: read("low"), Rank: 2, Due: far, Deadline: far})
	for i := range 40 {
		h.submit(pool.Request{ID: pool.RequestID(10 + i), Query: read("urgent"), Rank: 0, Due: far, Deadline: far})
	}
	served := 0
	for h.replyToOldest(statement.Reply{}).ID != "low" {
		served++
	}
	h.is.True(served <= 10)
}

func TestRequestsThatWouldBeLateAreRefusedAtSubmit(t *testing.T) {
	h := newHarness(t, 1, 2)
	for i := range 200 {
		h.submit(pool.Request{ID: pool.RequestID(1 + i), Query: read("x")})
	}
	refused := 0
	for _, res := range h.results {
		h.is.True(!res.MayHaveRun)
		h.is.Equal(res.Reason, types.ReasonLate)
		refused++
	}
	// About fifty requests of the assumed 15 ms fit into the deadline of 800 ms.
	h.is.True(refused > 100)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	h := newHarness(t, 2, 2)
	begin := pool.Query{ID: "t0", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	h.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("t1")})
	h.is.Equal(h.replyToOldest(statement.Reply{State: statement.StateInTransaction}).ID, "t0")
	conn := h.sendOrder[0]
	h.is.Equal(h.replyToOldest(statement.Reply{State: statement.StateInTransaction}).ID, "t1")
	h.is.True(h.results[1].TxOpen)
	// Other requests must not use the connection of the transaction.
	for i := range 5 {
		h.submit(pool.Request{ID: pool.RequestID(10 + i), Query: read("other")})
	}
	for _, c := range h.sendOrder {
		h.is.True(c != conn)
	}
	h.sendOrder = nil
	h.submit(pool.Request{ID: 2, Tx: 7, Query: pool.Query{ID: "t2", Stmt: statement.Statement{Kind: statement.KindCommit, Text: "COMMIT"}}})
	h.is.Equal(h.sendOrder[0], conn)
}

// TestRefusedBeginSendsNoFurtherCommands checks that no statement of a transaction is
// sent after its BEGIN was refused.
func TestRefusedBeginSendsNoFurtherCommands(t *testing.T) {
	h := newHarness(t, 1, 2)
	begin := pool.Query{ID: "t0", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	h.submit(pool.Request{ID: 1, Tx: 7, Begin: &begin, Query: write("t1")})
	h.replyToOldest(statement.Reply{Code: statement.CodeReadOnly})
	h.is.Equal(len(h.sendOrder), 0)
	h.is.True(!h.results[1].MayHaveRun)
	h.is.True(!h.results[1].TxOpen)
}

func TestNewConnectionIsUsedOnceTrusted(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.submit(pool.Request{ID: 1, Query: write("w"), RequireTrusted: true})
	h.is.Equal(len(h.sendOrder), 0)
	h.pool.TrustConnections(h.now, h.now-1) // does not include the open connection
	h.runEffects()
	h.is.Equal(len(h.sendOrder), 0)
	h.submit(pool.Request{ID: 2, Query: write("v"), RequireTrusted: true})
	h.is.Equal(len(h.dials), 1) // no further dial: the open connection is about to become trusted
	h.pool.TrustConnections(h.now, h.now)
	h.runEffects()
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "w")
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "v")
}

// TestReplyOnTrustedConnectionExtendsTrust checks that a reply on a trusted connection
// makes the connections trusted that were opened before its command was sent.
func TestReplyOnTrustedConnectionExtendsTrust(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.submit(pool.Request{ID: 1, Query: write("a"), RequireTrusted: true})
	h.pool.TrustConnections(h.now, h.now)
	h.runEffects()
	h.now = h.now.Add(time.Millisecond)
	h.submit(pool.Request{ID: 2, Query: write("b"), RequireTrusted: true}) // dials the second connection
	h.is.Equal(len(h.dials), 2)
	h.is.Equal(len(h.sendOrder), 1)
	h.replyToOldest(statement.Reply{}) // its command was sent before the second connection was open
	h.is.Equal(len(h.sendOrder), 1)    // the first connection also serves the next request
	h.submit(pool.Request{ID: 3, Query: write("c"), RequireTrusted: true})
	h.is.Equal(len(h.sendOrder), 1)
	h.replyToOldest(statement.Reply{})
	h.submit(pool.Request{ID: 4, Query: write("d"), RequireTrusted: true})
	h.is.Equal(len(h.sendOrder), 2) // both connections are in use
}

func TestSessionVariablesAreAppliedAndReset(t *testing.T) {
	h := newHarness(t, 1, 1)
	var variables statement.SessionVariables
	variables = variables.With("mode", "fast")
	h.submit(pool.Request{ID: 1, Query: read("a"), Variables: variables})
	set := h.replyToOldest(statement.Reply{})
	h.is.Equal(set.Stmt.Kind, statement.KindSet)
	h.is.Equal(set.Stmt.Value, "fast")
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "a")
	// The variables of another session must not apply.
	h.submit(pool.Request{ID: 2, Query: read("b")})
	h.is.True(h.replyToOldest(statement.Reply{}).Reset)
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "b")
}

func TestTemplateIsPreparedOncePerConnection(t *testing.T) {
	h := newHarness(t, 1, 1)
	exec := func(id string) pool.Query {
		return pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindExecute, Name: "own" + id, Value: "1", Template: statement.Template{Text: "q"}}}
	}
	h.submit(pool.Request{ID: 1, Query: exec("a")})
	prepare := h.replyToOldest(statement.Reply{})
	h.is.Equal(prepare.Stmt.Kind, statement.KindPrepare)
	h.is.True(prepare.Stmt.Name != "" && prepare.Stmt.Name != "owna")
	h.is.Equal(h.replyToOldest(statement.Reply{}).Stmt.Name, prepare.Stmt.Name)
	h.submit(pool.Request{ID: 2, Query: exec("b")})
	second := h.replyToOldest(statement.Reply{})
	h.is.Equal(second.ID, "b")
	h.is.Equal(second.Stmt.Name, prepare.Stmt.Name)
}

// TestOverdueRepliesFreeSlotAndRetryReads checks that an overdue reply frees the slot. A
// read is sent again, and a write is not.
func TestOverdueRepliesFreeSlotAndRetryReads(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.submit(pool.Request{ID: 1, Query: read("r")})
	h.submit(pool.Request{ID: 2, Query: write("w")})
	h.advance(300 * time.Millisecond) // the read is overdue and sent again
	h.advance(300 * time.Millisecond)
	count := map[string]int{}
	for _, c := range h.sendOrder {
		count[h.sentCommands[c].ID]++
	}
	h.is.Equal(count["r"], 2)
	h.is.Equal(count["w"], 1)
	h.advance(time.Second)
	h.is.True(h.results[2].MayHaveRun) // the outcome is unknown
	h.is.Equal(h.results[2].Reason, types.ReasonLate)
}

// Guards against a read that counts as not run, and whose limit is refunded, although it was sent to
// the endpoint: its reply was overdue, and it ends before it is sent again.
func TestReadThatWaitsToBeSentAgainMayHaveRun(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.submit(pool.Request{ID: 1, Query: read("r")})
	h.submit(pool.Request{ID: 2, Query: write("w")})
	h.advance(300 * time.Millisecond)
	h.is.Equal(h.sentCommands[h.sendOrder[1]].ID, "w")
	h.pool.Drain(h.now)
	h.runEffects()
	h.is.Equal(h.results[1].Reason, types.ReasonLeaving)
	h.is.True(h.results[1].MayHaveRun)
}

func TestDisconnectReportsWhetherStatementMayHaveRun(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.submit(pool.Request{ID: 1, Query: write("w")})
	var variables statement.SessionVariables
	h.submit(pool.Request{ID: 2, Query: write("v"), Variables: variables.With("a", "b")})
	h.pool.HandleDisconnect(h.now, h.sendOrder[0])
	h.pool.HandleDisconnect(h.now, h.sendOrder[1]) // only the SET was sent
	h.runEffects()
	h.is.True(h.results[1].MayHaveRun)
	h.is.True(!h.results[2].MayHaveRun)
}

// TestDrainedPoolRefusesRequests checks that a draining pool refuses queued and new
// requests as not run.
func TestDrainedPoolRefusesRequests(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.submit(pool.Request{ID: 1, Query: read("a")})
	h.submit(pool.Request{ID: 2, Query: read("b")})
	h.pool.Drain(h.now)
	h.runEffects()
	h.is.Equal(h.results[2].Reason, types.ReasonLeaving)
	h.submit(pool.Request{ID: 3, Query: read("c")})
	h.is.Equal(h.results[3].Reason, types.ReasonLeaving)
	h.replyToOldest(statement.Reply{})
	h.is.Equal(h.results[1].Reply.Code, statement.CodeOK)
}

// TestNextWakeIsAfterTick guards against a wake-up time in the past, which would make
// the owner call Tick in a busy loop.
func TestNextWakeIsAfterTick(t *testing.T) {
	h := newHarness(t, 1, 1)
	for i := range 3 {
		h.submit(pool.Request{ID: pool.RequestID(1 + i), Query: read("x")})
	}
	for range 100 {
		at, ok := h.pool.NextWake()
		if !ok {
			return
		}
		h.now = max(h.now, at)
		h.pool.Tick(h.now)
		h.runEffects()
		if again, ok := h.pool.NextWake(); ok {
			h.is.True(again.After(h.now))
		}
	}
	t.Error("NextWake still returns a time after 100 ticks")
}

// A client must not run the shape of another client that it shares a connection with, whatever
// bytes the shapes consist of.
func TestTemplatesDoNotSharePreparedNames(t *testing.T) {
	texts := []string{
		"rounds-of ramp", "rounds-of_ramp", "rounds-of  ramp", "rounds-of__ramp", "rounds-of ramp ", "rounds-of_ramp_",
		"rounds-of%20ramp", "rounds-of\tramp", "rounds-of\xfframp", "rounds-of\xferamp", "rounds-of\ufffdramp", "Rounds-Of ramp",
		"w.x", "x", "1", "bf.1", strings.Repeat("x ", 1<<18), strings.Repeat("x_", 1<<18),
	}
	h := newHarness(t, 1, 1)
	// prepared holds every name that was used, current those since the last reset.
	prepared, current := map[string]statement.Template{}, map[string]statement.Template{}
	var id pool.RequestID
	for range 3 {
		for _, text := range texts {
			for _, writes := range []bool{false, true} {
				want := statement.Template{Text: text, Writes: writes}
				id++
				h.submit(pool.Request{ID: id, Query: pool.Query{ID: "a", Stmt: statement.Statement{Kind: statement.KindExecute, Name: "s1", Value: "1", Template: want}}})
				cmd := h.replyToOldest(statement.Reply{})
				if cmd.Reset {
					clear(current)
					cmd = h.replyToOldest(statement.Reply{})
				}
				if cmd.Stmt.Kind == statement.KindPrepare {
					if old, ok := prepared[cmd.Stmt.Name]; ok {
						t.Fatalf("name %q is used again, for %.20q after %.20q", cmd.Stmt.Name, text, old.Text)
					}
					prepared[cmd.Stmt.Name], current[cmd.Stmt.Name] = cmd.Stmt.Template, cmd.Stmt.Template
					cmd = h.replyToOldest(statement.Reply{})
				}
				if got := current[cmd.Stmt.Name]; got != want {
					t.Fatalf("%.20q runs as %.20q", text, got.Text)
				}
				h.is.True(len(cmd.Stmt.Name) <= 64) // leaves a message of the largest size room for its arguments
			}
		}
	}
	h.is.True(len(prepared) >= 2*len(texts))
	h.is.Equal(len(h.dials), 1)
}

// Guards against templates that a connection keeps without bound, which took 177 MB of a host. The
// variables are set again after the reset.
func TestPreparedTemplatesOfConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1)
	text := strings.Repeat("x", 20<<10)
	variables := statement.SessionVariables{{Name: "mode", Value: "a"}}
	prepared, resets := 0, 0
	for i := range 12 {
		stmt := statement.Statement{Kind: statement.KindExecute, Name: "p", Value: "1", Template: statement.Template{Text: fmt.Sprint(i, text)}}
		h.submit(pool.Request{ID: pool.RequestID(1 + i), Query: pool.Query{ID: "q", Stmt: stmt}, Variables: variables})
		for len(h.sendOrder) > 0 {
			cmd := h.sentCommands[h.sendOrder[0]]
			switch {
			case cmd.Reset:
				resets++
				prepared = 0
			case cmd.Stmt.Kind == statement.KindPrepare:
				prepared++
			}
			is.True(prepared <= 3)
			h.replyToOldest(statement.Reply{})
		}
	}
	is.Equal(resets, 3)
}
