package proxy_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

var affinityEndpoints = []types.Endpoint{"e1", "e2", "e3", "e4"}

// preferredEndpoints returns the endpoints without an extra cost.
func preferredEndpoints(w types.Workspace, connections float64, primary types.Endpoint) map[types.Endpoint]bool {
	out := map[types.Endpoint]bool{}
	for _, e := range affinityEndpoints {
		if proxy.AffinityCost(w, connections, e, primary, affinityEndpoints) == 0 {
			out[e] = true
		}
	}
	return out
}

// A workspace prefers more replicas the more connections it can fill, and keeps those that a
// smaller one would prefer. The primary comes last.
func TestLargeWorkspacesPreferMoreReplicas(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		w := types.Workspace(fmt.Sprint("w", i))
		smaller := map[types.Endpoint]bool{}
		for n := range 5 {
			preferred := preferredEndpoints(w, float64(n), "e2")
			is.Equal(len(preferred), max(n, 1))
			is.Equal(preferred["e2"], n == 4)
			for e := range smaller {
				is.True(preferred[e])
			}
			smaller = preferred
		}
	}
}

// Small workspaces are spread over the replicas, so that the connections of each suffice. When an
// endpoint becomes the primary, the workspaces of the other replicas stay there.
func TestSmallWorkspacesAreSpreadOverReplicas(t *testing.T) {
	count := map[types.Endpoint]int{}
	for i := range 300 {
		w := types.Workspace(fmt.Sprint("w", i))
		for e := range preferredEndpoints(w, 0.5, "e1") {
			count[e]++
			if e != "e2" && !preferredEndpoints(w, 0.5, "e2")[e] && !preferredEndpoints(w, 0.5, "e2")["e1"] {
				t.Errorf("%s moves from %s, which stays a replica", w, e)
			}
		}
	}
	for _, e := range affinityEndpoints[1:] {
		if count[e] < 75 || count[e] > 125 {
			t.Errorf("%d of 300 workspaces prefer %s", count[e], e)
		}
	}
}
