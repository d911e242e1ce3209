package types

import "time"

// Durability states where a write is stored when it is acknowledged.
type Durability string

// The levels of durability that a service can choose.
const (
	// DurabilityReplicated means that a majority of the endpoints holds the write.
	DurabilityReplicated Durability = "replicated"
	// DurabilityPrimary means that the primary holds the write. A failover can
	// lose it.
	DurabilityPrimary Durability = "primary"
)

// RankSpec is an operator's definition of a rank.
type RankSpec struct {
	Name Rank
	// Target is the latency within which a request of the rank must be served to
	// be of use to its caller.
	Target time.Duration
	// Worth is the rank's weight relative to the other ranks, at least 1.
	Worth int
	// Floor is the share of an endpoint's slots, in percent, that is reserved for
	// the rank when more urgent ranks are overloaded. The floors of all ranks sum to
	// less than 100.
	Floor int
	// Order is the priority of the rank, at least 0. Order 0 is served first.
	Order int
}

// EndpointSpec describes one database instance.
type EndpointSpec struct {
	ID         Endpoint
	DataCentre DataCentre
	// Address is the endpoint's host:port.
	Address string
	// Leaving is set when a confirmed retirement names the endpoint.
	Leaving bool
}

// DatabaseSpec describes one replicated database.
type DatabaseSpec struct {
	ID Database
	// EndpointSet is the number of the endpoint set. It increases with every
	// change of the set.
	EndpointSet uint32 `json:"Set"`
	Endpoints   []EndpointSpec
	// PreviousEndpoints holds the previous endpoint set until the change to the
	// current one is complete. It is empty otherwise.
	PreviousEndpoints []EndpointSpec
}

// ServiceSpec describes a service: its databases and the limits on their use.
type ServiceSpec struct {
	Name       Service
	Durability Durability `json:"Promise"`
	Databases  []DatabaseSpec
	// Slots is the number of statements that one endpoint runs concurrently.
	Slots int
	// Connections is the number of connections that one endpoint accepts.
	Connections int
}
