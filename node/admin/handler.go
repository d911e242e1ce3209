package admin

import (
	"context"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
)

// handler translates the operations of the admin API to requests.
type handler struct{ tasks *tasks }

var _ api.Handler = (*handler)(nil)

// NewError translates the error of an operation to the API's error.
func (h *handler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	return errorStatus(failureOf(err))
}

// GetStatus answers with the state of this host.
func (h *handler) GetStatus(ctx context.Context) (*api.Status, error) {
	status, err := h.tasks.status(ctx)
	if err != nil {
		return nil, err
	}
	return encodeStatus(status), nil
}

// ListServices answers with the services in force.
func (h *handler) ListServices(ctx context.Context) (*api.ServiceList, error) {
	snapshot, err := h.tasks.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return encodeServices(snapshot), nil
}

// ListRanks answers with the ranks in force.
func (h *handler) ListRanks(ctx context.Context) (*api.RankList, error) {
	snapshot, err := h.tasks.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return encodeRanks(snapshot), nil
}

// ListRetirements answers with the retirements in force and their callers.
func (h *handler) ListRetirements(ctx context.Context) (*api.RetirementList, error) {
	snapshot, err := h.tasks.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	uses, err := ask(ctx, h.tasks, lostRead, func(r Reply[Uses]) Request { return UsesRequest{Reply: r} })
	if err != nil {
		return nil, err
	}
	return encodeRetirements(snapshot, uses), nil
}

// GetRollout answers with the configuration in force on each host.
func (h *handler) GetRollout(ctx context.Context) (*api.Rollout, error) {
	hosts, err := ask(ctx, h.tasks, lostRead, func(r Reply[[]HostVersion]) Request {
		return RolloutRequest{Reply: r}
	})
	if err != nil {
		return nil, err
	}
	return encodeRollout(hosts), nil
}

// GetTimeline answers with events of this host or of all hosts.
func (h *handler) GetTimeline(ctx context.Context, params api.GetTimelineParams) (*api.Timeline, error) {
	query, err := decodeTimelineQuery(params)
	if err != nil {
		return nil, err
	}
	events, err := ask(ctx, h.tasks, lostRead, func(r Reply[Events]) Request {
		return TimelineRequest{AllHosts: query.allHosts, Filter: query.filter(), Reply: r}
	})
	if err != nil {
		return nil, err
	}
	steps, err := query.steps(events.Events)
	if err != nil {
		return nil, err
	}
	return &api.Timeline{Events: encodeEvents(steps), Missing: encodeHosts(events.Missing)}, nil
}

// ListPlans answers with the plans, all of them or those in one state.
func (h *handler) ListPlans(ctx context.Context, params api.ListPlansParams) (*api.PlanList, error) {
	plans, err := ask(ctx, h.tasks, lostRead, func(r Reply[[]config.Plan]) Request { return PlansRequest{Reply: r} })
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

// GetPlan answers with one plan.
func (h *handler) GetPlan(ctx context.Context, params api.GetPlanParams) (*api.Plan, error) {
	plan, err := h.tasks.plan(ctx, params.Plan)
	if err != nil {
		return nil, err
	}
	return encodePlan(plan), nil
}

// CreatePlan makes a plan from an intent.
func (h *handler) CreatePlan(ctx context.Context, req *api.Intent) (*api.Plan, error) {
	intent, err := decodeIntent(req)
	if err != nil {
		return nil, err
	}
	call, err := h.record(ctx, "create plan", intentObject(intent))
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
	return ask(ctx, h.tasks, lostChange, func(r Reply[config.Plan]) Request {
		return CreatePlanRequest{Call: call, Intent: intent, Reply: r}
	})
}

// ConfirmPlan puts a plan into force. A stale plan is answered with a new one
// for the same intent.
func (h *handler) ConfirmPlan(ctx context.Context, params api.ConfirmPlanParams) (*api.Confirmation, error) {
	call, err := h.record(ctx, "confirm plan", params.Plan)
	if err != nil {
		return nil, err
	}
	confirmed, err := ask(ctx, h.tasks, lostChange, func(r Reply[config.Confirmed]) Request {
		return ConfirmPlanRequest{Call: call, ID: params.Plan, Reply: r}
	})
	if isUnknown(err) {
		confirmed = config.Confirmed{State: config.ConfirmNotYetKnown, Text: err.Error()}
		return encodeConfirmation(params.Plan, confirmed, ""), nil
	}
	if err != nil {
		return nil, err
	}
	return encodeConfirmation(params.Plan, confirmed, h.nextPlan(ctx, call, params.Plan, confirmed)), nil
}

// nextPlan makes a new plan for the intent of a stale plan and returns its id,
// or nothing where there is none to make.
func (h *handler) nextPlan(ctx context.Context, call Call, id string, confirmed config.Confirmed) string {
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

// WithdrawPlan withdraws a plan that is not confirmed.
func (h *handler) WithdrawPlan(ctx context.Context, params api.WithdrawPlanParams) (*api.Confirmation, error) {
	call, err := h.record(ctx, "withdraw plan", params.Plan)
	if err != nil {
		return nil, err
	}
	withdrawn, err := ask(ctx, h.tasks, lostChange, func(r Reply[config.Confirmed]) Request {
		return WithdrawPlanRequest{Call: call, ID: params.Plan, Reply: r}
	})
	if isUnknown(err) {
		withdrawn = config.Confirmed{State: config.ConfirmNotYetKnown, Text: err.Error()}
	} else if err != nil {
		return nil, err
	}
	return encodeConfirmation(params.Plan, withdrawn, ""), nil
}

// Leave starts the planned stop of this host.
func (h *handler) Leave(ctx context.Context) (*api.Leaving, error) {
	call, err := h.record(ctx, "leave", "")
	if err != nil {
		return nil, err
	}
	leaving, err := ask(ctx, h.tasks, lostChange, func(r Reply[Leaving]) Request {
		return LeaveRequest{Call: call, Reply: r}
	})
	if err != nil {
		return nil, err
	}
	return encodeLeaving(leaving), nil
}

// record adds the call of an operation that changes something to the time line.
// An operation that cannot be recorded is not carried out.
func (h *handler) record(ctx context.Context, operation, object string) (Call, error) {
	event := timeline.Event{
		Kind:   timeline.KindAdminCall,
		Object: object,
		Author: author(ctx),
		Text:   operation,
	}
	id, err := ask(ctx, h.tasks, lostRead, func(r Reply[timeline.EventID]) Request {
		return RecordRequest{Event: event, Reply: r}
	})
	if err != nil {
		return Call{}, err
	}
	return Call{Author: event.Author, Cause: id}, nil
}

// isUnknown reports whether err says that a request may have been carried out.
func isUnknown(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Code == FailureUnknown
}
