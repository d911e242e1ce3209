package admin

import (
	api "baobabfield.example/api/admin"
	"baobabfield.example/core/config"
)

func encodeRetirements(snapshot config.Snapshot, uses Uses) *api.RetirementList {
	list := &api.RetirementList{
		Retirements: []api.Retirement{},
		Missing:     encodeHosts(uses.Missing),
	}
	for _, retirement := range snapshot.Retirements() {
		object, _ := snapshot.Object(retirement.Key())
		entry := retirementEntry(retirement, uses.Uses)
		entry.Version = uint64(object.Version)
		list.Retirements = append(list.Retirements, entry)
	}
	return list
}

// retirementEntry adds up the use of the retirement's target.
func retirementEntry(retirement config.Retirement, uses []config.Use) api.Retirement {
	entry := api.Retirement{Spec: encodeRetirement(retirement), Callers: []api.Use{}}
	for _, use := range uses {
		if !usesTarget(use, retirement) {
			continue
		}
		entry.Calls += use.Calls
		entry.Refused += use.Refused
		entry.Callers = append(entry.Callers, encodeUse(use))
	}
	return entry
}

// usesTarget reports whether the use is one of the retirement's target.
func usesTarget(use config.Use, retirement config.Retirement) bool {
	if retirement.Service != "" && retirement.Service != use.Service {
		return false
	}
	switch retirement.Kind {
	case config.TargetFeature:
		return string(use.Feature) == retirement.Target
	case config.TargetJob:
		return string(use.Job) == retirement.Target
	case config.TargetEndpoint:
		return string(use.Endpoint) == retirement.Target
	}
	return false
}

func encodeRetirement(r config.Retirement) api.RetirementSpec {
	return api.RetirementSpec{
		Name:    r.Name,
		Kind:    api.TargetKind(r.Kind),
		Target:  r.Target,
		Service: api.NewOptString(string(r.Service)),
		Phase:   api.RetirementPhase(r.Phase),
	}
}
