package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// usualLag is that of the site's replicas, and replicaLag 100 times as much. It is in force at one
	// service for less than two seconds at a time.
	usualLag   = 20 * time.Millisecond
	replicaLag = 100 * usualLag
	// versionGap is the time between two versions of the configuration.
	versionGap = 330 * time.Millisecond
	attempts   = 5
)

// routeChange lets a session write while its route leads to one service, then to another one, and
// read once the route leads to the first service again. The read must see the first write.
func routeChange(e *environment) (bool, error) {
	services := map[string]*service{}
	st, err := startStore(e.rec, func(name, id string) int {
		if s := services[name]; s != nil {
			return s.promote(id)
		}
		return 409
	})
	if err != nil {
		return false, err
	}
	version := 1
	// configure writes a version in which the route of the database jobs leads to a service, or is
	// missing if that is empty.
	configure := func(service string) {
		version += 3
		routes := []any{ownWritesRoute("checks", "logs-a")}
		if service != "" {
			routes = append(routes, ownWritesRoute("jobs", service))
		}
		st.put("config", "main", map[string]any{
			"version": version,
			"routes":  []any{ownWritesRoute("jobs", service), ownWritesRoute("checks", "logs-a")},
			"services": []any{
				map[string]any{"name": "logs-a", "maxConns": 47, "syncReplicas": 0},
				map[string]any{"name": "logs-b", "maxConns": 47, "syncReplicas": 0},
			},
			"limits": map[string]any{"txIdleMs": 3000},
		})
		e.rec.add("operator: version %d, route of database jobs leads to %q, acknowledged", version, service)
	}
	configure("logs-a")
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for _, name := range []string{"logs-a", "logs-b"} {
		s := &service{name: name, lag: usualLag, store: st, rec: e.rec}
		services[name] = s
		for n, zone := range zones {
			if _, err := s.add(fmt.Sprintf("i-%s-%d", name, n), zone, n == 0); err != nil {
				return false, err
			}
		}
	}
	var hosts []*host
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	for _, zone := range zones {
		h, err := startHost(e.dir, e.binary, "edge-"+zone, zone, st.address(), &e.nextPort)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	// change removes the route and adds it again, to a service.
	change := func(service string) {
		for _, s := range []string{"", service} {
			if e.trouble {
				configure(s)
			}
			time.Sleep(versionGap)
		}
	}
	done := make(chan struct{})
	defer close(done)
	go readSteadily(e, hosts[1].frontend, done)
	time.Sleep(2 * replicaLag)
	setLag := func(lag time.Duration) {
		if !e.trouble {
			return
		}
		s := services["logs-a"]
		s.mu.Lock()
		s.lag = lag
		s.mu.Unlock()
		e.rec.add("replicas of logs-a apply commits after %v", lag)
	}
	reads := 0
	for n := range attempts {
		c, err := connect(e.rec, fmt.Sprintf("c%d", n), hosts[1].frontend, "jobs")
		if err != nil {
			e.rec.add("session not opened: %v", err)
			time.Sleep(time.Second)
			continue // an error breaks no rule
		}
		setLag(replicaLag)
		first, err := c.query("WRITE 1a4 one")
		if err != nil || first.code != "" {
			e.rec.add("first write not served: %v %s", err, first.code)
			setLag(usualLag)
			_ = c.conn.Close()
			time.Sleep(time.Second)
			continue // an error breaks no rule
		}
		firstService := serviceOf(services, first.signature)
		change("logs-b")
		if second, err := c.query("WRITE 1a4 two"); err != nil || second.code != "" {
			setLag(usualLag)
			_ = c.conn.Close()
			continue // the version is not in force yet, which the pages allow
		}
		change("logs-a")
		read, err := c.query("READ 1a4")
		setLag(usualLag)
		_ = c.conn.Close()
		if err != nil || read.code != "" {
			continue // an error breaks no rule
		}
		reads++
		// An instance appends its log's end to its answer.
		if serviceOf(services, read.signature) == firstService && before(read.position, first.position) {
			e.rec.add("STALE: read %s ran at log %s of %s, which lacks commit %s of write %s, acknowledged to the same session before", read.id, read.position, read.signature, first.position, first.id)
			return true, nil
		}
		time.Sleep(2 * replicaLag)
	}
	if reads == 0 {
		return false, fmt.Errorf("no read was answered")
	}
	return false, nil
}

// ownWritesRoute returns a route whose sessions read their own writes.
func ownWritesRoute(database, service string) map[string]any {
	return map[string]any{
		"name": "r-" + database, "host": database, "pathPrefix": "/", "type": "read_your_writes", "timeoutMs": 800, "targetLatencyMs": 250,
		"priority": 1, "service": service, "attempts": 2, "maxStalenessMs": 2500,
	}
}

// readSteadily is the usual load: another session reads 20 times a second.
func readSteadily(e *environment, address string, done <-chan struct{}) {
	c, err := connect(e.rec, "load", address, "checks")
	if err != nil {
		return
	}
	defer func() { _ = c.conn.Close() }()
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if _, err := c.query("READ 7"); err != nil {
			return
		}
	}
}

// serviceOf returns the service of the instance that has signed an answer.
func serviceOf(services map[string]*service, signature string) string {
	id, _, _ := strings.Cut(signature, ".")
	for name, s := range services {
		for _, i := range s.instances {
			if i.id == id {
				return name
			}
		}
	}
	return ""
}

// before reports whether a position is before another one.
func before(a, b string) bool { return parsePosition(a).less(parsePosition(b)) }
