package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// The figures of playReusedRequestIDs.
const (
	// sessions is the number of sessions at the host that is killed. The site has about 20 for each
	// machine. attempts is the number of attempts of a client.
	sessions = 20
	attempts = 3
	// killAfter is the time from the first statements to the kill, restartDelay that from the kill
	// to the restart, and freezeTime that for which the owner of the primary stands still.
	killAfter    = 150 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	freezeTime   = 1100 * time.Millisecond
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

// playReusedRequestIDs lets the callers of one host read and write at a primary whose owner is
// another host. With trouble, the owner is frozen for a moment, and the callers' host is killed and
// started again meanwhile. The callers repeat an operation that only reads.
func playReusedRequestIDs(w *world, trouble bool) ([]string, error) {
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
	// The only host in the data centre of the primary is the owner of the primary.
	owner, victim := w.hosts[0], w.hosts[2]
	if trouble {
		owner.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { owner.signal(syscall.SIGCONT) })
	}
	out := &outcome{refused: map[string]string{}}
	var wg sync.WaitGroup
	for k := range sessions {
		name, verb := fmt.Sprintf("%s/%d", victim.name, k), "READ"
		if k%5 == 0 {
			verb = "WRITE"
		}
		wg.Go(func() { w.runOperation(out, name, victim, verb) })
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
	time.Sleep(time.Second)
	w.record.add("judge: %d operations served, %d failed", out.served, out.failures)
	if out.served < sessions/2 {
		return nil, fmt.Errorf("only %d operations were served", out.served)
	}
	return append(out.broken, w.checkWrites(out)...), nil
}

// runOperation plays a client with one statement on the primary route. It repeats a read after a
// broken connection, with a new id. After a broken connection a write is not repeated, since it may
// have run: the client goes on with its next write.
func (w *world) runOperation(out *outcome, name string, h *host, verb string) {
	until := time.Now().Add(2500 * time.Millisecond)
	for n := 0; n < attempts && time.Now().Before(until); {
		c, err := w.connect(name, h.frontend, databasePrimary)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		n++
		id, text := newID(), fmt.Sprintf("%s %x", verb, rand.IntN(2000))
		if verb == "WRITE" {
			text += " greased"
		}
		a, err := c.query(id, text)
		c.close()
		if err == nil && a.code == "" {
			problem := w.checkAnswer(id, verb, a)
			out.add(func() {
				out.served++
				if problem != "" {
					out.broken = append(out.broken, problem)
				}
			})
			return
		}
		out.add(func() {
			out.failures++
			if isPromise(a.code) {
				out.refused[id] = a.code
			}
		})
	}
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
