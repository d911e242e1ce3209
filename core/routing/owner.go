package routing

import "baobabfield.example/core/types"

// FNV-1a parameters for 64-bit hashes.
const (
	fnvOffsetBasis uint64 = 14695981039346656037
	fnvPrime       uint64 = 1099511628211
)

// OwnerAndStandby returns the owner and the standby of an endpoint: the first and the
// second of the live hosts of the endpoint's data centre by rendezvous hashing. A
// missing host is empty.
func OwnerAndStandby(e types.Endpoint, live []types.Host) (owner, standby types.Host) {
	return HighestWeightHosts(string(e), live)
}

// HighestWeightHosts returns the two hosts with the highest rendezvous weights for key.
func HighestWeightHosts(key string, hosts []types.Host) (first, second types.Host) {
	var w1, w2 uint64
	for _, h := range hosts {
		w := RendezvousWeight(key, h)
		switch {
		case first == "" || w > w1 || (w == w1 && h > first):
			second, w2 = first, w1
			first, w1 = h, w
		case second == "" || w > w2 || (w == w2 && h > second):
			second, w2 = h, w
		}
	}
	return first, second
}

// RendezvousWeight hashes the key and the host with FNV-1a and a final mixing step.
func RendezvousWeight(key string, h types.Host) uint64 {
	x := fnvOffsetBasis
	for i := range len(key) {
		x = (x ^ uint64(key[i])) * fnvPrime
	}
	x *= fnvPrime
	for i := range len(h) {
		x = (x ^ uint64(h[i])) * fnvPrime
	}
	return mixBits(x)
}

// mixBits mixes the bits of x so that similar inputs give unrelated weights. The
// constants are those of the 64-bit finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// LiveHosts provides the hosts that may own endpoints.
type LiveHosts interface {
	// DataCentres returns the data centres with known hosts, in a fixed order.
	DataCentres() []types.DataCentre
	// Live returns the live hosts of a data centre.
	Live(dc types.DataCentre) []types.Host
}

// OwnerCandidates returns the hosts that may own the endpoints of a data centre: its
// live hosts or, if it has none, the live hosts of all other data centres.
func OwnerCandidates(dc types.DataCentre, hosts LiveHosts) []types.Host {
	if live := hosts.Live(dc); len(live) > 0 {
		return live
	}
	var all []types.Host
	for _, other := range hosts.DataCentres() {
		all = append(all, hosts.Live(other)...)
	}
	return all
}

// OwnerAndStandbyAt returns the owner and the standby of an endpoint in a data centre.
func OwnerAndStandbyAt(e types.Endpoint, dc types.DataCentre, hosts LiveHosts) (owner, standby types.Host) {
	return OwnerAndStandby(e, OwnerCandidates(dc, hosts))
}
