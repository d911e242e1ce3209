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
	// Refuse answers every call with 503.
	Refuse bool
	// Silent answers nothing; calls wait until their callers give up.
	Silent bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseEvery never answers every so many-th write, which takes effect; 1 loses the
	// answers of all writes, 0 of none.
	LoseEvery int
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
	watches []*watch
	// writes counts the writes, for LoseEvery.
	writes int
	// changed is closed when the faults change.
	changed chan struct{}
}

// watch is a call that waits for a change.
type watch struct {
	kind  string
	since uint64
	reply chan answer
}

func newStore() *store {
	return &store{inbox: make(chan func()), objects: newObjects(), changed: make(chan struct{})}
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

// ask runs f on the store's goroutine and returns its result.
func ask[T any](ctx context.Context, s *store, f func() T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	select {
	case s.inbox <- func() { reply <- f() }:
		return <-reply, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// readable returns the objects that a read is answered from.
func (s *store) readable(mayBeOld bool) *objects {
	if mayBeOld && s.stale != nil {
		return s.stale
	}
	return s.objects
}

func (s *store) startWatch(w *watch) {
	s.watches = append(s.watches, w)
	s.wakeWatches()
}

func (s *store) endWatch(w *watch) {
	s.watches = slices.DeleteFunc(s.watches, func(other *watch) bool { return other == w })
}

// wakeWatches answers the watches for which there is something new.
func (s *store) wakeWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool {
		a, any := s.objects.events(w.kind, w.since)
		if any {
			w.reply <- a
		}
		return any
	})
}

func (s *store) setFaults(f Faults) {
	if !f.StaleReads {
		s.stale = nil
	} else if s.stale == nil {
		s.stale = s.objects.clone()
	}
	s.faults = f
	s.faultsChanged()
}

// faultsChanged wakes the calls that wait for the end of a fault.
func (s *store) faultsChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// losesAnswer counts a write and reports whether its answer is lost.
func (s *store) losesAnswer() bool {
	s.writes++
	return s.faults.LoseEvery > 0 && s.writes%s.faults.LoseEvery == 0
}
