package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	api "baobabfield.example/api/host"
)

// Guards against an explanation that leaves out why an endpoint was not selected, or the limit.
func TestExplanationIsPrinted(t *testing.T) {
	is := is.New(t)
	f := fakeHost{explanation: &api.Explanation{
		Host: "edge-1", DataCentre: "pelotas", Service: "s", Consistency: "bounded", Rank: 2, Objective: 800 * time.Millisecond,
		Endpoint: "e-2", Owner: "edge-5", Reason: "wait", Share: 0.25,
		Candidates: []api.Candidate{
			{Endpoint: "e-1", DataCentre: "pelotas", Primary: true, RuledOut: "leaving"},
			{Endpoint: "e-2", DataCentre: "sao-jose", Owner: "edge-5", Cost: 90 * time.Millisecond, Load: 7, InFlight: 2},
		},
		Limit: api.NewOptWorkspaceLimit(api.WorkspaceLimit{Rate: 40, Tokens: 1.5, Grant: 0.125, GrantAge: 300 * time.Millisecond, Allocator: "edge-9"}),
	}}
	code, text := runHostCommand(t, f, "explain", "db", "--workspace", "north")
	is.Equal(code, exitDone)
	for _, want := range []string{"Goes to endpoint e-2 by owner edge-5", "wait", "25 %", "leaving", "north: 40 operations/s", "edge-9", "7 (2 own)"} {
		if !strings.Contains(text, want) {
			t.Errorf("output lacks %q:\n%s", want, text)
		}
	}
	code, text = runHostCommand(t, fakeHost{}, "explain", "db")
	is.Equal(code, exitRefused)
	is.True(strings.Contains(text, "host is stopping"))
}
