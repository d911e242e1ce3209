package types

import "time"

// Durability says what the acknowledgement of a write means.
type Durability string

// The promises that a service can choose.
const (
	// DurabilityReplicated: a majority of the endpoints holds the write.
	DurabilityReplicated Durability = "replicated"
	// DurabilityPrimary: the primary holds the write; a failover can lose it.
	DurabilityPrimary Durability = "primary"
)

// RankSpec is an operator's definition of a rank.
type RankSpec struct {
	Name Rank
	// Target is the latency within which a request of the rank is worth serving.
	Target time.Duration
	// Worth is the rank's weight relative to the other ranks.
	Worth int
	// Floor is the share of an endpoint's slots, in percent, that the rank keeps
	// while more urgent ranks flood.
	Floor int
	// Order ranks the urgency; 0 is served first.
	Order int
}

// EndpointSpec describes one database instance.
type EndpointSpec struct {
	ID         Endpoint
	DataCentre DataCentre
	// Address is the endpoint's host:port.
	Address string
	// Leaving is set once a confirmed retirement names the endpoint.
	Leaving bool
}

// DatabaseSpec describes one replicated database.
type DatabaseSpec struct {
	ID Database
	// EndpointSet numbers the endpoint set; it grows with every change of the set.
	EndpointSet uint32 `json:"Set"`
	Endpoints   []EndpointSpec
	// PreviousEndpoints is the set before the current one, while the change to
	// the current one is not complete.
	PreviousEndpoints []EndpointSpec
}

// ServiceSpec describes a service: its databases and the limits on their use.
type ServiceSpec struct {
	Name       Service
	Durability Durability `json:"Promise"`
	Databases  []DatabaseSpec
	// Slots is the number of statements that one endpoint runs at a time.
	Slots int
	// Connections is the number of connections that one endpoint accepts.
	Connections int
}
