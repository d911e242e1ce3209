package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"baobabfield.example/core/types"
)

func (b *builder) putService(spec types.ServiceSpec) error {
	if err := CheckService(spec); err != nil {
		return err
	}
	key := ServiceObject{Spec: spec}.Key()
	old, exists := b.storedService(spec.Name)
	spec, err := nextSets(old, spec)
	if err != nil {
		return err
	}
	b.update(key, ServiceObject{Spec: spec})
	if !exists {
		b.changes("service %q is created with %d databases", spec.Name, len(spec.Databases))
	} else {
		b.describeService(old, spec)
	}
	for _, db := range spec.Databases {
		b.warnDatabase(db)
	}
	return nil
}

// storedService returns a service as it is stored, without the marks of retirements.
func (b *builder) storedService(name types.Service) (types.ServiceSpec, bool) {
	o, ok := b.snapshot.Object(Key{Kind: KindService, Name: string(name)})
	if !ok {
		return types.ServiceSpec{}, false
	}
	body, ok := o.Body.(ServiceObject)
	return body.Spec, ok
}

// nextSets numbers the endpoint sets of a service: a set that differs from the
// current one gets the next number, and the current one becomes its predecessor.
func nextSets(old, spec types.ServiceSpec) (types.ServiceSpec, error) {
	spec.Databases = slices.Clone(spec.Databases)
	for i := range spec.Databases {
		db := &spec.Databases[i]
		was, exists := findDatabase(old, db.ID)
		db.Endpoints = keepLeaving(was.Endpoints, db.Endpoints)
		switch {
		case !exists:
			db.EndpointSet = 1
			db.PreviousEndpoints = nil
		case sameEndpoints(was.Endpoints, db.Endpoints):
			db.EndpointSet = was.EndpointSet
			db.PreviousEndpoints = was.PreviousEndpoints
		case len(was.PreviousEndpoints) > 0:
			return spec, fmt.Errorf("database %q of service %q is still changing to endpoint set %d", db.ID, spec.Name, was.EndpointSet)
		default:
			db.EndpointSet = was.EndpointSet + 1
			db.PreviousEndpoints = was.Endpoints
		}
	}
	return spec, nil
}

// keepLeaving returns the endpoints with the leaving marks of the current ones,
// which only retirements change.
func keepLeaving(was, endpoints []types.EndpointSpec) []types.EndpointSpec {
	out := slices.Clone(endpoints)
	for i := range out {
		out[i].Leaving = slices.ContainsFunc(was, func(o types.EndpointSpec) bool {
			return o.ID == out[i].ID && o.Leaving
		})
	}
	return out
}

func findDatabase(s types.ServiceSpec, id types.Database) (types.DatabaseSpec, bool) {
	for _, db := range s.Databases {
		if db.ID == id {
			return db, true
		}
	}
	return types.DatabaseSpec{}, false
}

// sameEndpoints reports whether two sets hold the same endpoints.
func sameEndpoints(a, b []types.EndpointSpec) bool {
	return len(a) == len(b) && countIn(a, b) == len(a)
}

// countIn returns the number of endpoints of a that b holds too.
func countIn(a, b []types.EndpointSpec) int {
	n := 0
	for _, e := range a {
		if slices.ContainsFunc(b, func(o types.EndpointSpec) bool { return o.ID == e.ID }) {
			n++
		}
	}
	return n
}

// describeService says what a changed service changes and stops.
func (b *builder) describeService(old, spec types.ServiceSpec) {
	if old.Durability != spec.Durability {
		b.changes("promise of service %q changes from %s to %s", spec.Name, old.Durability, spec.Durability)
	}
	if old.Slots != spec.Slots {
		b.changes("slots of service %q change from %d to %d for each endpoint", spec.Name, old.Slots, spec.Slots)
	}
	if old.Connections != spec.Connections {
		b.changes("connections of service %q change from %d to %d for each endpoint", spec.Name, old.Connections, spec.Connections)
	}
	for _, db := range spec.Databases {
		b.describeDatabase(old, spec.Name, db)
	}
	for _, db := range old.Databases {
		if _, stays := findDatabase(spec, db.ID); !stays {
			b.stops("database %q of service %q is no longer served", db.ID, spec.Name)
		}
	}
}

func (b *builder) describeDatabase(old types.ServiceSpec, service types.Service, db types.DatabaseSpec) {
	was, existed := findDatabase(old, db.ID)
	switch {
	case !existed:
		b.changes("database %q is added to service %q", db.ID, service)
	case was.EndpointSet != db.EndpointSet:
		b.changes("endpoint set of database %q changes from %d to %d", db.ID, was.EndpointSet, db.EndpointSet)
	}
	for _, e := range was.Endpoints {
		if countIn([]types.EndpointSpec{e}, db.Endpoints) == 0 {
			b.stops("endpoint %q leaves database %q", e.ID, db.ID)
		}
	}
	for _, e := range db.Endpoints {
		i := slices.IndexFunc(was.Endpoints, func(o types.EndpointSpec) bool { return o.ID == e.ID })
		if i >= 0 && was.Endpoints[i] != e {
			b.changes("endpoint %q changes from %s in %s to %s in %s",
				e.ID, was.Endpoints[i].Address, was.Endpoints[i].DataCentre, e.Address, e.DataCentre)
		}
	}
}

// warnDatabase warns of a database that too few endpoints serve.
func (b *builder) warnDatabase(db types.DatabaseSpec) {
	stay := 0
	for _, e := range db.Endpoints {
		if !e.Leaving {
			stay++
		}
	}
	object := string(db.ID)
	if previous := len(db.PreviousEndpoints); previous > 0 {
		kept := countIn(db.PreviousEndpoints, db.Endpoints)
		if kept <= previous/2 {
			b.warn(WarnNoMajority, object, "database %q keeps %d of its %d endpoints, no majority", db.ID, kept, previous)
		}
	}
	switch total := len(db.Endpoints); {
	case stay == 0:
		b.warn(WarnNoEndpoint, object, "database %q keeps no endpoint", db.ID)
	case stay == 1:
		b.warn(WarnLastReplica, object, "database %q keeps a single endpoint", db.ID)
	case stay <= total/2:
		b.warn(WarnNoMajority, object, "%d of the %d endpoints of database %q stay, no majority", stay, total, db.ID)
	}
}

func (b *builder) removeService(name types.Service) error {
	if _, exists := b.storedService(name); !exists {
		return fmt.Errorf("service %q does not exist", name)
	}
	b.update(Key{Kind: KindService, Name: string(name)}, nil)
	b.stops("service %q is no longer served", name)
	b.stopUses(func(u Use) bool { return u.Service == name }, string(name))
	return nil
}

func (b *builder) putRank(spec types.RankSpec) error {
	if err := CheckRank(spec); err != nil {
		return err
	}
	floors := spec.Floor
	b.update(RankObject{Spec: spec}.Key(), RankObject{Spec: spec})
	for _, r := range b.snapshot.Ranks() {
		if r.Name == spec.Name {
			continue
		}
		floors += r.Floor
		b.restOn(RankObject{Spec: r}.Key())
		if r.Order == spec.Order {
			return fmt.Errorf("order %d of rank %q is that of rank %q", spec.Order, spec.Name, r.Name)
		}
	}
	if floors > maxFloorPercent {
		return fmt.Errorf("floor %d of rank %q makes the floors %d percent, not at most %d",
			spec.Floor, spec.Name, floors, maxFloorPercent)
	}
	b.describeRank(spec)
	if !slices.ContainsFunc(b.uses, func(u Use) bool { return u.Rank == spec.Name }) {
		b.warn(WarnRankWithoutTakers, string(spec.Name), "nothing uses rank %q", spec.Name)
	}
	return nil
}

func (b *builder) describeRank(spec types.RankSpec) {
	old, exists := b.snapshot.Rank(spec.Name)
	if !exists {
		b.changes("rank %q is created: target %v, worth %d, floor %d percent, order %d",
			spec.Name, spec.Target, spec.Worth, spec.Floor, spec.Order)
		return
	}
	b.changes("rank %q changes: target %v to %v, worth %d to %d, floor %d to %d percent, order %d to %d", spec.Name,
		old.Target, spec.Target, old.Worth, spec.Worth, old.Floor, spec.Floor, old.Order, spec.Order)
}

func (b *builder) removeRank(name types.Rank) error {
	if _, exists := b.snapshot.Rank(name); !exists {
		return fmt.Errorf("rank %q does not exist", name)
	}
	b.update(Key{Kind: KindRank, Name: string(name)}, nil)
	b.stops("rank %q is removed", name)
	b.stopUses(func(u Use) bool { return u.Rank == name }, string(name))
	return nil
}

// retire starts a retirement or moves it to a later phase.
func (b *builder) retire(r Retirement) error {
	if err := CheckRetirement(r); err != nil {
		return err
	}
	old, exists := b.snapshot.Retirement(r.Name)
	if exists && (old.Kind != r.Kind || old.Target != r.Target || old.Service != r.Service) {
		return fmt.Errorf("retirement %q is of %s %q, not of %s %q", r.Name, old.Kind, old.Target, r.Kind, r.Target)
	}
	if exists && r.Phase.order() <= old.Phase.order() {
		return fmt.Errorf("phase of retirement %q is %q already, not before %q", r.Name, old.Phase, r.Phase)
	}
	if r.Kind == TargetEndpoint {
		if err := b.retireEndpoint(old.Phase, r); err != nil {
			return err
		}
	}
	b.update(r.Key(), r)
	b.changes("retirement %q of %s %q is %s", r.Name, r.Kind, r.Target, r.Phase)
	if r.Phase.ForbidsNewWork() {
		b.stops("%s %q gets no new transactions; running ones finish", r.Kind, r.Target)
	}
	b.stopUses(func(u Use) bool { return len(UsesOf(r, []Use{u})) > 0 }, r.Target)
	return nil
}

// retireEndpoint changes the endpoint's service first, so that rival changes of the
// service and of its other endpoints make each other stale.
func (b *builder) retireEndpoint(old Phase, r Retirement) error {
	spec, exists := b.storedService(r.Service)
	if !exists {
		return fmt.Errorf("service %q of retirement %q does not exist", r.Service, r.Name)
	}
	e := types.Endpoint(r.Target)
	if _, found := databaseOf(spec, e); !found {
		return fmt.Errorf("endpoint %q does not exist in service %q", e, r.Service)
	}
	var err error
	switch r.Phase {
	case PhaseDraining:
		spec = withLeaving(spec, e)
	case PhaseRetired:
		if old != PhaseDraining {
			return fmt.Errorf("endpoint %q of retirement %q is not %q, so it cannot be %q", e, r.Name, PhaseDraining, r.Phase)
		}
		spec, err = withoutEndpoint(spec, e)
	case PhaseAnnounced:
	}
	if err != nil {
		return err
	}
	b.update(ServiceObject{Spec: spec}.Key(), ServiceObject{Spec: spec})
	after := spec
	if r.Phase == PhaseAnnounced {
		after = withLeaving(spec, e)
	}
	for _, db := range after.Databases {
		if was, _ := databaseOf(b.mustStored(r.Service), e); was.ID == db.ID {
			b.warnDatabase(db)
		}
	}
	return nil
}

func (b *builder) mustStored(name types.Service) types.ServiceSpec {
	spec, _ := b.storedService(name)
	return spec
}

// databaseOf returns the database that an endpoint serves.
func databaseOf(s types.ServiceSpec, e types.Endpoint) (types.DatabaseSpec, bool) {
	for _, db := range s.Databases {
		if slices.ContainsFunc(db.Endpoints, func(o types.EndpointSpec) bool { return o.ID == e }) {
			return db, true
		}
	}
	return types.DatabaseSpec{}, false
}

// withoutEndpoint returns a service whose endpoint sets lack an endpoint.
func withoutEndpoint(spec types.ServiceSpec, e types.Endpoint) (types.ServiceSpec, error) {
	next := spec
	next.Databases = slices.Clone(spec.Databases)
	for i := range next.Databases {
		endpoints := slices.Clone(next.Databases[i].Endpoints)
		next.Databases[i].Endpoints = slices.DeleteFunc(endpoints, func(o types.EndpointSpec) bool { return o.ID == e })
		if len(next.Databases[i].Endpoints) == 0 {
			return spec, fmt.Errorf("endpoint %q is the only one of database %q", e, next.Databases[i].ID)
		}
	}
	return nextSets(spec, next)
}

func (b *builder) cancelRetirement(name string) error {
	r, exists := b.snapshot.Retirement(name)
	if !exists {
		return fmt.Errorf("retirement %q does not exist", name)
	}
	if r.Kind == TargetEndpoint && r.Phase == PhaseRetired {
		return fmt.Errorf("endpoint %q of retirement %q is retired already", r.Target, name)
	}
	if spec, found := b.storedService(r.Service); found && r.Kind == TargetEndpoint {
		spec = editEndpoint(spec, types.Endpoint(r.Target), func(s types.EndpointSpec) types.EndpointSpec {
			s.Leaving = false
			return s
		})
		b.update(ServiceObject{Spec: spec}.Key(), ServiceObject{Spec: spec})
	}
	b.update(r.Key(), nil)
	b.changes("retirement %q ends: %s %q is served again", name, r.Kind, r.Target)
	return nil
}

func (b *builder) completeSet(c CompleteSet) error {
	spec, exists := b.storedService(c.Service)
	if !exists {
		return fmt.Errorf("service %q does not exist", c.Service)
	}
	db, found := findDatabase(spec, c.Database)
	if !found {
		return fmt.Errorf("database %q does not exist in service %q", c.Database, c.Service)
	}
	if len(db.PreviousEndpoints) == 0 {
		return fmt.Errorf("database %q of service %q is not changing its endpoint set", c.Database, c.Service)
	}
	spec.Databases = slices.Clone(spec.Databases)
	for i := range spec.Databases {
		if spec.Databases[i].ID == c.Database {
			spec.Databases[i].PreviousEndpoints = nil
		}
	}
	b.update(ServiceObject{Spec: spec}.Key(), ServiceObject{Spec: spec})
	b.changes("the change of database %q to endpoint set %d is complete", c.Database, db.EndpointSet)
	return nil
}

// maxPlanUses bounds the uses that a plan holds, since the platform bounds the size
// of a value.
const maxPlanUses = 200

// stopUses adds the uses that the plan stops and warns of them. The plan holds those
// with the most calls.
func (b *builder) stopUses(stops func(Use) bool, object string) {
	var stopped []Use
	for _, u := range b.uses {
		if stops(u) {
			stopped = append(stopped, u)
		}
	}
	if len(stopped) == 0 {
		return
	}
	b.warn(WarnInUse, object, "%q is still in use in %d ways", object, len(stopped))
	for _, t := range totalsByJob(stopped) {
		b.warnJob(t)
	}
	slices.SortFunc(stopped, func(x, y Use) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), compareUses(x, y))
	})
	b.plan.Uses = stopped[:min(len(stopped), maxPlanUses)]
	slices.SortFunc(b.plan.Uses, compareUses)
}

// jobTotal is the sum of the uses of one job.
type jobTotal struct {
	job                 types.Job
	calls               uint64
	firstSeen, lastSeen int64
	// caller is the one seen last.
	caller string
}

// add adds a use of the job.
func (t *jobTotal) add(u Use) {
	t.calls += u.Calls
	t.firstSeen = min(t.firstSeen, u.FirstSeen)
	if u.LastSeen > t.lastSeen {
		t.lastSeen = u.LastSeen
		t.caller = u.Caller
	}
}

// totalsByJob returns the sum of the uses of each job, in order of the jobs' names.
func totalsByJob(uses []Use) []jobTotal {
	var totals []jobTotal
	for _, u := range uses {
		if u.Job == "" {
			continue
		}
		i := slices.IndexFunc(totals, func(t jobTotal) bool { return t.job == u.Job })
		if i < 0 {
			totals = append(totals, jobTotal{job: u.Job, firstSeen: u.FirstSeen, caller: u.Caller})
			i = len(totals) - 1
		}
		totals[i].add(u)
	}
	slices.SortFunc(totals, func(x, y jobTotal) int { return cmp.Compare(x.job, y.job) })
	return totals
}

// warnJob warns of a job that still fires.
func (b *builder) warnJob(t jobTotal) {
	last := time.Unix(0, t.lastSeen).UTC().Format(time.RFC3339)
	if t.calls < 2 {
		b.warn(WarnJobFiring, string(t.job), "job %q was called once, from %s at %s", t.job, t.caller, last)
		return
	}
	every := time.Duration(t.lastSeen-t.firstSeen) / time.Duration(t.calls-1)
	b.warn(WarnJobFiring, string(t.job), "job %q was called %d times, about every %v, last from %s at %s",
		t.job, t.calls, every.Round(time.Second), t.caller, last)
}

// IntentForLeaving returns the intent for an endpoint that the platform lists as
// leaving, unless a retirement of it exists.
func IntentForLeaving(s Snapshot, service types.Service, e types.Endpoint) (Retire, bool) {
	for _, r := range s.Retirements() {
		if r.Kind == TargetEndpoint && r.Service == service && r.Target == string(e) {
			return Retire{}, false
		}
	}
	return Retire{Retirement: Retirement{
		Name:    "leaving-" + string(e),
		Kind:    TargetEndpoint,
		Target:  string(e),
		Service: service,
		Phase:   PhaseDraining,
	}}, true
}
