package membership

import "baobabfield.example/core/types"

// Config holds the settings of a machine.
type Config struct {
	// Self describes the machine's host. Its incarnation must exceed those of
	// earlier runs of the host, for instance the start in Unix seconds.
	Self Member
	// Seed starts the machine's random numbers.
	Seed uint64
}

// Machine is the membership state of one host.
type Machine struct {
	self Member
}

// New returns the machine of a host that knows only itself.
func New(cfg Config) *Machine { return &Machine{self: cfg.Self} }

// Step applies an event at the given time and returns its effects.
func (m *Machine) Step(_ types.Time, _ Event) []Effect { return nil }

// Deadline returns the time at which the machine needs its next Tick.
func (m *Machine) Deadline() types.Time { return 0 }

// Snapshot returns the current view of the hosts.
func (m *Machine) Snapshot() Snapshot { return Snapshot{} }
