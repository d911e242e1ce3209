package config

import "baobabfield.example/core/types"

// TargetKind is the type of a retirement's target.
type TargetKind string

// The kinds of retirement target.
const (
	TargetFeature  TargetKind = "feature"
	TargetJob      TargetKind = "job"
	TargetEndpoint TargetKind = "endpoint"
)

// Phase is the progress of a retirement.
type Phase string

// The phases of a retirement.
const (
	// PhaseAnnounced means that use is counted and nothing is refused.
	PhaseAnnounced Phase = "announced"
	// PhaseDraining means that new transactions are refused and running ones finish.
	PhaseDraining Phase = "draining"
	// PhaseRetired means that the target is removed. Its use is refused and counted.
	PhaseRetired Phase = "retired"
)

// Retirement is the removal of a feature, a job or an endpoint in phases.
type Retirement struct {
	Name   string
	Kind   TargetKind
	Target string
	// Service limits the retirement to one service. If it is empty, the retirement
	// applies to all services. It is required for endpoints.
	Service types.Service
	Phase   Phase
}

// Key returns the retirement's key.
func (r Retirement) Key() Key { return Key{Kind: KindRetirement, Name: r.Name} }

// ForbidsNewWork reports whether the phase refuses new transactions.
func (p Phase) ForbidsNewWork() bool { return p == PhaseDraining || p == PhaseRetired }

// RefusalOutcome returns the outcome of a request that the retirement forbids.
func (r Retirement) RefusalOutcome() types.Outcome {
	if r.Kind == TargetEndpoint {
		return types.NotRunOutcome(types.ReasonLeaving, r.Name)
	}
	return types.NotRunOutcome(types.ReasonRetired, r.Name)
}

// appliesTo reports whether the retirement is of the feature or the job and includes
// the service.
func (r Retirement) appliesTo(service types.Service, feature types.Feature, job types.Job) bool {
	if r.Service != "" && r.Service != service {
		return false
	}
	switch r.Kind {
	case TargetFeature:
		return r.Target == string(feature)
	case TargetJob:
		return r.Target == string(job)
	case TargetEndpoint:
	}
	return false
}

// ordinal returns the place of the phase in the order of phases, or -1 for an
// unknown phase.
func (p Phase) ordinal() int {
	switch p {
	case PhaseAnnounced:
		return 0
	case PhaseDraining:
		return 1
	case PhaseRetired:
		return 2
	}
	return -1
}
