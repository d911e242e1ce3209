package config

import "baobabfield.example/core/types"

// Settings configures a distributor.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Seed starts the distributor's random numbers.
	Seed uint64
}

// Distributor keeps the configuration of one host current.
type Distributor struct{}

// NewDistributor returns a distributor without configuration.
func NewDistributor(_ Settings) *Distributor { return &Distributor{} }

// Step applies an event at the given time and returns its effects.
func (d *Distributor) Step(_ types.Time, _ Event) []Effect { return nil }

// Deadline returns the time at which the distributor needs its next Tick.
func (d *Distributor) Deadline() types.Time { return 0 }

// Snapshot returns the configuration in force.
func (d *Distributor) Snapshot() Snapshot { return Snapshot{} }
