package routing

import (
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Candidate is what an entry host knows of an endpoint that may serve a read.
type Candidate struct {
	Endpoint   types.Endpoint
	DataCentre types.DataCentre
	Primary    bool
	Reachable  bool
	Leaving    bool
	// Applied is the last log point that the endpoint is known to have applied.
	Applied types.LogPoint
	// Staleness bounds how far the endpoint's data is behind the primary; negative
	// where nothing is known.
	Staleness time.Duration
	// InFlight counts the host's own requests at the endpoint.
	InFlight int
	// Latency is the endpoint's usual latency; zero where unknown.
	Latency time.Duration
	// SuccessRate is the endpoint's success rate; zero where unknown.
	SuccessRate float64
	// Excluded marks an endpoint that has refused this request already.
	Excluded bool
}

// Read says what a read needs of the endpoint that serves it.
type Read struct {
	// DataCentre is that of the entry host.
	DataCentre types.DataCentre
	// MinPosition is the log point that the session has seen; zero for none.
	MinPosition types.LogPoint
	// MaxStaleness is the age of data that the caller accepts; zero if it states none.
	MaxStaleness time.Duration
	// RequirePrimary asks for the primary, for instance as the session's token is lost.
	RequirePrimary bool
}

// remotePenaltyRequests is the number of outstanding requests that weigh as much as
// the way to another data centre.
const remotePenaltyRequests = 1

// Eligible reports whether a replica may serve the read. The session's own
// writes must be covered also where the caller accepts older data.
func (c *Candidate) Eligible(read *Read) bool {
	if !c.isUsable() || c.Primary || read.RequirePrimary {
		return false
	}
	if c.Applied.Less(read.MinPosition) {
		return false
	}
	return read.MaxStaleness == 0 || (c.Staleness >= 0 && c.Staleness <= read.MaxStaleness)
}

func (c *Candidate) isUsable() bool { return c.Reachable && !c.Leaving && !c.Excluded }

// ChooseReadEndpoint returns the index of the endpoint to read from: of two random
// eligible replicas the cheaper one (see Stats), and the
// primary only if there is none. Without any endpoint it returns -1 and the
// reason.
func ChooseReadEndpoint(candidates []Candidate, read *Read, rng *random.Source) (int, types.Reason) {
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

// chooseReplica picks the better of two random ones of the eligible replicas.
func chooseReplica(candidates []Candidate, read *Read, rng *random.Source, eligible int) int {
	if eligible == 1 {
		return nthEligible(candidates, read, 0)
	}
	n := rng.Below(eligible)
	m := rng.Below(eligible - 1)
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

// nthEligible returns the index of the eligible replica number n.
func nthEligible(candidates []Candidate, read *Read, n int) int {
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

// isCheaper reports whether a costs less than b: the load of each counts by its
// success rate, and by its latency where both latencies are known.
func isCheaper(a, b *Candidate, read *Read) bool {
	costA, costB := weightedLoad(a, read), weightedLoad(b, read)
	if a.Latency > 0 && b.Latency > 0 {
		costA *= a.Latency.Seconds()
		costB *= b.Latency.Seconds()
	}
	return costA < costB
}

// weightedLoad weighs the outstanding requests of an endpoint by its success rate.
func weightedLoad(c *Candidate, read *Read) float64 {
	load := float64(c.InFlight + 1)
	if c.DataCentre != read.DataCentre {
		load += remotePenaltyRequests
	}
	if c.SuccessRate > 0 {
		load /= c.SuccessRate
	}
	return load
}
