package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// objectsPath is where the store's calls arrive.
	objectsPath = "/objects/"
	// readHeaderTimeout bounds the reading of a call's header.
	readHeaderTimeout = 10 * time.Second
)

// Server is one running stand-in.
type Server struct {
	Door
	store *store
	// other serves the calls that are not the store's; nil for none.
	other http.Handler
	stop  context.CancelFunc
	ctx   context.Context
}

// Start listens on an address. Calls that are not the store's go to other, past all
// faults; nil answers them with 404.
func Start(ctx context.Context, address string, other http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	if other == nil {
		other = http.NotFoundHandler()
	}
	inner, stop := context.WithCancel(context.Background())
	s := &Server{store: newStore(), other: other, stop: stop, ctx: inner}
	go s.store.run(inner)
	s.serve(listener, &s.Door)
	return s, nil
}

// serve serves calls that arrive through a door.
func (s *Server) serve(listener net.Listener, d *Door) {
	*d = Door{server: s, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc(objectsPath, func(w http.ResponseWriter, r *http.Request) { s.serveWithFaults(w, r, d) })
	mux.Handle("/", s.other)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return s.ctx },
	}
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// AddDoor listens on one more address.
func (s *Server) AddDoor(ctx context.Context, address string) (*Door, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	d := &Door{}
	s.serve(listener, d)
	return d, nil
}

// Door is one address of the stand-in. Traffic through it can be cut.
type Door struct {
	server   *Server
	listener net.Listener
	// cut belongs to the store's goroutine.
	cut bool
}

// Address returns where the door listens, HOST:PORT.
func (d *Door) Address() string { return d.listener.Addr().String() }

// SetCut holds all calls of the store through the door, or lets them pass.
func (d *Door) SetCut(cut bool) {
	d.server.change(func(s *store) {
		d.cut = cut
		s.faultsChanged()
	})
}

// Close ends all calls.
func (s *Server) Close() { s.stop() }

// change runs f on the store's goroutine.
func (s *Server) change(f func(*store)) {
	_, _ = ask(s.ctx, s.store, func() bool { f(s.store); return true })
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.change(func(st *store) { st.setFaults(f) }) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	faults, _ := ask(s.ctx, s.store, func() Faults { return s.store.faults })
	return faults
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	counts, _ := ask(s.ctx, s.store, func() Counts { return s.store.counts })
	return counts
}

// Put stores an object, new or not, past all faults. It panics for a value that has
// no encoding as JSON.
func (s *Server) Put(kind, name string, value any) Object {
	spec, err := json.Marshal(value)
	if err != nil {
		panic("platform stand-in: " + err.Error())
	}
	object, _ := ask(s.ctx, s.store, func() Object {
		defer s.store.wakeWatches()
		return s.store.objects.store(key{kind, name}, spec)
	})
	return object
}

// Delete removes an object, past all faults.
func (s *Server) Delete(kind, name string) {
	s.change(func(st *store) {
		st.objects.remove(key{kind, name}, 0)
		st.wakeWatches()
	})
}

// Compact makes the store forget its history.
func (s *Server) Compact() {
	s.change(func(st *store) {
		st.objects.compact()
		st.wakeWatches()
	})
}

// state is what a call needs to know of the faults.
type state struct {
	faults  Faults
	cut     bool
	changed chan struct{}
}

func (s *Server) state(d *Door) state {
	st, _ := ask(s.ctx, s.store, func() state { return state{s.store.faults, d.cut, s.store.changed} })
	return st
}

// serveWithFaults applies the faults in force to a call.
func (s *Server) serveWithFaults(w http.ResponseWriter, r *http.Request, d *Door) {
	switch faults := s.enter(r.Context(), d); {
	case faults.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.Down:
		panic(http.ErrAbortHandler)
	case faults.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go s.cancelWhenDown(ctx, cancel, d)
	held := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
	s.serveObjects(held, r.WithContext(ctx))
	lost := false
	if r.Method != http.MethodGet {
		lost, _ = ask(s.ctx, s.store, s.store.losesAnswer)
	}
	if lost {
		<-r.Context().Done()
	}
	if lost || s.waitUncut(r.Context(), d).Down {
		panic(http.ErrAbortHandler)
	}
	held.copyTo(w)
}

// enter waits for the delay in force and the end of a cut, and returns the faults
// that then hold.
func (s *Server) enter(ctx context.Context, d *Door) Faults {
	if delay := s.state(d).faults.Delay; delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.waitUncut(ctx, d)
}

// waitUncut waits until the door is not cut, and returns the faults that then hold;
// a call whose caller has gone meanwhile gets no answer.
func (s *Server) waitUncut(ctx context.Context, d *Door) Faults {
	for {
		st := s.state(d)
		if ctx.Err() != nil {
			st.faults.Down = true
			return st.faults
		}
		if !st.cut {
			return st.faults
		}
		select {
		case <-st.changed:
		case <-ctx.Done():
		}
	}
}

// cancelWhenDown ends a call that waits when the store goes down.
func (s *Server) cancelWhenDown(ctx context.Context, cancel context.CancelFunc, d *Door) {
	for {
		st := s.state(d)
		if st.faults.Down {
			cancel()
			return
		}
		select {
		case <-st.changed:
		case <-ctx.Done():
			return
		}
	}
}

// bufferedAnswer holds an answer back until it is known whether it is lost.
type bufferedAnswer struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the answer's header.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader sets the answer's status.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write appends to the answer's body.
func (b *bufferedAnswer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (b *bufferedAnswer) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}
