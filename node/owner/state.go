package owner

import (
	"context"
	"fmt"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/watch"
	"baobabfield.example/wire/meshpb"
)

// encodeView converts a view for entry hosts.
func encodeView(db types.Database, v failover.View) *meshpb.DatabaseView {
	return &meshpb.DatabaseView{Database: string(db), Term: uint64(v.Term), Primary: string(v.Primary)}
}

// State answers a request for the state of the host's endpoints of a database.
func (r *Registry) State(ctx context.Context, db types.Database) *meshpb.StateAnswer {
	answer := &meshpb.StateAnswer{}
	m := databaseRequest{db: db, reply: make(chan databaseReply, 1)}
	if !r.post(m) {
		return answer
	}
	found := <-m.reply
	if found.watch == nil {
		return answer
	}
	view := found.watch.View(ctx)
	answer.View = encodeView(db, view)
	for _, id := range found.endpoints {
		if e, ok := endpointView(view, id); ok {
			answer.Endpoints = append(answer.Endpoints, encodeState(e))
		}
	}
	return answer
}

// encodeState converts what a watch knows of an endpoint for entry hosts.
func encodeState(e failover.EndpointView) *meshpb.EndpointState {
	s := &meshpb.EndpointState{
		Endpoint:  string(e.ID),
		Last:      &meshpb.LogPoint{Term: uint64(e.LastLogPoint.Term), Position: uint64(e.LastLogPoint.Position)},
		Reachable: e.Reachable,
	}
	if age, known := e.Staleness(clock.Now()); known {
		s.AgeKnown = true
		s.AgeUs = uint64(max(0, age.Microseconds()))
	}
	return s
}

// Report describes the host's databases and owned endpoints.
type Report struct {
	Views     map[types.Database]failover.View
	Endpoints []Status
}

// reportRequest asks for the watches of all databases.
type reportRequest struct {
	reply chan map[types.Database]*watch.Task
}

// Report collects the state of all tasks.
func (r *Registry) Report(ctx context.Context) Report {
	out := Report{Views: map[types.Database]failover.View{}}
	m := reportRequest{reply: make(chan map[types.Database]*watch.Task, 1)}
	all := allRequest{reply: make(chan []*endpointTask, 1)}
	if !r.post(m) || !r.post(all) {
		return out
	}
	for db, w := range <-m.reply {
		out.Views[db] = w.View(ctx)
	}
	for _, ep := range <-all.reply {
		if s, ok := ep.askStatus(ctx); ok {
			out.Endpoints = append(out.Endpoints, s)
		}
	}
	return out
}

// askStatus asks an endpoint task for its status.
func (t *endpointTask) askStatus(ctx context.Context) (Status, bool) {
	m := statusRequest{reply: make(chan Status, 1)}
	if !t.post(m) {
		return Status{}, false
	}
	return mailbox.Await(ctx, t.stopped, m.reply)
}

// idlePoll is the time between two checks for running requests.
const idlePoll = 50 * time.Millisecond

// WaitIdle waits until no request runs at the owned endpoints. It fails if the
// context ends before.
func (r *Registry) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		running := 0
		for _, s := range r.Report(ctx).Endpoints {
			running += s.SlotsInUse
		}
		if running == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("host %q stopped with %d requests running", r.set.Host, running)
		}
	}
}
