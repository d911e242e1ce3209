package operator

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/node/conf"
)

// platformAuthor is the author of plans that the platform's list leads to.
const platformAuthor = "platform"

// leavingEndpoints brings the endpoints that the platform lists as leaving.
type leavingEndpoints struct{ endpoints []types.Endpoint }

// EndpointsLeaving tells the endpoints that the platform lists as leaving. One
// host proposes a plan for each of them that no retirement names.
func (t *Task) EndpointsLeaving(ctx context.Context, endpoints []types.Endpoint) {
	if len(endpoints) > 0 {
		t.post(ctx, leavingEndpoints{endpoints: endpoints})
	}
}

// proposes reports whether this host is the one that proposes plans.
func (v view) proposes() bool {
	var live []types.Host
	for _, m := range v.members.Members() {
		if m.State == membership.Alive {
			live = append(live, m.Host)
		}
	}
	first, _ := routing.HighestTwo("plans for leaving endpoints", live)
	return first == v.Host && v.snapshot.Complete()
}

// proposeAll proposes the missing plans.
func (v view) proposeAll(ctx context.Context, endpoints []types.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for _, id := range endpoints {
		service, ok := v.serviceOf(id)
		if !ok {
			continue
		}
		if _, leaving := v.snapshot.EndpointLeaving(service, id); leaving {
			continue
		}
		if err := v.proposeRetirement(ctx, service, id); err != nil {
			v.log.Warn("plan for a leaving endpoint not proposed", zap.String("endpoint", string(id)), zap.Error(err))
		}
	}
}

// serviceOf returns the service that has the endpoint.
func (v view) serviceOf(id types.Endpoint) (types.Service, bool) {
	for _, s := range v.snapshot.Services() {
		for _, db := range s.Databases {
			if slices.ContainsFunc(db.Endpoints, func(e types.EndpointSpec) bool { return e.ID == id }) {
				return s.Name, true
			}
		}
	}
	return "", false
}

// proposeRetirement stores a plan that retires the endpoint. The plan's id
// follows from the endpoint, so that it is proposed once.
func (v view) proposeRetirement(ctx context.Context, service types.Service, id types.Endpoint) error {
	name := "leaving-" + string(id)
	_, err := v.Platform.Get(ctx, config.Key{Kind: config.KindPlan, Name: name})
	if !errors.Is(err, conf.ErrNotFound) {
		return err
	}
	plan, err := config.BuildPlan(config.PlanRequest{
		ID: name, Author: platformAuthor, Snapshot: v.snapshot, Uses: v.uses(ctx).Uses,
		Intent: config.Retire{Retirement: config.Retirement{
			Name: name, Kind: config.TargetEndpoint, Target: string(id), Service: service, Phase: config.PhaseDraining,
		}},
	})
	if err != nil {
		return err
	}
	return v.propose(ctx, plan, admin.Call{Author: platformAuthor})
}
