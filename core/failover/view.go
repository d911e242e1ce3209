package failover

import (
	"time"

	"baobabfield.example/core/types"
)

// EndpointView is what a machine knows of one endpoint.
type EndpointView struct {
	ID         types.Endpoint
	Role       Role
	Term       types.Term
	Last       types.LogPoint
	TermStarts []types.TermStart
	// Reachable says that the last question was answered in time.
	Reachable bool
	// FreshAt is a time at which the endpoint's log contained everything that
	// the primary had made visible, valid only if FreshKnown.
	FreshAt    types.Time
	FreshKnown bool
}

// Staleness returns a bound on the age of the endpoint's data. The second result is
// false if no bound is known.
func (v EndpointView) Staleness(now types.Time) (time.Duration, bool) {
	return now.Sub(v.FreshAt), v.FreshKnown
}

// View is what a machine knows of a database.
type View struct {
	Term types.Term
	// Primary is empty while the primary of Term is not known.
	Primary types.Endpoint
	// Owner is the host that owns the primary.
	Owner     types.Host
	Suspected bool
	// Endpoints is sorted by ID.
	Endpoints []EndpointView
}
