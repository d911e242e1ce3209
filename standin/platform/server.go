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
	// objectsPath is the URL path prefix of requests to the object store.
	objectsPath = "/objects/"
	// readHeaderTimeout bounds the time for reading a request's header.
	readHeaderTimeout = 10 * time.Second
)

// Server is one running stand-in of the platform.
type Server struct {
	Listener
	store *store
	// fallback serves the requests that are not for the object store.
	fallback http.Handler
	stop     context.CancelFunc
	ctx      context.Context
}

// Start listens on an address. Requests that are not for the object store go to
// fallback and are not subject to faults. If fallback is nil, they get status 404.
func Start(ctx context.Context, address string, fallback http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform stand-in")
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

// serve initializes l and serves the requests that arrive on a socket.
func (s *Server) serve(socket net.Listener, l *Listener) {
	*l = Listener{server: s, socket: socket}
	mux := http.NewServeMux()
	mux.HandleFunc(objectsPath, func(w http.ResponseWriter, r *http.Request) { s.serveWithFaults(w, r, l) })
	mux.Handle("/", s.fallback)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return s.ctx },
	}
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(socket) }()
}

// AddListener listens on one more address.
func (s *Server) AddListener(ctx context.Context, address string) (*Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform stand-in")
	}
	l := &Listener{}
	s.serve(listener, l)
	return l, nil
}

// Listener is one address of the stand-in. Its traffic can be cut.
type Listener struct {
	server *Server
	socket net.Listener
	// cut is owned by the store's goroutine.
	cut bool
}

// Address returns the listening address as HOST:PORT.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// SetCut holds all object store requests on the listener, or releases them.
func (l *Listener) SetCut(cut bool) {
	l.server.updateStore(func(s *store) {
		l.cut = cut
		s.notifyFaultChange()
	})
}

// Close ends all requests and stops the stand-in.
func (s *Server) Close() { s.stop() }

// updateStore runs f on the store's goroutine and waits for it.
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

// Counts returns the number of requests so far, by type.
func (s *Server) Counts() Counts {
	counts, _ := runOnStore(s.ctx, s.store, func() Counts { return s.store.counts })
	return counts
}

// Put creates or replaces an object without regard to faults. It panics if the value
// cannot be encoded as JSON.
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

// Delete removes an object without regard to faults.
func (s *Server) Delete(kind, name string) {
	s.updateStore(func(st *store) {
		st.objects.remove(objectKey{kind, name}, 0)
		st.completeWatches()
	})
}

// Compact discards the store's change history.
func (s *Server) Compact() {
	s.updateStore(func(st *store) {
		st.objects.compact()
		st.completeWatches()
	})
}

// Backup is a copy of the store's objects.
type Backup struct{ objects *objects }

// Backup returns a copy of the current objects.
func (s *Server) Backup() Backup {
	objects, _ := runOnStore(s.ctx, s.store, func() *objects { return s.store.objects.clone() })
	return Backup{objects}
}

// Restore replaces the objects by a copy and begins the next era. What was written since the
// copy was made is lost, and its revisions are assigned again.
func (s *Server) Restore(b Backup) {
	s.updateStore(func(st *store) {
		era := st.objects.era + 1
		st.objects = b.objects.clone()
		st.objects.era = era
		st.completeWatches()
	})
}

// faultState is the faults and the cut that apply to a request. Its channel is closed
// when they change.
type faultState struct {
	faults  Faults
	cut     bool
	changed chan struct{}
}

func (s *Server) currentFaults(l *Listener) faultState {
	st, _ := runOnStore(s.ctx, s.store, func() faultState { return faultState{s.store.faults, l.cut, s.store.faultChange} })
	return st
}

// serveWithFaults serves an object store request subject to the faults in force.
func (s *Server) serveWithFaults(w http.ResponseWriter, r *http.Request, l *Listener) {
	switch faults := s.waitDelayAndCut(r.Context(), l); {
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
	go s.cancelOnDown(ctx, cancel, l)
	buffered := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	s.serveObjects(buffered, r.WithContext(ctx))
	dropped := false
	if r.Method != http.MethodGet {
		dropped, _ = runOnStore(s.ctx, s.store, s.store.countWrite)
	}
	if dropped {
		<-r.Context().Done()
	}
	if dropped || s.waitWhileCut(r.Context(), l).Down {
		panic(http.ErrAbortHandler)
	}
	buffered.copyTo(w)
}

// waitDelayAndCut waits for the delay in force and then until the listener is not
// cut. It returns the faults in force after that.
func (s *Server) waitDelayAndCut(ctx context.Context, l *Listener) Faults {
	if delay := s.currentFaults(l).faults.Delay; delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.waitWhileCut(ctx, l)
}

// waitWhileCut waits until the listener is not cut and returns the faults in force
// after that. If the client disconnects first, Down is set in the result, so that the
// request gets no response.
func (s *Server) waitWhileCut(ctx context.Context, l *Listener) Faults {
	for {
		st := s.currentFaults(l)
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

// cancelOnDown cancels a waiting request when the store goes down.
func (s *Server) cancelOnDown(ctx context.Context, cancel context.CancelFunc, l *Listener) {
	for {
		st := s.currentFaults(l)
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

// bufferedResponse holds a response until it is decided whether to drop it.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the response header.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader sets the response status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends to the response body.
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
