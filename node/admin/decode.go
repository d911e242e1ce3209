package admin

import (
	"net/netip"
	"slices"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// decodeIntent converts an intent of the API to the form of the core.
func decodeIntent(in *api.Intent) (config.Intent, error) {
	if err := checkProperties(in); err != nil {
		return nil, err
	}
	switch in.Kind {
	case api.IntentKindPutService:
		spec, err := decodeService(in.Service.Value)
		return config.PutService{Spec: spec}, err
	case api.IntentKindRemoveService:
		return config.RemoveService{Name: types.Service(in.Name.Value)}, nil
	case api.IntentKindPutRank:
		spec, err := decodeRank(in.Rank.Value)
		return config.PutRank{Spec: spec}, err
	case api.IntentKindRemoveRank:
		return config.RemoveRank{Name: types.Rank(in.Name.Value)}, nil
	case api.IntentKindRetire:
		return config.Retire{Retirement: decodeRetirement(in.Retirement.Value)}, nil
	case api.IntentKindCancelRetirement:
		return config.CancelRetirement{Name: in.Name.Value}, nil
	case api.IntentKindCompleteSet:
		return config.CompleteSet{
			Service:  types.Service(in.Name.Value),
			Database: types.Database(in.Database.Value),
		}, nil
	}
	return nil, Malformed("kind", "kind %q is not a kind of intent", in.Kind)
}

// checkProperties checks that the intent has exactly the properties that its kind
// requires.
func checkProperties(in *api.Intent) error {
	required := requiredProperties(in.Kind)
	given := []struct {
		name string
		set  bool
	}{
		{"service", in.Service.Set},
		{"rank", in.Rank.Set},
		{"retirement", in.Retirement.Set},
		{"name", in.Name.Value != ""},
		{"database", in.Database.Value != ""},
	}
	for _, property := range given {
		isRequired := slices.Contains(required, property.name)
		if isRequired && !property.set {
			return Malformed(property.name, "an intent of kind %q needs the property %q", in.Kind, property.name)
		}
		if !isRequired && property.set {
			return Malformed(property.name, "an intent of kind %q does not take the property %q", in.Kind, property.name)
		}
	}
	return nil
}

// requiredProperties returns the names of the properties that an intent of the kind
// requires.
func requiredProperties(kind api.IntentKind) []string {
	switch kind {
	case api.IntentKindPutService:
		return []string{"service"}
	case api.IntentKindPutRank:
		return []string{"rank"}
	case api.IntentKindRetire:
		return []string{"retirement"}
	case api.IntentKindRemoveService, api.IntentKindRemoveRank, api.IntentKindCancelRetirement:
		return []string{"name"}
	case api.IntentKindCompleteSet:
		return []string{"name", "database"}
	}
	return nil
}

func decodeService(in api.ServiceSpec) (types.ServiceSpec, error) {
	spec := types.ServiceSpec{
		Name:        types.Service(in.Name),
		Durability:  types.Durability(in.Promise.Or(api.PromiseReplicated)),
		Slots:       in.Slots,
		Connections: in.Connections,
	}
	for _, database := range in.Databases {
		decoded, err := decodeDatabase(database)
		if err != nil {
			return spec, err
		}
		spec.Databases = append(spec.Databases, decoded)
	}
	return spec, nil
}

func decodeDatabase(in api.DatabaseSpec) (types.DatabaseSpec, error) {
	spec := types.DatabaseSpec{ID: types.Database(in.ID), EndpointSet: in.Set.Value}
	var err error
	if spec.Endpoints, err = decodeEndpoints(in.Endpoints); err != nil {
		return spec, err
	}
	spec.PreviousEndpoints, err = decodeEndpoints(in.PreviousEndpoints)
	return spec, err
}

func decodeEndpoints(in []api.EndpointSpec) ([]types.EndpointSpec, error) {
	var specs []types.EndpointSpec
	for _, endpoint := range in {
		if _, err := netip.ParseAddrPort(endpoint.Address); err != nil {
			return nil, Malformed(endpoint.ID, "the address %q of endpoint %q is not an IP address and port",
				endpoint.Address, endpoint.ID)
		}
		specs = append(specs, types.EndpointSpec{
			ID:         types.Endpoint(endpoint.ID),
			DataCentre: types.DataCentre(endpoint.DataCentre),
			Address:    endpoint.Address,
			Leaving:    endpoint.Leaving.Value,
		})
	}
	return specs, nil
}

func decodeRank(in api.RankSpec) (types.RankSpec, error) {
	if in.Target <= 0 {
		return types.RankSpec{}, Malformed("target", "the target of rank %q is %v, want more than 0", in.Name, in.Target)
	}
	return types.RankSpec{
		Name:   types.Rank(in.Name),
		Target: in.Target,
		Worth:  in.Worth,
		Floor:  in.Floor,
		Order:  in.Order,
	}, nil
}

func decodeRetirement(in api.RetirementSpec) config.Retirement {
	return config.Retirement{
		Name:    in.Name,
		Kind:    config.TargetKind(in.Kind),
		Target:  in.Target,
		Service: types.Service(in.Service.Value),
		Phase:   config.Phase(in.Phase),
	}
}

// intentObjectName returns the name of the object that an intent changes.
func intentObjectName(intent config.Intent) string {
	switch intent := intent.(type) {
	case config.PutService:
		return string(intent.Spec.Name)
	case config.RemoveService:
		return string(intent.Name)
	case config.PutRank:
		return string(intent.Spec.Name)
	case config.RemoveRank:
		return string(intent.Name)
	case config.Retire:
		return intent.Retirement.Name
	case config.CancelRetirement:
		return intent.Name
	case config.CompleteSet:
		return string(intent.Database)
	}
	return ""
}

// toUnixNanos returns the time in nanoseconds since the Unix epoch, or 0 if t is
// not set.
func toUnixNanos(t api.OptDateTime) int64 {
	if !t.Set {
		return 0
	}
	return t.Value.UnixNano()
}
