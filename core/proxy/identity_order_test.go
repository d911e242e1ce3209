package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// identityFixture is the machine of h-b0, whose events the test orders itself. Its configuration has
// the two workspaces of twoWorkspaces. The owner of the primary is another host, which receives
// none of its statements.
type identityFixture struct {
	*is.I
	sim     *simulation
	machine *proxy.Machine
	// effects holds all effects so far.
	effects []proxy.Effect
}

func newIdentityFixture(t *testing.T, seed uint64) *identityFixture {
	sim := newWorkspaceSimulation(t, seed)
	return &identityFixture{I: is.New(t), sim: sim, machine: sim.hosts["h-b0"].machine}
}

// step applies an event and adds its effects to f.effects.
func (f *identityFixture) step(ev proxy.Event) {
	f.effects = append(f.effects, f.machine.Step(f.sim.now, ev)...)
}

// tickAfter advances the time of the machine alone. The other hosts answer its pings.
func (f *identityFixture) tickAfter(d time.Duration) {
	const interval = 100 * time.Millisecond
	for end := f.sim.now.Add(d); f.sim.now.Before(end); {
		f.sim.now = f.sim.now.Add(interval)
		for _, h := range f.sim.sortedHosts() {
			if h.machine != f.machine {
				f.step(proxy.PeerMessage{From: h.id, Message: proxy.Pong{}})
			}
		}
		f.step(proxy.Tick{})
	}
}

// query sends a statement of session 9.
func (f *identityFixture) query(id, text string) {
	f.step(proxy.CallerQuery{Session: 9, Query: query(id, text)})
}

// configure puts a configuration in force on the machine alone.
func (f *identityFixture) configure(version uint64, workspaces []catalog.Workspace, databases ...types.Database) {
	cfg := catalog.Config{Version: version, Workspaces: workspaces, TxIdleTimeout: testTxIdleTimeout, Services: []catalog.Service{{Name: testService, MaxConnections: testMaxConnections}}}
	for _, db := range databases {
		cfg.Routes = append(cfg.Routes, catalog.Route{Database: db, Service: testService, StatementTimeout: 5 * time.Second})
	}
	revision := f.sim.store.revision + 1
	f.sim.store.revision = revision
	f.sim.store.values["order"] = proxy.Change{Config: &cfg}
	f.step(proxy.StoreChanges{Changes: feed.Changes{Kind: proxy.KindConfig, AsOf: revision, Objects: []feed.Object{{
		Kind: proxy.KindConfig, Name: "main", Revision: revision, Data: []byte("order"),
	}}}})
}

// codes returns the codes of the replies to session 9, and how often it was closed.
func (f *identityFixture) codes() (replies []statement.Code, closed int) {
	for _, e := range f.effects {
		switch e := e.(type) {
		case proxy.CallerReply:
			if e.Session == 9 {
				replies = append(replies, e.Reply.Code)
			}
		case proxy.CallerClose:
			if e.Session == 9 {
				closed++
			}
		}
	}
	return replies, closed
}

// Guards against a session that is removed twice, so that the memory of all sessions is counted as
// less than it is: its key is withdrawn while it is drained and a statement waits.
func TestWithdrawnKeyClosesDrainedSessionOnce(t *testing.T) {
	f := newIdentityFixture(t, 71)
	f.step(proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
	f.step(proxy.CallerBlocked{Session: 9})
	f.query("x.1", "READ 1")
	f.configure(3, twoWorkspaces()[:1], "own-db")
	f.step(proxy.CallerDrained{Session: 9})
	f.step(proxy.CallerUnblocked{Session: 9})
	replies, closed := f.codes()
	f.Equal(replies, []statement.Code{statement.CodeAuthFailed})
	f.Equal(closed, 1)
}

// lastRequest returns the last statement that was sent to another host, and how many there were.
func (f *identityFixture) lastRequest() (last proxy.ExecRequest, owner types.Host, sent int) {
	for _, e := range f.effects {
		if e, ok := e.(proxy.PeerSend); ok {
			if req, ok := e.Message.(proxy.ExecRequest); ok {
				last, owner = req, e.Host
				sent++
			}
		}
	}
	return last, owner, sent
}

// deferLast answers the last statement such that it is sent again later.
func (f *identityFixture) deferLast() {
	last, owner, _ := f.lastRequest()
	f.step(proxy.PeerMessage{From: owner, Message: proxy.ExecResult{ID: last.ID, Reason: types.ReasonNotPrimary}})
}

// Guards against a statement that waits for a primary and is sent after its key was withdrawn, in
// and outside a transaction.
func TestDeferredStatementOfWithdrawnKeyIsNotSent(t *testing.T) {
	for _, begin := range []bool{false, true} {
		f := newIdentityFixture(t, 72)
		f.step(proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
		if begin {
			f.query("x.1", "BEGIN")
		}
		f.query("x.2", "WRITE 1")
		f.deferLast()
		_, _, before := f.lastRequest()
		f.Equal(before, 1)
		f.configure(3, twoWorkspaces()[:1], "own-db")
		f.tickAfter(100 * time.Millisecond)
		_, _, after := f.lastRequest()
		f.Equal(after, before)
		replies, closed := f.codes()
		f.Equal(replies[len(replies)-1], statement.CodeAuthFailed)
		f.Equal(closed, 1)
	}
}

// Guards against a statement that is sent again for the workspace that has lost its key to another.
func TestDeferredStatementFollowsItsKey(t *testing.T) {
	f := newIdentityFixture(t, 73)
	f.step(proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
	f.query("x.1", "WRITE 1")
	f.deferLast()
	f.configure(3, []catalog.Workspace{{Name: "north", Keys: []string{"key-s1"}}, {Name: "south", Keys: []string{"key-n1"}}}, "own-db")
	f.tickAfter(100 * time.Millisecond)
	last, _, sent := f.lastRequest()
	f.Equal(sent, 2)
	f.Equal(last.Workspace, types.Workspace("north"))
}

// Guards against a first statement of a transaction without a workspace, which every owner refuses:
// the configuration gains its first workspaces after BEGIN.
func TestTransactionBegunBeforeFirstWorkspaceIsServed(t *testing.T) {
	f := newIdentityFixture(t, 74)
	f.configure(3, nil, "own-db")
	f.step(proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
	f.query("x.1", "BEGIN")
	f.configure(4, twoWorkspaces(), "own-db")
	f.query("x.2", "WRITE 1")
	last, _, sent := f.lastRequest()
	f.Equal(sent, 1)
	f.Equal(last.Workspace, types.Workspace("south"))
}

// ownerFixture is the owner of the endpoint e-a, which gets requests from the host h-b0.
type ownerFixture struct {
	*is.I
	sim   *simulation
	owner *hostSim
	// results holds the results that the owner has sent.
	results map[proxy.RequestID]proxy.ExecResult
}

func newOwnerFixture(t *testing.T, sim *simulation) *ownerFixture {
	f := &ownerFixture{I: is.New(t), sim: sim, results: map[proxy.RequestID]proxy.ExecResult{}}
	for _, e := range sim.hosts["h-b0"].machine.DebugState(sim.now).Services[0].Endpoints {
		if e.ID == "e-a" {
			f.owner = sim.hosts[e.Owner]
		}
	}
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		if res, ok := msg.(proxy.ExecResult); ok {
			f.results[res.ID] = res
		}
		return false
	}
	return f
}

// send sends the owner a statement of a transaction for e-a. The first one begins it.
func (f *ownerFixture) send(id proxy.RequestID, tx proxy.TxID, w types.Workspace, isFirst bool) {
	f.sendTo("e-a", id, tx, w, isFirst)
}

func (f *ownerFixture) sendTo(endpoint types.Endpoint, id proxy.RequestID, tx proxy.TxID, w types.Workspace, isFirst bool) {
	req := proxy.ExecRequest{
		ID: id, Service: testService, Endpoint: endpoint, RequirePrimary: endpoint == "e-a", Tx: tx, Query: query(fmt.Sprintf("x.%d", id), "READ 1"), Workspace: w,
		DueIn: time.Second, DeadlineIn: time.Second, MaxStaleness: time.Minute,
	}
	if isFirst {
		begin := query("x.0", "BEGIN")
		req.Begin = &begin
	}
	f.sim.deliver(f.owner, proxy.PeerMessage{From: "h-b0", Message: req})
}

// Guards against open transactions that all end because the configuration gains its first
// workspaces: their requests name none, and the owner must still run them. It must not begin new
// ones.
func TestOpenTransactionOutlivesFirstWorkspace(t *testing.T) {
	f := newOwnerFixture(t, newSimulation(t, 75, 2))
	f.send(101, 5, "", true)
	f.sim.runFor(500 * time.Millisecond)
	f.True(f.results[101].TxOpen)
	f.sim.workspaces = twoWorkspaces()
	f.sim.configure(2)
	f.sim.runFor(maxConfigDelay / 2)
	f.send(102, 5, "", false)
	f.send(103, 6, "", true)
	f.sim.runFor(500 * time.Millisecond)
	f.Equal(f.results[102].Reason, types.ReasonNone)
	f.True(f.results[102].TxOpen)
	f.Equal(f.results[103].Reason, types.ReasonUnreachable)
}

// Guards against a transaction that uses a withdrawn key without end: its caller always has a
// statement in flight, or the version that withdraws the key also removes the route.
func TestTransactionOfWithdrawnKeyEndsInAllStates(t *testing.T) {
	for name, routes := range map[string][]types.Database{"statement in flight": {"own-db"}, "route removed": {"other-db"}} {
		t.Run(name, func(t *testing.T) {
			f := newIdentityFixture(t, 76)
			f.configure(3, twoWorkspaces(), "own-db")
			f.step(proxy.CallerStarted{Session: 9, Database: "own-db", Key: "key-s1"})
			f.query("x.1", "BEGIN")
			f.query("x.2", "READ 1")
			for n := 3; n < 5; n++ {
				f.query(fmt.Sprintf("x.%d", n), "READ 1")
			}
			answer := func() {
				last, owner, _ := f.lastRequest()
				f.step(proxy.PeerMessage{From: owner, Message: proxy.ExecResult{
					ID: last.ID, MayHaveRun: true, Reply: statement.Reply{State: statement.StateInTransaction}, TxOpen: true,
				}})
			}
			answer()
			f.configure(4, twoWorkspaces()[:1], routes...)
			if name == "route removed" {
				answer()
				answer()
			}
			f.tickAfter(maxConfigDelay * 6 / 10)
			f.step(proxy.CallerDrained{Session: 9})
			if name != "route removed" {
				answer()
				answer()
			}
			_, closed := f.codes()
			f.Equal(closed, 1)
		})
	}
}
