package admin

import (
	"time"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
)

// HostState is the state of a host in its life cycle.
type HostState string

// The states of a host.
const (
	HostStarting HostState = "starting"
	HostServing  HostState = "serving"
	HostLeaving  HostState = "leaving"
)

// EndpointState is the state of an endpoint in a host's view.
type EndpointState string

// The states of an endpoint.
const (
	EndpointPrimary     EndpointState = "primary"
	EndpointReplica     EndpointState = "replica"
	EndpointUnreachable EndpointState = "unreachable"
	EndpointLeaving     EndpointState = "leaving"
	EndpointUnknown     EndpointState = "unknown"
)

// StalenessUnknown is the staleness of a replica without a known bound.
const StalenessUnknown time.Duration = -1

// Status is the state of a host and the host's view of the cluster.
type Status struct {
	Host       types.Host
	DataCentre types.DataCentre
	State      HostState
	// PlatformReachable reports whether the platform answered the last call.
	PlatformReachable bool
	// SincePlatformAnswer is the time since the platform's last answer.
	SincePlatformAnswer time.Duration
	Configuration       ConfigurationStatus
	Members             []membership.Member
	Databases           []DatabaseStatus
	Ranks               []RankLevel
}

// ConfigurationStatus describes the version of the configuration in force on a host.
type ConfigurationStatus struct {
	// Version is the newest version of any object.
	Version config.Version
	// Digest is a hash over the configuration. It is equal on hosts with the same
	// configuration.
	Digest uint64
	// Complete reports whether the host has received the whole configuration.
	Complete bool
}

// DatabaseStatus is the state of a database.
type DatabaseStatus struct {
	Service types.Service
	ID      types.Database
	Term    types.Term
	// Primary is empty if the primary is unknown.
	Primary types.Endpoint
	// Authority reports whether this host owns the primary and the primary is not
	// suspected.
	Authority bool
	Endpoints []EndpointStatus
}

// EndpointStatus is the state of an endpoint. LastLogPoint and Staleness are known only on
// a host that watches the database. Slots, SlotsInUse, OpenConnections and Queues are set
// only on the endpoint's owner.
type EndpointStatus struct {
	ID         types.Endpoint
	DataCentre types.DataCentre
	// Address is the endpoint's HOST:PORT.
	Address      string
	State        EndpointState
	LastLogPoint types.LogPoint
	// Staleness is the upper bound of the staleness of the endpoint's data, or
	// StalenessUnknown.
	Staleness time.Duration
	Owner     types.Host
	Standby   types.Host
	// Slots is the number of statements that may run at a time.
	Slots           int
	SlotsInUse      int
	OpenConnections int
	Queues          []QueueStatus
}

// QueueStatus is the state of the queue of a rank at an endpoint's owner.
type QueueStatus struct {
	Rank types.Rank
	// Depth is the number of queued requests.
	Depth int
	// Level is the admitted share of the rank's statements, from 0 to 1.
	Level float64
}

// RankLevel is the admission of a rank at the host as the callers' frontend.
type RankLevel struct {
	Rank types.Rank
	// Level is the admitted share of the rank's statements, from 0 to 1.
	Level    float64
	Admitted uint64
	Refused  uint64
}

// LeaveProgress is the progress of the host's planned stop.
type LeaveProgress struct {
	Host  types.Host
	State HostState
	// InFlight is the number of requests in flight on the host.
	InFlight int
}
