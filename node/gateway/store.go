package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
)

const (
	// watchWait is how long one watch waits for news; the store allows 30 s, and
	// each call has a price.
	watchWait = 25 * time.Second
	// gatherPause is the time between the end of a watch and the next one, so that
	// changes in quick succession cost one call.
	gatherPause = 30 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
)

var (
	storeFailures = metrics.NewCounter("baobab_store_failures_total")
	storeCalls    = metrics.NewCounter("baobab_store_calls_total")
)

// backoff is the pause after failed calls.
type backoff struct{ pause time.Duration }

// next waits after a failure; it reports false once the context has ended.
func (b *backoff) next(ctx context.Context) bool {
	b.pause = min(max(2*b.pause, firstRetry), lastRetry)
	return pause(ctx, b.pause)
}

func (b *backoff) reset() { b.pause = 0 }

// pause waits; it reports false once the context has ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// platformMoved brings the platform's new addresses.
type platformMoved struct {
	store    Store
	promoter Promoter
}

// MovePlatform makes the gateway use another store and other promotions.
func (g *Gateway) MovePlatform(s Store, p Promoter) { g.post(platformMoved{store: s, promoter: p}) }

// firstLists reads all kinds once, which may be seconds old; what they lack comes
// with the first refresh or watch.
func (g *Gateway) firstLists(ctx context.Context, store Store) {
	for _, k := range proxy.Kinds {
		storeCalls.Inc()
		c, err := store.List(ctx, k, false)
		if err != nil {
			storeFailures.Inc()
			g.storeLine(proxy.Warn, "store not read", k, err)
			continue
		}
		g.post(proxy.StoreChanges{Changes: c})
	}
}

// setWatching starts or ends the watches of all kinds.
func (g *Gateway) setWatching(ctx context.Context, on bool) {
	if on == g.watching {
		return
	}
	g.watching = on
	if !on {
		g.endWatches()
		return
	}
	ctx, g.endWatches = context.WithCancel(ctx)
	for _, k := range proxy.Kinds {
		go g.watch(ctx, g.set.Store, k)
	}
}

// watch follows one kind of object until the context ends.
func (g *Gateway) watch(ctx context.Context, store Store, k feed.Kind) {
	var since uint64
	var wait backoff
	// A list that may be old is no good where the history that would complete it
	// has gone.
	lost, current := false, false
	for ctx.Err() == nil {
		c, err := readChanges(ctx, store, k, since, current)
		switch {
		case err == nil:
			since = max(since, c.AsOf)
			current = false
			wait.reset()
			if lost {
				g.storeLine(proxy.Info, "store regained", k, nil)
			}
			lost = false
			if len(c.Objects) > 0 || c.Full {
				g.post(proxy.StoreChanges{Changes: c})
				pause(ctx, gatherPause)
			}
			continue
		case store.IsHistoryGone(err):
			g.storeLine(proxy.Info, "history of the store is gone", k, err)
			since, current = 0, true
			continue
		default:
			storeFailures.Inc()
			if !lost && ctx.Err() == nil {
				g.storeLine(proxy.Warn, "store lost", k, err)
			}
			lost = true
		}
		if !wait.next(ctx) {
			return
		}
	}
}

// refresh reads all objects of a kind as they are now.
func (g *Gateway) refresh(ctx context.Context, store Store, k feed.Kind) {
	storeCalls.Inc()
	c, err := store.List(ctx, k, true)
	if err != nil {
		storeFailures.Inc()
		g.storeLine(proxy.Debug, "store not read", k, err)
		g.post(proxy.StoreReadResult{Changes: feed.Changes{Kind: k}, Failed: true})
		return
	}
	g.logs.Line(proxy.Log{Level: proxy.Debug, Event: "store read", Fields: []proxy.Field{
		{Key: "kind", Value: string(k)}, {Key: "as_of", Value: c.AsOf}, {Key: "objects", Value: len(c.Objects)},
	}})
	g.post(proxy.StoreReadResult{Changes: c})
}

// readChanges lists a kind, or waits for its changes.
func readChanges(ctx context.Context, store Store, k feed.Kind, since uint64, current bool) (feed.Changes, error) {
	storeCalls.Inc()
	if since == 0 {
		return store.List(ctx, k, current)
	}
	return store.Watch(ctx, k, since, watchWait)
}

func (g *Gateway) storeLine(level proxy.Level, event string, k feed.Kind, err error) {
	fields := []proxy.Field{{Key: "kind", Value: string(k)}}
	if err != nil {
		fields = append(fields, proxy.Field{Key: "error", Value: err.Error()})
	}
	g.logs.Line(proxy.Log{Level: level, Event: event, Fields: fields})
}

// register stores the host's own record, again and again until it is stored.
func (g *Gateway) register(ctx context.Context, store Store, h catalog.Host) {
	var wait backoff
	for {
		storeCalls.Inc()
		err := store.PutHost(ctx, h)
		if err == nil {
			g.logs.Line(proxy.Log{Level: proxy.Info, Event: "host recorded", Fields: []proxy.Field{{Key: "leaving", Value: h.Leaving}}})
			return
		}
		storeFailures.Inc()
		g.storeLine(proxy.Warn, "host not recorded", proxy.KindHosts, err)
		if !wait.next(ctx) {
			return
		}
	}
}

// claim asks the store for a service's record.
func (g *Gateway) claim(ctx context.Context, store Store, c proxy.Claim) {
	storeCalls.Inc()
	answer, err := store.Claim(ctx, c.Record)
	if err != nil {
		storeFailures.Inc()
		g.storeLine(proxy.Warn, "claim failed", proxy.KindLeadership, err)
		answer = proxy.ClaimResult{Service: c.Record.Service}
	}
	g.post(answer)
}

// promote asks the platform for a promotion.
func (g *Gateway) promote(ctx context.Context, promoter Promoter, p proxy.Promote) {
	answer, err := promoter.Promote(ctx, g.set.Host, p)
	if err != nil {
		g.logs.Line(proxy.Log{Level: proxy.Warn, Event: "promotion failed", Fields: []proxy.Field{
			{Key: "endpoint", Value: p.Endpoint}, {Key: "error", Value: err.Error()},
		}})
		answer = proxy.PromoteResult{Service: p.Service}
	}
	g.post(answer)
}
