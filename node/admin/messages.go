package admin

import (
	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

// Answer is the answer to a Request. It holds the value if Failure is nil.
type Answer[T any] struct {
	Value   T
	Failure *Failure
}

// Reply is the channel for the single answer to a request. It is buffered, so that
// sending never blocks, even if the client has disconnected.
type Reply[T any] chan<- Answer[T]

// Request is a message to the tasks that own the state.
type Request interface{ isRequest() }

// Call identifies the admin call that requests a change.
type Call struct {
	Author string
	// Cause is the id of the time line event of the admin call.
	Cause timeline.EventID
}

// StatusRequest requests the state of this host.
type StatusRequest struct{ Reply Reply[Status] }

// SnapshotRequest requests the configuration in force on this host.
type SnapshotRequest struct{ Reply Reply[config.Snapshot] }

// RolloutRequest requests the version of the configuration in force on all known hosts.
type RolloutRequest struct{ Reply Reply[[]HostVersion] }

// UsesRequest requests the current use that all reachable hosts observe.
type UsesRequest struct{ Reply Reply[Uses] }

// TimelineRequest requests events, oldest first.
type TimelineRequest struct {
	// AllHosts requests the merged events of all reachable hosts.
	AllHosts bool
	Filter   timeline.Filter
	Reply    Reply[Events]
}

// RecordRequest adds an event to this host's time line and requests its id.
type RecordRequest struct {
	Event timeline.Event
	Reply Reply[timeline.EventID]
}

// PlansRequest requests all plans in order of creation.
type PlansRequest struct{ Reply Reply[[]config.Plan] }

// PlanRequest requests one plan.
type PlanRequest struct {
	ID    string
	Reply Reply[config.Plan]
}

// CreatePlanRequest creates and stores a plan that implements the intent.
type CreatePlanRequest struct {
	Call
	Intent config.Intent
	Reply  Reply[config.Plan]
}

// ConfirmPlanRequest applies a plan.
type ConfirmPlanRequest struct {
	Call
	ID    string
	Reply Reply[config.Confirmed]
}

// WithdrawPlanRequest withdraws a proposed plan.
type WithdrawPlanRequest struct {
	Call
	ID    string
	Reply Reply[config.Confirmed]
}

// LeaveRequest starts the planned stop of this host.
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
	// Reachable reports whether the host answered. Version and Digest are meaningful
	// only if it did.
	Reachable bool
	Version   config.Version
	Digest    uint64
}

// Uses is the current use that the reachable hosts observe.
type Uses struct {
	Uses []config.Use
	// Missing are the hosts that did not answer.
	Missing []types.Host
}

// Events is a part of the time line.
type Events struct {
	Events []timeline.Event
	// Missing are the hosts that did not answer.
	Missing []types.Host
}
