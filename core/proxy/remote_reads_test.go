package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

const remoteForWait = `baobab_remote_reads_total{reason="wait"}`

// countLogs returns the number of a host's log lines of an event.
func (h *hostSim) countLogs(event string) int {
	n := 0
	for _, l := range h.logs {
		if l.Event == event {
			n++
		}
	}
	return n
}

func (sim *simulation) sumCounter(name string) int {
	sum := 0
	for _, h := range sim.hosts {
		sum += h.counters[name]
	}
	return sum
}

// openReaders opens sessions that read at a host, and one that writes elsewhere: without writes, a
// replica cannot show that it is up to date.
func (sim *simulation) openReaders(h types.Host, n int) {
	sim.callers.openSession("h-a0", "own-db", "write")
	for range n {
		sim.callers.openSession(h, "own-db", "read")
	}
}

// Guards against reads that leave a data centre whose endpoint serves them well.
func TestReadsStayInTheirDataCentre(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 61, 2)
	sim.callers.pauseFactor = servablePauses
	openAll(sim)
	sim.runFor(20 * time.Second)
	sim.reportViolations()
	is.True(sim.callers.ok > 300)
	is.Equal(sim.sumCounter(remoteForWait), 0)
}

// Guards against reads that wait for a slow endpoint of their data centre while others are idle,
// that do not return after its recovery, and against a log line for each of them.
func TestReadsLeaveSlowEndpointAndReturn(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 62, 2)
	sim.openReaders("h-c0", 8)
	sim.runFor(2 * time.Second)
	is.Equal(sim.sumCounter(remoteForWait), 0)
	h := sim.hosts["h-c0"]
	sim.endpoints["e-c"].slowdown = 9
	before := sim.callers.ok
	sim.runFor(10 * time.Second)
	slow := sim.callers.ok - before
	left := h.counters[remoteForWait]
	t.Logf("%d of %d reads left", left, slow)
	is.True(left > slow/4)
	is.True(left < slow) // some stay, so that the recovery is noticed
	sim.endpoints["e-c"].slowdown = 0
	sim.runFor(3 * time.Second)
	left = h.counters[remoteForWait]
	sim.runFor(20 * time.Second)
	is.Equal(h.counters[remoteForWait], left)
	is.Equal(h.countLogs("reads leave the data centre"), 1)
	is.Equal(h.countLogs("reads stay in the data centre"), 1)
	sim.reportViolations()
}

// Guards against reads that wait for the share to rise while the endpoint of their data centre
// fails every request.
func TestReadsLeaveFailingEndpointAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 63, 2)
	sim.openReaders("h-c0", 4)
	sim.runFor(2 * time.Second)
	sim.endpoints["e-c"].crash()
	sim.runFor(300 * time.Millisecond)
	before := sim.callers.ok
	sim.runFor(700 * time.Millisecond)
	is.True(sim.callers.ok-before > 20)
	is.True(sim.sumCounter(`baobab_remote_reads_total{reason="fault"}`)+sim.sumCounter(`baobab_remote_reads_total{reason="no endpoint"}`) > 20)
	sim.reportViolations()
}

// Guards against a price that is not used: with a high one, the reads stay.
func TestRemotePriceKeepsReads(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 62, 2)
	for _, h := range sim.sortedHosts() {
		h.remotePrice = time.Minute
		sim.killHost(h.id)
		sim.startHost(h.id, h.dc)
	}
	sim.runFor(2 * time.Second)
	sim.openReaders("h-c0", 8)
	sim.endpoints["e-c"].slowdown = 9
	sim.runFor(5 * time.Second)
	is.True(sim.callers.ok > 100)
	is.Equal(sim.sumCounter(remoteForWait), 0)
}
