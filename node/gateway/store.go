package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

const (
	// watchWait is how long one watch waits for changes. The store allows at most 30 s.
	// A shorter wait would need more calls, each of which has a cost.
	watchWait = 25 * time.Second
	// coalesceDelay is the time between the end of a watch and the start of the next
	// one, so that changes in quick succession cost one call.
	coalesceDelay = 30 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which
	// doubles with each failure.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

var (
	storeFailures = metrics.NewCounter("baobab_store_failures_total")
	storeCalls    = metrics.NewCounter("baobab_store_calls_total")
)

// backoff computes the delay between failed calls.
type backoff struct{ delay time.Duration }

// wait waits before the next retry. The delay doubles with each call, up to
// maxRetryDelay. It reports false if the context has ended.
func (b *backoff) wait(ctx context.Context) bool {
	b.delay = min(max(2*b.delay, minRetryDelay), maxRetryDelay)
	return sleep(ctx, b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// sleep waits for d. It reports false if the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// platformChanged holds the clients for the platform's new addresses.
type platformChanged struct {
	store    Store
	promoter Promoter
}

// SetPlatform replaces the store and the promoter that the gateway uses.
func (g *Gateway) SetPlatform(s Store, p Promoter) { g.post(platformChanged{store: s, promoter: p}) }

// readInitialLists lists every kind once without requiring a current result. Objects
// that the result lacks arrive with the first refresh or watch.
func (g *Gateway) readInitialLists(ctx context.Context, store Store) {
	for _, k := range proxy.Kinds {
		storeCalls.Inc()
		c, err := store.List(ctx, k, false)
		if err != nil {
			storeFailures.Inc()
			g.logStoreEvent(proxy.Warn, "store list failed", k, err)
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
		g.cancelWatches()
		return
	}
	ctx, g.cancelWatches = context.WithCancel(ctx)
	for _, k := range proxy.Kinds {
		go g.watchKind(ctx, g.settings.Store, k)
	}
}

// watchKind lists one kind of object and watches it until the context ends.
func (g *Gateway) watchKind(ctx context.Context, store Store, k feed.Kind) {
	var since types.Revision
	var retry backoff
	// After the history has expired, the changes missing from a stale list cannot be
	// read, so the next list must be current.
	failing, current := false, false
	for ctx.Err() == nil {
		c, err := readOrWatchChanges(ctx, store, k, since, current)
		switch {
		case err == nil:
			since = max(since, c.AsOf)
			current = false
			retry.reset()
			if failing {
				g.logStoreEvent(proxy.Info, "store watch recovered", k, nil)
			}
			failing = false
			if len(c.Objects) > 0 || c.Full {
				g.post(proxy.StoreChanges{Changes: c})
				sleep(ctx, coalesceDelay)
			}
			continue
		case store.IsHistoryExpired(err):
			g.logStoreEvent(proxy.Info, "history of the store is gone", k, err)
			since, current = 0, true
			continue
		default:
			storeFailures.Inc()
			if !failing && ctx.Err() == nil {
				g.logStoreEvent(proxy.Warn, "store lost", k, err)
			}
			failing = true
		}
		if !retry.wait(ctx) {
			return
		}
	}
}

// refreshKind reads a current list of a kind.
func (g *Gateway) refreshKind(ctx context.Context, store Store, r proxy.ReadStore) {
	k := r.Kind
	storeCalls.Inc()
	c, err := store.List(ctx, k, true)
	if err != nil {
		storeFailures.Inc()
		g.logStoreEvent(proxy.Debug, "store list failed", k, err)
		g.post(proxy.StoreReadResult{Changes: feed.Changes{Kind: k}, RequestedAt: r.RequestedAt, Failed: true})
		return
	}
	g.logs.Enqueue(proxy.Log{Level: proxy.Debug, Event: "store objects listed", Fields: []proxy.Field{
		{Key: "kind", Value: string(k)}, {Key: "era", Value: c.AsOf.Era()}, {Key: "as_of", Value: c.AsOf.Number()}, {Key: "objects", Value: len(c.Objects)},
	}})
	g.post(proxy.StoreReadResult{Changes: c, RequestedAt: r.RequestedAt})
}

// readOrWatchChanges lists a kind if since is 0, and otherwise waits for its changes
// after since.
func readOrWatchChanges(ctx context.Context, store Store, k feed.Kind, since types.Revision, current bool) (feed.Changes, error) {
	storeCalls.Inc()
	if since == 0 {
		return store.List(ctx, k, current)
	}
	return store.Watch(ctx, k, since, watchWait)
}

func (g *Gateway) logStoreEvent(level proxy.Level, event string, k feed.Kind, err error) {
	fields := []proxy.Field{{Key: "kind", Value: string(k)}}
	if err != nil {
		fields = append(fields, proxy.Field{Key: "error", Value: err.Error()})
	}
	g.logs.Enqueue(proxy.Log{Level: level, Event: event, Fields: fields})
}

// startStoringHostRecord stores the host's record in the background, in place of one that is
// still being stored.
func (g *Gateway) startStoringHostRecord(ctx context.Context, leaving bool) {
	g.cancelHostRecord()
	ctx, g.cancelHostRecord = context.WithCancel(ctx)
	record := g.hostRecord
	record.Leaving = leaving
	go g.storeHostRecord(ctx, g.settings.Store, record)
}

// storeHostRecord stores the host's own record and retries until that succeeds or
// the context ends.
func (g *Gateway) storeHostRecord(ctx context.Context, store Store, h catalog.Host) {
	var retry backoff
	for {
		storeCalls.Inc()
		err := store.PutHost(ctx, h)
		if err == nil {
			g.logs.Enqueue(proxy.Log{Level: proxy.Info, Event: "host record stored", Fields: []proxy.Field{{Key: "leaving", Value: h.Leaving}}})
			return
		}
		storeFailures.Inc()
		g.logStoreEvent(proxy.Warn, "host record not stored", proxy.KindHosts, err)
		if !retry.wait(ctx) {
			return
		}
	}
}

// claimLeadership tries to store a service's leadership record and posts the result.
func (g *Gateway) claimLeadership(ctx context.Context, store Store, c proxy.Claim) {
	storeCalls.Inc()
	result, err := store.Claim(ctx, c.Record)
	if err != nil {
		storeFailures.Inc()
		g.logStoreEvent(proxy.Warn, "leadership claim failed", proxy.KindLeadership, err)
		result = proxy.ClaimResult{Service: c.Record.Service, WriteID: c.Record.WriteID}
	}
	g.post(result)
}

// promoteEndpoint requests a promotion from the platform and posts the result.
func (g *Gateway) promoteEndpoint(ctx context.Context, promoter Promoter, p proxy.Promote) {
	outcome, err := promoter.Promote(ctx, g.settings.Host, p)
	if err != nil {
		g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "promotion failed", Fields: []proxy.Field{
			{Key: "endpoint", Value: p.Endpoint}, {Key: "outcome", Value: outcome.String()}, {Key: "error", Value: err.Error()},
		}})
	}
	g.post(proxy.PromoteResult{Service: p.Service, Endpoint: p.Endpoint, FencingToken: p.FencingToken, Request: p.Request, Outcome: outcome})
}
