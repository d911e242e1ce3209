package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/intake"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/random"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/netopt"
	"baobabfield.example/wire/peerwire"
)

const (
	// inboxSize is the capacity of the gateway task's inbox in messages.
	inboxSize = 4096
	// taskReplyTimeout bounds the wait of an HTTP request for the gateway task's reply.
	taskReplyTimeout = 800 * time.Millisecond
	// callerFlushTimeout bounds the writing of the remaining replies at the end of a
	// planned stop.
	callerFlushTimeout = 400 * time.Millisecond
	// shutdownTimeout bounds the shutdown of an HTTP server.
	shutdownTimeout = 300 * time.Millisecond
)

// Settings configures a gateway.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// CallerListen, ReadyListen, MetricsListen and MeshListen are listen addresses of
	// the form HOST:PORT.
	CallerListen, ReadyListen, MetricsListen, MeshListen string
	// MeshAdvertise is the mesh address that other hosts connect to. If empty, the
	// listen address is advertised.
	MeshAdvertise string
	// CPUMillicores is the host's CPU capacity in thousandths of a core; 0 if unknown.
	CPUMillicores int
	// ConfigBound, LeavingBound and RemotePrice are those of proxy.Settings.
	ConfigBound, LeavingBound, RemotePrice time.Duration
	// MaxCallers limits the concurrent caller connections.
	MaxCallers int
	// Intake and Memory limit the memory that callers use.
	Intake intake.Limits
	Memory proxy.MemoryLimits
	// MessageTimeout bounds the time in which a caller finishes a message that it has started,
	// without the time for which the message waits unread, and ReplyTimeout the time in which it
	// reads a reply.
	MessageTimeout, ReplyTimeout time.Duration
	// ClusterKey is shared by all hosts. It authenticates them to each other.
	ClusterKey []byte
	Codec      Codec
	Store      Store
	Promoter   Promoter
	Decoder    proxy.Decoder
}

// Gateway owns a proxy machine and starts the tasks that do its input and output.
type Gateway struct {
	settings Settings
	logs     *LogWriter
	mesh     *mesh.Task
	machine  *proxy.Machine
	inbox    chan any
	stopped  chan struct{}

	// The fields below are used only by the task that executes Run.
	callerConns   map[proxy.SessionID]callerConn
	intake        *intake.Machine
	endpointConns map[pool.ConnID]*endpointConn
	peerLinks     map[types.Host]*link
	addresses     map[types.Host]string
	encoder       *peerwire.Encoder
	// diagnosticsHandler serves the metrics and the host API.
	diagnosticsHandler http.Handler
	hostRecord         catalog.Host
	counters           map[string]*metrics.Counter
	histograms         map[string]*metrics.Histogram
	// cancelWatches ends the store watches. It is valid while watching is set.
	cancelWatches context.CancelFunc
	watching      bool
	// cancelHostRecord ends the storing of the host's record.
	cancelHostRecord context.CancelFunc
	// activeWriters is the number of caller writers that have not ended.
	activeWriters int
	// queuedEvents holds events that the task has queued for the machine itself.
	queuedEvents []proxy.Event
	exited       bool
}

// readinessRequest queries whether callers can be served.
type readinessRequest struct{ reply chan bool }

// New binds the sockets of a gateway and returns the listeners to pass to Run. They are the
// listeners for callers, readiness probes and metrics. It returns an error if an address
// cannot be bound.
func New(ctx context.Context, settings Settings, logs *LogWriter, now time.Time) (*Gateway, []net.Listener, error) {
	m, err := mesh.New(ctx, mesh.Settings{Host: settings.Host, Listen: settings.MeshListen, ClusterKey: settings.ClusterKey}, zap.NewNop())
	if err != nil {
		return nil, nil, err
	}
	var listeners []net.Listener
	for _, address := range []string{settings.CallerListen, settings.ReadyListen, settings.MetricsListen} {
		l, err := netopt.Listen(ctx, address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on %q", address)
		}
		listeners = append(listeners, l)
	}
	meshAddress := settings.MeshAdvertise
	if meshAddress == "" {
		meshAddress = m.Address()
	}
	g := &Gateway{
		settings: settings, logs: logs, mesh: m,
		machine: proxy.New(proxy.Settings{
			Host: settings.Host, DataCentre: settings.DataCentre, Decoder: settings.Decoder,
			MeshAddress: meshAddress, StartedUnixMs: now.UnixMilli(), CPUMillicores: settings.CPUMillicores,
			ConfigBound: settings.ConfigBound, LeavingBound: settings.LeavingBound, RemotePrice: settings.RemotePrice, Seed: newSeed(now, settings.Host),
			Memory: settings.Memory,
		}),
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		callerConns: map[proxy.SessionID]callerConn{}, intake: intake.New(settings.Intake), endpointConns: map[pool.ConnID]*endpointConn{},
		peerLinks: map[types.Host]*link{}, addresses: map[types.Host]string{}, encoder: peerwire.NewEncoder(),
		hostRecord:       catalog.Host{ID: settings.Host, DataCentre: settings.DataCentre, MeshAddress: meshAddress, StartedUnixMs: now.UnixMilli(), CPUMillicores: settings.CPUMillicores, AuthorityRules: lead.AuthorityRules, WorkspaceRules: catalog.WorkspaceRules},
		cancelHostRecord: func() {},
		counters:         map[string]*metrics.Counter{}, histograms: map[string]*metrics.Histogram{},
	}
	g.diagnosticsHandler, err = g.newDiagnosticsHandler()
	return g, listeners, err
}

// newSeed returns a seed that no other process of the host has. The system's random numbers
// alone would do; the time stands in for them where the system repeats them.
func newSeed(now time.Time, h types.Host) uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return random.Hash(binary.LittleEndian.Uint64(b[:])^uint64(now.UnixNano()), string(h))
}

// post sends a message to the gateway's task unless the task has ended.
func (g *Gateway) post(msg any) { mailbox.Post(g.inbox, g.stopped, msg) }

// queueEvent queues an event that occurred within the gateway's task.
func (g *Gateway) queueEvent(ev proxy.Event) { g.queuedEvents = append(g.queuedEvents, ev) }

// Run serves until a planned stop is complete or the context ends. A grace period
// received from stop starts the planned stop.
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
			g.stepMachine(ctx, proxy.Stop{Grace: grace})
		case msg := <-g.inbox:
			g.handleMessage(ctx, msg)
		case <-timer.C:
			g.stepMachine(ctx, proxy.Tick{})
		}
		timer.Reset(clock.Until(g.machine.NextWake()))
	}
	g.awaitCallerWriters(ctx)
}

// awaitCallerWriters closes the queues of all callers and waits up to
// callerFlushTimeout for their replies to be written.
func (g *Gateway) awaitCallerWriters(ctx context.Context) {
	for id := range g.callerConns {
		g.closeCaller(id)
	}
	deadline := time.NewTimer(callerFlushTimeout)
	defer deadline.Stop()
	for g.activeWriters > 0 {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case msg := <-g.inbox:
			if _, ok := msg.(callerWriterDone); ok {
				g.activeWriters--
			}
		}
	}
}

func (g *Gateway) startTasks(ctx context.Context, listeners []net.Listener) {
	go g.mesh.Run(ctx)
	go g.acceptPeerStreams(ctx)
	go g.readInitialLists(ctx, g.settings.Store)
	g.startStoringHostRecord(ctx, false)
	go g.acceptCallers(ctx, listeners[0])
	go serveHTTP(ctx, listeners[1], http.HandlerFunc(g.serveReadiness))
	go serveHTTP(ctx, listeners[2], g.diagnosticsHandler)
	context.AfterFunc(ctx, func() { _ = listeners[0].Close() })
}

// handleMessage processes a message from another task. Most messages become an event
// of the machine.
func (g *Gateway) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case platformChanged:
		g.settings.Store, g.settings.Promoter = m.store, m.promoter
		if g.watching {
			g.setWatching(ctx, false)
			g.setWatching(ctx, true)
		}
	case callerAccepted, callerWriterDone, callerReserves, callerStatement, callerWrote:
		g.handleCallerMessage(ctx, m)
	case readinessRequest:
		m.reply <- g.machine.Ready()
	case debugStateRequest:
		g.replyDebugState(m)
	case explainRequest:
		g.replyExplanation(m)
	case endpointReply:
		g.stepMachine(ctx, g.decodeEndpointReply(m))
	case linkEnded:
		if ev := g.removeLink(m); ev != nil {
			g.stepMachine(ctx, ev)
		}
	case proxy.CallerStarted:
		g.intake.Start(intake.Caller(m.Session))
		g.stepMachine(ctx, m)
	case proxy.CallerDisconnected:
		g.closeCaller(m.Session)
		g.intake.ReaderDone(intake.Caller(m.Session))
		g.stepMachine(ctx, m)
	case proxy.EndpointDisconnected:
		g.closeEndpointConn(m.Conn)
		g.stepMachine(ctx, m)
	case proxy.EndpointDialFailed:
		g.closeEndpointConn(m.Conn)
		g.stepMachine(ctx, m)
	case proxy.Event:
		g.stepMachine(ctx, m)
	}
}

// stepMachine passes an event to the machine and applies the resulting effects,
// including those of events queued meanwhile.
func (g *Gateway) stepMachine(ctx context.Context, ev proxy.Event) {
	g.queueEvent(ev)
	g.processQueuedEvents(ctx)
}

// processQueuedEvents passes the queued events to the machine.
func (g *Gateway) processQueuedEvents(ctx context.Context) {
	for len(g.queuedEvents) > 0 {
		next := g.queuedEvents[0]
		g.queuedEvents = g.queuedEvents[1:]
		for _, e := range g.machine.Step(clock.Now(), next) {
			g.applyEffect(ctx, e)
		}
		g.applyIntakeDecisions()
	}
	g.queuedEvents = nil
}

// applyEffect applies one effect without blocking.
func (g *Gateway) applyEffect(ctx context.Context, e proxy.Effect) {
	switch e := e.(type) {
	case proxy.CallerReady, proxy.CallerReply, proxy.CallerDrain, proxy.CallerResume, proxy.CallerClose:
		g.applyCallerEffect(e)
	case proxy.PeerSend:
		g.sendToPeer(ctx, e)
	case proxy.PeerReopen:
		g.reopenLink(e.Host)
	case proxy.PeerClose:
		g.closeLink(e.Host)
	case proxy.EndpointDial:
		g.dialEndpoint(ctx, e)
	case proxy.EndpointSend:
		g.sendToEndpoint(e.Conn, g.settings.Codec.AppendCommand(nil, e.Command), false)
	case proxy.EndpointControlCommand:
		g.sendToEndpoint(e.Conn, g.settings.Codec.AppendControlCommand(nil, e.Op, e.Term), true)
	case proxy.EndpointClose:
		g.closeEndpointConn(e.Conn)
	case proxy.Claim:
		go g.claimLeadership(ctx, g.settings.Store, e)
	case proxy.Promote:
		go g.promoteEndpoint(ctx, g.settings.Promoter, e)
	case proxy.ReadStore:
		go g.refreshKind(ctx, g.settings.Store, e)
	case proxy.WatchStore:
		g.setWatching(ctx, e.On)
	case proxy.StoreHostRecord:
		g.startStoringHostRecord(ctx, e.Leaving)
	case proxy.Exit:
		g.exited = true
	case proxy.Log:
		g.logs.Enqueue(e)
	case proxy.Metric:
		g.recordMetric(e)
	}
}

// applyCallerEffect applies an effect that concerns a caller.
func (g *Gateway) applyCallerEffect(e proxy.Effect) {
	switch e := e.(type) {
	case proxy.CallerReady:
		g.sendToCaller(e.Session, g.settings.Codec.AppendReady(nil))
	case proxy.CallerReply:
		g.intake.Answer(intake.Caller(e.Session))
		g.sendToCaller(e.Session, g.settings.Codec.AppendReply(nil, e.Reply))
	case proxy.CallerDrain:
		if conn, ok := g.callerConns[e.Session]; ok {
			signalCaller(conn.drain)
		}
	case proxy.CallerResume:
		if conn, ok := g.callerConns[e.Session]; ok {
			signalCaller(conn.resume)
		}
	case proxy.CallerClose:
		if e.Code == statement.CodeMalformed {
			g.reportCallerClosed(e.Session, closedTooManyAhead)
		}
		g.sendToCaller(e.Session, g.settings.Codec.AppendClose(nil, e.Code, e.Text))
		g.closeCaller(e.Session)
	}
}

// recordMetric increments a counter or adds a histogram sample. Each metric is
// looked up once and cached.
func (g *Gateway) recordMetric(e proxy.Metric) {
	if e.Sample > 0 {
		h := g.histograms[e.Name]
		if h == nil {
			h = metrics.GetOrCreateHistogram(e.Name)
			g.histograms[e.Name] = h
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

// serveReadiness serves the platform's readiness probe.
func (g *Gateway) serveReadiness(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), taskReplyTimeout)
	defer cancel()
	req := readinessRequest{reply: make(chan bool, 1)}
	g.post(req)
	ready, answered := mailbox.Await(ctx, g.stopped, req.reply)
	if !answered || !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }

// serveHTTP serves HTTP requests until the context ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	_ = server.Serve(l)
}
