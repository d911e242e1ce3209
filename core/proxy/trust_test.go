package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// Guards against the first statement of a workspace at a primary that waits for the periodic
// confirmation of its authority, because the connections of other workspaces are confirmed.
func TestFirstConnectionOfWorkspaceIsConfirmedAtOnce(t *testing.T) {
	const (
		workspaces = 12
		// limit leaves time for opening the connection and for one confirmation.
		limit = 60 * time.Millisecond
	)
	sim := newSimulation(t, 95, 1)
	for i := range workspaces {
		name := types.Workspace(fmt.Sprint("w", i))
		sim.workspaces = append(sim.workspaces, catalog.Workspace{Name: name, Keys: []string{string(name)}, Rate: 100, Burst: 100})
	}
	sim.configure(2)
	sim.runFor(maxConfigDelay)
	h := sim.hosts["h-a0"]
	for i := range workspaces {
		session := proxy.SessionID(900 + i)
		sim.deliver(h, proxy.CallerStarted{Session: session, Database: "primary-db", Key: fmt.Sprint("w", i)})
		sim.runFor(170 * time.Millisecond)
		id := fmt.Sprintf("x%d.1", i)
		sim.deliver(h, proxy.CallerQuery{Session: session, Query: query(id, "READ 1")})
		sim.runFor(500 * time.Millisecond)
		took, ok := tookOfRequest(h, id)
		if !ok || (i > 0 && took > limit) {
			t.Errorf("the first statement of workspace %d is answered after %v", i, took)
		}
	}
}

// tookOfRequest returns the time that a logged request has taken.
func tookOfRequest(h *hostSim, id string) (took time.Duration, ok bool) {
	for _, e := range h.logs {
		if e.Event != "request" {
			continue
		}
		matches := false
		for _, f := range e.Fields {
			if f.Key == "id" && f.Value == id {
				matches = true
			}
			if d, isDuration := f.Value.(time.Duration); isDuration && f.Key == "took" && matches {
				took, ok = d, true
			}
		}
	}
	return took, ok
}
