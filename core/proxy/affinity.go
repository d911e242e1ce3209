package proxy

import (
	"math"
	"time"

	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// affinityCost is the cost, expressed as waiting time, of a replica that a workspace does not
	// prefer. It is below remoteCost, so that a workspace that keeps connections busy reads in its
	// own data centre.
	affinityCost = 40 * time.Millisecond
	// smallAffinityCost is that of a workspace whose fair part of the service's connections is
	// less than one. It exceeds remoteCost: at several replicas its connections would be closed
	// before they are used again, and opening one takes as long as a statement and costs more than
	// the traffic.
	smallAffinityCost = 80 * time.Millisecond
)

// AffinityCost returns the extra cost of reading at an endpoint for a workspace, so that its reads
// use few of the connections of a service. A workspace prefers as many of the endpoints as its
// fair part of the connections fills with one connection each. connections is that part. The
// order of preference follows from rendezvous hashing of workspace and endpoint, so that all hosts
// agree on it and the workspaces are spread over the replicas. The primary comes last.
func AffinityCost(w types.Workspace, connections float64, endpoint, primary types.Endpoint, endpoints []types.Endpoint) time.Duration {
	preferred := max(1, int(math.Round(connections)))
	before := 0
	for _, other := range endpoints {
		if other != endpoint && isPreferred(w, other, endpoint, primary) {
			before++
		}
	}
	switch {
	case before < preferred:
		return 0
	case connections < 1:
		return smallAffinityCost
	}
	return affinityCost
}

// isPreferred reports whether a workspace prefers reads at endpoint a to those at b.
func isPreferred(w types.Workspace, a, b, primary types.Endpoint) bool {
	if a == primary || b == primary {
		return b == primary
	}
	first, _ := routing.HighestWeightHosts(string(w), []types.Host{types.Host(a), types.Host(b)})
	return first == types.Host(a)
}
