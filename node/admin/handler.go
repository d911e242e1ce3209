package admin

import (
	"context"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
)

// handler implements the operations of the admin API by requests to the tasks.
type handler struct{ tasks *taskClient }

var _ api.Handler = (*handler)(nil)

// NewError converts the error of an operation to the error of the API.
func (h *handler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	return errorStatus(toFailure(err))
}

// GetStatus returns the state of this host.
func (h *handler) GetStatus(ctx context.Context) (*api.Status, error) {
	status, err := h.tasks.status(ctx)
	if err != nil {
		return nil, err
	}
	return encodeStatus(status), nil
}

// ListServices returns the services in force.
func (h *handler) ListServices(ctx context.Context) (*api.ServiceList, error) {
	snapshot, err := h.tasks.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return encodeServices(snapshot), nil
}

// ListRanks returns the ranks in force.
func (h *handler) ListRanks(ctx context.Context) (*api.RankList, error) {
	snapshot, err := h.tasks.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return encodeRanks(snapshot), nil
}

// ListRetirements returns the retirements in force, with the callers that still use
// their targets.
func (h *handler) ListRetirements(ctx context.Context) (*api.RetirementList, error) {
	snapshot, err := h.tasks.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	uses, err := sendRequest(ctx, h.tasks, readTimedOut, func(r Reply[Uses]) Request { return UsesRequest{Reply: r} })
	if err != nil {
		return nil, err
	}
	return encodeRetirements(snapshot, uses), nil
}

// GetRollout returns the version of the configuration in force on each host.
func (h *handler) GetRollout(ctx context.Context) (*api.Rollout, error) {
	hosts, err := sendRequest(ctx, h.tasks, readTimedOut, func(r Reply[[]HostVersion]) Request {
		return RolloutRequest{Reply: r}
	})
	if err != nil {
		return nil, err
	}
	return encodeRollout(hosts), nil
}

// GetTimeline returns events of this host or of all hosts.
func (h *handler) GetTimeline(ctx context.Context, params api.GetTimelineParams) (*api.Timeline, error) {
	query, err := decodeTimelineQuery(params)
	if err != nil {
		return nil, err
	}
	events, err := sendRequest(ctx, h.tasks, readTimedOut, func(r Reply[Events]) Request {
		return TimelineRequest{AllHosts: query.allHosts, Filter: query.taskFilter(), Reply: r}
	})
	if err != nil {
		return nil, err
	}
	nodes, err := query.selectNodes(events.Events)
	if err != nil {
		return nil, err
	}
	return &api.Timeline{Events: encodeEvents(nodes), Missing: encodeHosts(events.Missing)}, nil
}

// ListPlans returns all plans, or those in the requested state.
func (h *handler) ListPlans(ctx context.Context, params api.ListPlansParams) (*api.PlanList, error) {
	plans, err := sendRequest(ctx, h.tasks, readTimedOut, func(r Reply[[]config.Plan]) Request { return PlansRequest{Reply: r} })
	if err != nil {
		return nil, err
	}
	list := &api.PlanList{Plans: []api.Plan{}}
	for _, plan := range plans {
		if state, ok := params.State.Get(); ok && config.PlanState(state) != plan.State {
			continue
		}
		list.Plans = append(list.Plans, *encodePlan(plan))
	}
	return list, nil
}

// GetPlan returns one plan.
func (h *handler) GetPlan(ctx context.Context, params api.GetPlanParams) (*api.Plan, error) {
	plan, err := h.tasks.plan(ctx, params.Plan)
	if err != nil {
		return nil, err
	}
	return encodePlan(plan), nil
}

// CreatePlan creates a plan for an intent.
func (h *handler) CreatePlan(ctx context.Context, req *api.Intent) (*api.Plan, error) {
	intent, err := decodeIntent(req)
	if err != nil {
		return nil, err
	}
	call, err := h.recordCall(ctx, "create plan", intentObjectName(intent))
	if err != nil {
		return nil, err
	}
	plan, err := h.createPlan(ctx, call, intent)
	if err != nil {
		return nil, err
	}
	return encodePlan(plan), nil
}

func (h *handler) createPlan(ctx context.Context, call Call, intent config.Intent) (config.Plan, error) {
	return sendRequest(ctx, h.tasks, changeTimedOut, func(r Reply[config.Plan]) Request {
		return CreatePlanRequest{Call: call, Intent: intent, Reply: r}
	})
}

// ConfirmPlan applies a plan. If the plan is stale, it creates a new plan for the
// same intent and returns its id.
func (h *handler) ConfirmPlan(ctx context.Context, params api.ConfirmPlanParams) (*api.Confirmation, error) {
	call, err := h.recordCall(ctx, "confirm plan", params.Plan)
	if err != nil {
		return nil, err
	}
	confirmed, err := sendRequest(ctx, h.tasks, changeTimedOut, func(r Reply[config.Confirmed]) Request {
		return ConfirmPlanRequest{Call: call, ID: params.Plan, Reply: r}
	})
	if isOutcomeUnknown(err) {
		confirmed = config.Confirmed{State: config.ConfirmNotYetKnown, Text: err.Error()}
		return encodeConfirmation(params.Plan, confirmed, ""), nil
	}
	if err != nil {
		return nil, err
	}
	return encodeConfirmation(params.Plan, confirmed, h.replaceStalePlan(ctx, call, params.Plan, confirmed)), nil
}

// replaceStalePlan creates a new plan for the intent of a stale plan and returns its
// id. It returns "" if the plan is not stale or the new plan cannot be created.
func (h *handler) replaceStalePlan(ctx context.Context, call Call, id string, confirmed config.Confirmed) string {
	none := config.Key{}
	if confirmed.State != config.ConfirmRefused || confirmed.ChangedObject == none {
		return ""
	}
	stale, err := h.tasks.plan(ctx, id)
	if err != nil {
		return ""
	}
	next, err := h.createPlan(ctx, call, stale.Intent)
	if err != nil {
		return ""
	}
	return next.ID
}

// WithdrawPlan withdraws a proposed plan.
func (h *handler) WithdrawPlan(ctx context.Context, params api.WithdrawPlanParams) (*api.Confirmation, error) {
	call, err := h.recordCall(ctx, "withdraw plan", params.Plan)
	if err != nil {
		return nil, err
	}
	withdrawn, err := sendRequest(ctx, h.tasks, changeTimedOut, func(r Reply[config.Confirmed]) Request {
		return WithdrawPlanRequest{Call: call, ID: params.Plan, Reply: r}
	})
	if isOutcomeUnknown(err) {
		withdrawn = config.Confirmed{State: config.ConfirmNotYetKnown, Text: err.Error()}
	} else if err != nil {
		return nil, err
	}
	return encodeConfirmation(params.Plan, withdrawn, ""), nil
}

// Leave starts the planned stop of this host.
func (h *handler) Leave(ctx context.Context) (*api.Leaving, error) {
	call, err := h.recordCall(ctx, "leave", "")
	if err != nil {
		return nil, err
	}
	progress, err := sendRequest(ctx, h.tasks, changeTimedOut, func(r Reply[LeaveProgress]) Request {
		return LeaveRequest{Call: call, Reply: r}
	})
	if err != nil {
		return nil, err
	}
	return encodeLeaveProgress(progress), nil
}

// recordCall records the call of a changing operation in the time line. The operation
// must not be executed if recordCall fails.
func (h *handler) recordCall(ctx context.Context, operation, object string) (Call, error) {
	event := timeline.Event{
		Kind:   timeline.KindAdminCall,
		Object: object,
		Author: authorFromContext(ctx),
		Text:   operation,
	}
	id, err := sendRequest(ctx, h.tasks, readTimedOut, func(r Reply[timeline.EventID]) Request {
		return RecordRequest{Event: event, Reply: r}
	})
	if err != nil {
		return Call{}, err
	}
	return Call{Author: event.Author, Cause: id}, nil
}

// isOutcomeUnknown reports whether err means that the request may have been executed.
func isOutcomeUnknown(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Code == FailureUnknown
}
