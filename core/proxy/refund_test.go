package proxy_test

import (
	"testing"
	"time"

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
