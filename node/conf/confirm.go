package conf

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/config"
)

// platformRequestTimeout bounds each request to the platform, except watches.
const platformRequestTimeout = 5 * time.Second

// ConfirmPlan applies the plan with the given id and returns the result. The caller
// must send the written objects to Task.Written. The call is idempotent, so that
// the caller may repeat it if the result is unknown.
func ConfirmPlan(ctx context.Context, p Platform, planID string) config.Confirmed {
	c := config.NewConfirmation(planID)
	next := c.Start()
	for {
		switch request := next.(type) {
		case config.ReadObject:
			next = c.Step(getObject(ctx, p, request.Key))
		case config.PutObject:
			next = c.Step(putObject(ctx, p, request.Write))
		case config.Confirmed:
			return request
		}
	}
}

func getObject(ctx context.Context, p Platform, key config.Key) config.ConfirmEvent {
	ctx, cancel := context.WithTimeout(ctx, platformRequestTimeout)
	defer cancel()
	o, err := p.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return config.ReadResponse{}
	case err != nil:
		return config.ReadFailed{}
	}
	return config.ReadResponse{Object: o}
}

func putObject(ctx context.Context, p Platform, w config.Write) config.ConfirmEvent {
	ctx, cancel := context.WithTimeout(ctx, platformRequestTimeout)
	defer cancel()
	version, err := p.Put(ctx, w)
	switch {
	case errors.Is(err, ErrConflict):
		return config.PutResponse{Result: config.PutConflict}
	case err != nil:
		return config.PutResponse{Result: config.PutUnknown}
	}
	return config.PutResponse{Result: config.PutApplied, Version: version}
}
