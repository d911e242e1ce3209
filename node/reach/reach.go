// Package reach detects that no host of a data centre responds to this host. Its task owns
// the record of reachable data centres and a timer. It receives membership snapshots,
// probes a random live host of each other data centre over the mesh, and sends membership
// views, which hold the snapshot and the unreachable data centres.
package reach

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
)

const (
	// probeInterval is the time between two probes of a data centre.
	probeInterval = 2 * time.Second
	// inboxSize is the capacity of each of the task's channels in messages.
	inboxSize = 64
)

// Task owns the host's record of which data centres are reachable.
type Task struct {
	ownDataCentre types.DataCentre
	mesh          *mesh.Task
	log           *zap.Logger
	views         chan<- membership.View
	memberUpdates chan membership.Snapshot
	results       chan probeResult
	members       membership.Snapshot
	reachability  *membership.Reachability
	rng           *rand.Rand
}

// probeResult is the result of probing a data centre.
type probeResult struct {
	dc        types.DataCentre
	reachable bool
}

// New returns a task that sends each new membership view to views.
func New(own types.DataCentre, seed uint64, m *mesh.Task, views chan<- membership.View, log *zap.Logger) *Task {
	return &Task{
		ownDataCentre: own,
		mesh:          m,
		log:           log,
		views:         views,
		memberUpdates: make(chan membership.Snapshot, inboxSize),
		results:       make(chan probeResult, inboxSize),
		reachability:  membership.NewReachability(),
		rng:           rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetMembers replaces the membership snapshot.
func (t *Task) SetMembers(ctx context.Context, s membership.Snapshot) {
	select {
	case t.memberUpdates <- s:
	case <-ctx.Done():
	}
}

// Run serves until the context ends.
func (t *Task) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.probeDataCentres(ctx)
		case s := <-t.memberUpdates:
			t.members = s
			t.publishView(ctx)
		case r := <-t.results:
			if t.reachability.RecordProbe(r.dc, r.reachable) {
				t.log.Info("data centre reachability changed", zap.String("data_centre", string(r.dc)), zap.Bool("answers", r.reachable))
				t.publishView(ctx)
			}
		}
	}
}

// publishView sends the current view.
func (t *Task) publishView(ctx context.Context) {
	select {
	case t.views <- membership.View{Snapshot: t.members, Unreachable: t.reachability.Unreachable()}:
	case <-ctx.Done():
	}
}

// probeDataCentres probes a random live host of each other data centre.
func (t *Task) probeDataCentres(ctx context.Context) {
	for _, dc := range t.members.DataCentres() {
		hosts := t.members.Live(dc)
		if dc == t.ownDataCentre || len(hosts) == 0 {
			continue
		}
		go t.probeHost(ctx, dc, hosts[t.rng.IntN(len(hosts))])
	}
}

// probeHost probes a host and posts the result.
func (t *Task) probeHost(ctx context.Context, dc types.DataCentre, h types.Host) {
	answered := t.mesh.ProbeHost(ctx, h)
	select {
	case t.results <- probeResult{dc: dc, reachable: answered}:
	case <-ctx.Done():
	}
}
