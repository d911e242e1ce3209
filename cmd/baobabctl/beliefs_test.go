package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	api "baobabfield.example/api/host"
)

// fakeHost responds with a fixed debug state or explanation, or with an error if it has none.
type fakeHost struct {
	state       *api.Beliefs
	explanation *api.Explanation
}

func (f fakeHost) GetBeliefs(context.Context) (*api.Beliefs, error) {
	if f.state == nil {
		return nil, errors.New("host is stopping")
	}
	return f.state, nil
}

func (f fakeHost) ExplainRequest(context.Context, api.ExplainRequestParams) (*api.Explanation, error) {
	if f.explanation == nil {
		return nil, errors.New("host is stopping")
	}
	return f.explanation, nil
}

func (f fakeHost) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	return &api.ErrorStatusCode{StatusCode: 503, Response: api.Error{Message: err.Error()}}
}

// runDebugState runs the beliefs command against a host and returns its exit code
// and output.
func runDebugState(t *testing.T, f fakeHost, args ...string) (int, string) {
	t.Helper()
	return runHostCommand(t, f, "beliefs", args...)
}

// runHostCommand runs a command whose first argument is the address of a host.
func runHostCommand(t *testing.T, f fakeHost, command string, args ...string) (int, string) {
	t.Helper()
	handler, err := api.NewServer(f)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	var out bytes.Buffer
	args = append([]string{command, strings.TrimPrefix(server.URL, "http://")}, args...)
	code := runCommandLine(context.Background(), args, &out, &out)
	return code, out.String()
}

func TestDebugStateIsPrinted(t *testing.T) {
	is := is.New(t)
	f := fakeHost{state: &api.Beliefs{
		Host: "edge-1", DataCentre: "pelotas", NotReady: "no configuration is known", Sessions: 3,
		Objects:       []api.Objects{{Kind: "config", Revision: 7, Age: 1200 * time.Millisecond}, {Kind: "hosts", Age: -1}},
		Configuration: api.Configuration{Version: 5, Routes: []api.DatabaseRoute{{Database: "db", Service: "s", Consistency: "bounded"}}},
		Services: []api.Service{{Name: "s", Primary: "e-1", Token: 4, Holder: "edge-2", Campaign: "elsewhere", Endpoints: []api.Endpoint{
			{ID: "e-1", DataCentre: "pelotas", Slots: 3, ClaimsPrimary: true, Listed: true, Draining: true, Owner: "edge-1", Authority: true, Running: 2},
			{ID: "e-2", DataCentre: "sao-jose", Slots: 3},
		}}},
		Hosts: []api.Host{{ID: "edge-2", DataCentre: "pelotas", Usable: true}},
	}}
	code, text := runDebugState(t, f, "--routes")
	is.Equal(code, exitDone)
	for _, want := range []string{
		"Host edge-1 in pelotas is not ready: no configuration is known", "version 5, 1 routes",
		"config  7         1.2s", "hosts   0         unknown",
		"Service s: primary e-1, token 4 held by edge-2, campaign elsewhere",
		"primary, draining", "replica, gone", "2/3", "bounded",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("output lacks %q:\n%s", want, text)
		}
	}
	code, text = runDebugState(t, f, "--output", "json")
	is.Equal(code, exitDone)
	is.True(strings.Contains(text, `"notReady"`))
}

func TestDebugStateOfUnavailableHost(t *testing.T) {
	is := is.New(t)
	code, text := runDebugState(t, fakeHost{})
	is.Equal(code, exitRefused)
	is.True(strings.Contains(text, "host is stopping"))
	var out bytes.Buffer
	is.Equal(runCommandLine(context.Background(), []string{"beliefs", "127.0.0.1:1"}, &out, &out), exitUnreachable)
}
