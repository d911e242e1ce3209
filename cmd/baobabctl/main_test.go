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

var update = flag.Bool("update", false, "write the golden files")

// result is what a command left behind.
type result struct {
	stdout, stderr string
	code           int
}

// ctl runs a command against the admin server at address.
func ctl(address string, args ...string) result {
	var stdout, stderr bytes.Buffer
	flags := []string{"--admin", address, "--token", testSecret}
	code := run(context.Background(), append(flags, args...), &stdout, &stderr)
	return result{stdout: stdout.String(), stderr: stderr.String(), code: code}
}

// golden compares the text with the golden file of the name.
func golden(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name)
	if *update {
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}

func TestOutputs(t *testing.T) {
	retire := []string{"plan", "create", "retire", "feature", "reports", "--name", "old-reports", "--phase", "draining"}
	cases := []struct {
		name string
		// before are commands that run first.
		before [][]string
		args   []string
		down   int
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
		{name: "plan_show", before: [][]string{retire}, args: []string{"plan", "show", "p-1"}},
		{name: "plan_show_missing", args: []string{"plan", "show", "p-1"}},
		{name: "plan_list", before: [][]string{retire, retire}, args: []string{"plan", "list"}},
		{name: "plan_list_state", before: [][]string{retire}, args: []string{"plan", "list", "--state", "withdrawn"}},
		{name: "plan_confirm", before: [][]string{retire}, args: []string{"plan", "confirm", "p-1"}},
		{name: "plan_confirm_unknown", before: [][]string{retire}, args: []string{"plan", "confirm", "p-1"}, down: 1},
		{name: "plan_confirm_wait", before: [][]string{retire}, args: []string{"plan", "confirm", "p-1", "--wait", "10s"}, down: 1},
		{name: "plan_withdraw", before: [][]string{retire}, args: []string{"plan", "withdraw", "p-1"}},
		{name: "plan_withdraw_late", before: [][]string{retire, {"plan", "confirm", "p-1"}}, args: []string{"plan", "withdraw", "p-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := newFakeTasks()
			fake.down = c.down
			address := startAdmin(t, fake, admin.Settings{})
			for _, args := range c.before {
				ctl(address, args...)
			}
			r := ctl(address, c.args...)
			text := fmt.Sprintf("$ baobabctl %s\n%s[stderr]\n%s[exit %d]\n", strings.Join(c.args, " "), r.stdout, r.stderr, r.code)
			golden(t, c.name+".txt", text)
		})
	}
}

func TestRivalConfirm(t *testing.T) {
	is := is.New(t)
	address := startAdmin(t, newFakeTasks(), admin.Settings{})
	rank := []string{"plan", "create", "rank", "urgent", "--order", "0", "--target", "50ms", "--worth", "100"}
	is.Equal(ctl(address, rank...).code, exitDone)
	is.Equal(ctl(address, rank...).code, exitDone)

	first := ctl(address, "plan", "confirm", "p-1")
	second := ctl(address, "plan", "confirm", "p-2")
	is.Equal(first.code, exitDone)
	is.Equal(second.code, exitRefused)
	is.True(strings.Contains(second.stdout, "Changed since the plan was made: rank/urgent"))
	is.True(strings.Contains(second.stdout, "baobabctl plan show p-3"))
	is.Equal(ctl(address, "plan", "confirm", "p-3").code, exitDone)
}

func TestRepeatAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	fake := newFakeTasks()
	fake.down = 1
	address := startAdmin(t, fake, admin.Settings{})
	is.Equal(ctl(address, "plan", "create", "-f", "testdata/rank.json").code, exitDone)
	lost := ctl(address, "plan", "confirm", "p-1")
	is.Equal(lost.code, exitNotYetKnown)
	again := ctl(address, "plan", "confirm", "p-1")
	is.Equal(again.code, exitDone)
	is.True(strings.Contains(again.stdout, "rank/urgent at version 17"))
	rival := ctl(address, "plan", "create", "-f", "testdata/rank.json")
	is.True(strings.Contains(rival.stdout, "rank/urgent at version 17")) // written once
}

func TestChangesNameTheirAuthor(t *testing.T) {
	is := is.New(t)
	address := startAdmin(t, newFakeTasks(), admin.Settings{})
	ctl(address, "plan", "create", "-f", "testdata/rank.json")
	ctl(address, "plan", "confirm", "p-1")
	calls := ctl(address, "timeline", "--kind", "admin call").stdout
	is.True(strings.Contains(calls, "create plan, by ana"))
	is.True(strings.Contains(calls, "confirm plan, by ana"))
}

func TestWrongToken(t *testing.T) {
	is := is.New(t)
	address := startAdmin(t, newFakeTasks(), admin.Settings{})
	r := ctl(address, "--token", "not-the-right-secret", "status")
	is.Equal(r.code, exitRefused)
	is.Equal(r.stdout, "")
	is.Equal(r.stderr, "baobabctl: unauthorized: the request has no valid token\n")
	is.Equal(ctl(address, "--token", "", "status").code, exitUsage)
}

func TestUnreachable(t *testing.T) {
	is := is.New(t)
	is.Equal(ctl("127.0.0.1:1", "status").code, exitUnreachable)
	is.Equal(ctl("127.0.0.1:1", "plan", "confirm", "p-1").code, exitUnreachable)
}

func TestMalformedInput(t *testing.T) {
	address := startAdmin(t, newFakeTasks(), admin.Settings{})
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
			r := ctl(address, c.args...)
			is.Equal(r.code, c.code)
			is.Equal(r.stdout, "")
			if !strings.Contains(r.stderr, c.want) {
				t.Errorf("error %q does not name %q", r.stderr, c.want)
			}
		})
	}
}

func TestTraceIsWellFormed(t *testing.T) {
	is := is.New(t)
	address := startAdmin(t, newFakeTasks(), admin.Settings{})
	var decoded trace
	is.NoErr(json.Unmarshal([]byte(ctl(address, "timeline", "--format", "trace").stdout), &decoded))
	phases := map[string]int{}
	for _, event := range decoded.TraceEvents {
		phases[event.Phase]++
	}
	is.Equal(phases["X"], len(testEvents))
	is.Equal(phases["s"], 2) // two events name a cause
	is.Equal(phases["f"], 2)
}
