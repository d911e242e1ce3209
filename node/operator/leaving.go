package operator

import (
	"context"
	"fmt"
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

// platformAuthor is the author of plans that hosts propose without an operator's request.
const platformAuthor = "platform"

// endpointSetComplete is the message that a database's new endpoint set is in force.
type endpointSetComplete struct {
	db  types.Database
	set uint32
}

// ReportEndpointSetComplete reports that a database's new endpoint set is in force. The
// task then proposes a plan that ends the change.
func (t *Task) ReportEndpointSetComplete(ctx context.Context, db types.Database, set uint32) {
	t.post(ctx, endpointSetComplete{db: db, set: set})
}

// proposeCompletion proposes a plan that ends the change of a database's endpoint set.
func (v requestView) proposeCompletion(ctx context.Context, m endpointSetComplete) {
	ctx, cancel := context.WithTimeout(ctx, platformOperationTimeout)
	defer cancel()
	for _, s := range v.snapshot.Services() {
		for _, db := range s.Databases {
			if db.ID != m.db || len(db.PreviousEndpoints) == 0 {
				continue
			}
			id := fmt.Sprintf("complete-%s-%d", m.db, m.set)
			if err := v.proposeIfAbsent(ctx, id, config.CompleteSet{Service: s.Name, Database: m.db}); err != nil {
				v.log.Warn("failed to propose completion of endpoint set", zap.String("database", string(m.db)), zap.Error(err))
			}
		}
	}
}

// leavingEndpoints carries the endpoints that the platform lists as leaving.
type leavingEndpoints struct{ endpoints []types.Endpoint }

// ReportLeavingEndpoints reports the endpoints that the platform lists as leaving. One
// host of the cluster proposes a retirement of each endpoint that has none.
func (t *Task) ReportLeavingEndpoints(ctx context.Context, endpoints []types.Endpoint) {
	if len(endpoints) > 0 {
		t.post(ctx, leavingEndpoints{endpoints: endpoints})
	}
}

// isProposer reports whether this host is the one that proposes plans for leaving
// endpoints. It is false while the host's configuration is incomplete.
func (v requestView) isProposer() bool {
	var aliveHosts []types.Host
	for _, m := range v.members.Members() {
		if m.State == membership.Alive {
			aliveHosts = append(aliveHosts, m.Host)
		}
	}
	proposer, _ := routing.HighestWeightHosts("plans for leaving endpoints", aliveHosts)
	return proposer == v.Host && v.snapshot.Complete()
}

// proposeRetirements proposes a plan for each endpoint without a retirement.
func (v requestView) proposeRetirements(ctx context.Context, endpoints []types.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, platformOperationTimeout)
	defer cancel()
	for _, id := range endpoints {
		service, ok := v.findService(id)
		if !ok {
			continue
		}
		if _, leaving := v.snapshot.EndpointRetirement(service, id); leaving {
			continue
		}
		if err := v.proposeRetirement(ctx, service, id); err != nil {
			v.log.Warn("failed to propose retirement of leaving endpoint", zap.String("endpoint", string(id)), zap.Error(err))
		}
	}
}

// findService returns the service whose current endpoint sets include the endpoint.
func (v requestView) findService(id types.Endpoint) (types.Service, bool) {
	for _, s := range v.snapshot.Services() {
		for _, db := range s.Databases {
			if slices.ContainsFunc(db.Endpoints, func(e types.EndpointSpec) bool { return e.ID == id }) {
				return s.Name, true
			}
		}
	}
	return "", false
}

// proposeRetirement proposes a plan that retires the endpoint.
func (v requestView) proposeRetirement(ctx context.Context, service types.Service, id types.Endpoint) error {
	name := "leaving-" + string(id)
	return v.proposeIfAbsent(ctx, name, config.Retire{Retirement: config.Retirement{
		Name: name, Kind: config.TargetEndpoint, Target: string(id), Service: service, Phase: config.PhaseDraining,
	}})
}

// proposeIfAbsent builds and stores a plan with the given ID, unless a plan with this ID
// exists.
func (v requestView) proposeIfAbsent(ctx context.Context, id string, intent config.Intent) error {
	_, err := v.Platform.Get(ctx, config.Key{Kind: config.KindPlan, Name: id})
	if !errors.Is(err, conf.ErrNotFound) {
		return err
	}
	plan, err := config.BuildPlan(config.PlanRequest{
		ID: id, Author: platformAuthor, Snapshot: v.snapshot, Uses: v.collectUses(ctx).Uses, Intent: intent,
	})
	if err != nil {
		return err
	}
	return v.storePlan(ctx, plan, admin.Call{Author: platformAuthor})
}
