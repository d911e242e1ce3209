package proxy_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/feed"
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
	for version := range uint64(4) {
		sim.configure(2+version, 3*time.Second)
		sim.runFor(500 * time.Millisecond)
	}
	sim.store.restore(backup)
	sim.configure(5, 3*time.Second) // the operator's last version again
	sim.runFor(time.Second)
	sim.configureRoutes(6, 3*time.Second, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
	sim.reportViolations()
}

// The version that the restored store holds at first is older than the one in force.
func TestConfigurationStaysInForceWhileRestoredStoreHasOlderOne(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 52, 4)
	backup := sim.store.backup()
	sim.configureRoutes(2, 3*time.Second, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(time.Second)
	sim.store.restore(backup)
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
}
