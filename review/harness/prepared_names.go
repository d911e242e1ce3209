package main

import (
	"fmt"
	"strings"
	"time"
)

// executionsPerClient is the number of times that each client of playPreparedNames runs its prepared
// statement.
const executionsPerClient = 40

// playPreparedNames lets two clients prepare a statement each under the same name and run it by
// turns. With trouble, their shapes differ only in a blank.
func playPreparedNames(w *world, trouble bool) ([]string, error) {
	for k, zone := range []string{"sao-jose", "rio-grande", "pelotas"} {
		if _, err := w.addInstance("i-"+zone, zone, k == 0); err != nil {
			return nil, err
		}
		if err := w.addHost("edge-"+zone+"-1", zone); err != nil {
			return nil, err
		}
	}
	w.storeConfig(7)
	if err := w.startAll(); err != nil {
		return nil, err
	}
	shapes := []string{"READ rounds-of ramp", "READ rounds-of-ramp"}
	if trouble {
		shapes[1] = "READ rounds-of_ramp"
	}
	var clients []*client
	for k, shape := range shapes {
		c, err := w.connect(fmt.Sprintf("client-%d", k), w.hosts[k].frontend, databasePrimary)
		if err != nil {
			return nil, err
		}
		defer c.close()
		if a, err := c.query(newID(), "PREPARE s1 "+shape); err != nil || a.code != "" {
			return nil, fmt.Errorf("PREPARE is answered %q, %v", a.code, err)
		}
		clients = append(clients, c)
	}
	served := 0
	preparedBy := map[string]string{}
	for n := range executionsPerClient {
		for k, c := range clients {
			id := newID()
			preparedBy[id] = shapes[k]
			a, err := c.query(id, fmt.Sprintf("EXECUTE s1 %x", n))
			if err != nil {
				return nil, err
			}
			if a.code == "" {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	w.record.add("judge: %d of %d executions served", served, 2*executionsPerClient)
	if served < executionsPerClient {
		return nil, fmt.Errorf("only %d executions were served", served)
	}
	return w.checkShapes(preparedBy), nil
}

// checkShapes compares the shapes that the instances have run with those that the clients have
// prepared.
func (w *world) checkShapes(preparedBy map[string]string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	for _, i := range w.instances {
		for _, r := range i.runs {
			want, ok := preparedBy[r.id]
			if ok && strings.HasPrefix(r.text, "EXECUTE ") && r.shape != want {
				broken = append(broken, fmt.Sprintf("PINNED: %s was prepared as %q and instance %s ran it as %q", r.id, want, i.id, r.shape))
			}
		}
	}
	return broken
}
