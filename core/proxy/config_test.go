package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

// configBound is the time in which an accepted configuration is in force.
const configBound = 3 * time.Second

// checkServesNew checks that every host serves the database that version 2 adds, within a
// time each.
func (w *world) checkServesNew(is *is.I, each time.Duration) {
	w.t.Helper()
	for _, h := range w.sortedHosts() {
		got := w.callers.open(h.id, "new-db", "read")
		w.run(each)
		is.True(got.ready)
	}
}

func TestConfigurationReachesHostsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 12, 3)
	openAll(w)
	w.storeCut["h-b1"], w.storeCut["h-c0"], w.storeCut["h-c2"] = true, true, true
	w.run(time.Second)
	w.configureRoutes(2, 3*time.Second, "primary-db", "bounded-db", "own-db", "new-db")
	w.run(configBound)
	w.checkServesNew(is, 200*time.Millisecond)
}

// While watches are deaf, a host of each data centre reads the configuration.
func TestConfigurationIsReadWhileWatchesAreDeaf(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 13, 4)
	openAll(w)
	w.run(time.Second)
	w.deaf = true
	w.configureRoutes(2, 3*time.Second, "primary-db", "bounded-db", "own-db", "new-db")
	w.run(configBound)
	w.checkServesNew(is, 200*time.Millisecond)
}

// A host whose links have all gone silent, unnoticed, reads for itself in time.
func TestConfigurationIsReadWhereNobodyIsHeard(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 15, 7)
	w.run(time.Second)
	w.deaf = true
	for _, h := range w.sortedHosts() {
		for _, other := range w.sortedHosts() {
			w.cuts[[2]string{string(h.id), string(other.id)}] = h != other
		}
	}
	w.configureRoutes(2, 3*time.Second, "primary-db", "bounded-db", "own-db", "new-db")
	w.run(configBound)
	w.checkServesNew(is, 10*time.Millisecond)
}

// A host on a narrow link that alone has a large configuration does not hold up the
// others: those that have it pass it on.
func TestConfigurationSpreadsPastANarrowLink(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 41, 8)
	w.run(time.Second)
	w.deaf = true
	for _, h := range w.sortedHosts() {
		w.storeCut[h.id] = h.id != "h-a0"
	}
	w.narrow = map[types.Host]time.Duration{"h-a0": 250 * time.Millisecond}
	w.configureRoutes(2, 3*time.Second, "primary-db", "bounded-db", "own-db", "new-db")
	w.run(configBound)
	w.checkServesNew(is, 10*time.Millisecond)
}
