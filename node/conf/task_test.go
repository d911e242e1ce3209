package conf

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform is a platform in memory. One goroutine owns its objects.
type fakePlatform struct {
	calls chan func(*platformState)
	// putResponsesToDrop is the number of puts that take effect but return an error.
	putResponsesToDrop int
}

type platformState struct {
	objects  map[config.Key]config.Object
	version  config.Version
	watchers []chan<- []config.Object
}

func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{calls: make(chan func(*platformState))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s := &platformState{objects: map[config.Key]config.Object{}}
		for call := range f.calls {
			call(s)
		}
	}()
	t.Cleanup(func() {
		close(f.calls)
		<-done
	})
	return f
}

func query[T any](f *fakePlatform, read func(*platformState) T) T {
	reply := make(chan T, 1)
	f.calls <- func(s *platformState) { reply <- read(s) }
	return <-reply
}

func (f *fakePlatform) List(context.Context) ([]config.Object, config.Version, error) {
	var version config.Version
	objects := query(f, func(s *platformState) []config.Object {
		var out []config.Object
		for k, o := range s.objects {
			if k.Kind != config.KindPlan {
				out = append(out, o)
			}
		}
		version = s.version
		return out
	})
	return objects, version, nil
}

func (f *fakePlatform) Get(_ context.Context, key config.Key) (config.Object, error) {
	o := query(f, func(s *platformState) config.Object { return s.objects[key] })
	if o.Version == 0 {
		return o, ErrNotFound
	}
	return o, nil
}

func (f *fakePlatform) Put(_ context.Context, w config.Write) (config.Version, error) {
	version := query(f, func(s *platformState) config.Version { return s.put(w) })
	if version == 0 {
		return 0, ErrConflict
	}
	if f.putResponsesToDrop > 0 {
		f.putResponsesToDrop--
		return 0, errors.New("connection lost")
	}
	return version, nil
}

func (s *platformState) put(w config.Write) config.Version {
	if s.objects[w.Key].Version != w.IfVersion {
		return 0
	}
	s.version++
	o := config.Object{Key: w.Key, Version: s.version, Body: w.Body, Operations: w.Operations}
	s.objects[w.Key] = o
	for _, out := range s.watchers {
		if w.Key.Kind != config.KindPlan {
			out <- []config.Object{o}
		}
	}
	return s.version
}

func (f *fakePlatform) Watch(ctx context.Context, _ config.Version, out chan<- []config.Object) error {
	buffer := make(chan []config.Object, 100)
	query(f, func(s *platformState) int {
		s.watchers = append(s.watchers, buffer)
		return 0
	})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-buffer:
			select {
			case out <- batch:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// fakeSender delivers payloads directly to the tasks of the other hosts.
type fakeSender struct {
	from     types.Host
	payloads map[types.Host]chan<- Payload
}

func (s fakeSender) Send(host types.Host, payload []byte) {
	select {
	case s.payloads[host] <- Payload{From: s.from, Data: payload}:
	default:
	}
}

func sampleService(slots int) config.ServiceObject {
	endpoint := types.EndpointSpec{ID: "e1", DataCentre: "dc", Address: "127.0.0.1:5432", Leaving: true}
	return config.ServiceObject{Spec: types.ServiceSpec{
		Name: "ramp-logs", Durability: types.DurabilityPrimary, Slots: slots, Connections: 50,
		Databases: []types.DatabaseSpec{{
			ID: "d1", EndpointSet: 2,
			Endpoints:         []types.EndpointSpec{endpoint},
			PreviousEndpoints: []types.EndpointSpec{endpoint, endpoint},
		}},
	}}
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	rank := config.RankObject{Spec: types.RankSpec{Name: "urgent", Target: time.Second, Worth: 3, Floor: 4, Order: 5}}
	retirement := config.Retirement{
		Name: "r", Kind: config.TargetJob, Target: "nightly", Service: "s", Phase: config.PhaseDraining,
	}
	key := config.Key{Kind: config.KindRank, Name: "gone"}
	bodies := []config.PeerBody{
		config.Push{Objects: []config.Object{
			{Key: sampleService(3).Key(), Version: 9, Body: sampleService(3), Operations: []config.OperationID{"a", "b"}},
			{Key: rank.Key(), Version: 10, Body: rank},
			{Key: retirement.Key(), Version: 11, Body: retirement},
			{Key: key, Version: 12},
		}},
		config.Digest{Hash: 1 << 63, Complete: true},
		config.Buckets{Hashes: []uint64{1, 2}},
		config.Versions{Buckets: []int{3}, Versions: []config.ObjectVersion{{Key: key, Version: 4}}},
		config.Fetch{Keys: []config.Key{key}},
		config.FetchAll{},
		config.Busy{},
	}
	e := newEncoder()
	for _, body := range append(bodies, newServicesPush(100)) {
		data, err := e.encode(body)
		is.NoErr(err)
		got, err := decode(data)
		is.NoErr(err)
		is.Equal(got, body)
	}
	_, err := decode([]byte{0xff})
	is.Equal(err, errMalformed)
	data, err := e.encode(newServicesPush(100))
	is.NoErr(err)
	_, err = decode(data[:len(data)/2])
	is.Equal(err, errMalformed)
}

// startTask runs a task until the test ends and returns it with its channel of changes.
func startTask(t *testing.T, host types.Host, p Platform, sender fakeSender) (*Task, <-chan config.Changed) {
	changes := make(chan config.Changed)
	task := New(Settings{
		Host: host, DataCentre: "dc", Platform: p, Sender: sender, Changes: changes, Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		task.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return task, changes
}

// waitForSlots receives changes until a complete configuration has the service with
// the given number of slots.
func waitForSlots(changes <-chan config.Changed, slots int) {
	for c := range changes {
		spec, _ := c.Snapshot.Service("ramp-logs")
		if c.Snapshot.Complete() && spec.Slots == slots {
			return
		}
	}
}

// TestConfirmedPlanReachesAllTasks guards against a plan that is applied twice or not
// at all when the platform's responses to two puts are lost. Every host has to receive
// the change, and a repeated confirmation must write nothing.
func TestConfirmedPlanReachesAllTasks(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t)
	hosts := []types.Host{"a", "b", "c"}
	payloads := map[types.Host]chan<- Payload{}
	var allChanges []<-chan config.Changed
	var tasks []*Task
	for _, h := range hosts {
		task, changes := startTask(t, h, p, fakeSender{from: h, payloads: payloads})
		allChanges = append(allChanges, changes)
		tasks = append(tasks, task)
	}
	for i, h := range hosts {
		payloads[h] = tasks[i].Payloads()
	}
	for _, task := range tasks {
		task.Peers() <- config.Peers{Groups: []config.PeerGroup{{DataCentre: "dc", Hosts: hosts}}}
	}
	spec := sampleService(3).Spec
	plan, err := config.BuildPlan(config.PlanRequest{ID: "p1", Author: "ana", Intent: config.PutService{Spec: spec}})
	is.NoErr(err)
	_, err = p.Put(context.Background(), config.ProposeWrite(plan))
	is.NoErr(err)
	p.putResponsesToDrop = 2
	confirmed := ConfirmPlan(context.Background(), p, "p1")
	is.Equal(confirmed.State, config.ConfirmAccepted)
	is.Equal(len(confirmed.Written), 1)
	repeated := ConfirmPlan(context.Background(), p, "p1")
	is.Equal(repeated.State, config.ConfirmAccepted)
	is.Equal(repeated.Written[0].Version, confirmed.Written[0].Version) // the repeated call wrote no new version
	tasks[2].Written() <- config.ObjectsWritten{Objects: confirmed.Written}
	for _, changes := range allChanges {
		waitForSlots(changes, 3)
	}
}
