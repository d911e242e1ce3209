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

// logLine is one line of a host's log.
type logLine map[string]any

// is reports whether a line has an event, and fields with certain values.
func (l logLine) is(event string, fields ...string) bool {
	if l["msg"] != event {
		return false
	}
	for i := 0; i+1 < len(fields); i += 2 {
		if fmt.Sprint(l[fields[i]]) != fields[i+1] {
			return false
		}
	}
	return true
}

// find waits for a line in the log of a host, or of all where it is empty.
func (c *cluster) find(host, event string, fields ...string) logLine {
	c.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range c.hosts {
			if host != "" && p.name != host {
				continue
			}
			for _, l := range p.log() {
				if l.is(event, fields...) {
					return l
				}
			}
		}
	}
	c.t.Fatalf("no line %q with %v at host %q", event, fields, host)
	return nil
}

// log returns the lines that the process has written.
func (p *process) log() []logLine {
	f, err := os.Open(p.settings + ".log")
	if err != nil {
		p.c.t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var out []logLine
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		l := logLine{}
		if json.Unmarshal(lines.Bytes(), &l) == nil {
			out = append(out, l)
		}
	}
	return out
}

// caller returns a session at host 0 that is connected to a database.
func (c *cluster) caller(name, database string) *session {
	c.t.Helper()
	s := &session{c: &cluster{t: c.t, hosts: c.hosts[:1], fleet: c.fleet}, name: name, rng: rand.New(rand.NewPCG(1, 1)), database: database}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.connect() {
			c.t.Cleanup(s.close)
			return s
		}
	}
	c.t.Fatalf("host 0 does not serve database %q", database)
	return nil
}

// fails sends a write until it ends with a code, and returns its id.
func (s *session) fails(code string) string {
	s.c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.n++
		id := fmt.Sprintf("%s.%d", s.name, s.n)
		s.c.fleet.RecordSent(id, time.Now(), true)
		if got, _, ok := s.ask(id, "WRITE 1 x"); ok && got == code {
			return id
		}
	}
	s.c.t.Fatalf("no write ends with %s", code)
	return ""
}

// The tests follow the steps of docs/OPERATIONS.md from the id of a failed request to
// its cause, with the lines that real processes wrote.
func TestOperations(t *testing.T) {
	binary := build(t)
	t.Cleanup(func() { _ = os.Remove(binary) })
	c := newCluster(t, 1, binary, 3)
	caller := c.caller("ops", "primary")
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		caller.n++
		id := fmt.Sprintf("ops.%d", caller.n)
		c.fleet.RecordSent(id, time.Now(), true)
		if code, _, ok := caller.ask(id, "WRITE 1 x"); ok && code == "" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no write succeeds")
		}
	}
	for _, play := range []struct {
		name string
		run  func(*cluster, *session)
	}{{"in doubt", inDoubt}, {"refused", refused}, {"no database", noDatabase}} {
		t.Run(play.name, func(t *testing.T) {
			c.t, caller.c.t = t, t
			play.run(c, caller)
		})
	}
}

// inDoubt: the endpoint ran the write and its answer was lost.
func inDoubt(c *cluster, caller *session) {
	for _, i := range c.instances {
		i.SetResponseLoss(100)
	}
	id := caller.fails("INDOUBT")
	for _, i := range c.instances {
		i.SetResponseLoss(0)
	}
	request := c.find("host-0", "request", "id", id, "outcome", "in doubt", "reason", "broken")
	owner, endpoint := request["owner"].(string), request["endpoint"].(string)
	c.find(owner, "statement ended without an answer", "id", id, "ran", "true", "endpoint", endpoint)
	c.find(owner, "primary suspected", "endpoint", endpoint) // it left every answer out
}

// refused: no replica confirms the primary, so that nobody may use it.
func refused(c *cluster, caller *session) {
	for _, i := range c.instances[1:] {
		i.Crash()
	}
	id := caller.fails("BUSY")
	request := c.find("host-0", "request", "id", id, "outcome", "busy")
	if reason := request["reason"]; reason != "no authority" {
		c.t.Fatalf("reason is %v", reason)
	}
	c.find(request["owner"].(string), "statement ended without an answer", "id", id, "ran", "false")
	// The replicas that should confirm are not reached.
	c.find(request["owner"].(string), "endpoint not connected", "endpoint", c.instances[1].ID)
	for _, i := range c.instances[1:] {
		if err := i.Restart(); err != nil {
			c.t.Error(err)
		}
	}
}

// noDatabase: the line names the version that decided, which is the newest one.
func noDatabase(c *cluster, _ *session) {
	s := &session{c: &cluster{t: c.t, hosts: c.hosts[:1], fleet: c.fleet}, name: "none", rng: rand.New(rand.NewPCG(1, 1)), database: "none"}
	if s.connect() {
		c.t.Fatal("a database that does not exist is served")
	}
	line := c.find("host-0", "session refused", "database", "none", "reason", "no route")
	version := fmt.Sprint(line["config"])
	if version != fmt.Sprint(c.version) {
		c.t.Fatalf("decided by configuration %s, the newest is %d", version, c.version)
	}
	c.find("host-0", "configuration in force", "version", version)
}
