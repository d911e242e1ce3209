// Package reach probes the other data centres over the mesh, so that a host
// notices when no host of a data centre answers it.
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
	// inboxSize is the number of messages that wait for the task.
	inboxSize = 64
)

// Task owns what the host knows of the data centres' reachability.
type Task struct {
	own     types.DataCentre
	mesh    *mesh.Task
	log     *zap.Logger
	views   chan<- membership.View
	members chan membership.Snapshot
	results chan result
	current membership.Snapshot
	reach   *membership.Reachability
	rng     *rand.Rand
}

// result is the result of a probe.
type result struct {
	dc       types.DataCentre
	answered bool
}

// New returns the task, which sends each new view to views.
func New(own types.DataCentre, seed uint64, m *mesh.Task, views chan<- membership.View, log *zap.Logger) *Task {
	return &Task{
		own:     own,
		mesh:    m,
		log:     log,
		views:   views,
		members: make(chan membership.Snapshot, inboxSize),
		results: make(chan result, inboxSize),
		reach:   membership.NewReachability(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetMembers replaces the view of the hosts.
func (t *Task) SetMembers(ctx context.Context, s membership.Snapshot) {
	select {
	case t.members <- s:
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
			t.probeAll(ctx)
		case s := <-t.members:
			t.current = s
			t.publish(ctx)
		case r := <-t.results:
			if t.reach.RecordProbe(r.dc, r.answered) {
				t.log.Info("data centre's reachability changed", zap.String("data_centre", string(r.dc)), zap.Bool("answers", r.answered))
				t.publish(ctx)
			}
		}
	}
}

// publish sends the current view.
func (t *Task) publish(ctx context.Context) {
	select {
	case t.views <- membership.View{Snapshot: t.current, Unreachable: t.reach.Unreachable()}:
	case <-ctx.Done():
	}
}

// probeAll probes a random live host of each other data centre.
func (t *Task) probeAll(ctx context.Context) {
	for _, dc := range t.current.DataCentres() {
		hosts := t.current.Live(dc)
		if dc == t.own || len(hosts) == 0 {
			continue
		}
		go t.probe(ctx, dc, hosts[t.rng.IntN(len(hosts))])
	}
}

// probe reports whether a host answers.
func (t *Task) probe(ctx context.Context, dc types.DataCentre, h types.Host) {
	answered := t.mesh.ProbeHost(ctx, h)
	select {
	case t.results <- result{dc: dc, answered: answered}:
	case <-ctx.Done():
	}
}
