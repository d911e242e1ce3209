package proxy

import (
	"math"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// affinityCost is the cost, expressed as waiting time, of a replica that a workspace does not
	// prefer. It is below locality.DefaultPrice, so that a workspace that keeps connections busy
	// reads in its own data centre.
	affinityCost = 40 * time.Millisecond
	// smallAffinityCost is that of a workspace whose fair part of the service's connections is
	// less than smallConnections. It exceeds locality.DefaultPrice: at several replicas its
	// connections would be closed before they are used again, and opening one takes as long as a
	// statement.
	smallAffinityCost = 80 * time.Millisecond
	smallConnections  = 0.7
)

// workspaceShares holds the part of all operations that each workspace may send, by the limits of
// a version of the configuration.
type workspaceShares struct {
	version uint64
	shares  map[types.Workspace]float64
}

// affinityCost returns the extra cost of an endpoint for a read of a workspace, see AffinityCost.
// It is zero without workspaces.
func (m *Machine) affinityCost(e *catalog.Endpoint, w types.Workspace) time.Duration {
	service, ok := m.catalog.Service(e.Service)
	if w == "" || !ok {
		return 0
	}
	var endpoints []types.Endpoint
	for _, other := range m.catalog.EndpointsOf(e.Service) {
		if !other.Leaving {
			endpoints = append(endpoints, other.ID)
		}
	}
	primary, _ := m.catalog.PrimaryOf(e.Service)
	connections := service.MaxConnections * connectionSharePercent / 100 * len(endpoints)
	return AffinityCost(w, m.shareOf(w)*float64(connections), e.ID, primary, endpoints)
}

// shareOf returns the share of a workspace. Workspaces without a limit, whose size is not known,
// have the whole of it among others that have one.
func (m *Machine) shareOf(w types.Workspace) float64 {
	if version := m.catalog.ConfigVersion(); m.shares.shares == nil || m.shares.version != version {
		m.shares = workspaceShares{version: version, shares: sharesOf(m.catalog.Workspaces())}
	}
	return m.shares.shares[w]
}

func sharesOf(workspaces []catalog.Workspace) map[types.Workspace]float64 {
	total := 0.0
	for i := range workspaces {
		total += workspaces[i].Rate
	}
	out := make(map[types.Workspace]float64, len(workspaces))
	for i := range workspaces {
		switch rate := workspaces[i].Rate; {
		case total == 0:
			out[workspaces[i].Name] = 1 / float64(len(workspaces))
		case rate == 0:
			out[workspaces[i].Name] = 1
		default:
			out[workspaces[i].Name] = rate / total
		}
	}
	return out
}

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
	case connections < smallConnections:
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
