package membership

import (
	"slices"

	"baobabfield.example/core/types"
)

// missedProbeLimit is the number of consecutive probes without a response after which a
// data centre counts as unreachable.
const missedProbeLimit = 3

// Reachability records which data centres respond to this host's own probes. The result
// can differ between hosts.
type Reachability struct {
	missedProbes map[types.DataCentre]int
}

// NewReachability returns a Reachability for which all data centres are reachable.
func NewReachability() *Reachability { return &Reachability{missedProbes: map[types.DataCentre]int{}} }

// RecordProbe records the result of a probe of a data centre. It reports whether the
// data centre has become unreachable or reachable.
func (r *Reachability) RecordProbe(dc types.DataCentre, responded bool) (changed bool) {
	wasUnreachable := r.missedProbes[dc] >= missedProbeLimit
	if responded {
		delete(r.missedProbes, dc)
	} else {
		r.missedProbes[dc]++
	}
	return wasUnreachable != (r.missedProbes[dc] >= missedProbeLimit)
}

// Unreachable returns the unreachable data centres, in order.
func (r *Reachability) Unreachable() []types.DataCentre {
	var out []types.DataCentre
	for dc, n := range r.missedProbes {
		if n >= missedProbeLimit {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// View is a snapshot in which the hosts of unreachable data centres own no endpoint.
type View struct {
	Snapshot
	// Unreachable lists the data centres that do not respond to this host.
	Unreachable []types.DataCentre
}

// Live returns the hosts of a data centre that may own endpoints, none for an
// unreachable one. Callers must not change the result.
func (v View) Live(dc types.DataCentre) []types.Host {
	if slices.Contains(v.Unreachable, dc) {
		return nil
	}
	return v.Snapshot.Live(dc)
}
