package platform

import (
	"context"
	"slices"
	"time"
)

// Faults are the faults in force; the zero value is none.
type Faults struct {
	// Down closes every call's connection without an answer.
	Down bool
	// Unavailable answers every call with 503.
	Unavailable bool
	// Unresponsive answers nothing; calls wait until their callers give up.
	Unresponsive bool
	// Delay is added to every call.
	Delay time.Duration
	// DropResponseEvery never answers every so many-th write, which takes effect; 1 loses the
	// answers of all writes, 0 of none.
	DropResponseEvery int
	// StaleReads answers reads that may be old from the state at the time when the
	// fault began.
	StaleReads bool
}

// Counts is the number of calls by type.
type Counts struct {
	Get, List, Watch, Create, Replace, Delete int
}

// store owns the objects and the faults. Its methods run on its own goroutine only.
type store struct {
	inbox   chan func()
	objects *objects
	// stale is what reads that may be old are answered from under StaleReads.
	stale   *objects
	faults  Faults
	counts  Counts
	watches []*pendingWatch
	// writeCount counts the writeCount, for LoseEvery.
	writeCount int
	// faultChange is closed when the faults change.
	faultChange chan struct{}
}

// pendingWatch is a call that waits for a change.
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

// runOnStore runs f on the store's goroutine and returns its result.
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

// objectsForRead returns the objects that a read is answered from.
func (s *store) objectsForRead(mayBeOld bool) *objects {
	if mayBeOld && s.stale != nil {
		return s.stale
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

// completeWatches answers the watches for which there is something new.
func (s *store) completeWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(w *pendingWatch) bool {
		a, changed := s.objects.changesSince(w.kind, w.sinceRevision)
		if changed {
			w.reply <- a
		}
		return changed
	})
}

func (s *store) setFaults(f Faults) {
	if !f.StaleReads {
		s.stale = nil
	} else if s.stale == nil {
		s.stale = s.objects.clone()
	}
	s.faults = f
	s.notifyFaultChange()
}

// notifyFaultChange wakes the calls that wait for the end of a fault.
func (s *store) notifyFaultChange() {
	close(s.faultChange)
	s.faultChange = make(chan struct{})
}

// countWrite counts a write and reports whether its answer is lost.
func (s *store) countWrite() bool {
	s.writeCount++
	return s.faults.DropResponseEvery > 0 && s.writeCount%s.faults.DropResponseEvery == 0
}
