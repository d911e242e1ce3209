package config

import (
	"cmp"
	"container/list"
	"slices"

	"baobabfield.example/core/types"
)

// UseKey identifies a combination of caller, feature, job, rank and endpoint whose
// transactions are counted together.
type UseKey struct {
	Service types.Service
	Feature types.Feature
	Job     types.Job
	Rank    types.Rank
	// Endpoint is set for transactions that ran at an endpoint.
	Endpoint types.Endpoint
	// Caller is the caller's address without its port.
	Caller string
}

// Use counts the transactions of one UseKey at one host.
type Use struct {
	UseKey
	// Host is the frontend that counted the use.
	Host types.Host
	// Calls counts all transactions. Refused counts those that a retirement refused.
	Calls, Refused uint64
	// FirstSeen and LastSeen are in nanoseconds since the Unix epoch.
	FirstSeen, LastSeen int64
}

// UseTracker records which callers use which features, jobs and endpoints. It holds
// a bounded number of entries and evicts the least recently seen one.
type UseTracker struct {
	host    types.Host
	maxUses int
	// byRecency holds the entries, the most recently seen one first.
	byRecency *list.List
	byKey     map[UseKey]*list.Element
}

// NewUseTracker returns a tracker for a host that holds up to maxUses entries.
func NewUseTracker(host types.Host, maxUses int) *UseTracker {
	return &UseTracker{
		host:      host,
		maxUses:   max(maxUses, 1),
		byRecency: list.New(),
		byKey:     map[UseKey]*list.Element{},
	}
}

// Record counts one transaction at the given wall clock time in nanoseconds
// since the Unix epoch.
func (t *UseTracker) Record(wall int64, key UseKey, refused bool) {
	e, known := t.byKey[key]
	if !known {
		t.evictLeastRecent()
		e = t.byRecency.PushFront(&Use{UseKey: key, Host: t.host, FirstSeen: wall})
		t.byKey[key] = e
	}
	t.byRecency.MoveToFront(e)
	use := e.Value.(*Use)
	use.Calls++
	if refused {
		use.Refused++
	}
	use.LastSeen = wall
}

// evictLeastRecent removes the least recently seen entry if the tracker is full.
func (t *UseTracker) evictLeastRecent() {
	if t.byRecency.Len() < t.maxUses {
		return
	}
	last := t.byRecency.Back()
	delete(t.byKey, last.Value.(*Use).UseKey)
	t.byRecency.Remove(last)
}

// Uses returns all entries in order of their keys.
func (t *UseTracker) Uses() []Use {
	out := make([]Use, 0, t.byRecency.Len())
	for e := t.byRecency.Front(); e != nil; e = e.Next() {
		out = append(out, *e.Value.(*Use))
	}
	slices.SortFunc(out, compareUses)
	return out
}

func compareUses(a, b Use) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Feature, b.Feature),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Caller, b.Caller),
		cmp.Compare(a.Host, b.Host),
	)
}

// UsesOf returns the uses that a retirement would stop.
func UsesOf(r Retirement, uses []Use) []Use {
	var out []Use
	for _, u := range uses {
		atEndpoint := r.Kind == TargetEndpoint && r.Service == u.Service && r.Target == string(u.Endpoint)
		if atEndpoint || r.appliesTo(u.Service, u.Feature, u.Job) {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, compareUses)
	return out
}
