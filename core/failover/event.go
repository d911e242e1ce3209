package failover

import (
	"time"

	"baobabfield.example/core/types"
)

// RequestID matches an answer to its question. A machine never uses one twice.
type RequestID uint64

// Role is an endpoint's part in replication.
type Role uint8

// The roles of endpoints.
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

// EndpointStatus is an endpoint's answer to a question.
type EndpointStatus struct {
	Role Role
	// Term is the highest term that the endpoint granted.
	Term types.Term
	// LastLogPoint is the last log entry that reads see.
	LastLogPoint types.LogPoint
	// ReplicatedPosition is, on a primary, the position that a majority holds.
	ReplicatedPosition types.Position
	// TermStarts is the start of each term in the endpoint's log.
	TermStarts []types.TermStart
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick says that the time of a WakeAt effect has come.
type Tick struct{}

// StatusResponse is the result of Ask.
type StatusResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Status    EndpointStatus
}

// NoResponse says that the connection failed or timed out before the result of
// the question or command, which may have taken effect.
type NoResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
}

// FenceResponse is the result of Fence.
type FenceResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Granted   bool
	// Term is the endpoint's term after the command.
	Term         types.Term
	LastLogPoint types.LogPoint
	// AuthorityIdleKnown says that Quiet is valid. An endpoint that restarted within
	// the time that it reports does not know.
	AuthorityIdleKnown bool
	// AuthorityIdle is the time since the endpoint last received a question with
	// Authority set from a host other than the sender of the fence.
	AuthorityIdle time.Duration
}

// PromoteResponse is the result of Promote.
type PromoteResponse struct {
	RequestID    RequestID
	Endpoint     types.Endpoint
	Done         bool
	Term         types.Term
	LastLogPoint types.LogPoint
}

// FollowResponse is the result of Follow.
type FollowResponse struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Done      bool
	Term      types.Term
}

// SpecChanged brings a new description of the database.
type SpecChanged struct{ Spec types.DatabaseSpec }

// OwnersChanged brings the current owner of each endpoint.
type OwnersChanged struct{ Owners map[types.Endpoint]types.Host }

// Suspicion is one host's opinion of a primary.
type Suspicion struct {
	Term    types.Term
	Primary types.Endpoint
	// Suspected is false once the primary answers again, or a new one was promoted.
	Suspected bool
}

// PeerSuspicion brings another owner's opinion.
type PeerSuspicion struct {
	From      types.Host
	Suspicion Suspicion
}

// PlannedChange asks for the endpoint To to become the primary. It is accepted
// only by the host that owns the current primary. An empty To lets the machine
// choose the replica.
type PlannedChange struct{ To types.Endpoint }

// WritesDrained says that no write is in flight at the primary since
// HoldWrites{Hold: true}.
type WritesDrained struct{}

// PrimaryHint is a hint from another host or from the platform's record.
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
