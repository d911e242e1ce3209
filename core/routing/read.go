package routing

import (
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Candidate is what a frontend knows about an endpoint that may serve a read.
type Candidate struct {
	Endpoint   types.Endpoint
	DataCentre types.DataCentre
	Primary    bool
	Reachable  bool
	Leaving    bool
	// Applied is the last log point that the endpoint is known to have applied.
	Applied types.LogPoint
	// Staleness is an upper bound of the endpoint's lag behind the primary. It is
	// negative if unknown.
	Staleness time.Duration
	// InFlight is the number of this host's requests in flight at the endpoint.
	InFlight int
	// Latency is the endpoint's smoothed latency; zero if unknown.
	Latency time.Duration
	// SuccessRate is the share of successful requests; zero if unknown.
	SuccessRate float64
	// Excluded marks an endpoint that has already refused this request.
	Excluded bool
}

// ReadRequirements describes the requirements of a read.
type ReadRequirements struct {
	// DataCentre is the data centre of the frontend.
	DataCentre types.DataCentre
	// MinPosition is the log point that the session has seen; zero for none.
	MinPosition types.LogPoint
	// MaxStaleness is the staleness that the caller accepts; zero if the caller states
	// none.
	MaxStaleness time.Duration
	// RequirePrimary restricts the read to the primary, for example because the
	// session's token is lost.
	RequirePrimary bool
}

// remotePenaltyRequests is the number of requests in flight that are considered as
// costly as the network delay to another data centre.
const remotePenaltyRequests = 1

// Eligible reports whether a replica may serve the read. The replica must contain the
// session's own writes even if the caller accepts staleness.
func (c *Candidate) Eligible(read *ReadRequirements) bool {
	if !c.isUsable() || c.Primary || read.RequirePrimary {
		return false
	}
	if c.Applied.Less(read.MinPosition) {
		return false
	}
	return read.MaxStaleness == 0 || (c.Staleness >= 0 && c.Staleness <= read.MaxStaleness)
}

func (c *Candidate) isUsable() bool { return c.Reachable && !c.Leaving && !c.Excluded }

// ChooseReadEndpoint returns the index of the endpoint that serves a read. It picks two
// random eligible replicas and returns the cheaper one (see isCheaper). Without an
// eligible replica it returns the primary. Without any usable endpoint it returns -1 and
// the reason.
func ChooseReadEndpoint(candidates []Candidate, read *ReadRequirements, rng *random.Source) (int, types.Reason) {
	eligible := 0
	primary := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Eligible(read) {
			eligible++
		}
		if c.Primary && c.isUsable() {
			primary = i
		}
	}
	switch {
	case eligible > 0:
		return chooseReplica(candidates, read, rng, eligible), types.ReasonNone
	case primary >= 0:
		return primary, types.ReasonNone
	}
	return -1, types.ReasonUnreachable
}

// chooseReplica returns the cheaper of two random eligible replicas.
func chooseReplica(candidates []Candidate, read *ReadRequirements, rng *random.Source, eligible int) int {
	if eligible == 1 {
		return nthEligible(candidates, read, 0)
	}
	n := rng.IntN(eligible)
	m := rng.IntN(eligible - 1)
	if m >= n {
		m++
	}
	first := nthEligible(candidates, read, n)
	second := nthEligible(candidates, read, m)
	if isCheaper(&candidates[second], &candidates[first], read) {
		return second
	}
	return first
}

// nthEligible returns the index of the n-th eligible replica, counted from zero.
func nthEligible(candidates []Candidate, read *ReadRequirements, n int) int {
	for i := range candidates {
		if !candidates[i].Eligible(read) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	panic("routing: fewer eligible replicas than counted")
}

// isCheaper reports whether a costs less than b. The cost is the weighted load,
// multiplied by the latency if both latencies are known.
func isCheaper(a, b *Candidate, read *ReadRequirements) bool {
	costA, costB := weightedLoad(a, read), weightedLoad(b, read)
	if a.Latency > 0 && b.Latency > 0 {
		costA *= a.Latency.Seconds()
		costB *= b.Latency.Seconds()
	}
	return costA < costB
}

// weightedLoad returns the endpoint's requests in flight, including the new one and the
// remote penalty, divided by its success rate.
func weightedLoad(c *Candidate, read *ReadRequirements) float64 {
	load := float64(c.InFlight + 1)
	if c.DataCentre != read.DataCentre {
		load += remotePenaltyRequests
	}
	if c.SuccessRate > 0 {
		load /= c.SuccessRate
	}
	return load
}
