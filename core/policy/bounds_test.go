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

var writeDocs = flag.Bool("write", false, "write the table and the plots to docs")

// The bounds of issue 4.
const (
	minUrgentKept        = 0.99
	minNormalShare       = 0.25
	minBackgroundShare   = 0.05
	minFeatureKept       = 0.90
	minReplicaShare      = 0.90
	maxWastedShare       = 0.02
	maxRetryShare        = 0.10
	minTotalGoodputShare = 0.95
)

const knownRedFile = "../../KNOWN-RED.txt"

// readKnownRed returns the names of the tests that are listed as known red.
func readKnownRed(t *testing.T) map[string]bool {
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

// boundChecker compares results with bounds. A known red test does not fail if its bound
// is missed, and fails if its bound is met.
type boundChecker struct {
	knownRed   map[string]bool
	deployment deployment
}

func (b *boundChecker) check(t *testing.T, name string, ok bool, format string, args ...any) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		measured := fmt.Sprintf(format, args...)
		switch {
		case !ok && b.knownRed[t.Name()]:
			fmt.Printf("known red: %s seed %d: %s\n", t.Name(), *randomSeed, measured)
		case !ok:
			t.Errorf("seed %d: %s", *randomSeed, measured)
		case b.knownRed[t.Name()]:
			t.Errorf("listed in KNOWN-RED.txt but within its bound: %s", measured)
		}
	})
}

// TestBounds compares the results of the simulations with the targets of issue 4. With
// -write it also writes docs/MEASUREMENTS.md and the plots.
func TestBounds(t *testing.T) {
	all := runAll()
	known := readKnownRed(t)
	for i, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			b := &boundChecker{knownRed: known, deployment: d}
			for j, sc := range scenarios {
				t.Run(strings.ReplaceAll(sc.name, " ", "-"), func(t *testing.T) {
					b.checkCommonBounds(t, all[i][j])
					b.checkScenarioBounds(t, sc, all[i][j][policyRanked], all[i][0][policyRanked])
				})
			}
		})
	}
	if *writeDocs {
		if err := writeReport(all); err != nil {
			t.Fatal(err)
		}
	}
}

// checkCommonBounds checks the bounds that apply to every scenario.
func (b *boundChecker) checkCommonBounds(t *testing.T, results [policyCount]*result) {
	r := results[policyRanked]
	b.check(t, "wasted", r.wastedShare() < maxWastedShare, "wasted work is %.2f%%", 100*r.wastedShare())
	retries := ratio(r.retryCount, r.firstAttempts)
	b.check(t, "retries", retries <= maxRetryShare, "retries are %.2f%% of first attempts", 100*retries)
	for kind := policyFirstCome; kind <= policyStrict; kind++ {
		other := results[kind].worthPerSecond()
		ok := r.worthPerSecond() > other || r.worthPerSecond() == r.offeredWorthPerSecond()
		name := "worth-against-" + strings.ReplaceAll(policyNames[kind], " ", "-")
		b.check(t, name, ok, "worth-weighted goodput is %.0f, the baseline's %.0f", r.worthPerSecond(), other)
	}
}

// checkScenarioBounds checks the bounds of one scenario, relative to the calm scenario.
func (b *boundChecker) checkScenarioBounds(t *testing.T, sc scenario, r, calm *result) {
	if sc.floods() && !sc.failover {
		total := r.totalGoodputShare(b.deployment)
		b.check(t, "total", total >= minTotalGoodputShare, "goodput is %.1f%% of capacity", 100*total)
	}
	switch {
	case sc.floodFeature:
		b.checkFeatures(t, r, calm)
	case sc.flood[urgent] && !sc.flood[background]:
		b.checkRankShare(t, r, normal, minNormalShare)
		b.checkRankShare(t, r, background, minBackgroundShare)
		minUrgentShare := minTotalGoodputShare - minNormalShare - minBackgroundShare
		b.checkRankShare(t, r, urgent, minUrgentShare)
	case sc.flood[background] && !sc.flood[urgent] && !sc.failover:
		b.checkUrgentRank(t, r, calm)
	case sc.name == "calm":
		share := ratio(r.replicaReads, r.replicaEligibleReads)
		b.check(t, "replicas", share >= minReplicaShare, "%.1f%% of eligible reads are on replicas", 100*share)
	}
}

func (b *boundChecker) checkRankShare(t *testing.T, r *result, rank int, minShare float64) {
	share := r.rankGoodputShare(b.deployment, rank)
	name := string(admission.DefaultRanks()[rank].Name) + "-share"
	b.check(t, name, share >= minShare, "goodput is %.2f%% of capacity, the bound %.0f%%", 100*share, 100*minShare)
}

func (b *boundChecker) checkUrgentRank(t *testing.T, r, calm *result) {
	target := admission.DefaultRanks()[urgent].Target
	p99 := r.latencyPercentile(urgent, 99)
	b.check(t, "urgent-p99", p99 <= target, "urgent p99 is %v, the target %v", p99, target)
	kept := ratio(r.goodput[urgent], calm.goodput[urgent])
	b.check(t, "urgent-keeps", kept >= minUrgentKept, "urgent keeps %.2f%% of its calm goodput", 100*kept)
}

func (b *boundChecker) checkFeatures(t *testing.T, r, calm *result) {
	for f := 1; f < featuresPerRank; f++ {
		kept := ratio(r.featureGoodput[f], calm.featureGoodput[f])
		name := "feature-" + string(featureName(f))
		b.check(t, name, kept >= minFeatureKept, "feature keeps %.2f%% of its calm goodput", 100*kept)
	}
}
