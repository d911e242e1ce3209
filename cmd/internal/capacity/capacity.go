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

// The marks between which Replace writes the tables.
const (
	beginMark = "<!-- capacity: begin -->"
	endMark   = "<!-- capacity: end -->"
)

// Note shows the progress of a run.
type Note func(format string, args ...any)

// Run makes the named measurements of the named fleets. It stops between two
// measurements once ctx ends, and returns what it has.
func Run(ctx context.Context, names, roles []string, note Note) *Report {
	report := &Report{Machine: fmt.Sprintf("%d processors, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())}
	for _, f := range fleets {
		if !slices.Contains(names, f.name) {
			continue
		}
		var missing []string
		for _, measurement := range measurements {
			if !slices.Contains(roles, measurement.name) || ctx.Err() != nil {
				missing = append(missing, measurement.name)
				note("%s: %s not measured", f.name, measurement.name)
				continue
			}
			start := time.Now()
			rows, events := measurement.measure(f, note)
			report.Rows = append(report.Rows, rows...)
			report.Events = append(report.Events, events...)
			note("%s: %s measured in %v", f.name, measurement.name, time.Since(start).Round(time.Millisecond))
		}
		report.addTotals(f, missing)
	}
	return report
}

// measurement is a part of a run.
type measurement struct {
	name    string
	measure func(fleet, Note) ([]Row, []Event)
}

var measurements = []measurement{
	{name: "entry", measure: func(f fleet, _ Note) ([]Row, []Event) { return []Row{measureEntry(f)}, nil }},
	{name: "owner", measure: func(f fleet, _ Note) ([]Row, []Event) { return measureOwners(f), []Event{losePrimary(f)} }},
	{name: "configuration", measure: func(f fleet, _ Note) ([]Row, []Event) {
		rows, event := measureConfig(f)
		return rows, append([]Event{event}, measureConfigDays(f)...)
	}},
	{name: "membership", measure: measureMembers},
	{name: "sockets", measure: measureSockets},
}

// addTotals adds up the roles that one host plays at a time, and names the
// measurements that are missing.
func (r *Report) addTotals(f fleet, missing []string) {
	without := ""
	if len(missing) > 0 {
		without = ", without " + strings.Join(missing, " and ")
	}
	ordinary := Row{Fleet: f.name, Role: "ordinary host" + without, Hosts: f.hosts}
	relay := Row{Fleet: f.name, Role: "relay host" + without, Hosts: f.hosts}
	for _, row := range r.Rows {
		if row.Fleet != f.name {
			continue
		}
		onRelay := strings.HasSuffix(row.Role, "relay")
		onBoth := row.Role == "owner" || row.Role == "entry" || row.Role == "stand-by"
		if !onRelay {
			ordinary.add(row)
		}
		if onRelay || onBoth {
			relay.add(row)
		}
	}
	r.Totals = append(r.Totals, ordinary, relay)
}

func (r *Row) add(other Row) {
	r.Messages += other.Messages
	r.Bytes += other.Bytes
	r.Core += other.Core
	r.Memory += other.Memory
	r.Reads += other.Reads
}

// Markdown returns the tables.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s.\n\n", r.Machine)
	b.WriteString("| Fleet | Role | Messages/s | Bytes/s | Core | Memory | Platform reads | Mechanism | Note |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "| %s | %s | %.1f | %s | %s | %s | %.0f | %s | %s |\n", row.Fleet, row.Role, row.Messages,
			formatBytes(row.Bytes), formatShare(row.Core), formatBytes(float64(row.Memory)), row.Reads, row.Mechanism, row.Note)
	}
	b.WriteString("\n| Fleet | Sum | Bytes/s, of 10 KB | Core, of 3.5% | Memory, of 64 MB |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range r.Totals {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", row.Fleet, row.Role,
			against(formatBytes(row.Bytes), row.Bytes/trafficBudget),
			against(formatShare(row.Core), row.Core/coreShareBudget),
			against(formatBytes(float64(row.Memory)), float64(row.Memory)/memoryBudget))
	}
	b.WriteString("\n| Event | Result | Budget | Mechanism |\n| --- | --- | --- | --- |\n")
	for _, event := range r.Events {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", event.Name, event.Result, event.Budget, event.Mechanism)
	}
	return b.String()
}

// against says how much of a budget a figure takes.
func against(figure string, part float64) string {
	if part > 1 {
		return fmt.Sprintf("%s, MISSED by a factor of %.1f", figure, part)
	}
	return fmt.Sprintf("%s, %.0f%%", figure, part*100)
}

// Replace replaces the text between the marks of a file.
func Replace(name, text string) error {
	content, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read the capacity page")
	}
	before, rest, begins := strings.Cut(string(content), beginMark)
	_, after, ends := strings.Cut(rest, endMark)
	if !begins || !ends {
		return errors.Errorf("file %q lacks the lines %q and %q", name, beginMark, endMark)
	}
	page := before + beginMark + "\n" + text + endMark + after
	return errors.Wrap(os.WriteFile(name, []byte(page), 0o644), "write the capacity page")
}
