package failover

import (
	"math"
	"slices"

	"baobabfield.example/core/types"
)

// endpointSet is a sorted set of endpoints that forms a quorum by majority.
type endpointSet []types.Endpoint

func newEndpointSet(specs []types.EndpointSpec) endpointSet {
	set := make(endpointSet, 0, len(specs))
	for _, s := range specs {
		set = append(set, s.ID)
	}
	slices.Sort(set)
	return slices.Compact(set)
}

// majoritySize returns the smallest number that is more than half of the endpoints.
func (s endpointSet) majoritySize() int { return len(s)/2 + 1 }

func (s endpointSet) contains(e types.Endpoint) bool {
	_, found := slices.BinarySearch(s, e)
	return found
}

// count returns the number of endpoints that match.
func (s endpointSet) count(match func(types.Endpoint) bool) int {
	n := 0
	for _, e := range s {
		if match(e) {
			n++
		}
	}
	return n
}

// hasMajority reports whether a majority of the endpoints match. It is false for
// an empty set.
func (s endpointSet) hasMajority(match func(types.Endpoint) bool) bool {
	return len(s) > 0 && s.count(match) >= s.majoritySize()
}

// latestMajorityTime returns the latest time t such that a majority of the endpoints
// have a time of t or later. The second result is false if fewer than a majority
// have a time.
func (s endpointSet) latestMajorityTime(timeOf func(types.Endpoint) (types.Time, bool)) (types.Time, bool) {
	times := s.sortedTimes(timeOf)
	if len(s) == 0 || len(times) < s.majoritySize() {
		return 0, false
	}
	return times[len(times)-s.majoritySize()], true
}

// sortedTimes returns the times of the endpoints that have one, in ascending order.
func (s endpointSet) sortedTimes(timeOf func(types.Endpoint) (types.Time, bool)) []types.Time {
	times := make([]types.Time, 0, len(s))
	for _, e := range s {
		if t, ok := timeOf(e); ok {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	return times
}

// endpointSetOf returns the endpoint set of a term. The second result is false if
// the machine does not know that set.
func (m *Machine) endpointSetOf(term types.Term) (endpointSet, bool) {
	switch {
	case term.EndpointSet() == m.spec.EndpointSet:
		return m.currentSet, true
	case len(m.previousSet) > 0 && term.EndpointSet()+1 == m.spec.EndpointSet:
		return m.previousSet, true
	}
	return nil, false
}

// requiredSets returns the sets of which a campaign needs a majority.
func (m *Machine) requiredSets() []endpointSet {
	if len(m.previousSet) == 0 {
		return []endpointSet{m.currentSet}
	}
	return []endpointSet{m.currentSet, m.previousSet}
}

// hasRequiredMajorities reports whether a majority of each required set match.
func (m *Machine) hasRequiredMajorities(match func(types.Endpoint) bool) bool {
	for _, set := range m.requiredSets() {
		if !set.hasMajority(match) {
			return false
		}
	}
	return true
}

// nextTerm returns the term for a new campaign. The second result is false if the
// highest term belongs to a set that the machine does not know, or if the campaign
// numbers of the set are used up.
func (m *Machine) nextTerm() (types.Term, bool) {
	switch {
	case m.highestTerm.EndpointSet() > m.spec.EndpointSet:
		return 0, false
	case m.highestTerm.EndpointSet() < m.spec.EndpointSet:
		return types.MakeTerm(m.spec.EndpointSet, 1), true
	case m.highestTerm.Campaign() == math.MaxUint32:
		return 0, false
	}
	return m.highestTerm + 1, true
}

// earliestMajorityTime returns the earliest time t such that a majority of the
// endpoints have a time of t or earlier. The second result is false if fewer than a
// majority have a time.
func (s endpointSet) earliestMajorityTime(timeOf func(types.Endpoint) (types.Time, bool)) (types.Time, bool) {
	times := s.sortedTimes(timeOf)
	if len(s) == 0 || len(times) < s.majoritySize() {
		return 0, false
	}
	return times[s.majoritySize()-1], true
}
