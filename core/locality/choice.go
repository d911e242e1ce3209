package locality

import (
	"time"

	"baobabfield.example/core/types"
)

// Reason says why a read is served in another data centre.
type Reason uint8

// The reasons. ReasonHome means that the read stays.
const (
	ReasonHome Reason = iota
	// ReasonWait: the wait that is saved is worth more than the price of the link.
	ReasonWait
	// ReasonFault: the endpoint of the own data centre has recently failed or lagged behind.
	ReasonFault
	// ReasonNoEndpoint: the own data centre has no endpoint that may serve the read.
	ReasonNoEndpoint
	// ReasonPreference: the caller prefers an endpoint elsewhere by more than the price of the link.
	ReasonPreference
)

func (r Reason) String() string {
	return [...]string{"home", "wait", "fault", "no endpoint", "preference"}[r]
}

// Candidate is an endpoint that may serve a read.
type Candidate struct {
	// Index identifies the endpoint for the caller.
	Index int
	// Cost is the sum of all costs; that of an endpoint elsewhere includes the price of the link.
	// FaultCost is the part of it that is due to recent faults.
	Cost, FaultCost time.Duration
	// Preference is a further cost of an endpoint that the caller does not prefer, for instance
	// since it has no connection there.
	Preference time.Duration
}

func (c *Candidate) total() time.Duration { return c.Cost + c.Preference }

// Choice collects the cheapest endpoints of a read. Its zero value holds none.
type Choice struct {
	home, away       Candidate
	hasHome, hasAway bool
}

// Add adds a candidate. Of two that cost the same, the one added first is kept.
func (c *Choice) Add(candidate Candidate, isHome bool) {
	best, has := &c.away, &c.hasAway
	if isHome {
		best, has = &c.home, &c.hasHome
	}
	if !*has || candidate.total() < best.total() {
		*best, *has = candidate, true
	}
}

// Decide returns the index of the endpoint that serves the read, and why if it is elsewhere. It
// returns false if there is no candidate. Faults do not wait for the share: the reads leave at
// once, and return at once.
func (c *Choice) Decide(now types.Time, share *Share, price, service time.Duration) (int, Reason, bool) {
	switch {
	case !c.hasHome && !c.hasAway:
		return 0, ReasonHome, false
	case !c.hasHome:
		return c.away.Index, ReasonNoEndpoint, true
	case !c.hasAway:
		return c.home.Index, ReasonHome, true
	case c.home.FaultCost != c.away.FaultCost:
		return c.cheapest(ReasonFault)
	case c.home.Preference-c.away.Preference > price:
		return c.cheapest(ReasonPreference)
	case service <= 0:
		return c.cheapest(ReasonWait)
	case share.leave(now, c.home.Cost-c.away.Cost, price, service):
		return c.away.Index, ReasonWait, true
	}
	return c.home.Index, ReasonHome, true
}

// cheapest returns the candidate with the lowest cost, with the reason if it is elsewhere.
func (c *Choice) cheapest(reason Reason) (int, Reason, bool) {
	if c.away.total() < c.home.total() {
		return c.away.Index, reason, true
	}
	return c.home.Index, ReasonHome, true
}
