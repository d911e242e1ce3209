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

// Platform keeps what must outlast the hosts. Several goroutines use it at a time.
type Platform interface {
	operator.Platform
	// PutMember stores a host's record, new or not.
	PutMember(ctx context.Context, h membership.PlatformHost) error
	// Members returns the hosts on record, which may be seconds old.
	Members(ctx context.Context) ([]membership.PlatformHost, error)
	// LeavingEndpoints returns the endpoints that are about to leave, which may be
	// seconds old.
	LeavingEndpoints(ctx context.Context) ([]types.Endpoint, error)
	// RecordPrimary records the primary of a term, unless a later one is recorded.
	RecordPrimary(ctx context.Context, db types.Database, term types.Term, e types.Endpoint) error
}

var (
	platformCalls    = metrics.NewCounter("baobab_platform_calls_total")
	platformFailures = metrics.NewCounter("baobab_platform_failures_total")
)

// reported counts the calls of a platform and tells whether it answered them.
type reported struct {
	Platform
	// report must not wait.
	report func(answered bool)
}

// done counts a call. A refusal is an answer too.
func (p reported) done(err error) {
	platformCalls.Inc()
	answered := err == nil || errors.Is(err, conf.ErrNotFound) || errors.Is(err, conf.ErrConflict)
	if !answered {
		platformFailures.Inc()
	}
	p.report(answered)
}

func (p reported) List(ctx context.Context) ([]config.Object, config.Version, error) {
	objects, version, err := p.Platform.List(ctx)
	p.done(err)
	return objects, version, err
}

func (p reported) Plans(ctx context.Context) ([]config.Object, error) {
	objects, err := p.Platform.Plans(ctx)
	p.done(err)
	return objects, err
}

func (p reported) Get(ctx context.Context, key config.Key) (config.Object, error) {
	o, err := p.Platform.Get(ctx, key)
	p.done(err)
	return o, err
}

func (p reported) Put(ctx context.Context, w config.Write) (config.Version, error) {
	version, err := p.Platform.Put(ctx, w)
	p.done(err)
	return version, err
}

// Watch tells of its end only, unless the caller has ended it.
func (p reported) Watch(ctx context.Context, after config.Version, out chan<- []config.Object) error {
	err := p.Platform.Watch(ctx, after, out)
	if ctx.Err() == nil {
		p.done(err)
	}
	return err
}

func (p reported) PutMember(ctx context.Context, h membership.PlatformHost) error {
	err := p.Platform.PutMember(ctx, h)
	p.done(err)
	return err
}

func (p reported) Members(ctx context.Context) ([]membership.PlatformHost, error) {
	hosts, err := p.Platform.Members(ctx)
	p.done(err)
	return hosts, err
}

func (p reported) LeavingEndpoints(ctx context.Context) ([]types.Endpoint, error) {
	endpoints, err := p.Platform.LeavingEndpoints(ctx)
	p.done(err)
	return endpoints, err
}

func (p reported) RecordPrimary(ctx context.Context, db types.Database, term types.Term, e types.Endpoint) error {
	err := p.Platform.RecordPrimary(ctx, db, term, e)
	p.done(err)
	return err
}
