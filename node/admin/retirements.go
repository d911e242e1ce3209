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
		entry := encodeRetirementEntry(retirement, uses.Uses)
		entry.Version = uint64(object.Version)
		list.Retirements = append(list.Retirements, entry)
	}
	return list
}

// encodeRetirementEntry encodes a retirement with the callers of its target and the
// sums of their calls.
func encodeRetirementEntry(retirement config.Retirement, uses []config.Use) api.Retirement {
	entry := api.Retirement{Spec: encodeRetirement(retirement), Callers: []api.Use{}}
	for _, use := range config.UsesOf(retirement, uses) {
		entry.Calls += use.Calls
		entry.Refused += use.Refused
		entry.Callers = append(entry.Callers, encodeUse(use))
	}
	return entry
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
