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
	if err := checkDatabasesUnique(spec, b.snapshot.Services()); err != nil {
		return err
	}
	key := ServiceObject{Spec: spec}.Key()
	old, exists := b.storedService(spec.Name)
	spec, err := numberEndpointSets(old, spec)
	if err != nil {
		return err
	}
	b.addUpdate(key, ServiceObject{Spec: spec})
	if !exists {
		b.addChange("service %q is created with %d databases", spec.Name, len(spec.Databases))
	} else {
		b.describeService(old, spec)
	}
	for _, db := range spec.Databases {
		b.warnOfTooFewEndpoints(db)
	}
	return nil
}

// checkDatabasesUnique checks that no other service has a database of the same name. Callers and session
// tokens name databases alone.
func checkDatabasesUnique(spec types.ServiceSpec, services []types.ServiceSpec) error {
	for _, other := range services {
		if other.Name == spec.Name {
			continue
		}
		for _, db := range spec.Databases {
			if _, ok := findDatabase(other, db.ID); ok {
				return fmt.Errorf("database %q of service %q belongs to service %q already", db.ID, spec.Name, other.Name)
			}
		}
	}
	return nil
}

// storedService returns a service as it is stored, without the leaving marks that
// the snapshot derives from retirements.
func (b *builder) storedService(name types.Service) (types.ServiceSpec, bool) {
	o, ok := b.snapshot.Object(Key{Kind: KindService, Name: string(name)})
	if !ok {
		return types.ServiceSpec{}, false
	}
	body, ok := o.Body.(ServiceObject)
	return body.Spec, ok
}

// numberEndpointSets numbers the endpoint sets of a service. A set that differs from
// the current one gets the next number, and the current one becomes its
// PreviousEndpoints.
func numberEndpointSets(old, spec types.ServiceSpec) (types.ServiceSpec, error) {
	spec.Databases = slices.Clone(spec.Databases)
	for i := range spec.Databases {
		db := &spec.Databases[i]
		current, exists := findDatabase(old, db.ID)
		db.Endpoints = keepLeavingMarks(current.Endpoints, db.Endpoints)
		switch {
		case !exists:
			db.EndpointSet = 1
			db.PreviousEndpoints = nil
		case sameEndpoints(current.Endpoints, db.Endpoints):
			db.EndpointSet = current.EndpointSet
			db.PreviousEndpoints = current.PreviousEndpoints
		case len(current.PreviousEndpoints) > 0:
			return spec, fmt.Errorf("database %q of service %q is still changing to endpoint set %d", db.ID, spec.Name, current.EndpointSet)
		default:
			db.EndpointSet = current.EndpointSet + 1
			db.PreviousEndpoints = current.Endpoints
		}
	}
	return spec, nil
}

// keepLeavingMarks returns the endpoints with the leaving marks of the current ones.
// Only retirements change these marks.
func keepLeavingMarks(current, endpoints []types.EndpointSpec) []types.EndpointSpec {
	out := slices.Clone(endpoints)
	for i := range out {
		out[i].Leaving = slices.ContainsFunc(current, func(o types.EndpointSpec) bool {
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
	return len(a) == len(b) && countCommonEndpoints(a, b) == len(a)
}

// countCommonEndpoints returns the number of endpoints that a and b both hold.
func countCommonEndpoints(a, b []types.EndpointSpec) int {
	n := 0
	for _, e := range a {
		if slices.ContainsFunc(b, func(o types.EndpointSpec) bool { return o.ID == e.ID }) {
			n++
		}
	}
	return n
}

// describeService describes the differences between two versions of a service.
func (b *builder) describeService(old, spec types.ServiceSpec) {
	if old.Durability != spec.Durability {
		b.addChange("promise of service %q changes from %s to %s", spec.Name, old.Durability, spec.Durability)
	}
	if old.Slots != spec.Slots {
		b.addChange("slots of service %q change from %d to %d for each endpoint", spec.Name, old.Slots, spec.Slots)
	}
	if old.Connections != spec.Connections {
		b.addChange("connections of service %q change from %d to %d for each endpoint", spec.Name, old.Connections, spec.Connections)
	}
	for _, db := range spec.Databases {
		b.describeDatabase(old, spec.Name, db)
	}
	for _, db := range old.Databases {
		if _, stays := findDatabase(spec, db.ID); !stays {
			b.addStop("database %q of service %q is no longer served", db.ID, spec.Name)
		}
	}
}

func (b *builder) describeDatabase(old types.ServiceSpec, service types.Service, db types.DatabaseSpec) {
	current, existed := findDatabase(old, db.ID)
	switch {
	case !existed:
		b.addChange("database %q is added to service %q", db.ID, service)
	case current.EndpointSet != db.EndpointSet:
		b.addChange("endpoint set of database %q changes from %d to %d", db.ID, current.EndpointSet, db.EndpointSet)
	}
	for _, e := range current.Endpoints {
		if countCommonEndpoints([]types.EndpointSpec{e}, db.Endpoints) == 0 {
			b.addStop("endpoint %q leaves database %q", e.ID, db.ID)
		}
	}
	for _, e := range db.Endpoints {
		i := slices.IndexFunc(current.Endpoints, func(o types.EndpointSpec) bool { return o.ID == e.ID })
		if i >= 0 && current.Endpoints[i] != e {
			b.addChange("endpoint %q changes from %s in %s to %s in %s",
				e.ID, current.Endpoints[i].Address, current.Endpoints[i].DataCentre, e.Address, e.DataCentre)
		}
	}
}

// warnOfTooFewEndpoints warns if too few endpoints of a database remain.
func (b *builder) warnOfTooFewEndpoints(db types.DatabaseSpec) {
	remaining := 0
	for _, e := range db.Endpoints {
		if !e.Leaving {
			remaining++
		}
	}
	object := string(db.ID)
	if previous := len(db.PreviousEndpoints); previous > 0 {
		kept := countCommonEndpoints(db.PreviousEndpoints, db.Endpoints)
		if kept <= previous/2 {
			b.addWarning(WarnNoMajority, object, "database %q keeps %d of its %d endpoints, no majority", db.ID, kept, previous)
		}
	}
	switch total := len(db.Endpoints); {
	case remaining == 0:
		b.addWarning(WarnNoEndpoint, object, "database %q keeps no endpoint", db.ID)
	case remaining == 1:
		b.addWarning(WarnLastReplica, object, "database %q keeps a single endpoint", db.ID)
	case remaining <= total/2:
		b.addWarning(WarnNoMajority, object, "%d of the %d endpoints of database %q stay, no majority", remaining, total, db.ID)
	}
}

func (b *builder) removeService(name types.Service) error {
	if _, exists := b.storedService(name); !exists {
		return fmt.Errorf("service %q does not exist", name)
	}
	b.addUpdate(Key{Kind: KindService, Name: string(name)}, nil)
	b.addStop("service %q is no longer served", name)
	b.addStoppedUses(func(u Use) bool { return u.Service == name }, string(name))
	return nil
}

func (b *builder) putRank(spec types.RankSpec) error {
	if err := CheckRank(spec); err != nil {
		return err
	}
	floorSum := spec.Floor
	b.addUpdate(RankObject{Spec: spec}.Key(), RankObject{Spec: spec})
	for _, r := range b.snapshot.Ranks() {
		if r.Name == spec.Name {
			continue
		}
		floorSum += r.Floor
		b.addPrecondition(RankObject{Spec: r}.Key())
		if r.Order == spec.Order {
			return fmt.Errorf("order %d of rank %q is that of rank %q", spec.Order, spec.Name, r.Name)
		}
	}
	if floorSum > maxFloorPercent {
		return fmt.Errorf("floor %d of rank %q makes the floors %d percent, not at most %d",
			spec.Floor, spec.Name, floorSum, maxFloorPercent)
	}
	b.describeRank(spec)
	if !slices.ContainsFunc(b.uses, func(u Use) bool { return u.Rank == spec.Name }) {
		b.addWarning(WarnUnusedRank, string(spec.Name), "nothing uses rank %q", spec.Name)
	}
	return nil
}

func (b *builder) describeRank(spec types.RankSpec) {
	old, exists := b.snapshot.Rank(spec.Name)
	if !exists {
		b.addChange("rank %q is created: target %v, worth %d, floor %d percent, order %d",
			spec.Name, spec.Target, spec.Worth, spec.Floor, spec.Order)
		return
	}
	b.addChange("rank %q changes: target %v to %v, worth %d to %d, floor %d to %d percent, order %d to %d", spec.Name,
		old.Target, spec.Target, old.Worth, spec.Worth, old.Floor, spec.Floor, old.Order, spec.Order)
}

func (b *builder) removeRank(name types.Rank) error {
	if _, exists := b.snapshot.Rank(name); !exists {
		return fmt.Errorf("rank %q does not exist", name)
	}
	b.addUpdate(Key{Kind: KindRank, Name: string(name)}, nil)
	b.addStop("rank %q is removed", name)
	b.addStoppedUses(func(u Use) bool { return u.Rank == name }, string(name))
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
	if exists && r.Phase.ordinal() <= old.Phase.ordinal() {
		return fmt.Errorf("phase of retirement %q is %q already, not before %q", r.Name, old.Phase, r.Phase)
	}
	if r.Kind == TargetEndpoint {
		if err := b.retireEndpoint(old.Phase, r); err != nil {
			return err
		}
	}
	b.addUpdate(r.Key(), r)
	b.addChange("retirement %q of %s %q is %s", r.Name, r.Kind, r.Target, r.Phase)
	if r.Phase.ForbidsNewWork() {
		b.addStop("%s %q gets no new transactions; running ones finish", r.Kind, r.Target)
	}
	b.addStoppedUses(func(u Use) bool { return len(UsesOf(r, []Use{u})) > 0 }, r.Target)
	return nil
}

// retireEndpoint updates the endpoint's service before the retirement. Concurrent
// changes of the service and of its other endpoints then conflict, and only one of
// them is carried out.
func (b *builder) retireEndpoint(oldPhase Phase, r Retirement) error {
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
		if oldPhase != PhaseDraining {
			return fmt.Errorf("endpoint %q of retirement %q is not %q, so it cannot be %q", e, r.Name, PhaseDraining, r.Phase)
		}
		spec, err = withoutEndpoint(spec, e)
	case PhaseAnnounced:
	}
	if err != nil {
		return err
	}
	b.addUpdate(ServiceObject{Spec: spec}.Key(), ServiceObject{Spec: spec})
	resulting := spec
	if r.Phase == PhaseAnnounced {
		resulting = withLeaving(spec, e)
	}
	for _, db := range resulting.Databases {
		if stored, _ := databaseOf(b.storedServiceOrZero(r.Service), e); stored.ID == db.ID {
			b.warnOfTooFewEndpoints(db)
		}
	}
	return nil
}

// storedServiceOrZero returns a service as it is stored, or the zero value.
func (b *builder) storedServiceOrZero(name types.Service) types.ServiceSpec {
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

// withoutEndpoint returns a copy of a service without an endpoint. It returns an
// error if a database would keep no endpoint.
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
	return numberEndpointSets(spec, next)
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
		b.addUpdate(ServiceObject{Spec: spec}.Key(), ServiceObject{Spec: spec})
	}
	b.addUpdate(r.Key(), nil)
	b.addChange("retirement %q ends: %s %q is served again", name, r.Kind, r.Target)
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
	b.addUpdate(ServiceObject{Spec: spec}.Key(), ServiceObject{Spec: spec})
	b.addChange("the change of database %q to endpoint set %d is complete", c.Database, db.EndpointSet)
	return nil
}

// maxUsesPerPlan bounds the number of uses in a plan, since the platform limits the
// size of an object.
const maxUsesPerPlan = 200

// addStoppedUses adds the uses that the plan stops and warns of them. It keeps the
// maxUsesPerPlan uses with the most calls.
func (b *builder) addStoppedUses(isStopped func(Use) bool, object string) {
	var stopped []Use
	for _, u := range b.uses {
		if isStopped(u) {
			stopped = append(stopped, u)
		}
	}
	if len(stopped) == 0 {
		return
	}
	b.addWarning(WarnInUse, object, "%q is still in use in %d ways", object, len(stopped))
	for _, t := range totalsByJob(stopped) {
		b.warnOfJobInUse(t)
	}
	slices.SortFunc(stopped, func(x, y Use) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), compareUses(x, y))
	})
	b.plan.Uses = stopped[:min(len(stopped), maxUsesPerPlan)]
	slices.SortFunc(b.plan.Uses, compareUses)
}

// jobTotal is the sum of the uses of one job.
type jobTotal struct {
	job                 types.Job
	calls               uint64
	firstSeen, lastSeen int64
	// caller is the caller that was seen last.
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

// totalsByJob returns the total of the uses of each job, in order of the jobs' names.
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

// warnOfJobInUse warns that a job still sends requests.
func (b *builder) warnOfJobInUse(t jobTotal) {
	last := time.Unix(0, t.lastSeen).UTC().Format(time.RFC3339)
	if t.calls < 2 {
		b.addWarning(WarnJobInUse, string(t.job), "job %q was called once, from %s at %s", t.job, t.caller, last)
		return
	}
	interval := time.Duration(t.lastSeen-t.firstSeen) / time.Duration(t.calls-1)
	b.addWarning(WarnJobInUse, string(t.job), "job %q was called %d times, about every %v, last from %s at %s",
		t.job, t.calls, interval.Round(time.Second), t.caller, last)
}

// IntentForLeaving returns the intent to drain an endpoint that the platform lists
// as leaving. It returns false if a retirement of the endpoint exists.
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
