package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/platform"
)

// readHeaderTimeout bounds the reading of a call's header.
const readHeaderTimeout = 10 * time.Second

// Server is one running stand-in.
type Server struct {
	Door
	store *store
	api   http.Handler
	stop  context.CancelFunc
	ctx   context.Context
}

// Start listens on an address and serves calls that carry the bearer token.
func Start(ctx context.Context, address, token string) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	h := handler{store: newStore(), token: token}
	generated, err := api.NewServer(h, h)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	inner, stop := context.WithCancel(context.Background())
	s := &Server{store: h.store, api: generated, stop: stop, ctx: inner}
	go s.store.run(inner)
	s.serve(listener, &s.Door)
	return s, nil
}

// serve serves calls that arrive through a door.
func (s *Server) serve(listener net.Listener, d *Door) {
	*d = Door{server: s, listener: listener}
	server := &http.Server{
		Handler: s.withFaults(d), ReadHeaderTimeout: readHeaderTimeout,
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

// URL returns the API's base URL.
func (d *Door) URL() string { return "http://" + d.listener.Addr().String() }

// SetCut holds all calls through the door, or lets them pass.
func (d *Door) SetCut(cut bool) {
	s := d.server.store
	d.server.change(func() {
		d.cut = cut
		s.setFaults(s.faults)
	})
}

// Close ends all calls.
func (s *Server) Close() { s.stop() }

// change runs f on the store's goroutine.
func (s *Server) change(f func()) {
	_, _ = ask(s.ctx, s.store, func() bool { f(); return true })
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.change(func() { s.store.setFaults(f) }) }

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

// SetHosts changes the list of hosts, which callers see after HostLag.
func (s *Server) SetHosts(list *api.HostList) {
	var number int
	s.change(func() {
		s.store.hostChanges++
		number = s.store.hostChanges
	})
	publish := func() { s.change(func() { s.store.publishHosts(number, list) }) }
	if lag := s.Faults().HostLag; lag > 0 {
		time.AfterFunc(lag, publish)
		return
	}
	publish()
}

// Put writes an object if it has the expected version, past all faults.
func (s *Server) Put(kind, name string, ifVersion uint64, value []byte) (*api.Object, error) {
	return call(s.ctx, s.store, func() (*api.Object, error) {
		return s.store.put(key{kind, name}, ifVersion, value, false)
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

// withFaults applies the faults in force to each call.
func (s *Server) withFaults(d *Door) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.pass(r.Context(), d) {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go s.cancelWhenDown(ctx, cancel, d)
		answer := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		s.api.ServeHTTP(answer, r.WithContext(ctx))
		faults := s.state(d).faults
		if !s.waitUncut(r.Context(), d) || faults.Down || (faults.LoseAnswers && r.Method != http.MethodGet) {
			panic(http.ErrAbortHandler)
		}
		answer.copyTo(w)
	})
}

// pass waits for the delay in force and the end of a cut, and reports whether
// the platform is up.
func (s *Server) pass(ctx context.Context, d *Door) bool {
	if delay := s.state(d).faults.Delay; delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	return s.waitUncut(ctx, d) && !s.state(d).faults.Down
}

// waitUncut waits until the door is not cut and reports whether it is open.
func (s *Server) waitUncut(ctx context.Context, d *Door) bool {
	for {
		st := s.state(d)
		if !st.cut {
			return true
		}
		select {
		case <-st.changed:
		case <-ctx.Done():
			return false
		}
	}
}

// cancelWhenDown ends a call that waits when the platform goes down.
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
