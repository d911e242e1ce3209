package policy

import (
	"fmt"
	"os"
	"strings"
	"time"

	"baobabfield.example/core/admission"
)

const (
	reportFile    = "../../docs/MEASUREMENTS.md"
	plotFile      = "../../docs/ranks-%s.svg"
	reportCommand = "cd core && go test ./policy -run TestBounds -write"
	// The generated part of the report is between these lines.
	reportBegin = "<!-- ranks under flood: begin of generated part -->"
	reportEnd   = "<!-- ranks under flood: end of generated part -->"
)

// writeReport replaces the generated part of the report and writes the plots.
func writeReport(all resultTable) error {
	old, err := os.ReadFile(reportFile)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(old), reportBegin)
	_, after, ok2 := strings.Cut(rest, reportEnd)
	if !ok || !ok2 {
		return fmt.Errorf("report %q has no marker lines of the generated part", reportFile)
	}
	var b strings.Builder
	for i, d := range deployments {
		writeTables(&b, d, all[i])
		plot := fmt.Sprintf(plotFile, d.name)
		if err := os.WriteFile(plot, []byte(drawPlot(d, all[i])), 0o644); err != nil {
			return err
		}
	}
	text := before + reportBegin + "\n" + b.String() + reportEnd + after
	return os.WriteFile(reportFile, []byte(text), 0o644)
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

func formatPercent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

func writeTables(b *strings.Builder, d deployment, results [][policyCount]*result) {
	fmt.Fprintf(b, "\n### %s\n\n`%s`, seed %d.\n\n", d.name, reportCommand, *randomSeed)
	fmt.Fprintf(b, "![share of slot time by rank](ranks-%s.svg)\n\n", d.name)
	b.WriteString("| Case | Policy | Rank | Goodput /s | Kept of calm | Within target | Slot time | p50 ms | p99 ms |\n")
	b.WriteString("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for i, sc := range scenarios {
		for kind := range policyCount {
			writeRankRows(b, d, sc, kind, results[i][kind], results[0][kind])
		}
	}
	b.WriteString("\n| Case | Policy | Worth /s | Of offered | Total goodput | Reads on replicas | Refused | Shed at entry | Retries | Wasted work | Slots in use, mean | Connections, most |\n")
	b.WriteString("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for i, sc := range scenarios {
		for kind := range policyCount {
			writeTotalsRow(b, d, sc, kind, results[i][kind])
		}
	}
}

func writeRankRows(b *strings.Builder, d deployment, sc scenario, kind policyKind, r, calm *result) {
	if r == nil {
		return
	}
	for rank, spec := range admission.DefaultRanks() {
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %s | %s | %s | %s | %s |\n",
			sc.name, policyNames[kind], spec.Name,
			float64(r.goodput[rank])/measuredDuration.Seconds(),
			formatPercent(ratio(r.goodput[rank], calm.goodput[rank])),
			formatPercent(ratio(r.goodput[rank], r.offeredCount[rank])),
			formatPercent(r.rankGoodputShare(d, rank)),
			formatMillis(r.latencyPercentile(rank, 50)), formatMillis(r.latencyPercentile(rank, 99)))
	}
}

func writeTotalsRow(b *strings.Builder, d deployment, sc scenario, kind policyKind, r *result) {
	if r == nil {
		return
	}
	fmt.Fprintf(b, "| %s | %s | %.0f | %s | %s | %s | %d | %d | %s | %s | %.2f of %d | %d of %d |\n",
		sc.name, policyNames[kind], r.worthPerSecond(),
		formatPercent(r.worthPerSecond()/r.offeredWorthPerSecond()),
		formatPercent(r.totalGoodputShare(d)),
		formatPercent(ratio(r.replicaReads, r.replicaEligibleReads)),
		r.refusedCount, r.shedCount,
		formatPercent(ratio(r.retryCount, r.firstAttempts)),
		fmt.Sprintf("%.2f%%", 100*r.wastedShare()),
		r.slotTime.Seconds()/measuredDuration.Seconds()/endpointCount, d.slots,
		r.maxSlotsInUse, d.connections)
}

// Dimensions of the plot, in pixels.
const (
	plotLeft   = 190
	plotWidth  = 500
	barHeight  = 12
	caseHeight = int(policyCount)*(barHeight+2) + 12
	plotTop    = 40
)

var rankColours = [rankCount]string{"#b2182b", "#f4a582", "#92c5de"}

// drawPlot returns an SVG with one bar for each scenario and policy. A bar shows the
// share of all slot time that the goodput of each rank used.
func drawPlot(d deployment, results [][policyCount]*result) string {
	var b strings.Builder
	height := plotTop + len(scenarios)*caseHeight + 10
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n", plotLeft+plotWidth+110, height)
	fmt.Fprintf(&b, `<text x="4" y="14" font-size="13">%s: slot time used for goodput, by rank</text>`+"\n", d.name)
	for rank, spec := range admission.DefaultRanks() {
		x := plotLeft + rank*110
		fmt.Fprintf(&b, `<rect x="%d" y="22" width="10" height="10" fill="%s"/><text x="%d" y="31">%s</text>`+"\n", x, rankColours[rank], x+14, spec.Name)
	}
	for i, sc := range scenarios {
		y := plotTop + i*caseHeight
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text>`+"\n", y+barHeight, sc.name)
		for kind := range policyCount {
			drawBar(&b, d, kind, results[i][kind], y+int(kind)*(barHeight+2))
		}
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func drawBar(b *strings.Builder, d deployment, kind policyKind, r *result, y int) {
	if r == nil {
		return
	}
	x := float64(plotLeft)
	for rank := range rankCount {
		w := r.rankGoodputShare(d, rank) * plotWidth
		fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, w, barHeight, rankColours[rank])
		x += w
	}
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", plotLeft+plotWidth+4, y+barHeight-2, policyNames[kind])
}
