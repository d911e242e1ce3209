package capacity

import (
	"fmt"
	"time"
)

// The budgets for the control of a host, for the platform and for the times of events,
// and the expected numbers of events a day.
const (
	coreShareBudget             = 0.035 // of a core
	memoryBudgetBytes           = 64 << 20
	trafficBudgetBytesPerSecond = 10 << 10
	platformReadBudget          = 2000 // reads a second; each pending watch counts as one
	platformWriteBudget         = 300  // writes a second
	rolloutBudget               = 4 * time.Second
	primaryChangeBudget         = 20 * time.Second
	secondsPerDay               = 86400
	configChangesPerDay         = 2000
	replacedHostsPerDay         = 860
	failedHostsPerDay           = 27
	primaryChangesPerDay        = 5
)

// Row is the cost of one role at one fleet size.
type Row struct {
	Fleet string
	Role  string
	// Hosts is the number of hosts over which the figures are averaged.
	Hosts int
	// MessagesPerSecond and BytesPerSecond are the mean traffic of one host, sent and
	// received.
	MessagesPerSecond, BytesPerSecond float64
	// CoreShare is the share of a CPU core that the state machines of one host use.
	CoreShare float64
	// MemoryBytes is the memory of the state machines of one host.
	MemoryBytes int
	// PlatformReadsPerSecond is the load on the platform from all hosts in the role. Each
	// pending watch counts as one read.
	PlatformReadsPerSecond float64
	Mechanism              string
	Note                   string
}

// roleRows returns one row averaged over the ordinary hosts and one averaged over the
// relays.
func roleRows(f fleet, nw *network, ordinary, relay string, window time.Duration) []Row {
	relays := f.relayHosts()
	return []Row{
		meanRow(f, nw, ordinary, window, func(i int) bool { return !relays[i] }),
		meanRow(f, nw, relay, window, func(i int) bool { return relays[i] }),
	}
}

func meanRow(f fleet, nw *network, role string, window time.Duration, includes func(int) bool) Row {
	row := Row{Fleet: f.name, Role: role}
	for i, usage := range nw.usage {
		if nw.machines[i] == nil || !includes(i) {
			continue
		}
		row.Hosts++
		row.MessagesPerSecond += float64(usage.sent + usage.received)
		row.BytesPerSecond += float64(usage.sentBytes + usage.receivedBytes)
		row.CoreShare += usage.cpuTime.Seconds()
	}
	scale := float64(max(row.Hosts, 1)) * window.Seconds()
	row.MessagesPerSecond /= scale
	row.BytesPerSecond /= scale
	row.CoreShare /= scale
	return row
}

// Event is the measured result of one event, such as the loss of a data centre.
type Event struct {
	Name, Result, Budget, Mechanism string
}

// Report holds the results of a run and the machine that it ran on.
type Report struct {
	Machine string
	Rows    []Row
	// Totals are the sums over the roles of an ordinary host and of a relay host.
	Totals []Row
	Events []Event
}

func formatBytes(n float64) string {
	switch {
	case n >= 1<<20:
		return fmt.Sprintf("%.1f MB", n/(1<<20))
	case n >= 1<<10:
		return fmt.Sprintf("%.1f KB", n/(1<<10))
	}
	return fmt.Sprintf("%.0f B", n)
}

func formatShare(share float64) string { return fmt.Sprintf("%.3f%%", share*100) }
