package locality

import (
	"flag"
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

var deploymentB = simDeployment{
	name: "B", slots: 6, frontends: 9, oneWay: 500 * time.Microsecond,
	kinds: []simKind{
		{rank: 1, perSecond: 132, service: 28 * ms, objective: 394 * ms, deadline: 4 * time.Second},
		{rank: 2, perSecond: 32, service: 47 * ms, objective: 794 * ms, deadline: 12 * time.Second},
	},
}

var deploymentA = simDeployment{
	name: "A", slots: 4, frontends: 33, oneWay: 1400 * time.Microsecond,
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
	deploymentB.scaled("B, x10 same obj", 10).stretchedBy(10).withObjectivesOf(deploymentB),
	deploymentB.scaled("B, /10 same obj", 0.1).withObjectivesOf(deploymentB),
}

var loads = []simLoad{
	{name: "calm", demand: [3]float64{0.3, 0.3, 0.3}},
	{name: "calm, unequal", demand: [3]float64{0.6, 0.3, 0.15}},
	{name: "burst of 1.6", demand: [3]float64{0.45, 0.3, 0.2}, burst: [3]float64{1.6}},
	{name: "burst of 1.6 when busy", demand: [3]float64{0.77, 0.35, 0.2}, burst: [3]float64{1.6}},
	{name: "burst of 1.6 everywhere", demand: [3]float64{0.75, 0.5, 0.3}, burst: [3]float64{1.6, 1.6, 1.6}},
	{name: "half of the callers move", demand: [3]float64{0.45, 0.45, 0.25}, moves: true, movedFrom: 1, movedTo: 0},
	{name: "half move when busy", demand: [3]float64{0.75, 0.75, 0.35}, moves: true, movedFrom: 1, movedTo: 0},
	{name: "endpoint five times slower", demand: [3]float64{0.35, 0.35, 0.25}, slow: 5},
	{name: "slow endpoint, little load", demand: [3]float64{0.12, 0.12, 0.1}, slow: 5},
	{name: "flood of rank 2", demand: [3]float64{0.45, 0.3, 0.3}, burst: [3]float64{8}, floodRank: 2},
	{name: "bursts in turns", demand: [3]float64{0.7, 0.7, 0.3}, burst: [3]float64{1.8, 1.8}, alternates: true},
	{name: "all overloaded", demand: [3]float64{1.25, 1.2, 1.1}},
	{name: "nearly full", demand: [3]float64{0.95, 0.9, 0.85}},
}

func (d simDeployment) withObjectivesOf(other simDeployment) simDeployment {
	for i := range d.kinds {
		d.kinds[i].objective, d.kinds[i].deadline = other.kinds[i].objective, other.kinds[i].deadline
	}
	return d
}

func (d simDeployment) stretchedBy(f float64) simDeployment {
	d.stretch = f
	return d
}

// measure runs a rule under a load with several seeds.
func measure(d simDeployment, l simLoad, newRule func(*simulation, int, uint64) rule) simResult {
	seeds := uint64(3)
	if d.kinds[0].perSecond*max(d.stretch, 1) < 20 {
		seeds = 10 // few reads in each run
	}
	var sum simResult
	for seed := range seeds {
		r := newSimulation(d, l, newRule, *baseSeed+1000*seed).run()
		sum = simResult{sum.reads + r.reads, sum.inTime + r.inTime, sum.remote + r.remote, sum.turns + r.turns, sum.opposed + r.opposed}
	}
	return sum
}

func (r simResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.reads) }
func (r simResult) remoteShare() float64 { return float64(r.remote) / float64(r.reads) }

// samplingError returns three standard errors of the difference of two shares in time, and at
// least one read in a thousand.
func samplingError(a, b simResult) float64 {
	p := (a.inTimeShare() + b.inTimeShare()) / 2
	return max(0.001, 3*math.Sqrt(2*p*(1-p)/float64(a.reads)))
}

const (
	// A data centre suffices if it answers all of its reads itself, at most calmMargin of them less
	// in time than in calm, and if no rule answers sufficientMargin of them more.
	calmMargin       = 0.01
	sufficientMargin = 0.002
	// remoteMargin is the part of the reads by which more of them may leave under one load although
	// their data centre suffices: chance fills its queue for a moment.
	remoteMargin = 0.006
)

var baseSeed = flag.Uint64("seed", 7, "first seed of the simulations")

// Guards against a rule that answers fewer reads in time than the fixed costs did, that sends more
// of them to other data centres where their own suffices, and that alternates more.
func TestSharedRuleAgainstFixedCosts(t *testing.T) {
	var fixedSum, sharedSum simResult
	var fixedRemote, sharedRemote float64 // where the data centres suffice
	for _, d := range deployments {
		calm := measure(d, loads[0], newHomeRule).inTimeShare()
		for _, l := range loads {
			home, fixed, shared := measure(d, l, newHomeRule), measure(d, l, newFixedRule), measure(d, l, newSharedRule)
			t.Logf("%-19s %-27s in time %5.1f %5.1f %5.1f remote %4.1f %4.1f turns %3d %3d opposed %3d %3d", d.name, l.name,
				100*home.inTimeShare(), 100*fixed.inTimeShare(), 100*shared.inTimeShare(),
				100*fixed.remoteShare(), 100*shared.remoteShare(), fixed.turns, shared.turns, fixed.opposed, shared.opposed)
			if shared.inTimeShare() < fixed.inTimeShare()-samplingError(fixed, shared) {
				t.Errorf("%s, %s: %.4f in time, %.4f with fixed costs", d.name, l.name, shared.inTimeShare(), fixed.inTimeShare())
			}
			suffices := home.inTimeShare() >= max(calm-calmMargin, fixed.inTimeShare()-sufficientMargin, shared.inTimeShare()-sufficientMargin)
			if suffices {
				fixedRemote, sharedRemote = fixedRemote+fixed.remoteShare(), sharedRemote+shared.remoteShare()
				if shared.remoteShare() > fixed.remoteShare()+remoteMargin {
					t.Errorf("%s, %s: %.4f remote, %.4f with fixed costs", d.name, l.name, shared.remoteShare(), fixed.remoteShare())
				}
			}
			fixedSum.turns, sharedSum.turns = fixedSum.turns+fixed.turns, sharedSum.turns+shared.turns
			fixedSum.opposed, sharedSum.opposed = fixedSum.opposed+fixed.opposed, sharedSum.opposed+shared.opposed
		}
	}
	t.Logf("turns %d %d, opposed %d %d, remote where data centres suffice %.3f %.3f", fixedSum.turns, sharedSum.turns, fixedSum.opposed, sharedSum.opposed, fixedRemote, sharedRemote)
	if sharedRemote >= fixedRemote {
		t.Errorf("more reads leave data centres that suffice")
	}
	if sharedSum.turns > fixedSum.turns || 2*sharedSum.opposed > fixedSum.opposed {
		t.Errorf("the reads of data centres alternate more")
	}
}
