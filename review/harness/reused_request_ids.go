package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The figures of playReusedRequestIDs.
const (
	// victimSessions sessions are connected to the host that is killed, and otherSessions to each
	// of the other two. The site has 296 sessions, and the share of a host is uneven.
	victimSessions = 180
	otherSessions  = 58
	// browseWork is the time that an instance needs for a read.
	browseWork = 30 * time.Millisecond
	// killAfter is the time from the arrival of the callers to the kill, restartDelay that from
	// the kill to the restart, and playTime that for which the callers send.
	killAfter    = 150 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	playTime     = 8 * time.Second
)

// outcome collects what the callers of a case have seen.
type outcome struct {
	mu       sync.Mutex
	served   int
	broken   []string
	failures int
	// refused holds the writes that were answered with a promise that nothing is kept.
	refused map[string]string
}

func (o *outcome) add(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// playReusedRequestIDs lets callers read and write through three hosts. With trouble, one host is
// killed once and restarted at once.
func playReusedRequestIDs(w *world, trouble bool) ([]string, error) {
	for k, zone := range []string{"sao-jose", "rio-grande", "pelotas"} {
		i, err := w.addInstance("i-"+zone, zone, k == 0)
		if err != nil {
			return nil, err
		}
		i.work = func(verb, _ string) time.Duration {
			if verb == "READ" {
				return browseWork
			}
			return 6 * time.Millisecond
		}
		if err := w.addHost("edge-"+zone+"-1", zone); err != nil {
			return nil, err
		}
	}
	w.storeConfig(7)
	if err := w.startAll(); err != nil {
		return nil, err
	}
	out := &outcome{refused: map[string]string{}}
	end := time.Now().Add(playTime)
	var wg sync.WaitGroup
	victim := w.hosts[2]
	for _, h := range w.hosts {
		sessions := otherSessions
		if h == victim {
			sessions = victimSessions
		}
		for k := range sessions {
			name := fmt.Sprintf("%s/%d", h.name, k)
			// A sixth of the sessions log rounds, the others browse.
			database, verb := databaseBounded, "READ"
			if k%6 == 0 {
				database, verb = databasePrimary, "WRITE"
			}
			wg.Go(func() { w.runOperations(out, name, h, database, verb, 0, end) })
		}
	}
	if trouble {
		time.Sleep(killAfter)
		victim.kill()
		time.Sleep(restartDelay)
		if err := victim.start(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	w.record.add("judge: %d operations served, %d failed", out.served, out.failures)
	out.broken = append(out.broken, w.checkWrites(out)...)
	if out.served < victimSessions {
		return nil, fmt.Errorf("only %d operations were served", out.served)
	}
	return out.broken, nil
}

// runOperations sends one statement after the other, each with a new id and after a pause. It
// connects again after the end of a connection.
func (w *world) runOperations(out *outcome, name string, h *host, database, verb string, pause time.Duration, end time.Time) {
	var c *client
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = w.connect(name, h.frontend, database); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		time.Sleep(pause)
		id, text := newID(), fmt.Sprintf("%s %x", verb, rand.IntN(2000))
		if verb == "WRITE" {
			text += " greased"
		}
		a, err := c.query(id, text)
		switch {
		case err != nil:
			c.close()
			c = nil
			out.add(func() { out.failures++ })
		case a.code != "":
			out.add(func() {
				out.failures++
				if isPromise(a.code) {
					out.refused[id] = a.code
				}
			})
			time.Sleep(100 * time.Millisecond)
		default:
			problem := w.checkAnswer(id, verb, a)
			out.add(func() {
				out.served++
				if problem != "" {
					out.broken = append(out.broken, problem)
				}
			})
		}
	}
	if c != nil {
		c.close()
	}
}

// checkAnswer compares a success with what the instances have run.
func (w *world) checkAnswer(id, verb string, a answer) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if a.signature != signature(i.id, id) {
			continue
		}
		if verb == "READ" && (len(a.rows) != 1 || a.rows[0] != "row-of-"+id) {
			break
		}
		return ""
	}
	return fmt.Sprintf("MIXED: %s %s is answered with rows %v and the signature %s of another statement", verb, id, a.rows, a.signature)
}

// checkWrites compares the writes that the instances have committed with what the callers were
// told.
func (w *world) checkWrites(out *outcome) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	commits := map[string]int{}
	for _, i := range w.instances {
		for _, r := range i.runs {
			if r.committed {
				commits[r.id]++
			}
		}
	}
	for id, n := range commits {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: write %s was committed %d times", id, n))
		}
		if code, ok := out.refused[id]; ok {
			broken = append(broken, fmt.Sprintf("REFUSED: write %s was committed, and its client was answered %s", id, code))
		}
	}
	return broken
}
