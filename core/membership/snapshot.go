package membership

import (
	"slices"

	"baobabfield.example/core/types"
)

// Snapshot is an immutable view of the hosts.
type Snapshot struct {
	dataCentres []types.DataCentre
	records     []record
	liveHosts   [][]types.Host
}

// DataCentres returns the data centres with known hosts, in order.
func (s Snapshot) DataCentres() []types.DataCentre {
	return slices.Sorted(slices.Values(s.dataCentres))
}

// Live returns the hosts of a data centre that may own endpoints, in order: alive and
// suspect hosts. Leaving and dead hosts are left out, and so are hosts that only the
// platform's list names. Callers must not change the result.
func (s Snapshot) Live(dc types.DataCentre) []types.Host {
	i := slices.Index(s.dataCentres, dc)
	if i < 0 {
		return nil
	}
	return s.liveHosts[i]
}

// Member returns the description of a host. Its incarnation is 0 if only the
// platform's list names it.
func (s Snapshot) Member(h types.Host) (Member, bool) {
	i, ok := findRecord(s.records, h)
	if !ok {
		return Member{}, false
	}
	return unpackMember(s.dataCentres, s.records[i]), true
}

// Members returns the descriptions of all known hosts, in order of their names.
func (s Snapshot) Members() []Member {
	out := make([]Member, len(s.records))
	for i, r := range s.records {
		out[i] = unpackMember(s.dataCentres, r)
	}
	return out
}
