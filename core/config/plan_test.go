package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabfield.example/core/types"
)

func testServiceSpec(endpoints int) types.ServiceSpec {
	db := types.DatabaseSpec{ID: "orders", EndpointSet: 1}
	for i := range endpoints {
		db.Endpoints = append(db.Endpoints, types.EndpointSpec{
			ID: types.Endpoint(fmt.Sprintf("orders-%d", i)), DataCentre: "recife-a", Address: "127.0.0.1:5432",
		})
	}
	return types.ServiceSpec{
		Name: "pedidos-db", Durability: types.DurabilityReplicated, Slots: 2, Connections: 80,
		Databases: []types.DatabaseSpec{db},
	}
}

// newStoreOf returns a store that holds the bodies at versions 1, 2 and so on.
func newStoreOf(bodies ...Body) *Store {
	s := NewStore()
	for i, b := range bodies {
		s.Apply(Object{Key: b.Key(), Version: Version(i + 1), Body: b})
	}
	return s
}

func buildTestPlan(intent Intent, s *Store, uses ...Use) (Plan, error) {
	return BuildPlan(PlanRequest{ID: "p1", Author: "ana", Intent: intent, Snapshot: s.Snapshot(), Uses: uses})
}

func hasWarning(p Plan, kind WarningKind) bool {
	for _, w := range p.Warnings {
		if w.Kind == kind {
			return true
		}
	}
	return false
}

func testRetirement(kind TargetKind, target string, phase Phase) Retirement {
	return Retirement{Name: "leaving", Kind: kind, Target: target, Service: "pedidos-db", Phase: phase}
}

func TestStoreAppliesOnlyHigherVersions(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	body := RankObject{Spec: types.RankSpec{Name: "urgent"}}
	is.True(s.Apply(Object{Key: body.Key(), Version: 5, Body: body}))
	is.True(!s.Apply(Object{Key: body.Key(), Version: 5, Body: body}))
	before := s.Snapshot()
	is.True(s.Apply(Object{Key: body.Key(), Version: 7}))
	is.True(!s.Apply(Object{Key: body.Key(), Version: 6, Body: body})) // the tombstone stays
	_, found := s.Snapshot().Rank("urgent")
	is.True(!found)
	_, found = before.Rank("urgent")
	is.True(found) // snapshots do not change
}

func TestStaleListKeepsNewerObjects(t *testing.T) {
	is := is.New(t)
	s := newStoreOf(RankObject{Spec: types.RankSpec{Name: "a"}}, RankObject{Spec: types.RankSpec{Name: "b"}})
	s.ApplyFullList(nil, 2)
	_, found := s.Snapshot().Rank("a")
	is.True(!found) // version 1 is missing from a list at version 2
	_, found = s.Snapshot().Rank("b")
	is.True(found)
}

func TestRetirementPhasesForbidNewWork(t *testing.T) {
	is := is.New(t)
	for _, phase := range []Phase{PhaseAnnounced, PhaseDraining, PhaseRetired} {
		forbids := phase != PhaseAnnounced
		s := newStoreOf(ServiceObject{Spec: testServiceSpec(3)}, testRetirement(TargetJob, "nightly", phase)).Snapshot()
		_, refused := s.RefusingRetirement("pedidos-db", "stock", "nightly")
		is.Equal(refused, forbids)
		_, announced := s.AnnouncedRetirement("pedidos-db", "stock", "nightly")
		is.Equal(announced, !forbids)
		_, refused = s.RefusingRetirement("other", "stock", "nightly")
		is.True(!refused)
		s = newStoreOf(ServiceObject{Spec: testServiceSpec(3)}, testRetirement(TargetEndpoint, "orders-1", phase)).Snapshot()
		_, leaving := s.EndpointRetirement("pedidos-db", "orders-1")
		is.Equal(leaving, forbids)
		spec, _ := s.Service("pedidos-db")
		is.Equal(spec.Databases[0].Endpoints[1].Leaving, forbids)
	}
}

func TestPlanWarnsOfUnsafeChanges(t *testing.T) {
	is := is.New(t)
	retire := func(endpoints int) Plan {
		s := newStoreOf(ServiceObject{Spec: testServiceSpec(endpoints)})
		p, err := buildTestPlan(Retire{Retirement: testRetirement(TargetEndpoint, "orders-0", PhaseDraining)}, s)
		is.NoErr(err)
		return p
	}
	is.Equal(len(retire(3).Warnings), 0)
	is.True(hasWarning(retire(2), WarnLastReplica))
	is.True(hasWarning(retire(1), WarnNoEndpoint))

	hour := int64(time.Hour)
	use := Use{UseKey: UseKey{Service: "pedidos-db", Job: "nightly", Caller: "10.0.0.1"}, Calls: 4, LastSeen: 3 * hour}
	s := newStoreOf(ServiceObject{Spec: testServiceSpec(3)})
	p, err := buildTestPlan(Retire{Retirement: testRetirement(TargetJob, "nightly", PhaseDraining)}, s, use)
	is.NoErr(err)
	is.True(hasWarning(p, WarnJobInUse))
	is.Equal(p.Uses, []Use{use})
	is.True(strings.Contains(p.Warnings[1].Text, "about every 1h0m0s"))
	var many []Use
	for i := range 5000 {
		u := use
		u.Host, u.Calls = types.Host(fmt.Sprint(i)), uint64(i+1)
		many = append(many, u)
	}
	p, err = buildTestPlan(Retire{Retirement: testRetirement(TargetJob, "nightly", PhaseDraining)}, s, many...)
	is.NoErr(err)
	is.Equal(len(p.Uses), maxUsesPerPlan)
	is.Equal(len(p.Warnings), 2) // one for the use and one for the job

	rank := types.RankSpec{Name: "urgent", Target: time.Second, Worth: 1, Floor: 10}
	p, err = buildTestPlan(PutRank{Spec: rank}, s)
	is.NoErr(err)
	is.True(hasWarning(p, WarnUnusedRank))

	kept := testServiceSpec(3)
	kept.Databases[0].Endpoints = kept.Databases[0].Endpoints[:1]
	p, err = buildTestPlan(PutService{Spec: kept}, s)
	is.NoErr(err)
	is.True(hasWarning(p, WarnNoMajority))
	is.Equal(p.Updates[0].Body.(ServiceObject).Spec.Databases[0].EndpointSet, uint32(2))
	is.Equal(len(p.Updates[0].Body.(ServiceObject).Spec.Databases[0].PreviousEndpoints), 3)
}

func TestIntentErrorsNameValueAndRange(t *testing.T) {
	is := is.New(t)
	slots := testServiceSpec(3)
	slots.Slots = 0
	cases := []struct {
		intent Intent
		words  []string
	}{
		{PutService{Spec: slots}, []string{`"pedidos-db"`, "is 0", "1 and 10000"}},
		{PutRank{Spec: types.RankSpec{Name: "r", Target: time.Second, Worth: 1, Floor: 101}}, []string{`"r"`, "101", "0 and 100"}},
		{RemoveRank{Name: "none"}, []string{`"none"`}},
		{Retire{Retirement: testRetirement(TargetEndpoint, "missing", PhaseDraining)}, []string{`"missing"`}},
		{Retire{Retirement: testRetirement(TargetEndpoint, "orders-1", PhaseRetired)}, []string{`"orders-1"`, `"draining"`}},
		{Retire{Retirement: testRetirement("thing", "x", PhaseDraining)}, []string{`"thing"`, `"feature"`}},
	}
	for _, c := range cases {
		_, err := buildTestPlan(c.intent, newStoreOf(ServiceObject{Spec: testServiceSpec(3)}))
		is.True(err != nil)
		for _, w := range c.words {
			is.True(strings.Contains(err.Error(), w)) // the error names the value or the range
		}
	}
}

// Guards against two services that name the same database: a session token holds one log point for it.
func TestDatabaseOfOtherServiceIsRefused(t *testing.T) {
	is := is.New(t)
	s := newStoreOf(ServiceObject{Spec: testServiceSpec(3)})
	other := testServiceSpec(3)
	other.Name = "catalogue-db"
	_, err := buildTestPlan(PutService{Spec: other}, s)
	is.True(err != nil && strings.Contains(err.Error(), `database "orders" of service "catalogue-db" belongs to service "pedidos-db" already`))
	other.Databases[0].ID = "catalogue"
	_, err = buildTestPlan(PutService{Spec: other}, s)
	is.NoErr(err)
}

func TestUseTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewUseTracker("a", 2)
	for i := range int64(3) {
		tracker.Record(i, UseKey{Feature: types.Feature(fmt.Sprint(i))}, false)
		tracker.Record(i, UseKey{Feature: "kept"}, true)
	}
	uses := tracker.Uses()
	is.Equal(len(uses), 2)
	is.Equal(uses[1].Refused, uint64(3))
	is.Equal(uses[1].FirstSeen, int64(0))
}

// lossyPlatform simulates a platform that loses requests and responses.
type lossyPlatform struct {
	t       *rapid.T
	objects map[Key]Object
	version Version
	// writeCounts counts the writes of each operation to each object.
	writeCounts map[string]int
	// reliable is set if no request or response is lost.
	reliable bool
}

func (p *lossyPlatform) applyWrite(write Write) bool {
	if p.objects[write.Key].Version != write.IfVersion {
		return false
	}
	p.version++
	o := Object{Key: write.Key, Version: p.version, Body: write.Body, Operations: write.Operations}
	p.objects[write.Key] = o
	if n := len(write.Operations); n > 0 && write.Key.Kind != KindPlan {
		p.writeCounts[fmt.Sprint(write.Key, write.Operations[n-1])]++
	}
	return true
}

// perform performs a request. The request or its response can be lost.
func (p *lossyPlatform) perform(request ConfirmEffect) ConfirmEvent {
	fault := "none"
	if !p.reliable {
		fault = rapid.SampledFrom([]string{"none", "none", "none", "request lost", "response lost"}).Draw(p.t, "fault")
	}
	switch request := request.(type) {
	case ReadObject:
		if fault != "none" {
			return ReadFailed{}
		}
		return ReadResponse{Object: p.objects[request.Key]}
	case PutObject:
		if fault == "request lost" {
			return PutResponse{Result: PutUnknown}
		}
		applied := p.applyWrite(request.Write)
		switch {
		case fault == "response lost":
			return PutResponse{Result: PutUnknown}
		case applied:
			return PutResponse{Result: PutApplied, Version: p.version}
		}
		return PutResponse{Result: PutConflict}
	}
	p.t.Fatalf("request has the unknown type %T", request)
	return nil
}

// runningConfirmation is a confirmation in progress.
type runningConfirmation struct {
	plan    string
	machine *Confirmation
	next    ConfirmEffect
}

// TestRivalConfirmations checks concurrent confirmations of conflicting plans on a
// platform that loses requests and responses. Exactly one plan for the same service is
// accepted, no update is written twice, and all final results of a plan are equal.
func TestRivalConfirmations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			checkRivalPlans(t)
		}
	})
}

// buildRivalPlans returns two plans for the same service, and two for ranks of which
// each has a precondition on the rank that the other one changes.
func buildRivalPlans(t *rapid.T, s *Store) []Plan {
	rank := func(name string, order int) PutRank {
		return PutRank{Spec: types.RankSpec{Name: types.Rank(name), Target: time.Second, Worth: 1, Order: order}}
	}
	endpoint := func(name, target string) Retire {
		r := testRetirement(TargetEndpoint, target, PhaseDraining)
		r.Name = name
		return Retire{Retirement: r}
	}
	intents := []Intent{endpoint("r0", "orders-0"), endpoint("r1", "orders-1"), rank("urgent", 0), rank("low", 1)}
	var plans []Plan
	for i, intent := range intents {
		p, err := BuildPlan(PlanRequest{ID: fmt.Sprintf("p%d", i), Intent: intent, Snapshot: s.Snapshot()})
		if err != nil {
			t.Fatal(err)
		}
		plans = append(plans, p)
	}
	return plans
}

func checkRivalPlans(t *rapid.T) {
	platform := &lossyPlatform{t: t, objects: map[Key]Object{}, writeCounts: map[string]int{}}
	s := NewStore()
	bodies := []Body{
		ServiceObject{Spec: testServiceSpec(3)},
		RankObject{Spec: types.RankSpec{Name: "urgent", Order: 0}},
		RankObject{Spec: types.RankSpec{Name: "low", Order: 1}},
	}
	for _, b := range bodies {
		platform.applyWrite(Write{Key: b.Key(), Body: b})
		s.Apply(platform.objects[b.Key()])
	}
	for _, p := range buildRivalPlans(t, s) {
		platform.applyWrite(ProposeWrite(p))
	}
	final := map[string]ConfirmState{}
	runConfirmations(t, platform, 12, final)
	platform.reliable = true
	runConfirmations(t, platform, 4, final)
	for name, n := range platform.writeCounts {
		if n > 1 {
			t.Fatalf("%s was written %d times", name, n)
		}
	}
	if len(final) != 4 {
		t.Fatalf("a plan has no final result: %v", final)
	}
	if (final["p0"] == ConfirmAccepted) == (final["p1"] == ConfirmAccepted) {
		t.Fatalf("results %v, want exactly one of p0 and p1 accepted", final)
	}
	if final["p2"] != ConfirmAccepted && final["p3"] != ConfirmAccepted {
		t.Fatalf("results %v, want p2 or p3 accepted", final)
	}
}

// runConfirmations runs count confirmations of the plans concurrently, in random
// order of their steps, and records their final results.
func runConfirmations(t *rapid.T, platform *lossyPlatform, count int, final map[string]ConfirmState) {
	var running []*runningConfirmation
	for i := range count {
		id := fmt.Sprintf("p%d", i%4)
		c := NewConfirmation(id)
		running = append(running, &runningConfirmation{plan: id, machine: c, next: c.Start()})
	}
	for steps := 0; len(running) > 0; steps++ {
		if steps > 2000 {
			t.Fatalf("%d confirmations have not ended after %d steps", len(running), steps)
		}
		i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
		confirmation := running[i]
		confirmation.next = confirmation.machine.Step(platform.perform(confirmation.next))
		end, ended := confirmation.next.(Confirmed)
		if !ended {
			continue
		}
		running = append(running[:i], running[i+1:]...)
		if end.State == ConfirmNotYetKnown {
			continue
		}
		if known, ok := final[confirmation.plan]; ok && known != end.State {
			t.Fatalf("the result of plan %s changed from %s to %s", confirmation.plan, known, end.State)
		}
		final[confirmation.plan] = end.State
	}
}

func TestWithdrawnPlanIsRefused(t *testing.T) {
	is := is.New(t)
	p, err := buildTestPlan(PutService{Spec: testServiceSpec(3)}, NewStore())
	is.NoErr(err)
	stored := Object{Key: p.Key(), Version: 4, Body: p}
	w, err := WithdrawWrite(stored)
	is.NoErr(err)
	is.Equal(w.IfVersion, Version(4))
	withdrawn := Object{Key: p.Key(), Version: 5, Body: w.Body}
	c := NewConfirmation(p.ID)
	c.Start()
	end := c.Step(ReadResponse{Object: withdrawn}).(Confirmed)
	is.Equal(end.State, ConfirmRefused)
	_, err = WithdrawWrite(withdrawn)
	is.True(err != nil)
}
