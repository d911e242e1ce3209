package config

import (
	"cmp"
	"slices"

	"baobabfield.example/core/types"
)

// Snapshot is an immutable view of the configuration. Callers must not change
// what its methods return.
type Snapshot struct{ v *view }

// view is the content of a snapshot with its indexes.
type view struct {
	objects  []Object
	hash     uint64
	version  Version
	complete bool

	services    map[types.Service]types.ServiceSpec
	ranks       []types.RankSpec
	retirements []Retirement
	// retirementsByTarget holds the retirements of features and jobs.
	retirementsByTarget map[targetKey][]Retirement
	// leavingEndpoints holds the retirements of the endpoints that accept no new
	// work.
	leavingEndpoints map[endpointKey]Retirement
}

type targetKey struct {
	kind TargetKind
	name string
}

type endpointKey struct {
	service  types.Service
	endpoint types.Endpoint
}

var emptyView = newView(nil, 0, false)

// Snapshot returns an immutable view of the store.
func (s *Store) Snapshot() Snapshot {
	if s.view == nil {
		s.isShared = true
		s.view = newView(s.objects, s.hash, s.complete)
	}
	return Snapshot{v: s.view}
}

// setComplete marks the configuration as complete.
func (s *Store) setComplete() {
	s.complete = true
	s.view = nil
}

func newView(objects []Object, hash uint64, complete bool) *view {
	v := &view{
		objects:             objects,
		hash:                hash,
		complete:            complete,
		services:            map[types.Service]types.ServiceSpec{},
		retirementsByTarget: map[targetKey][]Retirement{},
		leavingEndpoints:    map[endpointKey]Retirement{},
	}
	for _, o := range objects {
		v.version = max(v.version, o.Version)
		v.index(o.Body)
	}
	slices.SortStableFunc(v.ranks, func(a, b types.RankSpec) int { return cmp.Compare(a.Order, b.Order) })
	v.markLeavingEndpoints()
	return v
}

func (v *view) index(body Body) {
	switch body := body.(type) {
	case ServiceObject:
		v.services[body.Spec.Name] = body.Spec
	case RankObject:
		v.ranks = append(v.ranks, body.Spec)
	case Retirement:
		v.indexRetirement(body)
	}
}

func (v *view) indexRetirement(r Retirement) {
	v.retirements = append(v.retirements, r)
	if r.Kind != TargetEndpoint {
		t := targetKey{kind: r.Kind, name: r.Target}
		v.retirementsByTarget[t] = append(v.retirementsByTarget[t], r)
		return
	}
	if r.Phase.ForbidsNewWork() {
		v.leavingEndpoints[endpointKey{service: r.Service, endpoint: types.Endpoint(r.Target)}] = r
	}
}

// markLeavingEndpoints marks the endpoints that accept no new work because of a
// retirement.
func (v *view) markLeavingEndpoints() {
	for _, r := range v.retirements {
		spec, known := v.services[r.Service]
		if !known || r.Kind != TargetEndpoint || !r.Phase.ForbidsNewWork() {
			continue
		}
		v.services[r.Service] = withLeaving(spec, types.Endpoint(r.Target))
	}
}

// withLeaving returns a copy of a service with an endpoint marked as leaving.
func withLeaving(spec types.ServiceSpec, e types.Endpoint) types.ServiceSpec {
	return editEndpoint(spec, e, func(s types.EndpointSpec) types.EndpointSpec {
		s.Leaving = true
		return s
	})
}

// editEndpoint returns a copy of a service with one endpoint edited.
func editEndpoint(spec types.ServiceSpec, e types.Endpoint, edit func(types.EndpointSpec) types.EndpointSpec) types.ServiceSpec {
	spec.Databases = slices.Clone(spec.Databases)
	for i := range spec.Databases {
		endpoints := slices.Clone(spec.Databases[i].Endpoints)
		for j := range endpoints {
			if endpoints[j].ID == e {
				endpoints[j] = edit(endpoints[j])
			}
		}
		spec.Databases[i].Endpoints = endpoints
	}
	return spec
}

func (s Snapshot) view() *view {
	if s.v == nil {
		return emptyView
	}
	return s.v
}

// Digest returns a hash of the keys and versions of all objects, equal on hosts
// with the same configuration.
func (s Snapshot) Digest() uint64 { return s.view().hash }

// Version returns the highest version of any object.
func (s Snapshot) Version() Version { return s.view().version }

// Complete reports whether the snapshot holds the complete configuration.
func (s Snapshot) Complete() bool { return s.view().complete }

// Object returns the object with the key. It does not return tombstones.
func (s Snapshot) Object(k Key) (Object, bool) {
	o, found := s.objectOrTombstone(k)
	if !found || o.Deleted() {
		return Object{}, false
	}
	return o, true
}

// objectOrTombstone returns the object or the tombstone with the key.
func (s Snapshot) objectOrTombstone(k Key) (Object, bool) {
	objects := s.view().objects
	i, found := findObject(objects, k)
	if !found {
		return Object{}, false
	}
	return objects[i], true
}

// Objects returns all objects except tombstones, in order of their keys.
func (s Snapshot) Objects() []Object {
	var out []Object
	for _, o := range s.view().objects {
		if !o.Deleted() {
			out = append(out, o)
		}
	}
	return out
}

// Service returns a service. Endpoints that accept no new work because of a
// retirement are marked as leaving.
func (s Snapshot) Service(name types.Service) (types.ServiceSpec, bool) {
	spec, ok := s.view().services[name]
	return spec, ok
}

// Services returns all services in order of their names, with endpoints marked as
// by Service.
func (s Snapshot) Services() []types.ServiceSpec {
	v := s.view()
	out := make([]types.ServiceSpec, 0, len(v.services))
	for _, o := range v.objects {
		if body, ok := o.Body.(ServiceObject); ok {
			out = append(out, v.services[body.Spec.Name])
		}
	}
	return out
}

// Rank returns the rank with the name.
func (s Snapshot) Rank(name types.Rank) (types.RankSpec, bool) {
	for _, r := range s.view().ranks {
		if r.Name == name {
			return r, true
		}
	}
	return types.RankSpec{}, false
}

// Ranks returns all ranks, the most urgent first.
func (s Snapshot) Ranks() []types.RankSpec { return s.view().ranks }

// Retirements returns all retirements in order of their names.
func (s Snapshot) Retirements() []Retirement { return s.view().retirements }

// Retirement returns the retirement with the name.
func (s Snapshot) Retirement(name string) (Retirement, bool) {
	o, ok := s.Object(Key{Kind: KindRetirement, Name: name})
	if !ok {
		return Retirement{}, false
	}
	r, ok := o.Body.(Retirement)
	return r, ok
}

// RefusingRetirement returns the retirement that forbids new transactions of the
// feature or the job at the service, if any.
func (s Snapshot) RefusingRetirement(service types.Service, feature types.Feature, job types.Job) (Retirement, bool) {
	return s.findRetirement(service, feature, job, true)
}

// AnnouncedRetirement returns the announced retirement of the feature or the job at
// the service that does not yet forbid new transactions, if any.
func (s Snapshot) AnnouncedRetirement(service types.Service, feature types.Feature, job types.Job) (Retirement, bool) {
	return s.findRetirement(service, feature, job, false)
}

func (s Snapshot) findRetirement(service types.Service, feature types.Feature, job types.Job, forbids bool) (Retirement, bool) {
	targets := [...]targetKey{
		{kind: TargetFeature, name: string(feature)},
		{kind: TargetJob, name: string(job)},
	}
	for _, t := range targets {
		for _, r := range s.view().retirementsByTarget[t] {
			if r.appliesTo(service, feature, job) && r.Phase.ForbidsNewWork() == forbids {
				return r, true
			}
		}
	}
	return Retirement{}, false
}

// EndpointRetirement returns the retirement because of which the endpoint accepts no
// new work, if any.
func (s Snapshot) EndpointRetirement(service types.Service, e types.Endpoint) (Retirement, bool) {
	r, ok := s.view().leavingEndpoints[endpointKey{service: service, endpoint: e}]
	return r, ok
}
