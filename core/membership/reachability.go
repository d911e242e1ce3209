package membership

import (
	"slices"

	"baobabfield.example/core/types"
)

// missedProbeLimit is the number of probes in a row without an answer after which a
// data centre counts as silent.
const missedProbeLimit = 3

// Reachability keeps which data centres answer this host. It is what the host itself
// finds by probing, and may differ from what other hosts find.
type Reachability struct {
	missedProbes map[types.DataCentre]int
}

// NewReachability returns a Reach for which all data centres answer.
func NewReachability() *Reachability { return &Reachability{missedProbes: map[types.DataCentre]int{}} }

// RecordProbe records the result of a probe of a data centre; it reports whether the
// data centre became silent or answers again.
func (r *Reachability) RecordProbe(dc types.DataCentre, answered bool) (changed bool) {
	wasUnreachable := r.missedProbes[dc] >= missedProbeLimit
	if answered {
		delete(r.missedProbes, dc)
	} else {
		r.missedProbes[dc]++
	}
	return wasUnreachable != (r.missedProbes[dc] >= missedProbeLimit)
}

// Unreachable returns the silent data centres, in order.
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

// View is a snapshot in which the hosts of silent data centres own no endpoint.
type View struct {
	Snapshot
	// Unreachable lists the data centres that do not answer this host.
	Unreachable []types.DataCentre
}

// Live returns the hosts of a data centre that may own endpoints, none for a
// silent one. Callers must not change the result.
func (v View) Live(dc types.DataCentre) []types.Host {
	if slices.Contains(v.Unreachable, dc) {
		return nil
	}
	return v.Snapshot.Live(dc)
}
