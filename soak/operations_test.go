package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// logLine holds the fields of one line of a host's log.
type logLine map[string]any

// matches reports whether a line has the given message and fields. The fields are
// alternating keys and values.
func (l logLine) matches(message string, fields ...string) bool {
	if l["msg"] != message {
		return false
	}
	for i := 0; i+1 < len(fields); i += 2 {
		if fmt.Sprint(l[fields[i]]) != fields[i+1] {
			return false
		}
	}
	return true
}

// awaitLogLine waits up to 5 s for a matching line in the log of a host. An empty host
// means any host.
func (c *cluster) awaitLogLine(host, message string, fields ...string) logLine {
	c.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, p := range c.hosts {
			if host != "" && p.name != host {
				continue
			}
			for _, l := range p.readLog() {
				if l.matches(message, fields...) {
					return l
				}
			}
		}
	}
	c.t.Fatalf("host %q has not logged %q with fields %q within 5 s", host, message, fields)
	return nil
}

// readLog returns the log lines of the process that are valid JSON.
func (p *hostProcess) readLog() []logLine {
	f, err := os.Open(p.settingsPath + ".log")
	if err != nil {
		p.cluster.t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var parsed []logLine
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		l := logLine{}
		if json.Unmarshal(lines.Bytes(), &l) == nil {
			parsed = append(parsed, l)
		}
	}
	return parsed
}

// connectCaller returns a session with a database through host 0. It retries for 15 s.
func (c *cluster) connectCaller(name, database string) *session {
	c.t.Helper()
	s := &session{cluster: &cluster{t: c.t, hosts: c.hosts[:1], fleet: c.fleet}, name: name, rng: rand.New(rand.NewPCG(1, 1)), database: database}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if s.connect() {
			c.t.Cleanup(s.close)
			return s
		}
	}
	c.t.Fatalf("host 0 does not serve database %q within 15 s", database)
	return nil
}

// writeUntilError sends writes for up to 10 s until one fails with the code, and returns
// its id.
func (s *session) writeUntilError(code string) string {
	s.cluster.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		s.statementCount++
		id := fmt.Sprintf("%s.%d", s.name, s.statementCount)
		s.cluster.fleet.RecordSent(id, time.Now(), true)
		if got, _, ok := s.query(id, "WRITE 1 x"); ok && got == code {
			return id
		}
	}
	s.cluster.t.Fatalf("no write has failed with code %s within 10 s", code)
	return ""
}

// TestOperations follows the steps of docs/OPERATIONS.md from the id of a failed
// request to its cause, in the log lines of real host processes.
func TestOperations(t *testing.T) {
	binary := buildHost(t)
	t.Cleanup(func() { _ = os.Remove(binary) })
	c := newCluster(t, 1, binary, 3)
	caller := c.connectCaller("ops", "primary")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		caller.statementCount++
		id := fmt.Sprintf("ops.%d", caller.statementCount)
		c.fleet.RecordSent(id, time.Now(), true)
		if code, _, ok := caller.query(id, "WRITE 1 x"); ok && code == "" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no write has succeeded within 10 s")
		}
	}
	for _, tt := range []struct {
		name string
		run  func(*cluster, *session)
	}{{"in doubt", checkInDoubt}, {"refused", checkRefused}, {"no database", checkNoDatabase}} {
		t.Run(tt.name, func(t *testing.T) {
			c.t, caller.cluster.t = t, t
			tt.run(c, caller)
		})
	}
}

// checkInDoubt drops the endpoint's reply to a write that it ran. The log lines have to
// lead from the request to the statement at the owner and to the suspected primary.
func checkInDoubt(c *cluster, caller *session) {
	for _, i := range c.instances {
		i.SetResponseLoss(100)
	}
	id := caller.writeUntilError("INDOUBT")
	for _, i := range c.instances {
		i.SetResponseLoss(0)
	}
	request := c.awaitLogLine("host-0", "request", "id", id, "outcome", "in doubt", "reason", "broken")
	owner, endpoint := request["owner"].(string), request["endpoint"].(string)
	c.awaitLogLine(owner, "statement ended without an answer", "id", id, "ran", "true", "endpoint", endpoint)
	c.awaitLogLine(owner, "primary suspected", "endpoint", endpoint) // because it has not answered
}

// checkRefused stops the replicas, so that none confirms the primary and its owner
// loses its authority. The log lines have to lead from the refused write to the replicas
// that the owner cannot connect to.
func checkRefused(c *cluster, caller *session) {
	for _, i := range c.instances[1:] {
		i.Crash()
	}
	id := caller.writeUntilError("BUSY")
	request := c.awaitLogLine("host-0", "request", "id", id, "outcome", "busy")
	if reason := request["reason"]; reason != "no authority" {
		c.t.Fatalf("request %s was refused with reason %q, want %q", id, reason, "no authority")
	}
	c.awaitLogLine(request["owner"].(string), "statement ended without an answer", "id", id, "ran", "false")
	// The owner cannot connect to the replicas that would confirm the primary.
	c.awaitLogLine(request["owner"].(string), "endpoint not connected", "endpoint", c.instances[1].ID)
	for _, i := range c.instances[1:] {
		if err := i.Restart(); err != nil {
			c.t.Error(err)
		}
	}
}

// checkNoDatabase connects to a database that does not exist. The log line of the
// refusal has to name the newest version of the configuration.
func checkNoDatabase(c *cluster, _ *session) {
	s := &session{cluster: &cluster{t: c.t, hosts: c.hosts[:1], fleet: c.fleet}, name: "none", rng: rand.New(rand.NewPCG(1, 1)), database: "none"}
	if s.connect() {
		c.t.Fatal("host 0 accepts a session with database \"none\", which does not exist")
	}
	line := c.awaitLogLine("host-0", "session refused", "database", "none", "reason", "no route")
	version := fmt.Sprint(line["config"])
	if version != fmt.Sprint(c.configVersion) {
		c.t.Fatalf("session was refused by configuration version %s, the newest is %d", version, c.configVersion)
	}
	c.awaitLogLine("host-0", "configuration in force", "version", version)
}
