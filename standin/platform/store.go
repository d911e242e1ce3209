package platform

import (
	"context"
	"slices"
	"time"

	api "baobabfield.example/api/platform"
)

// Faults are the faults in force; the zero value is none.
type Faults struct {
	// Down closes every call's connection without an answer.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers closes the connection after a write has taken effect.
	LoseAnswers bool
	// StaleReads answers reads other than watches from the state at the time
	// when the fault began.
	StaleReads bool
	// HostLag is how long a change of the host list stays unseen.
	HostLag time.Duration
}

// Counts is the number of calls by type.
type Counts struct {
	Get, Put, Delete, List, Watch, Hosts int
}

// store owns the objects, the host list and the faults. Its methods run on
// its own goroutine only.
type store struct {
	inbox   chan func()
	objects *objects
	// stale is what reads are answered from under StaleReads.
	stale *objects
	hosts *api.HostList
	// hostChanges numbers the changes of the host list; hostsShown is the
	// newest one that callers see.
	hostChanges, hostsShown int
	faults                  Faults
	counts                  Counts
	watches                 []*watch
	// changed is closed when the faults change.
	changed chan struct{}
}

// watch is a call that waits for a change.
type watch struct {
	kinds  []string
	after  uint64
	answer chan *api.ObjectList
}

func newStore() *store {
	return &store{
		inbox: make(chan func()), objects: newObjects(), changed: make(chan struct{}),
		hosts: &api.HostList{Hosts: []api.Host{}, Endpoints: []api.Endpoint{}},
	}
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

// readable returns the objects that reads are answered from.
func (s *store) readable() *objects {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}

func (s *store) put(k key, ifVersion uint64, value []byte, deleted bool) (*api.Object, error) {
	object, err := s.objects.put(k, ifVersion, value, deleted)
	if err == nil {
		s.wakeWatches()
	}
	return object, err
}

func (s *store) startWatch(w *watch) {
	s.watches = append(s.watches, w)
	s.wakeWatches()
}

func (s *store) endWatch(w *watch) {
	s.watches = slices.DeleteFunc(s.watches, func(other *watch) bool { return other == w })
}

func (s *store) wakeWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool {
		list := s.objects.list(w.kinds, w.after)
		if len(list.Objects) == 0 {
			return false
		}
		w.answer <- list
		return true
	})
}

// publishHosts shows a host list unless a newer one is shown already.
func (s *store) publishHosts(number int, list *api.HostList) {
	if number > s.hostsShown {
		s.hostsShown, s.hosts = number, list
	}
}

func (s *store) setFaults(f Faults) {
	if !f.StaleReads {
		s.stale = nil
	} else if s.stale == nil {
		s.stale = s.objects.clone()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}
