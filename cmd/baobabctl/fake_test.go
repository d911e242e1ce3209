package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
)

const (
	testAuthor = "ana"
	testSecret = "correct-horse-battery"
)

// testTimeNanos is the time that the test data is relative to, in nanoseconds since
// the Unix epoch.
var testTimeNanos = time.Date(2026, 5, 4, 10, 20, 30, 0, time.UTC).UnixNano()

// fakeHostTasks answers the admin server's requests in place of the host's tasks.
// It keeps the platform's objects in memory. Only one goroutine at a time uses it.
type fakeHostTasks struct {
	store       *config.Store
	objects     map[config.Key]config.Object
	lastVersion config.Version
	planIDs     []string
	// lostResponses is the number of confirmations for which the platform's response
	// is lost after the writes have taken effect.
	lostResponses int
	events        []timeline.Event
}

func newFakeHostTasks() *fakeHostTasks {
	f := &fakeHostTasks{store: config.NewStore(), objects: map[config.Key]config.Object{}, lastVersion: 10}
	for _, body := range testBodies {
		f.applyWrite(config.Write{Key: body.Key(), Body: body})
	}
	f.events = append(f.events, testEvents...)
	return f
}

// applyWrite applies a conditional write. It reports a conflict if the object does
// not have the version that the write expects.
func (f *fakeHostTasks) applyWrite(w config.Write) config.PutResponse {
	if f.objects[w.Key].Version != w.IfVersion {
		return config.PutResponse{Result: config.PutConflict}
	}
	f.lastVersion++
	object := config.Object{Key: w.Key, Version: f.lastVersion, Body: w.Body, Operations: w.Operations}
	f.objects[w.Key] = object
	f.store.Apply(object)
	return config.PutResponse{Result: config.PutApplied, Version: f.lastVersion}
}

// serve answers requests until the context ends.
func (f *fakeHostTasks) serve(ctx context.Context, requests <-chan admin.Request) {
	for {
		select {
		case request := <-requests:
			f.answerRequest(request)
		case <-ctx.Done():
			return
		}
	}
}

func sendValue[T any](to admin.Reply[T], value T) { to <- admin.Answer[T]{Value: value} }

func (f *fakeHostTasks) answerRequest(request admin.Request) {
	switch r := request.(type) {
	case admin.StatusRequest:
		sendValue(r.Reply, testStatus)
	case admin.SnapshotRequest:
		sendValue(r.Reply, f.store.Snapshot())
	case admin.RolloutRequest:
		sendValue(r.Reply, testRollout)
	case admin.UsesRequest:
		sendValue(r.Reply, admin.Uses{Uses: testUses, Missing: []types.Host{"rs-9"}})
	case admin.TimelineRequest:
		sendValue(r.Reply, admin.Events{Events: r.Filter.Select(f.events)})
	case admin.RecordRequest:
		sendValue(r.Reply, f.recordEvent(r.Event))
	case admin.PlansRequest:
		sendValue(r.Reply, f.listPlans())
	case admin.PlanRequest:
		plan, failure := f.findPlan(r.ID)
		r.Reply <- admin.Answer[config.Plan]{Value: plan, Failure: failure}
	case admin.CreatePlanRequest:
		r.Reply <- f.storeNewPlan(r)
	case admin.ConfirmPlanRequest:
		sendValue(r.Reply, f.confirmPlan(r.ID))
	case admin.WithdrawPlanRequest:
		sendValue(r.Reply, f.withdrawPlan(r.ID))
	case admin.LeaveRequest:
		sendValue(r.Reply, admin.LeaveProgress{Host: "rs-1", State: admin.HostLeaving, InFlight: 3})
	}
}

func (f *fakeHostTasks) recordEvent(e timeline.Event) timeline.EventID {
	e.ID = timeline.EventID{Host: "rs-1", Counter: uint64(len(f.events) + 100)}
	e.Host = "rs-1"
	e.Stamp = timeline.Stamp{Wall: testTimeNanos + int64(len(f.events))*int64(time.Second)}
	f.events = append(f.events, e)
	return e.ID
}

func (f *fakeHostTasks) findPlan(id string) (config.Plan, *admin.Failure) {
	plan, ok := f.objects[config.Key{Kind: config.KindPlan, Name: id}].Body.(config.Plan)
	if !ok {
		return plan, admin.NotFound("plan", id)
	}
	return plan, nil
}

func (f *fakeHostTasks) listPlans() []config.Plan {
	var plans []config.Plan
	for _, id := range f.planIDs {
		plan, _ := f.findPlan(id)
		plans = append(plans, plan)
	}
	return plans
}

func (f *fakeHostTasks) storeNewPlan(r admin.CreatePlanRequest) admin.Answer[config.Plan] {
	plan, err := config.BuildPlan(config.PlanRequest{
		ID:       fmt.Sprintf("p-%d", len(f.planIDs)+1),
		Author:   r.Author,
		Intent:   r.Intent,
		Snapshot: f.store.Snapshot(),
		Uses:     testUses,
	})
	if err != nil {
		return admin.Answer[config.Plan]{Failure: admin.Refused("", err)}
	}
	f.applyWrite(config.ProposeWrite(plan))
	f.planIDs = append(f.planIDs, plan.ID)
	return admin.Answer[config.Plan]{Value: plan}
}

func (f *fakeHostTasks) confirmPlan(id string) config.Confirmed {
	c := config.NewConfirmation(id)
	lost := f.lostResponses > 0
	f.lostResponses--
	for effect := c.Start(); ; {
		switch e := effect.(type) {
		case config.ReadObject:
			effect = c.Step(config.ReadResponse{Object: f.objects[e.Key]})
		case config.PutObject:
			effect = c.Step(f.applyWrite(e.Write))
		case config.Confirmed:
			if lost {
				return config.Confirmed{State: config.ConfirmNotYetKnown, Text: "the platform did not answer"}
			}
			return e
		}
	}
}

func (f *fakeHostTasks) withdrawPlan(id string) config.Confirmed {
	write, err := config.WithdrawWrite(f.objects[config.Key{Kind: config.KindPlan, Name: id}])
	if err != nil {
		return config.Confirmed{State: config.ConfirmRefused, Text: err.Error()}
	}
	f.applyWrite(write)
	return config.Confirmed{State: config.ConfirmAccepted}
}

// startAdminServer runs the admin server with the fake tasks and returns its address.
func startAdminServer(t *testing.T, fake *fakeHostTasks, settings admin.Settings) string {
	t.Helper()
	is := is.New(t)
	token, err := admin.NewToken(testAuthor, testSecret)
	is.NoErr(err)
	settings.Address = "127.0.0.1:0"
	settings.Tokens = []admin.Token{token}
	settings.AnswerTimeout = time.Minute
	requests := make(chan admin.Request)
	server, err := admin.Listen(settings, requests, zap.NewNop())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	go fake.serve(ctx, requests)
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-stopped)
	})
	return server.Addr().String()
}

var testBodies = []config.Body{
	config.ServiceObject{Spec: types.ServiceSpec{
		Name: "ramp-logs", Durability: types.DurabilityReplicated, Slots: 3, Connections: 50,
		Databases: []types.DatabaseSpec{{ID: "logs-1", EndpointSet: 1, Endpoints: []types.EndpointSpec{
			{ID: "logs-1a", DataCentre: "sao-jose", Address: "127.0.0.1:6001"},
			{ID: "logs-1b", DataCentre: "pelotas", Address: "127.0.0.1:6002"},
		}}},
	}},
	config.RankObject{Spec: types.RankSpec{Name: "urgent", Target: 100 * time.Millisecond, Worth: 100, Floor: 50}},
	config.RankObject{Spec: types.RankSpec{Name: "browse", Target: time.Second, Worth: 10, Floor: 20, Order: 1}},
	config.Retirement{Name: "old-reports", Kind: config.TargetFeature, Target: "reports", Phase: config.PhaseAnnounced},
}

var testUses = []config.Use{
	{
		UseKey: config.UseKey{Service: "ramp-logs", Feature: "reports", Job: "nightly", Caller: "127.0.0.7"},
		Host:   "rs-1", Calls: 40, Refused: 2, FirstSeen: testTimeNanos - 39*int64(time.Hour), LastSeen: testTimeNanos,
	},
	{
		UseKey: config.UseKey{Service: "ramp-logs", Feature: "reports", Caller: "127.0.0.8"},
		Host:   "rs-2", Calls: 1, FirstSeen: testTimeNanos, LastSeen: testTimeNanos,
	},
}

var testStatus = admin.Status{
	Host: "rs-1", DataCentre: "sao-jose", State: admin.HostServing,
	PlatformReachable: true, SincePlatformAnswer: 250 * time.Millisecond,
	Configuration: admin.ConfigurationStatus{Version: 14, Digest: 0xfeed, Complete: true},
	Members: []membership.Member{
		{Host: "rs-1", DataCentre: "sao-jose", MeshAddress: "127.0.0.1:7500", Incarnation: 1},
		{Host: "rs-2", DataCentre: "pelotas", MeshAddress: "127.0.0.1:7501", State: membership.Suspect},
	},
	Databases: []admin.DatabaseStatus{{
		Service: "ramp-logs", ID: "logs-1", Term: types.MakeTerm(1, 4), Primary: "logs-1a", Authority: true,
		Endpoints: []admin.EndpointStatus{
			{
				ID: "logs-1a", DataCentre: "sao-jose", State: admin.EndpointPrimary, Owner: "rs-1", Standby: "rs-3",
				LastLogPoint: types.LogPoint{Term: types.MakeTerm(1, 4), Position: 77}, Slots: 3, SlotsInUse: 2, OpenConnections: 12,
				Queues: []admin.QueueStatus{{Rank: "urgent", Level: 1}, {Rank: "browse", Depth: 9, Level: 0.4}},
			},
			{ID: "logs-1b", DataCentre: "pelotas", State: admin.EndpointUnreachable, Staleness: admin.StalenessUnknown, Owner: "rs-2"},
		},
	}, {Service: "ramp-logs", ID: "logs-2"}},
	Ranks: []admin.RankLevel{{Rank: "urgent", Level: 1, Admitted: 1200}, {Rank: "browse", Level: 0.4, Admitted: 70, Refused: 33}},
}

var testRollout = []admin.HostVersion{
	{Host: "rs-1", DataCentre: "sao-jose", Reachable: true, Version: 14, Digest: 0xfeed},
	{Host: "rs-2", DataCentre: "pelotas", Reachable: true, Version: 13, Digest: 0xbeef},
	{Host: "rs-3", DataCentre: "rio-grande", Reachable: true, Version: 14, Digest: 0xfeed},
	{Host: "rs-9", DataCentre: "pelotas"},
}

var testEvents = []timeline.Event{
	testEvent("rs-2", 7, 0, timeline.KindEndpointSuspected, "logs-1a", timeline.EventID{}),
	testEvent("rs-3", 4, time.Millisecond, timeline.KindCampaign, "logs-1", timeline.EventID{Host: "rs-2", Counter: 7}),
	testEvent("rs-1", 9, 2*time.Millisecond, timeline.KindConfigApplied, "urgent", timeline.EventID{}),
	testEvent("rs-3", 5, 3*time.Millisecond, timeline.KindPromoted, "logs-1b", timeline.EventID{Host: "rs-3", Counter: 4}),
}

func testEvent(host types.Host, n uint64, after time.Duration, kind timeline.Kind, object string, cause timeline.EventID) timeline.Event {
	return timeline.Event{
		ID:    timeline.EventID{Host: host, Counter: n},
		Host:  host,
		Stamp: timeline.Stamp{Wall: testTimeNanos + int64(after)},
		Kind:  kind, Object: object, Cause: cause,
		Counts: []timeline.Count{{Name: "term", Value: int64(types.MakeTerm(1, uint32(n)))}},
	}
}
