package config

import "baobabfield.example/core/types"

// Store holds the newest known version of each object.
type Store struct{}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Apply takes the object if its version is higher than the known one, and
// reports whether it did.
func (s *Store) Apply(_ Object) bool { return false }

// Snapshot returns an immutable view of the store.
func (s *Store) Snapshot() Snapshot { return Snapshot{} }

// Digest returns a hash of the keys and versions of all objects.
func (s *Store) Digest() uint64 { return 0 }

// Snapshot is an immutable view of the configuration. Callers must not change
// what its methods return.
type Snapshot struct{}

// Digest returns a hash of the keys and versions of all objects, equal on hosts
// with the same configuration.
func (s Snapshot) Digest() uint64 { return 0 }

// Version returns the highest version of any object.
func (s Snapshot) Version() Version { return 0 }

// Complete reports whether the configuration was received as a whole.
func (s Snapshot) Complete() bool { return false }

// Object returns the object with the key; tombstones are not found.
func (s Snapshot) Object(_ Key) (Object, bool) { return Object{}, false }

// Objects returns all objects but tombstones, in order of their keys.
func (s Snapshot) Objects() []Object { return nil }

// Service returns a service; endpoints that a retirement drains are marked as leaving.
func (s Snapshot) Service(_ types.Service) (types.ServiceSpec, bool) {
	return types.ServiceSpec{}, false
}

// Services returns all services in order of their names.
func (s Snapshot) Services() []types.ServiceSpec { return nil }

// Rank returns a rank.
func (s Snapshot) Rank(_ types.Rank) (types.RankSpec, bool) { return types.RankSpec{}, false }

// Ranks returns all ranks, the most urgent first.
func (s Snapshot) Ranks() []types.RankSpec { return nil }

// Retirements returns all retirements in order of their names.
func (s Snapshot) Retirements() []Retirement { return nil }

// Refusal returns the retirement that forbids new transactions of the feature or
// the job at the service, if any.
func (s Snapshot) Refusal(_ types.Service, _ types.Feature, _ types.Job) (Retirement, bool) {
	return Retirement{}, false
}

// Announced returns the retirement that has announced the end of the feature or the
// job at the service without forbidding it yet, if any.
func (s Snapshot) Announced(_ types.Service, _ types.Feature, _ types.Job) (Retirement, bool) {
	return Retirement{}, false
}

// EndpointLeaving reports whether the endpoint accepts no new work, and the
// retirement that says so, if any.
func (s Snapshot) EndpointLeaving(_ types.Service, _ types.Endpoint) (Retirement, bool) {
	return Retirement{}, false
}
