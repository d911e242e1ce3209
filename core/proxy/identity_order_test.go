package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// identityFixture is a machine whose events the test orders itself. Its configuration has the two
// workspaces of twoWorkspaces.
type identityFixture struct {
	*is.I
	sim     *simulation
	machine *proxy.Machine
	// effects holds all effects so far.
	effects []proxy.Effect
}

func newIdentityFixture(t *testing.T, seed uint64) *identityFixture {
	sim := newWorkspaceSimulation(t, seed)
	return &identityFixture{I: is.New(t), sim: sim, machine: sim.hosts["h-a0"].machine}
}

// step applies an event, adds its effects to f.effects, and delivers them.
func (f *identityFixture) step(ev proxy.Event) {
	effects := f.machine.Step(f.sim.now, ev)
	f.effects = append(f.effects, effects...)
	for _, e := range effects {
		f.sim.applyEffect(f.sim.hosts["h-a0"], e)
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
