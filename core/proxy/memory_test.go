package proxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// memoryFixture is a machine with limits of memory and sessions that the test drives itself.
type memoryFixture struct {
	*is.I
	sim     *simulation
	machine *proxy.Machine
}

func newMemoryFixture(t *testing.T, limits proxy.MemoryLimits) *memoryFixture {
	t.Helper()
	sim := newSimulation(t, 71, 1)
	h := sim.hosts["h-b0"]
	h.memory = limits
	sim.killHost(h.id)
	sim.startHost(h.id, h.dc)
	sim.runFor(time.Second)
	return &memoryFixture{I: is.New(t), sim: sim, machine: h.machine}
}

func (f *memoryFixture) start(id proxy.SessionID) {
	f.machine.Step(f.sim.now, proxy.CallerStarted{Session: id, Database: "own-db"})
}

// replies steps the machine and returns the codes of the replies to callers.
func (f *memoryFixture) replies(ev proxy.Event) (codes []statement.Code) {
	for _, e := range f.machine.Step(f.sim.now, ev) {
		if r, ok := e.(proxy.CallerReply); ok {
			codes = append(codes, r.Reply.Code)
		}
	}
	return codes
}

// query sends a statement that the host answers itself, and returns the code of the reply.
func (f *memoryFixture) query(id proxy.SessionID, stmt statement.Statement) statement.Code {
	f.Helper()
	codes := f.replies(proxy.CallerQuery{Session: id, Query: pool.Query{ID: "q", Stmt: stmt}})
	f.Equal(len(codes), 1)
	return codes[0]
}

func prepareStatement(name string, size int) statement.Statement {
	return statement.Statement{Kind: statement.KindPrepare, Name: name, Template: statement.Template{Text: strings.Repeat("x", size)}}
}

func setStatement(name string, size int) statement.Statement {
	return statement.Statement{Kind: statement.KindSet, Name: name, Value: strings.Repeat("x", size)}
}

// Guards against statements that run, and whose replies pile up, while the caller does not read.
func TestBlockedCallerRunsNoStatement(t *testing.T) {
	f := newMemoryFixture(t, proxy.MemoryLimits{})
	f.start(1)
	f.replies(proxy.CallerBlocked{Session: 1})
	for range 3 {
		f.Equal(len(f.replies(proxy.CallerQuery{Session: 1, Query: pool.Query{ID: "q", Stmt: setStatement("a", 1)}})), 0)
	}
	f.Equal(len(f.replies(proxy.CallerUnblocked{Session: 1})), 3)
	f.Equal(f.query(1, setStatement("a", 1)), statement.CodeOK)
}

// Guards against a blocked caller that is never closed, and against one that is closed before its
// statements are answered.
func TestBlockedCallerIsDrainedAfterItsStatements(t *testing.T) {
	f := newMemoryFixture(t, proxy.MemoryLimits{})
	f.start(1)
	f.replies(proxy.CallerBlocked{Session: 1})
	f.replies(proxy.CallerQuery{Session: 1, Query: pool.Query{ID: "q", Stmt: setStatement("a", 1)}})
	f.replies(proxy.Stop{Grace: 6 * time.Second})
	f.True(!containsEffect(f.machine.Step(f.sim.now, proxy.CallerDrained{Session: 1}), proxy.CallerClose{Session: 1}))
	var effects []proxy.Effect
	effects = append(effects, f.machine.Step(f.sim.now, proxy.CallerUnblocked{Session: 1})...)
	effects = append(effects, f.machine.Step(f.sim.now, proxy.CallerDrained{Session: 1})...)
	f.True(containsEffect(effects, proxy.CallerReply{Session: 1}))
	f.True(containsEffect(effects, proxy.CallerClose{Session: 1}))
}

// Guards against prepared statements and variables without a limit, and against a count that
// drifts when they are replaced or removed.
func TestSessionStateIsLimited(t *testing.T) {
	const part = 10 << 10
	f := newMemoryFixture(t, proxy.MemoryLimits{SessionBytes: 5 * part / 2})
	f.start(1)
	for range 5 {
		f.Equal(f.query(1, prepareStatement("p", part)), statement.CodeOK)
		f.Equal(f.query(1, setStatement("v", part)), statement.CodeOK)
		f.Equal(f.query(1, prepareStatement("other", part)), statement.CodeBusy)
		f.Equal(f.query(1, setStatement("other", part)), statement.CodeBusy)
		f.Equal(f.query(1, statement.Statement{Kind: statement.KindDeallocate, Name: "p"}), statement.CodeOK)
	}
	begin := pool.Query{ID: strings.Repeat("i", 2*part), Stmt: parse("BEGIN")}
	f.Equal(f.replies(proxy.CallerQuery{Session: 1, Query: begin}), []statement.Code{statement.CodeBusy})
}

// Guards against sessions that use up the memory for all and leave none for ordinary ones, and
// against memory that ended sessions still count for.
func TestStateOfAllSessionsIsLimited(t *testing.T) {
	const part = 10 << 10
	f := newMemoryFixture(t, proxy.MemoryLimits{SessionBytes: 3 * part, AllSessionsBytes: 5 * part})
	f.start(1)
	f.start(2)
	f.start(3)
	for _, id := range []proxy.SessionID{1, 2} {
		for i := range 2 {
			f.Equal(f.query(id, prepareStatement(fmt.Sprint(i), part)), statement.CodeOK)
		}
	}
	f.Equal(f.query(3, prepareStatement("p", part)), statement.CodeBusy)
	f.Equal(f.query(3, prepareStatement("p", part/2)), statement.CodeOK)
	f.replies(proxy.CallerDisconnected{Session: 1})
	f.Equal(f.query(3, prepareStatement("q", part)), statement.CodeOK)
}

// Guards against the statements of other hosts that together exceed the memory of an owner.
func TestOwnerRefusesStatementsBeyondItsMemory(t *testing.T) {
	const size = 20 << 10
	f := newMemoryFixture(t, proxy.MemoryLimits{ExecutionBytes: 3 * size})
	next := proxy.RequestID(900)
	refusals := func(from types.Host, bytes int) (n int) {
		next++
		req := proxy.ExecRequest{
			ID: next, Service: testService, Endpoint: "e-b", DueIn: time.Second, DeadlineIn: 800 * time.Millisecond, MaxStaleness: time.Minute,
			Query: pool.Query{ID: "c", Stmt: statement.Statement{Kind: statement.KindRead, Text: "READ " + strings.Repeat("x", bytes)}},
		}
		for _, e := range f.machine.Step(f.sim.now, proxy.PeerMessage{From: from, Message: req}) {
			if send, ok := e.(proxy.PeerSend); ok {
				if res, ok := send.Message.(proxy.ExecResult); ok && res.Reason == types.ReasonQueueFull {
					n++
				}
			}
		}
		return n
	}
	f.Equal(refusals("h-c0", size), 0)
	f.Equal(refusals("h-a0", size), 0)
	f.Equal(refusals("h-a0", size), 1)
	f.Equal(refusals("h-a0", 100), 0) // an ordinary statement
	f.sim.now = f.sim.now.Add(time.Second)
	for range 3 {
		f.sim.now = f.sim.now.Add(100 * time.Millisecond)
		f.replies(proxy.Tick{}) // the statements end at their deadlines
	}
	f.Equal(refusals("h-a0", size), 0)
}
