package policy

import (
	"flag"
	"time"

	"baobabfield.example/core/admission"
)

var seed = flag.Uint64("seed", 42, "seed of all simulations")

// workers is the number of simulations that run side by side.
const workers = 4

// runs holds the results by deployment, scenario and policy; nil where not run.
type runs [][][policyCount]*result

// measureAll runs every scenario under every policy.
func measureAll() runs {
	type job struct{ d, s, p int }
	out := make(runs, len(deployments))
	var jobs []job
	for d := range deployments {
		out[d] = make([][policyCount]*result, len(scenarios))
		for s := range scenarios {
			for p := range int(policyCount) {
				if policyKind(p) == twoChoices && scenarios[s].floods() {
					continue // the choice of replicas is compared without floods
				}
				jobs = append(jobs, job{d, s, p})
			}
		}
	}
	next := make(chan job)
	done := make(chan struct{})
	for range workers {
		go func() {
			for j := range next {
				out[j.d][j.s][j.p] = newSimulation(deployments[j.d], scenarios[j.s], policyKind(j.p), *seed).run()
			}
			done <- struct{}{}
		}()
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	for range workers {
		<-done
	}
	return out
}

const measuredTime = duration - warmUp

// slotSeconds returns the slot time that all endpoints have while measured.
func (d deployment) slotSeconds() float64 {
	return measuredTime.Seconds() * float64(endpoints*d.slots)
}

// capacity returns the part of all slot time that a rank's goodput used.
func (r *result) capacity(d deployment, rank int) float64 {
	return r.goodTime[rank].Seconds() / d.slotSeconds()
}

func (r *result) totalCapacity(d deployment) float64 {
	sum := 0.0
	for rank := range rankCount {
		sum += r.capacity(d, rank)
	}
	return sum
}

// worth returns the worth-weighted goodput per second.
func (r *result) worth() float64 { return weigh(r.good) }

// offeredWorth returns the worth of all requests per second.
func (r *result) offeredWorth() float64 { return weigh(r.offered) }

func weigh(counts [rankCount]int) float64 {
	sum := 0.0
	for i, spec := range admission.DefaultRanks() {
		sum += float64(spec.Worth * counts[i])
	}
	return sum / measuredTime.Seconds()
}

// p returns a quantile, in percent, of a rank's latency.
func (r *result) p(rank int, quantile float64) time.Duration {
	return time.Duration(r.latency[rank].ValueAtQuantile(quantile)) * time.Microsecond
}

func (r *result) wastedShare() float64 {
	if r.slotTime == 0 {
		return 0
	}
	return r.wasted.Seconds() / r.slotTime.Seconds()
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
