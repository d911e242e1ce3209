package host

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/node/conf"
	"baobabfield.example/node/operator"
)

// Platform stores the state that must survive the hosts. It is safe for
// concurrent use.
type Platform interface {
	operator.Platform
	// PutMember creates or replaces a host's record.
	PutMember(ctx context.Context, h membership.PlatformHost) error
	// Members returns the recorded hosts. The list may be seconds old.
	Members(ctx context.Context) ([]membership.PlatformHost, error)
	// LeavingEndpoints returns the endpoints that are about to leave. The list may
	// be seconds old.
	LeavingEndpoints(ctx context.Context) ([]types.Endpoint, error)
	// RecordPrimary records the primary of a term, unless the same or a later term is
	// already recorded.
	RecordPrimary(ctx context.Context, db types.Database, term types.Term, e types.Endpoint) error
}

var (
	platformCalls    = metrics.NewCounter("baobab_platform_calls_total")
	platformFailures = metrics.NewCounter("baobab_platform_failures_total")
)

// monitoredPlatform counts the calls to a platform and reports for each whether
// the platform answered.
type monitoredPlatform struct {
	Platform
	// reportCall receives the result of each call. It must not block.
	reportCall func(answered bool)
}

// recordCall counts and reports a call. ErrNotFound and ErrConflict are answers of
// a working platform and not failures.
func (p monitoredPlatform) recordCall(err error) {
	platformCalls.Inc()
	answered := err == nil || errors.Is(err, conf.ErrNotFound) || errors.Is(err, conf.ErrConflict)
	if !answered {
		platformFailures.Inc()
	}
	p.reportCall(answered)
}

func (p monitoredPlatform) List(ctx context.Context) ([]config.Object, config.Version, error) {
	objects, version, err := p.Platform.List(ctx)
	p.recordCall(err)
	return objects, version, err
}

func (p monitoredPlatform) Plans(ctx context.Context) ([]config.Object, error) {
	objects, err := p.Platform.Plans(ctx)
	p.recordCall(err)
	return objects, err
}

func (p monitoredPlatform) Get(ctx context.Context, key config.Key) (config.Object, error) {
	o, err := p.Platform.Get(ctx, key)
	p.recordCall(err)
	return o, err
}

func (p monitoredPlatform) Put(ctx context.Context, w config.Write) (config.Version, error) {
	version, err := p.Platform.Put(ctx, w)
	p.recordCall(err)
	return version, err
}

// Watch records the call when the watch ends, unless its end is the caller's
// cancellation of ctx.
func (p monitoredPlatform) Watch(ctx context.Context, after config.Version, out chan<- []config.Object) error {
	err := p.Platform.Watch(ctx, after, out)
	if ctx.Err() == nil {
		p.recordCall(err)
	}
	return err
}

func (p monitoredPlatform) PutMember(ctx context.Context, h membership.PlatformHost) error {
	err := p.Platform.PutMember(ctx, h)
	p.recordCall(err)
	return err
}

func (p monitoredPlatform) Members(ctx context.Context) ([]membership.PlatformHost, error) {
	hosts, err := p.Platform.Members(ctx)
	p.recordCall(err)
	return hosts, err
}

func (p monitoredPlatform) LeavingEndpoints(ctx context.Context) ([]types.Endpoint, error) {
	endpoints, err := p.Platform.LeavingEndpoints(ctx)
	p.recordCall(err)
	return endpoints, err
}

func (p monitoredPlatform) RecordPrimary(ctx context.Context, db types.Database, term types.Term, e types.Endpoint) error {
	err := p.Platform.RecordPrimary(ctx, db, term, e)
	p.recordCall(err)
	return err
}
