package capacity

import (
	"fmt"
	"time"
)

// Budgets of a host for control, and of the platform.
const (
	coreShareBudget             = 0.035 // of a core
	memoryBudgetBytes           = 64 << 20
	trafficBudgetBytesPerSecond = 10 << 10 // bytes a second
	platformReadBudget          = 2000     // a second; each waiting watch counts as one
	platformWriteBudget         = 300      // a second
	rolloutBudget               = 4 * time.Second
	primaryChangeBudget         = 20 * time.Second
	secondsPerDay               = 86400
	configChangesPerDay         = 2000
	replacedHostsPerDay         = 860
	failedHostsPerDay           = 27
	primaryChangesPerDay        = 5
)

// Row is the cost of one role at one size.
type Row struct {
	Fleet string
	Role  string
	// Hosts is the number of hosts that the figures cover.
	Hosts int
	// MessagesPerSecond and BytesPerSecond are sent and received by one host in a second.
	MessagesPerSecond, BytesPerSecond float64
	// CoreShare is the share of a core that the state machines of one host take.
	CoreShare   float64
	MemoryBytes int
	// PlatformReadsPerSecond is the load of the whole fleet's role on the platform in a second.
	PlatformReadsPerSecond float64
	Mechanism              string
	Note                   string
}

// roleRows averages the meters of ordinary hosts and of relays.
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
		row.CoreShare += usage.coreTime.Seconds()
	}
	scale := float64(max(row.Hosts, 1)) * window.Seconds()
	row.MessagesPerSecond /= scale
	row.BytesPerSecond /= scale
	row.CoreShare /= scale
	return row
}

// Event is what one event of a bad day costs.
type Event struct {
	Name, Result, Budget, Mechanism string
}

// Report holds the results of a run.
type Report struct {
	Machine string
	Rows    []Row
	Totals  []Row
	Events  []Event
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
