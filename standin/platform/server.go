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
	store    *store
	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc
	ctx      context.Context
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
	s := &Server{store: h.store, listener: listener, stop: stop, ctx: inner}
	s.http = &http.Server{
		Handler: s.withFaults(generated), ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return inner },
	}
	go s.store.run(inner)
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// URL returns the API's base URL.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close ends all calls.
func (s *Server) Close() {
	_ = s.http.Close()
	s.stop()
}

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
	changed chan struct{}
}

func (s *Server) state() state {
	st, _ := ask(s.ctx, s.store, func() state { return state{s.store.faults, s.store.changed} })
	return st
}

// withFaults applies the faults in force to each call.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.pass(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go s.cancelWhenDown(ctx, cancel)
		answer := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(answer, r.WithContext(ctx))
		faults := s.state().faults
		if faults.Down || (faults.LoseAnswers && r.Method != http.MethodGet) {
			panic(http.ErrAbortHandler)
		}
		answer.copyTo(w)
	})
}

// pass waits for the delay in force and reports whether the platform is up.
func (s *Server) pass(ctx context.Context) bool {
	st := s.state()
	if st.faults.Delay > 0 {
		timer := time.NewTimer(st.faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
		st = s.state()
	}
	return !st.faults.Down
}

// cancelWhenDown ends a call that waits when the platform goes down.
func (s *Server) cancelWhenDown(ctx context.Context, cancel context.CancelFunc) {
	for {
		st := s.state()
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
