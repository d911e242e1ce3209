package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// The owner orders its queue by what the frontend says of a statement. Guards against first attempts
// that are marked as retries, retries that are not, and a time of the way that is never sent.
func TestFrontendMarksRetriesAndSendsTimeOfWay(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 380, 1)
	openAll(sim)
	first, retries, withWay := 0, 0, 0
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		e, ok := msg.(proxy.ExecRequest)
		if !ok {
			return false
		}
		if e.Retry {
			retries++
		} else {
			first++
		}
		if e.WayTime > 0 {
			withWay++
		}
		return false
	}
	sim.runFor(2 * time.Second)
	is.True(withWay > 0)
	is.True(first > 20*retries)
	retries = 0
	for range 5 {
		sim.silenceLinks(40)
		sim.runFor(time.Second)
	}
	is.True(retries > 0)
}
