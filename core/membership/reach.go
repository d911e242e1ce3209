package membership

import (
	"slices"

	"baobabfield.example/core/types"
)

// silentAfter is the number of probes in a row without an answer after which a
// data centre counts as silent.
const silentAfter = 3

// Reach keeps which data centres answer this host. It is what the host itself
// finds by probing, and may differ from what other hosts find.
type Reach struct {
	missed map[types.DataCentre]int
}

// NewReach returns a Reach for which all data centres answer.
func NewReach() *Reach { return &Reach{missed: map[types.DataCentre]int{}} }

// Probed records the result of a probe of a data centre; it reports whether the
// data centre became silent or answers again.
func (r *Reach) Probed(dc types.DataCentre, answered bool) (changed bool) {
	before := r.missed[dc] >= silentAfter
	if answered {
		delete(r.missed, dc)
	} else {
		r.missed[dc]++
	}
	return before != (r.missed[dc] >= silentAfter)
}

// Silent returns the silent data centres, in order.
func (r *Reach) Silent() []types.DataCentre {
	var out []types.DataCentre
	for dc, n := range r.missed {
		if n >= silentAfter {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// View is a snapshot in which the hosts of silent data centres own no endpoint.
type View struct {
	Snapshot
	// Silent lists the data centres that do not answer this host.
	Silent []types.DataCentre
}

// Live returns the hosts of a data centre that may own endpoints, none for a
// silent one. Callers must not change the result.
func (v View) Live(dc types.DataCentre) []types.Host {
	if slices.Contains(v.Silent, dc) {
		return nil
	}
	return v.Snapshot.Live(dc)
}
