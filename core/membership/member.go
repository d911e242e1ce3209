package membership

import "baobabfield.example/core/types"

// State is the state of a host as far as it is known.
type State uint8

// The states of a host, in the order of precedence at equal incarnations.
const (
	Alive State = iota
	// Suspect hosts have not responded to a probe. They may still own endpoints.
	Suspect
	// Leaving hosts finish the work that they already have and own no endpoint.
	Leaving
	// Dead hosts have not refuted a suspicion in time.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "invalid"
}

// Incarnation is the version of a host's own description. Only the host itself
// increases it.
type Incarnation uint64

// Member describes one host.
type Member struct {
	Host       types.Host
	DataCentre types.DataCentre
	// MeshAddress is the host:port at which the host accepts connections of other
	// hosts.
	MeshAddress string
	// GossipAddress is the host:port of the messages of this package.
	GossipAddress string
	Incarnation   Incarnation
	State         State
}

// supersedes reports whether m replaces old for the same host.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}
