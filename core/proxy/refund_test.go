package proxy_test

import (
	"testing"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// Guards against operations that count towards a limit although they did not run: their frontend
// ends the transaction while its first statement waits for the authority over the primary.
func TestTransactionEndedBeforeItRanIsRefunded(t *testing.T) {
	const rate, atOnce, interval = 40, 8, 100 * time.Millisecond
	f := newOwnerFixture(t, newLimitedSimulation(t, 81, rate, rate))
	f.sim.cutEndpoint("e-b", true)
	f.sim.cutEndpoint("e-c", true)
	f.sim.runFor(3 * time.Second)
	sent, limited := 0, 0
	for range 60 {
		first := 1000 + sent
		for ; sent < first-1000+atOnce; sent++ {
			id := proxy.RequestID(1000 + sent)
			f.send(id, proxy.TxID(id), "limited", true)
		}
		f.sim.runFor(interval / 2)
		for id := first; id < first+atOnce; id++ {
			f.sim.deliver(f.owner, proxy.PeerMessage{From: "h-b0", Message: proxy.EndTx{Tx: proxy.TxID(id)}})
		}
		f.sim.runFor(interval / 2)
	}
	for _, res := range f.results {
		if res.Reason == types.ReasonLimited {
			limited++
		}
	}
	t.Logf("%d of %d operations were refused for the limit", limited, sent)
	f.Equal(limited, 0)
}

// Guards against a transaction that its frontend cannot begin at another endpoint of the same owner:
// the first endpoint was released while the operation was pending for its limit.
func TestTransactionPendingAtReleasedEndpointBeginsElsewhere(t *testing.T) {
	f := newOwnerFixture(t, newLimitedSimulation(t, 82, 40, 0))
	f.send(1000, 7, "limited", true)
	f.sim.deliver(f.owner, proxy.StoreChanges{Changes: f.sim.movedEndpoint("e-a")})
	_, answered := f.results[1000]
	f.True(!answered)
	f.sim.runFor(200 * time.Millisecond)
	f.Equal(f.results[1000].Reason, types.ReasonUnreachable)
	f.sendTo("e-b", 1001, 7, "limited", true)
	f.sim.runFor(500 * time.Millisecond)
	f.Equal(f.results[1001].Reason, types.ReasonStale) // the position of the unreachable primary is not known
}

// movedEndpoint returns a change of the store in which an endpoint has another address.
func (sim *simulation) movedEndpoint(id types.Endpoint) feed.Changes {
	e := sim.endpoints[id]
	sim.store.revision++
	sim.store.values["moved"] = proxy.Change{Endpoint: &catalog.Endpoint{
		ID: id, Service: testService, Address: "moved", DataCentre: e.dc, Slots: testSlots, ClaimsPrimary: e.primary, StartedUnixMs: e.startedAt,
	}}
	return feed.Changes{Kind: proxy.KindEndpoints, AsOf: sim.store.revision, Objects: []feed.Object{{
		Kind: proxy.KindEndpoints, Name: string(id), Revision: sim.store.revision, Data: []byte("moved"),
	}}}
}
