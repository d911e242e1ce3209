package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/node/admin"
)

var updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")

// commandResult is the output and the exit code of a command.
type commandResult struct {
	stdout, stderr string
	code           int
}

// runCtl runs a command against the admin server at address.
func runCtl(address string, args ...string) commandResult {
	var stdout, stderr bytes.Buffer
	flags := []string{"--admin", address, "--token", testSecret}
	code := runCommandLine(context.Background(), append(flags, args...), &stdout, &stderr)
	return commandResult{stdout: stdout.String(), stderr: stderr.String(), code: code}
}

// compareGolden compares the text with the golden file of that name in testdata.
func compareGolden(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name)
	if *updateGolden {
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}

func TestCommandOutputMatchesGoldenFiles(t *testing.T) {
	retire := []string{"plan", "create", "retire", "feature", "reports", "--name", "old-reports", "--phase", "draining"}
	cases := []struct {
		name string
		// setup are commands that run first.
		setup         [][]string
		args          []string
		lostResponses int
	}{
		{name: "status", args: []string{"status"}},
		{name: "services", args: []string{"services"}},
		{name: "ranks", args: []string{"ranks"}},
		{name: "retirements", args: []string{"retirements"}},
		{name: "rollout", args: []string{"rollout"}},
		{name: "rollout_all", args: []string{"rollout", "--all"}},
		{name: "rollout_json", args: []string{"--output", "json", "rollout"}},
		{name: "timeline", args: []string{"timeline"}},
		{name: "timeline_host", args: []string{"timeline", "--host", "rs-3", "--limit", "1"}},
		{name: "timeline_story", args: []string{"timeline", "--story", "rs-3/5"}},
		{name: "timeline_no_story", args: []string{"timeline", "--story", "rs-3/99"}},
		{name: "timeline_trace", args: []string{"timeline", "--format", "trace"}},
		{name: "leave", args: []string{"leave"}},
		{name: "plan_create_retire", args: retire},
		{name: "plan_create_file", args: []string{"plan", "create", "-f", "testdata/rank.json"}},
		{name: "plan_show", setup: [][]string{retire}, args: []string{"plan", "show", "p-1"}},
		{name: "plan_show_missing", args: []string{"plan", "show", "p-1"}},
		{name: "plan_list", setup: [][]string{retire, retire}, args: []string{"plan", "list"}},
		{name: "plan_list_state", setup: [][]string{retire}, args: []string{"plan", "list", "--state", "withdrawn"}},
		{name: "plan_confirm", setup: [][]string{retire}, args: []string{"plan", "confirm", "p-1"}},
		{name: "plan_confirm_unknown", setup: [][]string{retire}, args: []string{"plan", "confirm", "p-1"}, lostResponses: 1},
		{name: "plan_confirm_wait", setup: [][]string{retire}, args: []string{"plan", "confirm", "p-1", "--wait", "10s"}, lostResponses: 1},
		{name: "plan_withdraw", setup: [][]string{retire}, args: []string{"plan", "withdraw", "p-1"}},
		{name: "plan_withdraw_late", setup: [][]string{retire, {"plan", "confirm", "p-1"}}, args: []string{"plan", "withdraw", "p-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := newFakeHostTasks()
			fake.lostResponses = c.lostResponses
			address := startAdminServer(t, fake, admin.Settings{})
			for _, args := range c.setup {
				runCtl(address, args...)
			}
			r := runCtl(address, c.args...)
			text := fmt.Sprintf("$ baobabctl %s\n%s[stderr]\n%s[exit %d]\n", strings.Join(c.args, " "), r.stdout, r.stderr, r.code)
			compareGolden(t, c.name+".txt", text)
		})
	}
}

// TestConfirmRefusesPlanAfterConflictingChange guards against a plan that overwrites a
// change made after the plan was created. The refusal names a new plan, which can be
// confirmed.
func TestConfirmRefusesPlanAfterConflictingChange(t *testing.T) {
	is := is.New(t)
	address := startAdminServer(t, newFakeHostTasks(), admin.Settings{})
	rank := []string{"plan", "create", "rank", "urgent", "--order", "0", "--target", "50ms", "--worth", "100"}
	is.Equal(runCtl(address, rank...).code, exitDone)
	is.Equal(runCtl(address, rank...).code, exitDone)

	confirmed := runCtl(address, "plan", "confirm", "p-1")
	refused := runCtl(address, "plan", "confirm", "p-2")
	is.Equal(confirmed.code, exitDone)
	is.Equal(refused.code, exitRefused)
	is.True(strings.Contains(refused.stdout, "Changed since the plan was made: rank/urgent"))
	is.True(strings.Contains(refused.stdout, "baobabctl plan show p-3"))
	is.Equal(runCtl(address, "plan", "confirm", "p-3").code, exitDone)
}

// TestConfirmRetryAfterLostResponseWritesOnce guards against a plan that is applied
// twice. The platform's response to the first confirmation is lost, so the operator
// repeats the command.
func TestConfirmRetryAfterLostResponseWritesOnce(t *testing.T) {
	is := is.New(t)
	fake := newFakeHostTasks()
	fake.lostResponses = 1
	address := startAdminServer(t, fake, admin.Settings{})
	is.Equal(runCtl(address, "plan", "create", "-f", "testdata/rank.json").code, exitDone)
	unknown := runCtl(address, "plan", "confirm", "p-1")
	is.Equal(unknown.code, exitNotYetKnown)
	retried := runCtl(address, "plan", "confirm", "p-1")
	is.Equal(retried.code, exitDone)
	is.True(strings.Contains(retried.stdout, "rank/urgent at version 17"))
	next := runCtl(address, "plan", "create", "-f", "testdata/rank.json")
	is.True(strings.Contains(next.stdout, "rank/urgent at version 17")) // the retry wrote nothing
}

func TestTimelineNamesAuthorOfChanges(t *testing.T) {
	is := is.New(t)
	address := startAdminServer(t, newFakeHostTasks(), admin.Settings{})
	runCtl(address, "plan", "create", "-f", "testdata/rank.json")
	runCtl(address, "plan", "confirm", "p-1")
	calls := runCtl(address, "timeline", "--kind", "admin call").stdout
	is.True(strings.Contains(calls, "create plan, by ana"))
	is.True(strings.Contains(calls, "confirm plan, by ana"))
}

func TestWrongToken(t *testing.T) {
	is := is.New(t)
	address := startAdminServer(t, newFakeHostTasks(), admin.Settings{})
	r := runCtl(address, "--token", "not-the-right-secret", "status")
	is.Equal(r.code, exitRefused)
	is.Equal(r.stdout, "")
	is.Equal(r.stderr, "baobabctl: unauthorized: the request has no valid token\n")
	is.Equal(runCtl(address, "--token", "", "status").code, exitUsage)
}

func TestUnreachableAdminAPI(t *testing.T) {
	is := is.New(t)
	is.Equal(runCtl("127.0.0.1:1", "status").code, exitUnreachable)
	is.Equal(runCtl("127.0.0.1:1", "plan", "confirm", "p-1").code, exitUnreachable)
}

func TestMalformedInputIsRefused(t *testing.T) {
	address := startAdminServer(t, newFakeHostTasks(), admin.Settings{})
	service := func(database string) []string {
		return []string{"plan", "create", "service", "s", "--slots", "1", "--connections", "1", "--database", database}
	}
	cases := []struct {
		name, want string
		code       int
		args       []string
	}{
		{"command", "nonsense", exitUsage, []string{"nonsense"}},
		{"flag", "--nonsense", exitUsage, []string{"status", "--nonsense"}},
		{"phase", "nearly", exitUsage, []string{"plan", "create", "retire", "job", "j", "--phase", "nearly"}},
		{"time", `--since: "yesterday"`, exitUsage, []string{"timeline", "--since", "yesterday"}},
		{"database", `"logs-1"`, exitUsage, service("logs-1")},
		{"endpoint", `endpoint "a@dc"`, exitUsage, service("d=a@dc")},
		{"address", `address "db.example:1" of endpoint "a"`, exitRefused, service("d=a@dc@db.example:1")},
		{"target", `target of rank "r" is 0s`, exitRefused, []string{"plan", "create", "rank", "r", "--order", "0", "--target", "0s", "--worth", "1"}},
		{"floor", "floor", exitUsage, []string{"plan", "create", "rank", "r", "--order", "0", "--target", "1s", "--worth", "1", "--floor", "101"}},
		{"story", `"no-number"`, exitRefused, []string{"timeline", "--story", "no-number"}},
		{"limit", "limit", exitRefused, []string{"timeline", "--limit", "0"}},
		{"file", `unexpected field "colour"`, exitUsage, []string{"plan", "create", "-f", "testdata/unknown_field.json"}},
		{"property", `needs the property "rank"`, exitRefused, []string{"plan", "create", "-f", "testdata/no_rank.json"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := runCtl(address, c.args...)
			is.Equal(r.code, c.code)
			is.Equal(r.stdout, "")
			if !strings.Contains(r.stderr, c.want) {
				t.Errorf("error output %q does not contain %q", r.stderr, c.want)
			}
		})
	}
}

func TestTraceContainsEventsAndFlows(t *testing.T) {
	is := is.New(t)
	address := startAdminServer(t, newFakeHostTasks(), admin.Settings{})
	var decoded traceFile
	is.NoErr(json.Unmarshal([]byte(runCtl(address, "timeline", "--format", "trace").stdout), &decoded))
	phases := map[string]int{}
	for _, event := range decoded.TraceEvents {
		phases[event.Phase]++
	}
	is.Equal(phases["X"], len(testEvents))
	is.Equal(phases["s"], 2) // two events have a cause
	is.Equal(phases["f"], 2)
}
