package capacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The lines between which ReplaceTables writes the tables.
const (
	beginMarker = "<!-- capacity: begin -->"
	endMarker   = "<!-- capacity: end -->"
)

// ProgressFunc reports the progress of a run. Its parameters are those of fmt.Printf.
type ProgressFunc func(format string, args ...any)

// Run makes the named measurements for the named fleets. When ctx ends, it completes
// the measurement in progress, skips the others and returns the results so far.
func Run(ctx context.Context, fleetNames, measurementNames []string, reportProgress ProgressFunc) *Report {
	report := &Report{Machine: fmt.Sprintf("%d processors, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())}
	for _, f := range fleets {
		if !slices.Contains(fleetNames, f.name) {
			continue
		}
		var missing []string
		for _, measurement := range measurements {
			if !slices.Contains(measurementNames, measurement.name) || ctx.Err() != nil {
				missing = append(missing, measurement.name)
				reportProgress("%s: %s not measured", f.name, measurement.name)
				continue
			}
			start := time.Now()
			rows, events := measurement.measure(f, reportProgress)
			report.Rows = append(report.Rows, rows...)
			report.Events = append(report.Events, events...)
			reportProgress("%s: %s measured in %v", f.name, measurement.name, time.Since(start).Round(time.Millisecond))
		}
		report.addTotals(f, missing)
	}
	return report
}

// measurement is a named function that returns rows and events for one fleet.
type measurement struct {
	name    string
	measure func(fleet, ProgressFunc) ([]Row, []Event)
}

var measurements = []measurement{
	{name: "entry", measure: func(f fleet, _ ProgressFunc) ([]Row, []Event) { return []Row{measureFrontend(f)}, nil }},
	{name: "owner", measure: func(f fleet, _ ProgressFunc) ([]Row, []Event) {
		return measureOwners(f), []Event{measurePrimaryLoss(f)}
	}},
	{name: "configuration", measure: func(f fleet, _ ProgressFunc) ([]Row, []Event) {
		rows, event := measureConfig(f)
		return rows, append([]Event{event}, measureConfigEvents(f)...)
	}},
	{name: "membership", measure: measureMembership},
	{name: "sockets", measure: measureSockets},
}

// addTotals adds the sums of all roles of an ordinary host and of a relay host. The names
// of the sums list the missing measurements.
func (r *Report) addTotals(f fleet, missing []string) {
	suffix := ""
	if len(missing) > 0 {
		suffix = ", without " + strings.Join(missing, " and ")
	}
	ordinary := Row{Fleet: f.name, Role: "ordinary host" + suffix, Hosts: f.hosts}
	relay := Row{Fleet: f.name, Role: "relay host" + suffix, Hosts: f.hosts}
	for _, row := range r.Rows {
		if row.Fleet != f.name {
			continue
		}
		relayOnly := strings.HasSuffix(row.Role, "relay")
		onEveryHost := row.Role == "owner" || row.Role == "entry" || row.Role == "stand-by"
		if !relayOnly {
			ordinary.addCosts(row)
		}
		if relayOnly || onEveryHost {
			relay.addCosts(row)
		}
	}
	r.Totals = append(r.Totals, ordinary, relay)
}

func (r *Row) addCosts(other Row) {
	r.MessagesPerSecond += other.MessagesPerSecond
	r.BytesPerSecond += other.BytesPerSecond
	r.CoreShare += other.CoreShare
	r.MemoryBytes += other.MemoryBytes
	r.PlatformReadsPerSecond += other.PlatformReadsPerSecond
}

// Markdown returns the report as Markdown tables.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s.\n\n", r.Machine)
	b.WriteString("| Fleet | Role | Messages/s | Bytes/s | Core | Memory | Platform reads | Mechanism | Note |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "| %s | %s | %.1f | %s | %s | %s | %.0f | %s | %s |\n", row.Fleet, row.Role, row.MessagesPerSecond,
			formatBytes(row.BytesPerSecond), formatShare(row.CoreShare), formatBytes(float64(row.MemoryBytes)), row.PlatformReadsPerSecond, row.Mechanism, row.Note)
	}
	b.WriteString("\n| Fleet | Sum | Bytes/s, of 10 KB | Core, of 3.5% | Memory, of 64 MB |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range r.Totals {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", row.Fleet, row.Role,
			formatBudgetShare(formatBytes(row.BytesPerSecond), row.BytesPerSecond/trafficBudgetBytesPerSecond),
			formatBudgetShare(formatShare(row.CoreShare), row.CoreShare/coreShareBudget),
			formatBudgetShare(formatBytes(float64(row.MemoryBytes)), float64(row.MemoryBytes)/memoryBudgetBytes))
	}
	b.WriteString("\n| Event | Result | Budget | Mechanism |\n| --- | --- | --- | --- |\n")
	for _, event := range r.Events {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", event.Name, event.Result, event.Budget, event.Mechanism)
	}
	return b.String()
}

// formatBudgetShare appends to a cost its share of the budget. A share of more than 1
// is reported as a missed budget.
func formatBudgetShare(cost string, share float64) string {
	if share > 1 {
		return fmt.Sprintf("%s, MISSED by a factor of %.1f", cost, share)
	}
	return fmt.Sprintf("%s, %.0f%%", cost, share*100)
}

// ReplaceTables replaces the text between the begin and end markers of a file. It returns
// an error if a marker is missing.
func ReplaceTables(fileName, tables string) error {
	content, err := os.ReadFile(fileName)
	if err != nil {
		return errors.Wrap(err, "read the capacity page")
	}
	before, rest, beginFound := strings.Cut(string(content), beginMarker)
	_, after, endFound := strings.Cut(rest, endMarker)
	if !beginFound || !endFound {
		return errors.Errorf("file %q lacks the lines %q and %q", fileName, beginMarker, endMarker)
	}
	page := before + beginMarker + "\n" + tables + endMarker + after
	return errors.Wrap(os.WriteFile(fileName, []byte(page), 0o644), "write the capacity page")
}
