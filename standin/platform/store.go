package platform

import (
	"context"
	"slices"
	"time"
)

// Faults are the injected faults. The zero value means none.
type Faults struct {
	// Down closes the connection of every request without a response.
	Down bool
	// Unavailable answers every request with status 503.
	Unavailable bool
	// Unresponsive leaves every request without a response until the client disconnects.
	Unresponsive bool
	// Delay is added to the duration of every request.
	Delay time.Duration
	// DropResponseEvery drops the response to every n-th write, which still takes
	// effect: 1 drops all of them, 0 none.
	DropResponseEvery int
	// StaleReads answers reads that allow it from the state at the time when this
	// fault was set.
	StaleReads bool
}

// Counts is the number of requests by type.
type Counts struct {
	Get, List, Watch, Create, Replace, Delete int
}

// store owns the objects and the faults. Its methods run only on its own goroutine.
type store struct {
	inbox   chan func()
	objects *objects
	// staleObjects are the objects at the time when StaleReads was set. They are nil
	// without that fault.
	staleObjects *objects
	faults       Faults
	counts       Counts
	watches      []*pendingWatch
	// writeCount is the number of writes, for DropResponseEvery.
	writeCount int
	// faultChange is closed when the faults or a cut change.
	faultChange chan struct{}
}

// pendingWatch is a request that waits for a change.
type pendingWatch struct {
	kind          string
	sinceRevision uint64
	reply         chan response
}

func newStore() *store {
	return &store{inbox: make(chan func()), objects: newObjects(), faultChange: make(chan struct{})}
}

func (s *store) run(ctx context.Context) {
	for {
		select {
		case message := <-s.inbox:
			message()
		case <-ctx.Done():
			return
		}
	}
}

// runOnStore runs f on the store's goroutine and returns its result. It returns the
// context's error if the context ends before f starts.
func runOnStore[T any](ctx context.Context, s *store, f func() T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	select {
	case s.inbox <- func() { reply <- f() }:
		return <-reply, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// objectsForRead returns the objects that answer a read.
func (s *store) objectsForRead(allowStale bool) *objects {
	if allowStale && s.staleObjects != nil {
		return s.staleObjects
	}
	return s.objects
}

func (s *store) addWatch(w *pendingWatch) {
	s.watches = append(s.watches, w)
	s.completeWatches()
}

func (s *store) removeWatch(w *pendingWatch) {
	s.watches = slices.DeleteFunc(s.watches, func(other *pendingWatch) bool { return other == w })
}

// completeWatches answers and removes the watches whose kind has changed.
func (s *store) completeWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(w *pendingWatch) bool {
		_, changed := s.objects.changesSince(w.kind, w.sinceRevision)
		if changed {
			w.reply <- s.changesFor(w)
		}
		return changed
	})
}

// changesFor returns the response to a watch.
func (s *store) changesFor(w *pendingWatch) response {
	resp, _ := s.objects.changesSince(w.kind, w.sinceRevision)
	resp.era = s.objects.era
	return resp
}

func (s *store) setFaults(f Faults) {
	if !f.StaleReads {
		s.staleObjects = nil
	} else if s.staleObjects == nil {
		s.staleObjects = s.objects.clone()
	}
	s.faults = f
	s.notifyFaultChange()
}

// notifyFaultChange wakes the requests that wait for a change of faults or cuts.
func (s *store) notifyFaultChange() {
	close(s.faultChange)
	s.faultChange = make(chan struct{})
}

// countWrite counts a write and reports whether its response must be dropped.
func (s *store) countWrite() bool {
	s.writeCount++
	return s.faults.DropResponseEvery > 0 && s.writeCount%s.faults.DropResponseEvery == 0
}
