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

// encodeView converts a view to its message for frontends.
func encodeView(db types.Database, v failover.View) *meshpb.DatabaseView {
	return &meshpb.DatabaseView{Database: string(db), Term: uint64(v.Term), Primary: string(v.Primary)}
}

// DatabaseState returns the database's view and the state of the endpoints of the
// database that the host owns. It is empty if the host does not watch the database.
func (r *Registry) DatabaseState(ctx context.Context, db types.Database) *meshpb.StateAnswer {
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
		if e, ok := findEndpointView(view, id); ok {
			answer.Endpoints = append(answer.Endpoints, encodeEndpointState(e))
		}
	}
	return answer
}

// encodeEndpointState converts a watch's view of an endpoint to its message for frontends.
func encodeEndpointState(e failover.EndpointView) *meshpb.EndpointState {
	out := &meshpb.EndpointState{
		Endpoint:  string(e.ID),
		Last:      &meshpb.LogPoint{Term: uint64(e.LastLogPoint.Term), Position: uint64(e.LastLogPoint.Position)},
		Reachable: e.Reachable,
	}
	if staleness, known := e.Staleness(clock.Now()); known {
		out.AgeKnown = true
		out.AgeUs = uint64(max(0, staleness.Microseconds()))
	}
	return out
}

// Report holds the views of the host's databases and the status of its endpoints.
type Report struct {
	Views     map[types.Database]failover.View
	Endpoints []EndpointStatus
}

// watchesRequest requests the watches of all databases.
type watchesRequest struct {
	reply chan map[types.Database]*watch.Task
}

// CollectReport queries all watches and endpoint tasks.
func (r *Registry) CollectReport(ctx context.Context) Report {
	report := Report{Views: map[types.Database]failover.View{}}
	watches := watchesRequest{reply: make(chan map[types.Database]*watch.Task, 1)}
	tasks := endpointTasksRequest{reply: make(chan []*endpointTask, 1)}
	if !r.post(watches) || !r.post(tasks) {
		return report
	}
	for db, w := range <-watches.reply {
		report.Views[db] = w.View(ctx)
	}
	for _, task := range <-tasks.reply {
		if s, ok := task.requestStatus(ctx); ok {
			report.Endpoints = append(report.Endpoints, s)
		}
	}
	return report
}

// requestStatus returns the task's status, and false if the task or the context ended.
func (t *endpointTask) requestStatus(ctx context.Context) (EndpointStatus, bool) {
	m := statusRequest{reply: make(chan EndpointStatus, 1)}
	if !t.post(m) {
		return EndpointStatus{}, false
	}
	return mailbox.Await(ctx, t.stopped, m.reply)
}

// idlePollInterval is the time between two checks of WaitIdle.
const idlePollInterval = 50 * time.Millisecond

// WaitIdle waits until no request runs at the host's endpoints. It returns an error if
// the context ends first.
func (r *Registry) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		running := 0
		for _, s := range r.CollectReport(ctx).Endpoints {
			running += s.SlotsInUse
		}
		if running == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("host %q stopped with %d requests running", r.settings.Host, running)
		}
	}
}
