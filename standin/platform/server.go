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
	Listener
	store *store
	// fallback serves the calls that are not the store's; nil for none.
	fallback http.Handler
	stop     context.CancelFunc
	ctx      context.Context
}

// Start listens on an address. Calls that are not the store's go to other, past all
// faults; nil answers them with 404.
func Start(ctx context.Context, address string, fallback http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	if fallback == nil {
		fallback = http.NotFoundHandler()
	}
	inner, stop := context.WithCancel(context.Background())
	s := &Server{store: newStore(), fallback: fallback, stop: stop, ctx: inner}
	go s.store.run(inner)
	s.serve(listener, &s.Listener)
	return s, nil
}

// serve serves calls that arrive through a door.
func (s *Server) serve(listener net.Listener, d *Listener) {
	*d = Listener{server: s, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc(objectsPath, func(w http.ResponseWriter, r *http.Request) { s.serveWithFaults(w, r, d) })
	mux.Handle("/", s.fallback)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return s.ctx },
	}
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// AddListener listens on one more address.
func (s *Server) AddListener(ctx context.Context, address string) (*Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	d := &Listener{}
	s.serve(listener, d)
	return d, nil
}

// Listener is one address of the stand-in. Traffic through it can be cut.
type Listener struct {
	server   *Server
	listener net.Listener
	// cut belongs to the store's goroutine.
	cut bool
}

// Address returns where the door listens, HOST:PORT.
func (d *Listener) Address() string { return d.listener.Addr().String() }

// SetCut holds all calls of the store through the door, or lets them pass.
func (d *Listener) SetCut(cut bool) {
	d.server.updateStore(func(s *store) {
		d.cut = cut
		s.notifyFaultChange()
	})
}

// Close ends all calls.
func (s *Server) Close() { s.stop() }

// updateStore runs f on the store's goroutine.
func (s *Server) updateStore(f func(*store)) {
	_, _ = runOnStore(s.ctx, s.store, func() bool { f(s.store); return true })
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.updateStore(func(st *store) { st.setFaults(f) }) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	faults, _ := runOnStore(s.ctx, s.store, func() Faults { return s.store.faults })
	return faults
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	counts, _ := runOnStore(s.ctx, s.store, func() Counts { return s.store.counts })
	return counts
}

// Put stores an object, new or not, past all faults. It panics for a value that has
// no encoding as JSON.
func (s *Server) Put(kind, name string, value any) Object {
	spec, err := json.Marshal(value)
	if err != nil {
		panic("platform stand-in: " + err.Error())
	}
	object, _ := runOnStore(s.ctx, s.store, func() Object {
		defer s.store.completeWatches()
		return s.store.objects.overwrite(objectKey{kind, name}, spec)
	})
	return object
}

// Delete removes an object, past all faults.
func (s *Server) Delete(kind, name string) {
	s.updateStore(func(st *store) {
		st.objects.remove(objectKey{kind, name}, 0)
		st.completeWatches()
	})
}

// Compact makes the store forget its history.
func (s *Server) Compact() {
	s.updateStore(func(st *store) {
		st.objects.compact()
		st.completeWatches()
	})
}

// faultState is what a call needs to know of the faults.
type faultState struct {
	faults  Faults
	cut     bool
	changed chan struct{}
}

func (s *Server) currentFaults(d *Listener) faultState {
	st, _ := runOnStore(s.ctx, s.store, func() faultState { return faultState{s.store.faults, d.cut, s.store.faultChange} })
	return st
}

// serveWithFaults applies the faults in force to a call.
func (s *Server) serveWithFaults(w http.ResponseWriter, r *http.Request, d *Listener) {
	switch faults := s.waitDelayAndCut(r.Context(), d); {
	case faults.Unresponsive:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.Down:
		panic(http.ErrAbortHandler)
	case faults.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go s.cancelOnDown(ctx, cancel, d)
	buffered := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	s.serveObjects(buffered, r.WithContext(ctx))
	dropped := false
	if r.Method != http.MethodGet {
		dropped, _ = runOnStore(s.ctx, s.store, s.store.countWrite)
	}
	if dropped {
		<-r.Context().Done()
	}
	if dropped || s.waitWhileCut(r.Context(), d).Down {
		panic(http.ErrAbortHandler)
	}
	buffered.copyTo(w)
}

// waitDelayAndCut waits for the delay in force and the end of a cut, and returns the faults
// that then hold.
func (s *Server) waitDelayAndCut(ctx context.Context, d *Listener) Faults {
	if delay := s.currentFaults(d).faults.Delay; delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.waitWhileCut(ctx, d)
}

// waitWhileCut waits until the door is not cut, and returns the faults that then hold;
// a call whose caller has gone meanwhile gets no answer.
func (s *Server) waitWhileCut(ctx context.Context, d *Listener) Faults {
	for {
		st := s.currentFaults(d)
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

// cancelOnDown ends a call that waits when the store goes down.
func (s *Server) cancelOnDown(ctx context.Context, cancel context.CancelFunc, d *Listener) {
	for {
		st := s.currentFaults(d)
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

// bufferedResponse holds an answer back until it is known whether it is lost.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the answer's header.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader sets the answer's status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends to the answer's body.
func (b *bufferedResponse) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (b *bufferedResponse) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}
