package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/netopt"
	"baobabfield.example/wire/peerwire"
)

const (
	// inboxSize is the number of messages that wait for the gateway's task.
	inboxSize = 4096
	// probeTimeout bounds the wait for the task's answer to a readiness probe.
	probeTimeout = 800 * time.Millisecond
	// flushTimeout bounds the writing of the last answers at the end of a stop.
	flushTimeout = 400 * time.Millisecond
	// shutdownTimeout bounds the end of the HTTP servers and the log.
	shutdownTimeout = 300 * time.Millisecond
)

// Settings configure a gateway.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// CallerListen, ReadyListen, MetricsListen and MeshListen are HOST:PORT.
	CallerListen, ReadyListen, MetricsListen, MeshListen string
	// MeshAdvertise is the mesh address that other hosts use; empty for the one
	// listened on.
	MeshAdvertise string
	// Power is the host's processor in thousandths of a core; 0 where unknown.
	Power int
	// MaxCallers is the number of callers served at a time.
	MaxCallers int
	// Key authenticates hosts to each other.
	Key      []byte
	Codec    Codec
	Store    Store
	Promoter Promoter
	Decoder  proxy.Decoder
}

// Gateway owns a proxy machine and starts the tasks round it.
type Gateway struct {
	set     Settings
	logs    *Logs
	mesh    *mesh.Task
	machine *proxy.Machine
	inbox   chan any
	stopped chan struct{}

	// What follows belongs to the task of Run.
	callers   map[proxy.SessionID]chan<- []byte
	conns     map[pool.ConnID]*endpointConn
	links     map[types.Host]*link
	addresses map[types.Host]string
	encoder   *peerwire.Encoder
	// operators serves the metrics and the host API.
	operators http.Handler
	self      catalog.Host
	counters  map[string]*metrics.Counter
	histos    map[string]*metrics.Histogram
	// endWatches ends the watches of the store, which run while watching is set.
	endWatches context.CancelFunc
	watching   bool
	// writers counts the callers whose answers are not all written.
	writers int
	// later are events that the task sends to itself.
	later  []proxy.Event
	exited bool
}

// readyQuestion asks whether callers can be served.
type readyQuestion struct{ reply chan bool }

// New binds the sockets. Run serves them.
func New(ctx context.Context, set Settings, logs *Logs, now time.Time) (*Gateway, []net.Listener, error) {
	m, err := mesh.New(ctx, mesh.Settings{Host: set.Host, Listen: set.MeshListen, Key: set.Key}, zap.NewNop())
	if err != nil {
		return nil, nil, err
	}
	var listeners []net.Listener
	for _, address := range []string{set.CallerListen, set.ReadyListen, set.MetricsListen} {
		l, err := netopt.Listen(ctx, address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on %q", address)
		}
		listeners = append(listeners, l)
	}
	mesh := set.MeshAdvertise
	if mesh == "" {
		mesh = m.Address()
	}
	g := &Gateway{
		set: set, logs: logs, mesh: m,
		machine: proxy.New(proxy.Settings{
			Host: set.Host, DataCentre: set.DataCentre, Decoder: set.Decoder,
			MeshAddress: mesh, Started: now.UnixMilli(), Power: set.Power, Seed: random.Hash(uint64(now.UnixNano()), string(set.Host)),
		}),
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		callers: map[proxy.SessionID]chan<- []byte{}, conns: map[pool.ConnID]*endpointConn{},
		links: map[types.Host]*link{}, addresses: map[types.Host]string{}, encoder: peerwire.NewEncoder(),
		self:     catalog.Host{ID: set.Host, DataCentre: set.DataCentre, MeshAddress: mesh, StartedUnixMs: now.UnixMilli(), CPUMillicores: set.Power},
		counters: map[string]*metrics.Counter{}, histos: map[string]*metrics.Histogram{},
	}
	g.operators, err = g.operatorHandler()
	return g, listeners, err
}

// post sends a message to the gateway's task unless it has ended.
func (g *Gateway) post(msg any) { mailbox.Post(g.inbox, g.stopped, msg) }

// postLater keeps an event that the task itself has caused.
func (g *Gateway) postLater(ev proxy.Event) { g.later = append(g.later, ev) }

// Run serves until the machine has ended a planned stop, which stop requests
// with the time that it may take, or until the context ends.
func (g *Gateway) Run(ctx context.Context, listeners []net.Listener, stop <-chan time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(g.stopped)
	g.startTasks(ctx, listeners)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !g.exited {
		select {
		case <-ctx.Done():
			return
		case grace := <-stop:
			g.step(ctx, proxy.Stop{Grace: grace})
		case msg := <-g.inbox:
			g.handle(ctx, msg)
		case <-timer.C:
			g.step(ctx, proxy.Tick{})
		}
		timer.Reset(clock.Until(g.machine.NextWake()))
	}
	g.awaitWriters(ctx)
}

// awaitWriters waits a moment for the last answers to be written.
func (g *Gateway) awaitWriters(ctx context.Context) {
	for id := range g.callers {
		g.dropCaller(id)
	}
	limit := time.NewTimer(flushTimeout)
	defer limit.Stop()
	for g.writers > 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case msg := <-g.inbox:
			if _, ok := msg.(callerWritten); ok {
				g.writers--
			}
		}
	}
}

func (g *Gateway) startTasks(ctx context.Context, listeners []net.Listener) {
	go g.mesh.Run(ctx)
	go g.acceptLinks(ctx)
	go g.firstLists(ctx, g.set.Store)
	go g.register(ctx, g.set.Store, g.self)
	go g.acceptCallers(ctx, listeners[0])
	go serveHTTP(ctx, listeners[1], http.HandlerFunc(g.serveReady))
	go serveHTTP(ctx, listeners[2], g.operators)
	context.AfterFunc(ctx, func() { _ = listeners[0].Close() })
}

// handle turns a task's message into an event of the machine.
func (g *Gateway) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case platformMoved:
		g.set.Store, g.set.Promoter = m.store, m.promoter
		if g.watching {
			g.setWatching(ctx, false)
			g.setWatching(ctx, true)
		}
	case callerOpened:
		g.callers[m.session] = m.out
		g.writers++
	case callerWritten:
		g.writers--
	case readyQuestion:
		m.reply <- g.machine.Ready()
	case beliefsQuestion:
		g.answerBeliefs(m)
	case endpointReply:
		g.step(ctx, g.endpointReplied(m))
	case linkEnded:
		if ev := g.linkEnded(m); ev != nil {
			g.step(ctx, ev)
		}
	case proxy.CallerDisconnected:
		g.dropCaller(m.Session)
		g.step(ctx, m)
	case proxy.EndpointDisconnected:
		g.closeEndpoint(m.Conn)
		g.step(ctx, m)
	case proxy.EndpointRefused:
		g.closeEndpoint(m.Conn)
		g.step(ctx, m)
	case proxy.Event:
		g.step(ctx, m)
	}
}

// step gives the machine an event and carries out its effects.
func (g *Gateway) step(ctx context.Context, ev proxy.Event) {
	g.later = append(g.later, ev)
	for len(g.later) > 0 {
		next := g.later[0]
		g.later = g.later[1:]
		for _, e := range g.machine.Step(clock.Now(), next) {
			g.apply(ctx, e)
		}
	}
	g.later = nil
}

// apply carries out one effect without waiting for anything.
func (g *Gateway) apply(ctx context.Context, e proxy.Effect) {
	switch e := e.(type) {
	case proxy.CallerReady:
		g.answerCaller(e.Session, g.set.Codec.AppendReady(nil))
	case proxy.CallerReply:
		g.answerCaller(e.Session, g.set.Codec.AppendReply(nil, e.Reply))
	case proxy.CallerClose:
		g.answerCaller(e.Session, g.set.Codec.AppendClose(nil, e.Code, e.Text))
		g.dropCaller(e.Session)
	case proxy.PeerSend:
		g.sendPeer(ctx, e)
	case proxy.PeerClose:
		g.dropLink(e.Host)
	case proxy.EndpointDial:
		g.dialEndpoint(ctx, e)
	case proxy.EndpointSend:
		g.sendEndpoint(e.Conn, g.set.Codec.AppendCommand(nil, e.Command), false)
	case proxy.EndpointControlCommand:
		g.sendEndpoint(e.Conn, g.set.Codec.AppendOrder(nil, e.Op, e.Term), true)
	case proxy.EndpointClose:
		g.closeEndpoint(e.Conn)
	case proxy.Claim:
		go g.claim(ctx, g.set.Store, e)
	case proxy.Promote:
		go g.promote(ctx, g.set.Promoter, e)
	case proxy.ReadStore:
		go g.refresh(ctx, g.set.Store, e.Kind)
	case proxy.WatchStore:
		g.setWatching(ctx, e.On)
	case proxy.AnnounceLeaving:
		leaving := g.self
		leaving.Leaving = true
		go g.register(ctx, g.set.Store, leaving)
	case proxy.Exit:
		g.exited = true
	case proxy.Log:
		g.logs.Line(e)
	case proxy.Metric:
		g.count(e)
	}
}

// count adds to a counter or a histogram, which are looked up once.
func (g *Gateway) count(e proxy.Metric) {
	if e.Sample > 0 {
		h := g.histos[e.Name]
		if h == nil {
			h = metrics.GetOrCreateHistogram(e.Name)
			g.histos[e.Name] = h
		}
		h.Update(e.Sample.Seconds())
		return
	}
	c := g.counters[e.Name]
	if c == nil {
		c = metrics.GetOrCreateCounter(e.Name)
		g.counters[e.Name] = c
	}
	c.Inc()
}

// serveReady answers the platform's readiness probe.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), probeTimeout)
	defer cancel()
	q := readyQuestion{reply: make(chan bool, 1)}
	g.post(q)
	ready, answered := mailbox.Await(ctx, g.stopped, q.reply)
	if !answered || !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(end)
	})
	defer stop()
	_ = server.Serve(l)
}
