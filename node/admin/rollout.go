package admin

import (
	api "baobabfield.example/api/admin"
	"baobabfield.example/core/config"
)

// encodeRollout encodes the configuration versions of the hosts. A reachable host is
// lagging if its version or digest differs from the newest configuration.
func encodeRollout(hosts []HostVersion) *api.Rollout {
	newest, digest := newestConfiguration(hosts)
	return &api.Rollout{
		Newest: uint64(newest),
		Hosts: convertAll(hosts, func(h HostVersion) api.HostRollout {
			return api.HostRollout{
				Host:       string(h.Host),
				DataCentre: string(h.DataCentre),
				Reachable:  h.Reachable,
				Version:    uint64(h.Version),
				Digest:     encodeDigest(h.Digest),
				Lagging:    h.Reachable && (h.Version != newest || h.Digest != digest),
			}
		}),
	}
}

// newestConfiguration returns the newest version in force on a reachable host, and
// the most frequent digest among the hosts with that version.
func newestConfiguration(hosts []HostVersion) (config.Version, uint64) {
	var newest config.Version
	for _, host := range hosts {
		if host.Reachable {
			newest = max(newest, host.Version)
		}
	}
	counts := map[uint64]int{}
	var digest uint64
	for _, host := range hosts {
		if !host.Reachable || host.Version != newest {
			continue
		}
		counts[host.Digest]++
		if counts[host.Digest] > counts[digest] {
			digest = host.Digest
		}
	}
	return newest, digest
}
