package failover

import (
	"math"
	"slices"

	"baobabfield.example/core/types"
)

// endpointSet is a sorted set of endpoints in which a majority decides.
type endpointSet []types.Endpoint

func newEndpointSet(specs []types.EndpointSpec) endpointSet {
	set := make(endpointSet, 0, len(specs))
	for _, s := range specs {
		set = append(set, s.ID)
	}
	slices.Sort(set)
	return slices.Compact(set)
}

// majority returns the smallest number of endpoints that is more than half.
func (s endpointSet) majority() int { return len(s)/2 + 1 }

func (s endpointSet) has(e types.Endpoint) bool {
	_, found := slices.BinarySearch(s, e)
	return found
}

// count returns the number of endpoints for which ok holds.
func (s endpointSet) count(ok func(types.Endpoint) bool) int {
	n := 0
	for _, e := range s {
		if ok(e) {
			n++
		}
	}
	return n
}

// majorityOf reports whether ok holds for a majority.
func (s endpointSet) majorityOf(ok func(types.Endpoint) bool) bool {
	return len(s) > 0 && s.count(ok) >= s.majority()
}

// majorityTime returns the latest time that a majority of the set has reached,
// where at gives each endpoint's time.
func (s endpointSet) majorityTime(at func(types.Endpoint) (types.Time, bool)) (types.Time, bool) {
	times := s.times(at)
	if len(s) == 0 || len(times) < s.majority() {
		return 0, false
	}
	return times[len(times)-s.majority()], true
}

// times returns the known times in ascending order.
func (s endpointSet) times(at func(types.Endpoint) (types.Time, bool)) []types.Time {
	times := make([]types.Time, 0, len(s))
	for _, e := range s {
		if t, ok := at(e); ok {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	return times
}

// setOf returns the endpoint set of a term. The second result is false if the
// machine does not know that set.
func (m *Machine) setOf(term types.Term) (endpointSet, bool) {
	switch {
	case term.EndpointSet() == m.spec.EndpointSet:
		return m.current, true
	case len(m.previous) > 0 && term.EndpointSet()+1 == m.spec.EndpointSet:
		return m.previous, true
	}
	return nil, false
}

// quorums returns the sets whose majorities a campaign needs.
func (m *Machine) quorums() []endpointSet {
	if len(m.previous) == 0 {
		return []endpointSet{m.current}
	}
	return []endpointSet{m.current, m.previous}
}

// majorityOfAll reports whether ok holds for a majority of each needed set.
func (m *Machine) majorityOfAll(ok func(types.Endpoint) bool) bool {
	for _, set := range m.quorums() {
		if !set.majorityOf(ok) {
			return false
		}
	}
	return true
}

// nextTerm returns the term for a new campaign. The second result is false if a
// term was seen whose set the machine does not know, or none is left.
func (m *Machine) nextTerm() (types.Term, bool) {
	switch {
	case m.seen.EndpointSet() > m.spec.EndpointSet:
		return 0, false
	case m.seen.EndpointSet() < m.spec.EndpointSet:
		return types.MakeTerm(m.spec.EndpointSet, 1), true
	case m.seen.Campaign() == math.MaxUint32:
		return 0, false
	}
	return m.seen + 1, true
}

// earliestMajority returns the earliest time by which a majority of the set is
// reached, where at gives each endpoint's time.
func (s endpointSet) earliestMajority(at func(types.Endpoint) (types.Time, bool)) (types.Time, bool) {
	times := s.times(at)
	if len(s) == 0 || len(times) < s.majority() {
		return 0, false
	}
	return times[s.majority()-1], true
}
