package proxy_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// startSession starts a session at the machine of h-a0 and returns the code with which it was
// refused; CodeOK if it was accepted.
func (sim *simulation) startSession(db types.Database, key string) statement.Code {
	const probeSession = proxy.SessionID(1 << 40)
	m := sim.hosts["h-a0"].machine
	var code statement.Code
	for _, e := range m.Step(sim.now, proxy.CallerStarted{Session: probeSession, Database: db, Key: key}) {
		if closed, ok := e.(proxy.CallerClose); ok {
			code = closed.Code
		}
	}
	m.Step(sim.now, proxy.CallerDisconnected{Session: probeSession})
	return code
}

// cutOff cuts a host off from the store and from all other hosts.
func (sim *simulation) cutOff(h types.Host) {
	sim.storeCut[h] = true
	for _, other := range sim.sortedHosts() {
		sim.cuts[[2]string{string(h), string(other.id)}] = other.id != h
	}
}

func twoWorkspaces() []catalog.Workspace {
	return []catalog.Workspace{{Name: "north", Keys: []string{"key-n1", "key-n2"}}, {Name: "south", Keys: []string{"key-s1"}}}
}

// newWorkspaceSimulation returns a simulation whose configuration has two workspaces.
func newWorkspaceSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 2)
	sim.workspaces = twoWorkspaces()
	sim.configure(2)
	sim.runFor(maxConfigDelay)
	return sim
}

// Guards against a host that is short of CPU time, or cut off, and denies a database that was
// added long ago.
func TestHostWithOldConfigurationDeniesNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 61, 2)
	sim.runFor(2 * time.Second)
	is.Equal(sim.startSession("new-db", ""), statement.CodeNoDatabase)
	sim.cutOff("h-a0")
	sim.runFor(maxConfigDelay)
	is.Equal(sim.startSession("new-db", ""), statement.CodeBusy)
}

// Guards against a new process that denies what its first list, which may be old, does not hold.
func TestStartedHostDeniesNothingBeforeItsConfigurationIsConfirmed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 62, 2)
	sim.killHost("h-a0")
	sim.cutOff("h-a0")
	sim.storeCut["h-a0"] = false
	sim.startHost("h-a0", "a")
	sim.runFor(100 * time.Millisecond) // the first lists are there, no read was requested yet
	is.Equal(sim.startSession("primary-db", ""), statement.CodeOK)
	is.Equal(sim.startSession("new-db", ""), statement.CodeBusy)
}

// Guards against statements on the connection of another workspace: the simulation compares the
// workspace of each statement's key with that of its connection.
func TestWorkspacesDoNotShareConnections(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 63)
	sim.callers.pauseFactor = servablePauses
	for _, h := range sim.sortedHosts() {
		for _, key := range []string{"key-n1", "key-n2", "key-s1"} {
			for _, kind := range []string{"read", "write", "tx", "set"} {
				sim.callers.openSessionWithKey(h.id, "own-db", kind, key)
			}
		}
	}
	sim.runFor(10 * time.Second)
	sim.reportViolations()
	is.True(sim.callers.ok > 500)
	is.Equal(sim.callers.unknown, 0)
}

// Guards against serving a caller without a valid key, also one whose key another version held.
func TestUnknownKeyIsRefused(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 64)
	is.Equal(sim.startSession("own-db", "key-n1"), statement.CodeOK)
	is.Equal(sim.startSession("own-db", "key-x"), statement.CodeAuthFailed)
	is.Equal(sim.startSession("own-db", ""), statement.CodeAuthFailed)
}

// Guards against a session that goes on after its key was withdrawn, in all states that it can be
// in at that moment.
func TestWithdrawnKeyEndsSessions(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 65)
	sim.callers.pauseFactor = servablePauses
	var withdrawn []*callerSim
	for _, h := range sim.sortedHosts() {
		for _, kind := range []string{"read", "write", "tx", "readtx", "set"} {
			withdrawn = append(withdrawn, sim.callers.openSessionWithKey(h.id, "own-db", kind, "key-n1"))
			sim.callers.openSessionWithKey(h.id, "own-db", kind, "key-n2")
		}
	}
	sim.runFor(3 * time.Second)
	sim.workspaces[0].Keys = []string{"key-n2"}
	sim.configure(3)
	sim.runFor(maxConfigDelay)
	for _, s := range withdrawn {
		is.Equal(s.closeCode, statement.CodeAuthFailed) // each caller connects again and is refused
		is.True(!s.ready)
	}
	before := sim.callers.ok
	sim.runFor(2 * time.Second)
	is.True(sim.callers.ok > before+50)
	sim.reportViolations()
	is.Equal(sim.callers.unknown, 0)
}

// Guards against a transaction that uses a withdrawn key for longer than the configuration's bound
// because its caller keeps it open.
func TestTransactionOfWithdrawnKeyIsAborted(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 66)
	m := sim.hosts["h-a0"].machine
	step := func(ev proxy.Event) (closed bool) {
		for _, e := range m.Step(sim.now, ev) {
			if _, ok := e.(proxy.CallerDrain); ok {
				closed = true
			}
		}
		return closed
	}
	step(proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
	step(proxy.CallerQuery{Session: 9, Query: query("x.1", "BEGIN")})
	sim.workspaces = twoWorkspaces()[:1]
	sim.configure(3)
	drainedAt := types.Time(0)
	for start := sim.now; sim.now.Sub(start) < 2*maxConfigDelay && drainedAt == 0; {
		sim.runFor(100 * time.Millisecond)
		// The host may have ended the session in a tick of the simulation.
		if step(proxy.Tick{}) || sim.hosts["h-a0"].drained[9] {
			drainedAt = sim.now
			is.True(sim.now.Sub(start) <= maxConfigDelay)
		}
	}
	is.True(drainedAt != 0)
}

// Guards against a transaction that goes on for the workspace that its caller's key has left.
func TestTransactionEndsAfterKeyHasMoved(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 67)
	s := sim.callers.openSessionWithKey("h-a0", "own-db", "idle", "key-n2")
	sim.runFor(100 * time.Millisecond)
	s.statementPause = 900 * time.Millisecond
	sim.callers.runOperation(s, []string{"BEGIN", "WRITE 1 x", "WRITE 2 x", "WRITE 3 x", "WRITE 4 x", "WRITE 5 x", "WRITE 6 x", "COMMIT"})
	sim.runFor(time.Second)
	sim.workspaces = []catalog.Workspace{{Name: "north", Keys: []string{"key-n1"}}, {Name: "south", Keys: []string{"key-s1", "key-n2"}}}
	sim.configure(3)
	sim.runFor(8 * time.Second)
	sim.reportViolations()
	is.Equal(len(sim.callers.acked), 0)
	// The session goes on for the other workspace.
	s.statementPause = 0
	sim.callers.runOperation(s, []string{"WRITE 1 x"})
	sim.runFor(time.Second)
	sim.reportViolations()
	is.Equal(len(sim.callers.acked), 1)
}

// Guards against a drained session that is removed twice when its last statement is refused for the
// withdrawn key: the memory of all sessions then counts too little.
func TestDrainedSessionOfWithdrawnKeyIsClosedOnce(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 69)
	m := sim.hosts["h-a0"].machine
	m.Step(sim.now, proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
	m.Step(sim.now, proxy.CallerBlocked{Session: 9})
	m.Step(sim.now, proxy.CallerQuery{Session: 9, Query: query("x.1", "READ 1")})
	sim.workspaces = twoWorkspaces()[:1]
	sim.configure(3)
	sim.runFor(maxConfigDelay)
	m.Step(sim.now, proxy.CallerDrained{Session: 9})
	replies, closes := 0, 0
	for _, e := range m.Step(sim.now, proxy.CallerUnblocked{Session: 9}) {
		switch e := e.(type) {
		case proxy.CallerReply:
			is.Equal(e.Reply.Code, statement.CodeAuthFailed)
			replies++
		case proxy.CallerClose:
			closes++
		}
	}
	is.Equal(replies, 1)
	is.Equal(closes, 1)
}

// Guards against a restarted host that accepts a withdrawn key because its first list of the
// configuration is old: it waits for a current one.
func TestRestartedHostWithOldListDoesNotAcceptWithdrawnKey(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 67)
	sim.store.staleObjects, sim.store.staleAsOf = maps.Clone(sim.store.current), sim.store.revision
	sim.workspaces = twoWorkspaces()[1:]
	sim.configure(3)
	sim.runFor(maxConfigDelay)
	sim.killHost("h-a0")
	sim.cutOff("h-a0")
	sim.storeCut["h-a0"] = false
	sim.startHost("h-a0", "a")
	sim.runFor(100 * time.Millisecond) // the first, old lists are there
	sim.storeCut["h-a0"] = true
	sim.runFor(time.Second)
	is.True(!sim.hosts["h-a0"].machine.Ready())
	is.Equal(sim.startSession("own-db", "key-n1"), statement.CodeBusy)
}

// Guards against an earlier build that does not keep workspaces apart: it sends no workspace, and
// must not own endpoints.
func TestHostThatDoesNotKnowWorkspacesRunsNothing(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 68)
	for _, h := range sim.sortedHosts() {
		if h.dc != "a" {
			continue
		}
		record := catalog.Host{ID: h.id, DataCentre: h.dc, MeshAddress: string(h.id), StartedUnixMs: int64(h.incarnation), AuthorityRules: 1}
		sim.store.put(proxy.KindHosts, string(h.id), proxy.Change{Host: &record})
	}
	sim.runFor(time.Second)
	for _, e := range sim.hosts["h-b0"].machine.DebugState(sim.now).Services[0].Endpoints {
		is.True(sim.hosts[e.Owner].dc != "a")
	}
	ran := false
	for _, e := range sim.hosts["h-b0"].machine.Step(sim.now, proxy.PeerMessage{From: "h-b1", Message: proxy.ExecRequest{
		ID: 77, Service: testService, Endpoint: "e-b", Query: query("x.1", "READ 1"), DeadlineIn: time.Second,
	}}) {
		if _, ok := e.(proxy.EndpointSend); ok {
			ran = true
		}
	}
	is.True(!ran)
}

func query(id, text string) pool.Query { return pool.Query{ID: id, Stmt: parse(text)} }
