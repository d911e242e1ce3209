package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// applyBound is configApplyMs of the deployments with tenants, and pause the time that the client leaves between two
	// statements of its transaction. A transaction has 12 statements at most.
	applyBound    = 5 * time.Second
	pause         = 900 * time.Millisecond
	maxStatements = 12
)

// movedKey moves a client's key from one tenant to another by one version of the configuration, while
// the client has a transaction open. No statement that is sent later than the bound after the
// acknowledgement may run for the first tenant.
func movedKey(e *environment) (bool, error) {
	var s *service
	st, err := startStore(e.rec, func(_, id string) int { return s.promote(id) })
	if err != nil {
		return false, err
	}
	version := 1
	configure := func(first, second []string) {
		version += 3
		st.put("config", "main", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "r-slots", "host": "slots", "pathPrefix": "/", "type": "primary", "timeoutMs": 800, "targetLatencyMs": 150,
				"priority": 0, "service": "booking", "attempts": 2,
			}},
			"services": []any{map[string]any{"name": "booking", "maxConns": 47, "syncReplicas": 0}},
			"limits":   map[string]any{"txIdleMs": 3000},
			"tenants": []any{
				map[string]any{"name": "tenant-one", "apiKeys": first, "ratePerS": 100, "burst": 100},
				map[string]any{"name": "tenant-two", "apiKeys": second, "ratePerS": 100, "burst": 100},
			},
		})
		e.rec.add("operator: version %d, keys of tenant-one %v, of tenant-two %v, acknowledged", version, first, second)
	}
	configure([]string{"key-a", "key-c"}, []string{"key-b"})
	s = &service{name: "booking", lag: usualLag, store: st, rec: e.rec}
	var mu sync.Mutex
	ranFor := map[string]string{}
	s.onRun = func(id, who string) {
		mu.Lock()
		defer mu.Unlock()
		ranFor[id] = who
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for n, zone := range zones {
		if _, err := s.add(fmt.Sprintf("i-%d", n), zone, n == 0); err != nil {
			return false, err
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
	time.Sleep(6 * time.Second) // all machines are in touch
	c, err := connectAs(e.rec, "c", hosts[1].frontend, "slots", "key-a")
	if err != nil {
		return false, err
	}
	defer func() { _ = c.conn.Close() }()
	for _, text := range []string{"BEGIN", "READ 1a4"} {
		if a, err := c.query(text); err != nil || a.code != "" {
			return false, fmt.Errorf("%s: %v %s", text, err, a.code)
		}
	}
	if e.trouble {
		configure([]string{"key-c"}, []string{"key-b", "key-a"})
	}
	acknowledged := time.Now()
	for range maxStatements - 2 {
		time.Sleep(pause)
		late := e.trouble && time.Since(acknowledged) > applyBound
		a, err := c.query("WRITE 1a4 x")
		if err != nil || a.code != "" {
			return false, nil // the transaction has ended
		}
		mu.Lock()
		who := ranFor[a.id]
		mu.Unlock()
		if late && who != "tenant-two" {
			e.rec.add("UNASKED: %s, sent %v after the acknowledgement, ran for %s, and the client's key is tenant-two's", a.id, time.Since(acknowledged).Round(time.Millisecond), who)
			return true, nil
		}
	}
	return false, nil
}
