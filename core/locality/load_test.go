package locality

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var deploymentB = simDeployment{
	name: "B", slots: 6, oneWay: 500 * time.Microsecond,
	kinds: []simKind{
		{rank: 1, perSecond: 132, service: 28 * ms, objective: 394 * ms, deadline: 4 * time.Second},
		{rank: 2, perSecond: 32, service: 47 * ms, objective: 794 * ms, deadline: 12 * time.Second},
	},
}

var deploymentA = simDeployment{
	name: "A", slots: 4, oneWay: 1400 * time.Microsecond,
	kinds: []simKind{
		{rank: 1, perSecond: 65, service: 14 * ms, objective: 244 * ms, deadline: 2 * time.Second},
		{rank: 2, perSecond: 27, service: 22 * ms, objective: 794 * ms, deadline: 6 * time.Second},
	},
}

var deployments = []simDeployment{
	deploymentB, deploymentA,
	deploymentB.scaled("B, work x10", 10).stretchedBy(10),
	deploymentB.scaled("B, work x10, short", 10),
	deploymentB.scaled("B, work /10", 0.1),
}

var loads = []simLoad{
	{name: "calm", demand: [3]float64{0.3, 0.3, 0.3}, homeSuffices: true},
	{name: "calm, unequal", demand: [3]float64{0.6, 0.3, 0.15}, homeSuffices: true},
	{name: "burst of 1.6", demand: [3]float64{0.45, 0.3, 0.2}, burst: [3]float64{1.6}, homeSuffices: true},
	{name: "burst of 1.6 when busy", demand: [3]float64{0.77, 0.35, 0.2}, burst: [3]float64{1.6}},
	{name: "burst of 1.6 everywhere", demand: [3]float64{0.75, 0.5, 0.3}, burst: [3]float64{1.6, 1.6, 1.6}},
	{name: "half of the callers move", demand: [3]float64{0.45, 0.45, 0.25}, moves: true, movedFrom: 1, movedTo: 0, homeSuffices: true},
	{name: "half move when busy", demand: [3]float64{0.75, 0.75, 0.35}, moves: true, movedFrom: 1, movedTo: 0},
	{name: "endpoint five times slower", demand: [3]float64{0.35, 0.35, 0.25}, slow: 5},
	{name: "slow endpoint, little load", demand: [3]float64{0.12, 0.12, 0.1}, slow: 5},
	{name: "bursts in turns", demand: [3]float64{0.7, 0.7, 0.3}, burst: [3]float64{1.8, 1.8}, alternates: true},
	{name: "all overloaded", demand: [3]float64{1.25, 1.2, 1.1}},
	{name: "nearly full", demand: [3]float64{0.95, 0.9, 0.85}},
}

func (d simDeployment) stretchedBy(f float64) simDeployment {
	d.stretch = f
	return d
}

func TestPrint(t *testing.T) {
	for _, d := range deployments {
		for _, l := range loads {
			var f, n simResult
			for seed := range uint64(3) {
				f = add(f, newSimulation(d, l, newFixedRule, 7+1000*seed).run())
				n = add(n, newSimulation(d, l, newSharedRule, 7+1000*seed).run())
			}
			pct := func(a int, r simResult) float64 { return 100 * float64(a) / float64(r.reads) }
			t.Logf("%-18s %-27s fixed: in time %5.1f remote %5.1f turns %3d opposed %3d | shared: %5.1f %5.1f %3d %3d", d.name, l.name,
				pct(f.inTime, f), pct(f.remote, f), f.turns, f.opposed, pct(n.inTime, n), pct(n.remote, n), n.turns, n.opposed)
		}
	}
}

func add(a, b simResult) simResult {
	return simResult{a.reads + b.reads, a.inTime + b.inTime, a.remote + b.remote, a.turns + b.turns, a.opposed + b.opposed}
}
