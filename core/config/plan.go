package config

import (
	"fmt"

	"baobabfield.example/core/types"
)

// Intent is a change that an operator requests: PutService, RemoveService, PutRank,
// RemoveRank, Retire, CancelRetirement or CompleteSet.
type Intent interface{ isIntent() }

// PutService creates or replaces a service. The endpoint set numbers and the
// leaving marks in the specification are ignored, since the plan derives them from
// the current service.
type PutService struct{ Spec types.ServiceSpec }

// RemoveService removes a service.
type RemoveService struct{ Name types.Service }

// PutRank creates or replaces a rank.
type PutRank struct{ Spec types.RankSpec }

// RemoveRank removes a rank.
type RemoveRank struct{ Name types.Rank }

// Retire starts a retirement or moves it to a later phase.
type Retire struct{ Retirement Retirement }

// CancelRetirement removes a retirement. Its target is served again.
type CancelRetirement struct{ Name string }

// CompleteSet completes the change of a database's endpoint set after the new set
// has taken effect.
type CompleteSet struct {
	Service  types.Service
	Database types.Database
}

func (PutService) isIntent()       {}
func (RemoveService) isIntent()    {}
func (PutRank) isIntent()          {}
func (RemoveRank) isIntent()       {}
func (Retire) isIntent()           {}
func (CancelRetirement) isIntent() {}
func (CompleteSet) isIntent()      {}

// PlanState is the progress of a plan.
type PlanState string

// The states of a plan.
const (
	PlanProposed  PlanState = "proposed"
	PlanConfirmed PlanState = "confirmed"
	PlanWithdrawn PlanState = "withdrawn"
	// PlanStale means that an object of the plan's preconditions has changed.
	PlanStale PlanState = "stale"
)

// Precondition is the version that an object must still have when the plan is
// confirmed. Version 0 means that the object has never existed.
type Precondition struct {
	Key     Key
	Version Version
	// Operations are the operations of the object at that version.
	Operations []OperationID
}

// Update is the new content of an object. A nil body deletes the object.
type Update struct {
	Key  Key
	Body Body
}

// WarningKind is the type of a Warning.
type WarningKind string

// The kinds of warning.
const (
	// WarnLastReplica means that the database keeps a single endpoint.
	WarnLastReplica WarningKind = "last replica"
	// WarnNoMajority means that the remaining endpoints are no majority of the set.
	WarnNoMajority WarningKind = "no majority left"
	// WarnNoEndpoint means that the database keeps no endpoint.
	WarnNoEndpoint WarningKind = "no endpoint left"
	// WarnUnusedRank means that no caller uses the rank.
	WarnUnusedRank WarningKind = "rank without takers"
	// WarnJobInUse means that the job still sends requests.
	WarnJobInUse WarningKind = "job still firing"
	// WarnInUse means that callers still use an object that the plan removes.
	WarnInUse WarningKind = "still in use"
)

// Warning describes an unsafe effect of a plan.
type Warning struct {
	Kind   WarningKind
	Object string
	Text   string
}

// Plan holds the changes that carry out an intent. They take effect when an
// operator confirms the plan.
type Plan struct {
	ID     string
	Author string
	Intent Intent
	// Preconditions are the versions of the objects from which the plan was built.
	Preconditions []Precondition
	// Updates are the changes in the order in which they are stored. Of several
	// conflicting plans, the one whose first update is stored is carried out.
	Updates []Update
	// Changes and Stops describe for the operator what changes and what stops.
	Changes, Stops []string
	// Uses are the current uses that the plan stops, limited to the maxUsesPerPlan
	// with the most calls.
	Uses     []Use
	Warnings []Warning
	// Operation identifies the writes of the plan.
	Operation OperationID
	State     PlanState
	// ChangedObject names the object that made the plan stale.
	ChangedObject string
}

// Key returns the plan's key.
func (p Plan) Key() Key { return Key{Kind: KindPlan, Name: p.ID} }

// FirstChangedObject returns the first object of the preconditions that has another
// version in the snapshot, if any.
func (p Plan) FirstChangedObject(s Snapshot) (Key, bool) {
	for _, b := range p.Preconditions {
		o, _ := s.objectOrTombstone(b.Key)
		if o.Version != b.Version {
			return b.Key, true
		}
	}
	return Key{}, false
}

// precondition returns the precondition on an object. Without one, it returns a
// precondition of version 0.
func (p Plan) precondition(k Key) Precondition {
	for _, b := range p.Preconditions {
		if b.Key == k {
			return b
		}
	}
	return Precondition{Key: k}
}

// hasUpdate reports whether the plan updates the object.
func (p Plan) hasUpdate(k Key) bool {
	for _, u := range p.Updates {
		if u.Key == k {
			return true
		}
	}
	return false
}

// PlanRequest is the input of BuildPlan.
type PlanRequest struct {
	// ID names the plan and must be unique. The operation id is derived from it.
	ID       string
	Author   string
	Intent   Intent
	Snapshot Snapshot
	// Uses are the current uses that all hosts report.
	Uses []Use
}

// BuildPlan validates the intent and returns its plan. The error of an invalid
// intent names the value and the allowed range.
func BuildPlan(req PlanRequest) (Plan, error) {
	if err := checkName("plan", req.ID); err != nil {
		return Plan{}, err
	}
	b := builder{
		snapshot: req.Snapshot,
		uses:     req.Uses,
		plan: Plan{
			ID:        req.ID,
			Author:    req.Author,
			Intent:    req.Intent,
			Operation: OperationID("plan/" + req.ID),
			State:     PlanProposed,
		},
	}
	if err := b.build(req.Intent); err != nil {
		return Plan{}, err
	}
	return b.plan, nil
}

// builder builds a plan.
type builder struct {
	snapshot Snapshot
	uses     []Use
	plan     Plan
}

func (b *builder) build(intent Intent) error {
	switch intent := intent.(type) {
	case PutService:
		return b.putService(intent.Spec)
	case RemoveService:
		return b.removeService(intent.Name)
	case PutRank:
		return b.putRank(intent.Spec)
	case RemoveRank:
		return b.removeRank(intent.Name)
	case Retire:
		return b.retire(intent.Retirement)
	case CancelRetirement:
		return b.cancelRetirement(intent.Name)
	case CompleteSet:
		return b.completeSet(intent)
	}
	return fmt.Errorf("intent %T is not known", intent)
}

// addPrecondition requires that the object still has its current version when the
// plan is confirmed.
func (b *builder) addPrecondition(k Key) {
	o, _ := b.snapshot.objectOrTombstone(k)
	b.plan.Preconditions = append(b.plan.Preconditions, Precondition{Key: k, Version: o.Version, Operations: o.Operations})
}

// addUpdate adds an update of an object, with a precondition on the same object.
func (b *builder) addUpdate(k Key, body Body) {
	b.addPrecondition(k)
	b.plan.Updates = append(b.plan.Updates, Update{Key: k, Body: body})
}

func (b *builder) addChange(format string, args ...any) {
	b.plan.Changes = append(b.plan.Changes, fmt.Sprintf(format, args...))
}

func (b *builder) addStop(format string, args ...any) {
	b.plan.Stops = append(b.plan.Stops, fmt.Sprintf(format, args...))
}

func (b *builder) addWarning(kind WarningKind, object, format string, args ...any) {
	w := Warning{Kind: kind, Object: object, Text: fmt.Sprintf(format, args...)}
	b.plan.Warnings = append(b.plan.Warnings, w)
}
