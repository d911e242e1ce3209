package operator

import (
	"context"
	"slices"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
	"baobabfield.example/node/admin"
	"baobabfield.example/node/conf"
)

// listPlans lists the platform's plans in the order of their versions.
func (v requestView) listPlans(ctx context.Context) ([]config.Plan, *admin.Failure) {
	objects, err := v.Platform.Plans(ctx)
	if err != nil {
		return nil, admin.Unavailable(errors.Wrap(err, "list plans").Error())
	}
	slices.SortFunc(objects, func(a, b config.Object) int { return int(int64(a.Version) - int64(b.Version)) })
	plans := make([]config.Plan, 0, len(objects))
	for _, o := range objects {
		if p, ok := o.Body.(config.Plan); ok {
			plans = append(plans, p)
		}
	}
	return plans, nil
}

// readPlan reads a plan and its stored object.
func (v requestView) readPlan(ctx context.Context, id string) (config.Plan, config.Object, *admin.Failure) {
	o, err := v.Platform.Get(ctx, config.Key{Kind: config.KindPlan, Name: id})
	if errors.Is(err, conf.ErrNotFound) {
		return config.Plan{}, o, admin.NotFound("plan", id)
	}
	if err != nil {
		return config.Plan{}, o, admin.Unavailable(errors.Wrapf(err, "read plan %q", id).Error())
	}
	p, ok := o.Body.(config.Plan)
	if !ok {
		return config.Plan{}, o, admin.NotFound("plan", id)
	}
	return p, o, nil
}

// createPlan builds a plan from an intent and stores it.
func (v requestView) createPlan(ctx context.Context, r admin.CreatePlanRequest) (config.Plan, *admin.Failure) {
	uses := v.collectUses(ctx)
	plan, err := config.BuildPlan(config.PlanRequest{
		ID: uuid.NewString()[:planIDLength], Author: r.Author, Intent: r.Intent, Snapshot: v.snapshot, Uses: uses.Uses,
	})
	if err != nil {
		return config.Plan{}, admin.Malformed("intent", "%s", err)
	}
	if err := v.storePlan(ctx, plan, r.Call); err != nil {
		return config.Plan{}, admin.Unavailable(err.Error())
	}
	return plan, nil
}

// storePlan stores a new plan and records the event.
func (v requestView) storePlan(ctx context.Context, plan config.Plan, c admin.Call) error {
	if _, err := v.Platform.Put(ctx, config.ProposeWrite(plan)); err != nil {
		return errors.Wrapf(err, "store plan %q", plan.ID)
	}
	v.recordPlanEvent(ctx, timeline.KindPlanProposed, plan, c)
	return nil
}

// recordPlanEvent logs a change of a plan and records it in the time line.
func (v requestView) recordPlanEvent(ctx context.Context, kind timeline.Kind, plan config.Plan, c admin.Call) {
	v.log.Info("plan changed", zap.String("plan", plan.ID), zap.String("kind", string(kind)), zap.String("author", c.Author))
	ev := timeline.Event{Kind: kind, Object: "plan/" + plan.ID, Author: c.Author, Cause: c.Cause}
	v.post(ctx, recordEvent{event: ev})
}

// confirmPlan applies a plan and passes the written objects to the configuration task. A
// plan whose objects have changed since it was built is refused.
func (v requestView) confirmPlan(ctx context.Context, r admin.ConfirmPlanRequest) (config.Confirmed, *admin.Failure) {
	plan, _, f := v.readPlan(ctx, r.ID)
	if f != nil && f.Code == admin.FailureNotFound {
		return config.Confirmed{}, f
	}
	confirmed := conf.ConfirmPlan(ctx, v.Platform, r.ID)
	if len(confirmed.Written) > 0 {
		select {
		case v.Conf.Written() <- config.ObjectsWritten{Objects: confirmed.Written}:
		case <-ctx.Done():
		}
	}
	plan.ID = r.ID
	switch confirmed.State {
	case config.ConfirmAccepted:
		v.recordPlanEvent(ctx, timeline.KindPlanConfirmed, plan, r.Call)
	case config.ConfirmRefused:
		v.recordPlanEvent(ctx, timeline.KindPlanStale, plan, r.Call)
	}
	return confirmed, nil
}

// withdrawPlan marks a proposed plan as withdrawn.
func (v requestView) withdrawPlan(ctx context.Context, r admin.WithdrawPlanRequest) (config.Confirmed, *admin.Failure) {
	plan, stored, f := v.readPlan(ctx, r.ID)
	if f != nil {
		return config.Confirmed{}, f
	}
	w, err := config.WithdrawWrite(stored)
	if err != nil {
		return config.Confirmed{State: config.ConfirmRefused, Text: err.Error()}, nil
	}
	_, err = v.Platform.Put(ctx, w)
	switch {
	case errors.Is(err, conf.ErrConflict):
		return config.Confirmed{State: config.ConfirmRefused, ChangedObject: stored.Key, Text: "the plan has changed"}, nil
	case err != nil:
		return config.Confirmed{State: config.ConfirmNotYetKnown, Text: "the platform did not answer: " + err.Error()}, nil
	}
	v.recordPlanEvent(ctx, timeline.KindPlanWithdrawn, plan, r.Call)
	return config.Confirmed{State: config.ConfirmAccepted}, nil
}
