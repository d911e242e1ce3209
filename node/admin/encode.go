package admin

import (
	"fmt"
	"time"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

// convertAll converts each element of a list. The result is never nil, so that an
// empty list is encoded as [].
func convertAll[S, T any](in []S, convert func(S) T) []T {
	out := make([]T, 0, len(in))
	for _, element := range in {
		out = append(out, convert(element))
	}
	return out
}

func encodeHosts(hosts []types.Host) []string {
	return convertAll(hosts, func(h types.Host) string { return string(h) })
}

func encodeDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// fromUnixNanos converts nanoseconds since the Unix epoch to a UTC time.
func fromUnixNanos(nanoseconds int64) time.Time { return time.Unix(0, nanoseconds).UTC() }

func encodeServices(snapshot config.Snapshot) *api.ServiceList {
	list := &api.ServiceList{Services: []api.ServiceEntry{}}
	for _, object := range snapshot.Objects() {
		if service, ok := object.Body.(config.ServiceObject); ok {
			entry := api.ServiceEntry{Version: uint64(object.Version), Spec: encodeService(service.Spec)}
			list.Services = append(list.Services, entry)
		}
	}
	return list
}

func encodeService(spec types.ServiceSpec) api.ServiceSpec {
	return api.ServiceSpec{
		Name:        string(spec.Name),
		Promise:     api.NewOptPromise(api.Promise(spec.Durability)),
		Slots:       spec.Slots,
		Connections: spec.Connections,
		Databases:   convertAll(spec.Databases, encodeDatabase),
	}
}

func encodeDatabase(spec types.DatabaseSpec) api.DatabaseSpec {
	database := api.DatabaseSpec{
		ID:        string(spec.ID),
		Set:       api.NewOptUint32(spec.EndpointSet),
		Endpoints: convertAll(spec.Endpoints, encodeEndpoint),
	}
	if len(spec.PreviousEndpoints) > 0 {
		database.PreviousEndpoints = convertAll(spec.PreviousEndpoints, encodeEndpoint)
	}
	return database
}

func encodeEndpoint(spec types.EndpointSpec) api.EndpointSpec {
	return api.EndpointSpec{
		ID:         string(spec.ID),
		DataCentre: string(spec.DataCentre),
		Address:    spec.Address,
		Leaving:    api.NewOptBool(spec.Leaving),
	}
}

func encodeRanks(snapshot config.Snapshot) *api.RankList {
	list := &api.RankList{Ranks: []api.RankEntry{}}
	for _, rank := range snapshot.Ranks() {
		object, _ := snapshot.Object(config.RankObject{Spec: rank}.Key())
		entry := api.RankEntry{Version: uint64(object.Version), Spec: encodeRank(rank)}
		list.Ranks = append(list.Ranks, entry)
	}
	return list
}

func encodeRank(spec types.RankSpec) api.RankSpec {
	return api.RankSpec{
		Name:   string(spec.Name),
		Order:  spec.Order,
		Target: spec.Target,
		Worth:  spec.Worth,
		Floor:  spec.Floor,
	}
}

func encodeIntent(intent config.Intent) api.Intent {
	switch intent := intent.(type) {
	case config.PutService:
		return api.Intent{
			Kind:    api.IntentKindPutService,
			Service: api.NewOptServiceSpec(encodeService(intent.Spec)),
		}
	case config.RemoveService:
		return api.Intent{Kind: api.IntentKindRemoveService, Name: api.NewOptString(string(intent.Name))}
	case config.PutRank:
		return api.Intent{Kind: api.IntentKindPutRank, Rank: api.NewOptRankSpec(encodeRank(intent.Spec))}
	case config.RemoveRank:
		return api.Intent{Kind: api.IntentKindRemoveRank, Name: api.NewOptString(string(intent.Name))}
	case config.Retire:
		return api.Intent{
			Kind:       api.IntentKindRetire,
			Retirement: api.NewOptRetirementSpec(encodeRetirement(intent.Retirement)),
		}
	case config.CancelRetirement:
		return api.Intent{Kind: api.IntentKindCancelRetirement, Name: api.NewOptString(intent.Name)}
	case config.CompleteSet:
		return api.Intent{
			Kind:     api.IntentKindCompleteSet,
			Name:     api.NewOptString(string(intent.Service)),
			Database: api.NewOptString(string(intent.Database)),
		}
	}
	return api.Intent{}
}

func encodePlan(plan config.Plan) *api.Plan {
	return &api.Plan{
		ID:       plan.ID,
		State:    api.PlanState(plan.State),
		Author:   plan.Author,
		Intent:   encodeIntent(plan.Intent),
		Changes:  append([]string{}, plan.Changes...),
		Stops:    append([]string{}, plan.Stops...),
		Uses:     convertAll(plan.Uses, encodeUse),
		Warnings: convertAll(plan.Warnings, encodeWarning),
		Versions: convertAll(plan.Preconditions, encodePrecondition),
		Moved:    plan.ChangedObject,
	}
}

func encodeWarning(w config.Warning) api.Warning {
	return api.Warning{Kind: string(w.Kind), Object: w.Object, Text: w.Text}
}

func encodePrecondition(p config.Precondition) api.ObjectVersion {
	return api.ObjectVersion{Kind: p.Key.Kind.String(), Name: p.Key.Name, Version: uint64(p.Version)}
}

func encodeObjectVersion(o config.Object) api.ObjectVersion {
	return api.ObjectVersion{Kind: o.Key.Kind.String(), Name: o.Key.Name, Version: uint64(o.Version)}
}

func encodeUse(u config.Use) api.Use {
	return api.Use{
		Host:      string(u.Host),
		Service:   string(u.Service),
		Feature:   string(u.Feature),
		Job:       string(u.Job),
		Rank:      string(u.Rank),
		Endpoint:  string(u.Endpoint),
		Caller:    u.Caller,
		Calls:     u.Calls,
		Refused:   u.Refused,
		FirstSeen: fromUnixNanos(u.FirstSeen),
		LastSeen:  fromUnixNanos(u.LastSeen),
	}
}

var confirmResults = map[config.ConfirmState]api.ConfirmResult{
	config.ConfirmAccepted:    api.ConfirmResultAccepted,
	config.ConfirmRefused:     api.ConfirmResultRefused,
	config.ConfirmNotYetKnown: api.ConfirmResultUnknown,
}

func encodeConfirmation(id string, confirmed config.Confirmed, next string) *api.Confirmation {
	moved := ""
	if none := (config.Key{}); confirmed.ChangedObject != none {
		moved = confirmed.ChangedObject.String()
	}
	return &api.Confirmation{
		Plan:    id,
		Result:  confirmResults[confirmed.State],
		Message: confirmed.Text,
		Moved:   moved,
		Written: convertAll(confirmed.Written, encodeObjectVersion),
		Next:    next,
	}
}

func encodeEvents(nodes []timeline.CausalNode) []api.Event {
	return convertAll(nodes, func(node timeline.CausalNode) api.Event {
		e := node.Event
		return api.Event{
			ID:      e.ID.String(),
			Cause:   encodeCause(e.Cause),
			Host:    string(e.Host),
			At:      fromUnixNanos(e.Stamp.Wall),
			Logical: e.Stamp.Logical,
			Kind:    string(e.Kind),
			Object:  e.Object,
			Author:  e.Author,
			Text:    e.Text,
			Counts:  convertAll(e.Counts, encodeCount),
			Depth:   node.Depth,
		}
	})
}

func encodeCause(id timeline.EventID) string {
	if id.IsZero() {
		return ""
	}
	return id.String()
}

func encodeCount(c timeline.Count) api.Count { return api.Count{Name: c.Name, Value: c.Value} }

func encodeLeaveProgress(progress LeaveProgress) *api.Leaving {
	return &api.Leaving{
		Host:     string(progress.Host),
		State:    api.HostState(progress.State),
		InFlight: progress.InFlight,
	}
}
