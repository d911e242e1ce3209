package proxy_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// storeBackup is a copy of the store's objects.
type storeBackup struct {
	revision types.Revision
	current  map[string]feed.Object
}

func (s *storeSim) backup() storeBackup {
	return storeBackup{revision: s.revision, current: maps.Clone(s.current)}
}

// restore is like restoreObjects. The endpoints that run then write their records again.
func (s *storeSim) restore(b storeBackup) {
	s.restoreObjects(b)
	for _, e := range s.sim.sortedEndpoints() {
		if e.alive {
			e.register()
		}
	}
}

// restoreObjects takes the store away for a second and returns it with the objects of a copy,
// in the next era.
func (s *storeSim) restoreObjects(b storeBackup) {
	s.down = true
	s.sim.runFor(time.Second)
	s.down = false
	era := s.revision.Era() + 1
	s.revision = types.EraStart(era) + types.Revision(b.revision.Number())
	s.current = map[string]feed.Object{}
	for key, o := range b.current {
		o.Revision = types.EraStart(era) + types.Revision(o.Revision.Number())
		s.current[key] = o
	}
	for _, h := range s.watchers {
		s.sendAllKinds(h)
	}
}

func TestConfigurationOfRestoredStoreIsInForce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 51, 4)
	openAll(sim)
	backup := sim.store.backup()
	const lost = 20 // versions, so that the numbers of the restored store stay behind
	for version := range uint64(lost) {
		sim.configure(2 + version)
		sim.runFor(100 * time.Millisecond)
	}
	sim.store.restore(backup)
	sim.configure(1 + lost) // the operator's last version again
	sim.runFor(time.Second)
	sim.configureRoutes(2+lost, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
	sim.reportViolations()
}

// The version that the restored store holds at first is older than the one in force.
func TestConfigurationStaysInForceWhileRestoredStoreHasOlderOne(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 52, 4)
	backup := sim.store.backup()
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(time.Second)
	sim.store.restore(backup)
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
}

// A host without a record is not known to hosts that start later.
func TestHostRecordLostInRestoreIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 53, 3)
	backup := sim.store.backup()
	sim.startHost("h-b9", "b")
	sim.killHost("h-c0")
	sim.startHost("h-c0", "c")
	sim.runFor(2 * time.Second)
	sim.store.restore(backup)
	sim.runFor(3 * time.Second)
	for _, h := range sim.sortedHosts() {
		o, ok := sim.store.current[string(proxy.KindHosts)+"/"+string(h.id)]
		is.True(ok)
		is.Equal(sim.store.values[string(o.Data)].Host.StartedUnixMs, int64(h.incarnation))
	}
}

// The restored record names the old primary and an old token.
func TestLeadershipLostInRestoreIsKeptAndWrittenAgain(t *testing.T) {
	for _, empty := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(t, 54, 3)
		openAll(sim)
		if !empty {
			sim.replacePrimary()
		}
		backup := sim.store.backup()
		sim.replacePrimary()
		before := sim.storedLeadership(t)
		sim.store.restore(backup)
		sim.startHost("h-a9", "a") // knows only what the store holds
		sim.runFor(3 * time.Second)
		sim.expectRecentWrite(time.Second)
		after := sim.storedLeadership(t)
		is.Equal(after.FencingToken, before.FencingToken)
		is.Equal(after.Primary, before.Primary)
		sim.replacePrimary() // with a token that is greater than all before
		is.True(sim.storedLeadership(t).FencingToken > before.FencingToken)
		sim.reportViolations()
	}
}

// replacePrimary ends the primary and waits for another one, and for the old one to return.
func (sim *simulation) replacePrimary() {
	var old *endpointSim
	for _, e := range sim.sortedEndpoints() {
		if e.primary {
			old = e
		}
	}
	old.crash()
	sim.runFor(4 * time.Second)
	old.restart()
	sim.runFor(4 * time.Second)
}

func (sim *simulation) storedLeadership(t *testing.T) catalog.Leadership {
	t.Helper()
	o, ok := sim.store.current[string(proxy.KindLeadership)+"/"+string(testService)]
	if !ok {
		t.Fatal("the store has no leadership record")
	}
	return *sim.store.values[string(o.Data)].Leadership
}

// The copy is from before the endpoint announced its end.
func TestLeavingEndpointStaysLeavingAfterRestore(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 55, 3)
	backup := sim.store.backup()
	sim.endpoints["e-b"].leaving = true
	sim.endpoints["e-b"].register()
	sim.runFor(time.Second)
	sim.store.restoreObjects(backup)
	sim.runFor(time.Second)
	for _, h := range sim.sortedHosts() {
		for _, e := range h.machine.DebugState(sim.now).Services[0].Endpoints {
			is.Equal(e.Leaving, e.ID == "e-b")
		}
	}
}

// No host remembers the token that the restored store has lost.
func TestTokenAfterRestoreIsGreaterThanLostOnes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 56, 2)
	openAll(sim)
	backup := sim.store.backup()
	sim.replacePrimary()
	before := sim.storedLeadership(t).FencingToken
	for _, h := range sim.sortedHosts() {
		sim.killHost(h.id)
	}
	sim.store.restore(backup)
	for _, h := range sim.sortedHosts() {
		sim.startHost(h.id, h.dc)
	}
	sim.runFor(2 * time.Second)
	openAll(sim)
	sim.replacePrimary()
	is.True(sim.storedLeadership(t).FencingToken > before)
	sim.reportViolations()
}

// A host can know a leadership record, or the new era, from the store's reply to a claim alone.
func TestRestoreIsNoticedInRepliesToClaims(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 57, 1)
	h := sim.hosts["h-a0"]
	sim.deliver(h, proxy.StoreChanges{Changes: feed.Changes{Kind: proxy.KindLeadership, AsOf: types.EraStart(1) + 30, Full: true}})
	reply := func(record catalog.Leadership) {
		record.Service = testService
		sim.deliver(h, proxy.ClaimResult{Service: testService, CurrentKnown: true, Current: record})
	}
	reply(catalog.Leadership{FencingToken: 7, Primary: "e-b", Revision: types.EraStart(1) + 40})
	sim.deliver(h, proxy.StoreChanges{Changes: feed.Changes{Kind: proxy.KindLeadership, AsOf: types.EraStart(2) + 35, Full: true}})
	known := h.machine.DebugState(sim.now).Services[0].Leadership
	is.Equal(known.Revision, types.EraStart(2)) // a claim has to create the record
	is.Equal(known.FencingToken, uint64(7))

	reply(catalog.Leadership{FencingToken: 7, Primary: "e-b", Revision: types.EraStart(3) + 20})
	last := h.logs[len(h.logs)-1]
	for _, l := range h.logs {
		if l.Event == "store restored" {
			last = l
		}
	}
	is.Equal(last.Fields[0], proxy.Field{Key: "era", Value: uint64(3)})
}

// Guards against a host that counts as leaving until it restarts, since the store has carried out the last
// write of its earlier process late.
func TestLateRecordOfEarlierProcessIsReplaced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 870, 2)
	sim.runFor(2 * time.Second)
	h := sim.hosts["h-b0"]
	earlier := catalog.Host{ID: h.id, DataCentre: h.dc, MeshAddress: string(h.id), StartedUnixMs: h.startedUnixMs() - 1, Leaving: true}
	sim.store.put(proxy.KindHosts, string(h.id), proxy.Change{Host: &earlier})
	sim.runFor(2 * time.Second)
	o := sim.store.current[string(proxy.KindHosts)+"/"+string(h.id)]
	is.Equal(sim.store.values[string(o.Data)].Host.StartedUnixMs, h.startedUnixMs())
	is.True(!sim.store.values[string(o.Data)].Host.Leaving)
}

// Guards against changes of the configuration that do not reach a host without the store, since large
// records of another writer make the message that carries them too large.
func TestLargeRecordsDoNotHoldUpOtherKinds(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 871, 1)
	m := sim.hosts["h-a0"].machine
	var objects []feed.Object
	for _, name := range []string{"x1", "x2", "x3"} {
		objects = append(objects, feed.Object{Kind: proxy.KindEndpoints, Name: name, Revision: 900, Data: make([]byte, 1<<20)})
	}
	m.Step(sim.now, proxy.StoreChanges{Changes: feed.Changes{Kind: proxy.KindEndpoints, AsOf: 900, Objects: objects}})
	var kinds []feed.Kind
	for _, e := range m.Step(sim.now, proxy.PeerMessage{From: "h-b0", Message: proxy.ChangesRequest{Since: []proxy.Revision{{Kind: proxy.KindEndpoints}, {Kind: proxy.KindConfig}}}}) {
		send, ok := e.(proxy.PeerSend)
		if !ok {
			continue
		}
		if response, ok := send.Message.(proxy.ChangesResponse); ok {
			is.Equal(len(response.Kinds), 1)
			kinds = append(kinds, response.Kinds[0].Kind)
			size := 0
			for _, o := range response.Kinds[0].Objects {
				size += len(o.Data)
			}
			is.True(size < 1<<20)
		}
	}
	is.Equal(kinds, []feed.Kind{proxy.KindEndpoints, proxy.KindConfig})
}
