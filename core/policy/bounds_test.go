package policy

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"baobabfield.example/core/admission"
)

var write = flag.Bool("write", false, "write the table and the plots to docs")

// The bounds of issue 4.
const (
	urgentKeeps     = 0.99
	normalFloor     = 0.25
	backgroundFloor = 0.05
	featureKeeps    = 0.90
	replicaShare    = 0.90
	maxWasted       = 0.02
	maxRetries      = 0.10
	totalGoodput    = 0.95
)

const knownRedFile = "../../KNOWN-RED.txt"

// knownRed returns the names of the tests that are listed as known red.
func knownRed(t *testing.T) map[string]bool {
	f, err := os.Open(knownRedFile)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	out := map[string]bool{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), " ")
		out[name] = true
	}
	return out
}

// bounds checks figures against bounds, passing over those that are known red.
type bounds struct {
	known map[string]bool
	d     deployment
}

func (b *bounds) check(t *testing.T, name string, ok bool, format string, args ...any) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		seen := fmt.Sprintf(format, args...)
		switch {
		case !ok && b.known[t.Name()]:
			fmt.Printf("known red: %s seed %d: %s\n", t.Name(), *seed, seen)
		case !ok:
			t.Errorf("seed %d: %s", *seed, seen)
		case b.known[t.Name()]:
			t.Errorf("listed in KNOWN-RED.txt but within its bound: %s", seen)
		}
	})
}

// TestBounds holds the measurement against the targets of issue 4. With
// -write it also writes docs/MEASUREMENTS.md and the plots.
func TestBounds(t *testing.T) {
	all := measureAll()
	known := knownRed(t)
	for i, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			b := &bounds{known: known, d: d}
			for j, sc := range scenarios {
				t.Run(strings.ReplaceAll(sc.name, " ", "-"), func(t *testing.T) {
					b.checkEvery(t, all[i][j])
					b.checkScenario(t, sc, all[i][j][ranked], all[i][0][ranked])
				})
			}
		})
	}
	if *write {
		if err := writeReport(all); err != nil {
			t.Fatal(err)
		}
	}
}

// checkEvery checks the bounds that hold in every scenario.
func (b *bounds) checkEvery(t *testing.T, results [policyCount]*result) {
	r := results[ranked]
	b.check(t, "wasted", r.wastedShare() < maxWasted, "wasted work is %.2f%%", 100*r.wastedShare())
	retries := ratio(r.retries, r.first)
	b.check(t, "retries", retries <= maxRetries, "retries are %.2f%% of first tries", 100*retries)
	for kind := firstCome; kind <= strict; kind++ {
		other := results[kind].worth()
		ok := r.worth() > other || r.worth() == r.offeredWorth()
		name := "worth-against-" + strings.ReplaceAll(policyNames[kind], " ", "-")
		b.check(t, name, ok, "worth-weighted goodput is %.0f, the baseline's %.0f", r.worth(), other)
	}
}

// checkScenario checks the bounds of one scenario against calm.
func (b *bounds) checkScenario(t *testing.T, sc scenario, r, calm *result) {
	if sc.floods() && !sc.failover {
		total := r.totalCapacity(b.d)
		b.check(t, "total", total >= totalGoodput, "goodput is %.1f%% of capacity", 100*total)
	}
	switch {
	case sc.floodFeature:
		b.checkFeatures(t, r, calm)
	case sc.flood[urgent] && !sc.flood[background]:
		b.checkFloor(t, r, normal, normalFloor)
		b.checkFloor(t, r, background, backgroundFloor)
		rest := totalGoodput - normalFloor - backgroundFloor
		b.checkFloor(t, r, urgent, rest)
	case sc.flood[background] && !sc.flood[urgent] && !sc.failover:
		b.checkUrgent(t, r, calm)
	case sc.name == "calm":
		share := ratio(r.onReplica, r.eligible)
		b.check(t, "replicas", share >= replicaShare, "%.1f%% of eligible reads are on replicas", 100*share)
	}
}

func (b *bounds) checkFloor(t *testing.T, r *result, rank int, floor float64) {
	share := r.capacity(b.d, rank)
	name := string(admission.DefaultRanks()[rank].Name) + "-share"
	b.check(t, name, share >= floor, "goodput is %.2f%% of capacity, the bound %.0f%%", 100*share, 100*floor)
}

func (b *bounds) checkUrgent(t *testing.T, r, calm *result) {
	target := admission.DefaultRanks()[urgent].Target
	p99 := r.p(urgent, 99)
	b.check(t, "urgent-p99", p99 <= target, "urgent p99 is %v, the target %v", p99, target)
	kept := ratio(r.good[urgent], calm.good[urgent])
	b.check(t, "urgent-keeps", kept >= urgentKeeps, "urgent keeps %.2f%% of its calm goodput", 100*kept)
}

func (b *bounds) checkFeatures(t *testing.T, r, calm *result) {
	for f := 1; f < featuresPerRank; f++ {
		kept := ratio(r.features[f], calm.features[f])
		name := "feature-" + string(featureName(f))
		b.check(t, name, kept >= featureKeeps, "feature keeps %.2f%% of its calm goodput", 100*kept)
	}
}
