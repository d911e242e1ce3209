package config

import "baobabfield.example/core/types"

// TargetKind says what a retirement retires.
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
	// PhaseAnnounced: use is counted, nothing is refused.
	PhaseAnnounced Phase = "announced"
	// PhaseDraining: no new transactions start, running ones finish.
	PhaseDraining Phase = "draining"
	// PhaseRetired: the target is gone; use is refused and counted.
	PhaseRetired Phase = "retired"
)

// Retirement states that a feature, a job or an endpoint is leaving.
type Retirement struct {
	Name   string
	Kind   TargetKind
	Target string
	// Service limits the retirement to one service; empty means all services.
	// It is required for endpoints.
	Service types.Service
	Phase   Phase
}

// Key returns the retirement's key.
func (r Retirement) Key() Key { return Key{Kind: KindRetirement, Name: r.Name} }

// ForbidsNewWork reports whether the phase refuses new transactions.
func (p Phase) ForbidsNewWork() bool { return p == PhaseDraining || p == PhaseRetired }

// RefusalOutcome returns the refusal of a request that the retirement forbids.
func (r Retirement) RefusalOutcome() types.Outcome {
	if r.Kind == TargetEndpoint {
		return types.RefusedOutcome(types.ReasonLeaving, r.Name)
	}
	return types.RefusedOutcome(types.ReasonRetired, r.Name)
}

// appliesTo reports whether the retirement names the service, the feature or the job.
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

// ordinal numbers the phases; it is negative for an unknown phase.
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
