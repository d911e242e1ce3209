package locality

import (
	"cmp"
	"slices"

	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// Host is a host that can own endpoints.
type Host struct {
	ID         types.Host
	DataCentre types.DataCentre
	// Power is the CPU capacity in thousandths of a core; 0 if unknown.
	Power int
}

// strongPercent is the part of the power of the most powerful host that a strong host has at
// least. An owner runs all statements of its endpoints, and on a weak host they would queue for
// the CPU.
const strongPercent = 50

// StrongHosts returns the hosts that have at least strongPercent of the power of the most powerful
// one.
func StrongHosts(hosts []Host) []Host {
	most := 0
	for _, h := range hosts {
		most = max(most, h.Power)
	}
	var out []Host
	for _, h := range hosts {
		if 100*h.Power >= strongPercent*most {
			out = append(out, h)
		}
	}
	return out
}

// OwnerCandidates returns the hosts that may own the endpoints of a data centre, out of all usable
// hosts: its strong hosts, by the measure of all hosts. If it has none, the strong hosts of the
// other data centres are candidates if they offer each endpoint more power than the hosts of the
// data centre do. endpoints is the number of endpoints of the data centre, and allEndpoints that
// of all data centres, which the strong hosts own as well.
func OwnerCandidates(dc types.DataCentre, hosts []Host, endpoints, allEndpoints int) []Host {
	strong := StrongHosts(hosts)
	if local := hostsIn(dc, strong); len(local) > 0 {
		return local
	}
	local := StrongHosts(hostsIn(dc, hosts))
	if len(local) == 0 || powerPerEndpoint(strong, allEndpoints) > powerPerEndpoint(local, endpoints) {
		return strong
	}
	return local
}

func hostsIn(dc types.DataCentre, hosts []Host) []Host {
	var out []Host
	for _, h := range hosts {
		if h.DataCentre == dc {
			out = append(out, h)
		}
	}
	return out
}

// powerPerEndpoint returns the power that hosts offer each of their endpoints. One endpoint uses
// one host.
func powerPerEndpoint(hosts []Host, endpoints int) int {
	sum, most := 0, 0
	for _, h := range hosts {
		sum += h.Power
		most = max(most, h.Power)
	}
	return min(most, sum/max(endpoints, 1))
}

// ownerSlackPercent is the number of endpoints that a host may own, in percent of its share by
// power, rounded up. With less slack, more owners change when a host comes or goes.
const ownerSlackPercent = 125

// minOwnerLimit is the least number of endpoints that a host may own. With a limit of one, the owners
// of 1.8 of 7 endpoints change when the eighth goes.
const minOwnerLimit = 2

// Owners assigns each endpoint to one of the hosts by rendezvous hashing with bounded loads. Every
// endpoint prefers the hosts in the order of their weights for it, and a host that is preferred by
// more endpoints than it may own keeps those with the highest weights. The result depends only on
// the two lists, not on their order or on earlier results.
func Owners(endpoints []types.Endpoint, hosts []Host) map[types.Endpoint]types.Host {
	type pair struct {
		endpoint, host int
		weight         uint64
	}
	free := ownerLimits(len(endpoints), hosts)
	pairs := make([]pair, 0, len(endpoints)*len(hosts))
	for e, id := range endpoints {
		for h := range hosts {
			pairs = append(pairs, pair{e, h, routing.RendezvousWeight(string(id), hosts[h].ID)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(endpoints[a.endpoint], endpoints[b.endpoint]), cmp.Compare(hosts[b.host].ID, hosts[a.host].ID))
	})
	out := make(map[types.Endpoint]types.Host, len(endpoints))
	for _, p := range pairs {
		id := endpoints[p.endpoint]
		if _, assigned := out[id]; assigned || free[p.host] == 0 {
			continue
		}
		free[p.host]--
		out[id] = hosts[p.host].ID
	}
	return out
}

// ownerLimits returns how many endpoints each host may own. Their sum is at least the number of
// endpoints.
func ownerLimits(endpoints int, hosts []Host) []int {
	sum := 0
	for _, h := range hosts {
		sum += h.Power
	}
	out := make([]int, len(hosts))
	for i, h := range hosts {
		part, whole := 1, len(hosts)
		if sum > 0 {
			part, whole = h.Power, sum
		}
		out[i] = max(minOwnerLimit, (endpoints*ownerSlackPercent*part+100*whole-1)/(100*whole))
	}
	return out
}
