package failover

import "baobabfield.example/core/types"

// Machine is the failover state of one database at one host.
type Machine struct {
	cfg Config
}

// New returns a machine. The configuration must pass Check.
func New(cfg Config, _ types.Time) *Machine {
	return &Machine{cfg: cfg.withDefaults()}
}

// Step applies an event and returns the effects to perform, in order. The
// first Tick after New starts the questions.
func (m *Machine) Step(_ types.Time, _ Event) []Effect { return nil }

// MaySend reports whether a write of the term may be sent to the primary.
func (m *Machine) MaySend(_ types.Time, _ types.Term) bool { return false }

// MayAck reports whether a write of the term may be acknowledged. The caller
// reads the clock after it has received the write's result.
func (m *Machine) MayAck(_ types.Time, _ types.Term) bool { return false }

// View returns what the machine knows of the database.
func (m *Machine) View() View { return View{} }
