package capacity

import (
	"fmt"
	"time"
)

// Budgets of a host for control, and of the platform.
const (
	coreShareBudget   = 0.035 // of a core
	memoryBudget      = 64 << 20
	trafficBudget     = 10 << 10 // bytes a second
	platformReads     = 2000     // a second; each waiting watch counts as one
	platformWrites    = 300      // a second
	rolloutBudget     = 4 * time.Second
	primaryBudget     = 20 * time.Second
	secondsPerDay     = 86400
	changesPerDay     = 2000
	replacedPerDay    = 860
	failedPerDay      = 27
	primaryChangesDay = 5
)

// Row is the cost of one role at one size.
type Row struct {
	Fleet string
	Role  string
	// Hosts is the number of hosts that the figures cover.
	Hosts int
	// Messages and Bytes are sent and received by one host in a second.
	Messages, Bytes float64
	// Core is the share of a core that the state machines of one host take.
	Core   float64
	Memory int
	// Reads is the load of the whole fleet's role on the platform in a second.
	Reads     float64
	Mechanism string
	Note      string
}

// roleRows averages the meters of ordinary hosts and of relays.
func roleRows(f fleet, b *bus, ordinary, relay string, window time.Duration) []Row {
	relays := f.relays()
	return []Row{
		meanRow(f, b, ordinary, window, func(i int) bool { return !relays[i] }),
		meanRow(f, b, relay, window, func(i int) bool { return relays[i] }),
	}
}

func meanRow(f fleet, b *bus, role string, window time.Duration, includes func(int) bool) Row {
	row := Row{Fleet: f.name, Role: role}
	for i, m := range b.meters {
		if b.peers[i] == nil || !includes(i) {
			continue
		}
		row.Hosts++
		row.Messages += float64(m.sent + m.received)
		row.Bytes += float64(m.sentBytes + m.receivedBytes)
		row.Core += m.busy.Seconds()
	}
	scale := float64(max(row.Hosts, 1)) * window.Seconds()
	row.Messages /= scale
	row.Bytes /= scale
	row.Core /= scale
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
