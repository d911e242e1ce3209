package failover

import (
	"time"

	"baobabfield.example/core/types"
)

// RequestID matches a response to its query or command. A machine never uses an
// ID twice.
type RequestID uint64

// Role is an endpoint's replication role.
type Role uint8

// Replication roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	case RoleUnknown:
	}
	return "unknown"
}

// EndpointStatus is an endpoint's response to a status query.
type EndpointStatus struct {
	Role Role
	// Term is the highest term that the endpoint granted.
	Term types.Term
	// LastLogPoint is the last log entry that is visible to reads.
	LastLogPoint types.LogPoint
	// ReplicatedPosition is the position up to which a majority holds the log.
	// Only a primary reports it.
	ReplicatedPosition types.Position
	// TermStarts holds the start of each term in the endpoint's log.
	TermStarts []types.TermStart
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick reports that the time of the last ScheduleTick effect has come.
type Tick struct{}

// StatusResponse is the response to QueryStatus.
type StatusResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Status    EndpointStatus
}

// NoResponse reports that the connection failed or timed out before the response
// to a query or command arrived. The command may have taken effect.
type NoResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
}

// FenceResponse is the response to Fence.
type FenceResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Granted   bool
	// Term is the endpoint's term after the command.
	Term         types.Term
	LastLogPoint types.LogPoint
	// AuthorityIdleKnown is true if AuthorityIdle is valid. The value is unknown at an
	// endpoint that has restarted recently.
	AuthorityIdleKnown bool
	// AuthorityIdle is the time since the endpoint last received a query with
	// RenewsAuthority set from a host other than the sender of the fence.
	AuthorityIdle time.Duration
}

// PromoteResponse is the response to Promote. Done is false if the endpoint has
// granted a later term.
type PromoteResponse struct {
	RequestID    RequestID
	Endpoint     types.Endpoint
	Done         bool
	Term         types.Term
	LastLogPoint types.LogPoint
}

// FollowResponse is the response to Follow.
type FollowResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Done      bool
	Term      types.Term
}

// SpecChanged carries a new specification of the database.
type SpecChanged struct{ Spec types.DatabaseSpec }

// OwnersChanged carries the current owner of each endpoint.
type OwnersChanged struct{ Owners map[types.Endpoint]types.Host }

// Suspicion states whether a host suspects that a primary has failed.
type Suspicion struct {
	Term    types.Term
	Primary types.Endpoint
	// Suspected becomes false once the primary responds again or a new one is
	// promoted.
	Suspected bool
}

// PeerSuspicion carries the suspicion of another owner.
type PeerSuspicion struct {
	From      types.Host
	Suspicion Suspicion
}

// PlannedChange requests that the endpoint To become the primary. Only the host
// that owns the current primary accepts it. If To is empty, the machine chooses
// the replica.
type PlannedChange struct{ To types.Endpoint }

// WritesDrained reports that no write is in flight at the primary any more after
// HoldWrites{Hold: true}.
type WritesDrained struct{}

// PrimaryHint names a primary that another host or the platform's record has
// reported. It may be outdated.
type PrimaryHint struct {
	Term    types.Term
	Primary types.Endpoint
}

func (Tick) event()            {}
func (StatusResponse) event()  {}
func (NoResponse) event()      {}
func (FenceResponse) event()   {}
func (PromoteResponse) event() {}
func (FollowResponse) event()  {}
func (SpecChanged) event()     {}
func (OwnersChanged) event()   {}
func (PeerSuspicion) event()   {}
func (PlannedChange) event()   {}
func (WritesDrained) event()   {}
func (PrimaryHint) event()     {}
