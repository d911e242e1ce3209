package admin

import (
	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

// Answer is the reply to a Request: a value, or the failure that explains why
// there is none.
type Answer[T any] struct {
	Value   T
	Failure *Failure
}

// Reply receives the single answer to a request. It has room for the answer,
// so that sending never blocks, also when the client has gone.
type Reply[T any] chan<- Answer[T]

// Request is a message to the tasks that own the state.
type Request interface{ isRequest() }

// Call says who asked for a change.
type Call struct {
	Author string
	// Cause is the time line's event of the admin call.
	Cause timeline.EventID
}

// StatusRequest asks for the state of this host.
type StatusRequest struct{ Reply Reply[Status] }

// SnapshotRequest asks for the configuration in force on this host.
type SnapshotRequest struct{ Reply Reply[config.Snapshot] }

// RolloutRequest asks for the configuration in force on all known hosts.
type RolloutRequest struct{ Reply Reply[[]HostVersion] }

// UsesRequest asks for the live use seen by all reachable hosts.
type UsesRequest struct{ Reply Reply[Uses] }

// TimelineRequest asks for events, oldest first.
type TimelineRequest struct {
	// AllHosts asks for the merged events of all reachable hosts.
	AllHosts bool
	Filter   timeline.Filter
	Reply    Reply[Events]
}

// RecordRequest adds an event to this host's time line and asks for its id.
type RecordRequest struct {
	Event timeline.Event
	Reply Reply[timeline.EventID]
}

// PlansRequest asks for all plans in order of creation.
type PlansRequest struct{ Reply Reply[[]config.Plan] }

// PlanRequest asks for one plan.
type PlanRequest struct {
	ID    string
	Reply Reply[config.Plan]
}

// CreatePlanRequest asks for a plan that carries out the intent, and stores it.
type CreatePlanRequest struct {
	Call
	Intent config.Intent
	Reply  Reply[config.Plan]
}

// ConfirmPlanRequest asks for a plan to be put into force.
type ConfirmPlanRequest struct {
	Call
	ID    string
	Reply Reply[config.Confirmed]
}

// WithdrawPlanRequest asks for a proposed plan to be withdrawn.
type WithdrawPlanRequest struct {
	Call
	ID    string
	Reply Reply[config.Confirmed]
}

// LeaveRequest asks for the planned stop of this host.
type LeaveRequest struct {
	Call
	Reply Reply[LeaveProgress]
}

func (StatusRequest) isRequest()       {}
func (SnapshotRequest) isRequest()     {}
func (RolloutRequest) isRequest()      {}
func (UsesRequest) isRequest()         {}
func (TimelineRequest) isRequest()     {}
func (RecordRequest) isRequest()       {}
func (PlansRequest) isRequest()        {}
func (PlanRequest) isRequest()         {}
func (CreatePlanRequest) isRequest()   {}
func (ConfirmPlanRequest) isRequest()  {}
func (WithdrawPlanRequest) isRequest() {}
func (LeaveRequest) isRequest()        {}

// HostVersion is the configuration in force on one host.
type HostVersion struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Reachable reports whether the host answered; the other values are
	// meaningful only if it did.
	Reachable bool
	Version   config.Version
	Digest    uint64
}

// Uses is the live use of all reachable hosts.
type Uses struct {
	Uses []config.Use
	// Missing are the hosts that gave no answer.
	Missing []types.Host
}

// Events is a part of the time line.
type Events struct {
	Events []timeline.Event
	// Missing are the hosts that gave no answer.
	Missing []types.Host
}
