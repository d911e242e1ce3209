package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// Guards against an explanation that differs from what the host does, and against one that changes
// it.
func TestExplanationAgreesWithRequests(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 71)
	sim.callers.pauseFactor = servablePauses
	openAll(sim)
	for _, h := range sim.sortedHosts() {
		sim.callers.openSessionWithKey(h.id, "own-db", "read", "key-n1")
	}
	sim.runFor(3 * time.Second)
	m := sim.hosts["h-b0"].machine
	for range 20 {
		sim.runFor(50 * time.Millisecond)
		for _, writes := range []bool{false, true} {
			want := m.Explain(sim.now, proxy.ExplainRequest{Database: "own-db", Workspace: "north", Writes: writes})
			is.Equal(want, m.Explain(sim.now, proxy.ExplainRequest{Database: "own-db", Workspace: "north", Writes: writes}))
			is.Equal(want.Refused, "")
			is.Equal(len(want.Candidates), 3)
		}
		want := m.Explain(sim.now, proxy.ExplainRequest{Database: "own-db", Workspace: "north"})
		is.Equal(sentTo(sim, "own-db", "key-n1"), want.Endpoint)
	}
}

// sentTo sends a read to host h-b0 and returns the endpoint that it has selected.
func sentTo(sim *simulation, db types.Database, key string) types.Endpoint {
	const probe = proxy.SessionID(1 << 41)
	m := sim.hosts["h-b0"].machine
	m.Step(sim.now, proxy.CallerStarted{Session: probe, Database: db, Key: key})
	before := map[types.Endpoint]int{}
	for _, c := range m.Explain(sim.now, proxy.ExplainRequest{Database: db}).Candidates {
		before[c.ID] = c.InFlight
	}
	m.Step(sim.now, proxy.CallerQuery{Session: probe, Query: query("probe.1", "READ 1")})
	var out types.Endpoint
	for _, c := range m.Explain(sim.now, proxy.ExplainRequest{Database: db}).Candidates {
		if c.InFlight > before[c.ID] {
			out = c.ID
		}
	}
	m.Step(sim.now, proxy.CallerDisconnected{Session: probe})
	return out
}

// Guards against an explanation that promises what would be refused.
func TestExplanationOfRefusedRequests(t *testing.T) {
	is := is.New(t)
	sim := newWorkspaceSimulation(t, 72)
	m := sim.hosts["h-a0"].machine
	for _, req := range []proxy.ExplainRequest{
		{Database: "new-db", Workspace: "north"},
		{Database: "own-db", Workspace: "east"},
		{Database: "own-db"},
	} {
		e := m.Explain(sim.now, req)
		is.True(e.Refused != "")
	}
}
