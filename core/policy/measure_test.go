package policy

import (
	"flag"
	"time"

	"baobabfield.example/core/admission"
)

var randomSeed = flag.Uint64("seed", 42, "seed of all simulations")

// simulationWorkers is the number of simulations that run concurrently.
const simulationWorkers = 4

// resultTable holds the results by deployment, scenario and policy. Combinations that
// are not run are nil.
type resultTable [][][policyCount]*result

// runAll runs every scenario under every policy.
func runAll() resultTable {
	type job struct{ d, s, p int }
	out := make(resultTable, len(deployments))
	var jobs []job
	for d := range deployments {
		out[d] = make([][policyCount]*result, len(scenarios))
		for s := range scenarios {
			for p := range int(policyCount) {
				if policyKind(p) == policyTwoChoices && scenarios[s].floods() {
					continue // the choice of replicas is compared only without floods
				}
				jobs = append(jobs, job{d, s, p})
			}
		}
	}
	next := make(chan job)
	done := make(chan struct{})
	for range simulationWorkers {
		go func() {
			for j := range next {
				out[j.d][j.s][j.p] = newSimulation(deployments[j.d], scenarios[j.s], policyKind(j.p), *randomSeed).run()
			}
			done <- struct{}{}
		}()
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	for range simulationWorkers {
		<-done
	}
	return out
}

const measuredDuration = loadDuration - warmUpTime

// slotSeconds returns the slot time of all endpoints during the measurement, in seconds.
func (d deployment) slotSeconds() float64 {
	return measuredDuration.Seconds() * float64(endpointCount*d.slots)
}

// rankGoodputShare returns the share of all slot time that the goodput of a rank used.
func (r *result) rankGoodputShare(d deployment, rank int) float64 {
	return r.goodputTime[rank].Seconds() / d.slotSeconds()
}

func (r *result) totalGoodputShare(d deployment) float64 {
	sum := 0.0
	for rank := range rankCount {
		sum += r.rankGoodputShare(d, rank)
	}
	return sum
}

// worthPerSecond returns the worth-weighted goodput per second.
func (r *result) worthPerSecond() float64 { return worthRate(r.goodput) }

// offeredWorthPerSecond returns the worth of all offered requests per second.
func (r *result) offeredWorthPerSecond() float64 { return worthRate(r.offeredCount) }

func worthRate(counts [rankCount]int) float64 {
	sum := 0.0
	for i, spec := range admission.DefaultRanks() {
		sum += float64(spec.Worth * counts[i])
	}
	return sum / measuredDuration.Seconds()
}

// latencyPercentile returns a percentile of a rank's latency.
func (r *result) latencyPercentile(rank int, percentile float64) time.Duration {
	return time.Duration(r.latency[rank].ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *result) wastedShare() float64 {
	if r.slotTime == 0 {
		return 0
	}
	return r.wastedTime.Seconds() / r.slotTime.Seconds()
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
