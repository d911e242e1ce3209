package host

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/node/caller"
	"baobabfield.example/node/conf"
	"baobabfield.example/node/events"
	"baobabfield.example/node/member"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/operator"
	"baobabfield.example/node/owner"
	"baobabfield.example/node/reach"
	"baobabfield.example/node/router"
	"baobabfield.example/wire/token"
)

const (
	// changeQueueLength is the capacity of each channel of changes to the coordinator.
	changeQueueLength = 64
	// maxTimelineEvents is the number of time line events that a host keeps.
	maxTimelineEvents = 8192
	// leavePropagationDelay is the time between the gossip of this host's leave and the
	// release of the endpoints that it owns. It lets the message reach the other hosts.
	leavePropagationDelay = time.Second
	// adminAnswerTimeout bounds the time that an admin call waits for the tasks.
	adminAnswerTimeout = 12 * time.Second
	// defaultRank is the rank of callers that specify none.
	defaultRank = types.Rank("normal")
)

// Numbers of the time line recorders. Each task that records events has its own.
const (
	recorderMember uint8 = iota
	recorderConf
	recorderNotes
	recorderAdmin
)

// Host holds the tasks of one process.
type Host struct {
	settings Settings
	log      *zap.Logger
	mesh     *mesh.Task
	member   *member.Task
	conf     *conf.Task
	metrics  []*metrics.Set
	events   *events.Task
	registry *owner.Registry
	router   *router.Task
	callers  *caller.Task
	notes    *noteRecorder
	payloads *payloadSender
	operator *operator.Task
	reach    *reach.Task
	admin    *admin.Server
	platform Platform

	memberChanges chan membership.Changed
	confChanges   chan config.Changed
	memberViews   chan membership.View
	coordinator   *coordinator

	cancel     context.CancelFunc
	cancelWork context.CancelFunc
	done       <-chan struct{}
}

// Start checks the settings, binds the sockets and starts the host's tasks. The
// tasks run until Stop or Kill.
func Start(settings Settings, log *zap.Logger) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	h := &Host{
		settings:      settings,
		log:           log.With(zap.String("host", string(settings.Host))),
		memberChanges: make(chan membership.Changed, changeQueueLength),
		confChanges:   make(chan config.Changed, changeQueueLength),
		memberViews:   make(chan membership.View, changeQueueLength),
	}
	ctx, cancel := context.WithCancel(context.Background())
	workCtx, cancelWork := context.WithCancel(context.Background())
	h.cancel, h.cancelWork, h.done = cancel, cancelWork, workCtx.Done()
	if err := h.createTasks(ctx, workCtx); err != nil {
		cancel()
		cancelWork()
		return nil, err
	}
	h.startTasks(ctx)
	return h, nil
}

// createTasks creates the tasks and binds their sockets. The tasks that execute
// requests on endpoints end with workCtx, the others with ctx.
func (h *Host) createTasks(ctx, workCtx context.Context) error {
	settings := h.settings
	var err error
	h.mesh, err = mesh.New(ctx, mesh.Settings{
		Host: settings.Host, Listen: settings.MeshListen, ClusterKey: settings.ClusterKey,
		ServerTLS: settings.MeshServerTLS, ClientTLS: settings.MeshClientTLS,
	}, h.log)
	if err != nil {
		return err
	}
	h.events = events.New(events.Settings{Host: settings.Host, MaxEvents: maxTimelineEvents, WallNanos: wallNanos})
	h.notes = newNoteRecorder(h.events.Recorder(recorderNotes))
	h.payloads = newPayloadSender(h.mesh, settings.Host)
	if err := h.createMember(); err != nil {
		return err
	}
	confMetrics := metrics.NewSet()
	h.metrics = append(h.metrics, confMetrics)
	h.platform = monitoredPlatform{Platform: settings.Platform, reportCall: func(answered bool) { h.operator.ReportPlatformCall(answered) }}
	h.conf = conf.New(conf.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre, Seed: seedFor(settings.Host),
		Platform: h.platform, Sender: h.payloads, Changes: h.confChanges,
		Recorder: h.events.Recorder(recorderConf), Metrics: confMetrics,
	})
	h.reach = reach.New(settings.DataCentre, seedFor(settings.Host), h.mesh, h.memberViews, h.log)
	h.router = router.New(router.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre, Seed: seedFor(settings.Host), DefaultMaxStaleness: settings.DefaultMaxStaleness,
	}, h.mesh, h.log)
	h.registry = owner.NewRegistry(workCtx, owner.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre, Failover: h.failoverConfig(),
		ConnectTimeout: settings.ConnectTimeout, InactivityTimeout: settings.InactivityTimeout,
		TLS: settings.EndpointTLS, WatchEffects: h.watchEffects(ctx),
	}, h.log)
	h.callers, err = caller.New(ctx, caller.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre, Listen: settings.CallerListen,
		MaxCallers: settings.MaxCallers, RequestTimeout: settings.RequestTimeout,
		StartupTimeout: settings.ConnectTimeout, DefaultRank: defaultRank,
		TokenKey: token.Key(settings.ClusterKey), TLS: settings.CallerTLS,
	}, h.router, h.mesh, h.log)
	if err != nil {
		return err
	}
	return h.createAdmin()
}

// createAdmin creates the operator task and the admin server, and binds the
// socket of the admin API.
func (h *Host) createAdmin() error {
	h.operator = operator.New(operator.Settings{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, Platform: h.platform,
		Mesh: h.mesh, Registry: h.registry, Router: h.router, Conf: h.conf,
		Events: h.events, Recorder: h.events.Recorder(recorderAdmin), BeginStop: h.stopFromAdmin,
	}, h.log)
	var err error
	h.admin, err = admin.Listen(admin.Settings{
		Address: h.settings.AdminListen, TLS: h.settings.AdminTLS, Tokens: h.settings.AdminTokens, AnswerTimeout: adminAnswerTimeout,
		Metrics: h.metrics,
	}, h.operator.Requests(), h.log)
	return err
}

// stopFromAdmin performs the planned stop that an operator requests through the
// admin API.
func (h *Host) stopFromAdmin() {
	if err := h.Stop(context.Background()); err != nil {
		h.log.Warn("planned stop did not complete in time", zap.Error(err))
	}
}

// runAdmin serves the admin API until ctx ends.
func (h *Host) runAdmin(ctx context.Context) {
	if err := h.admin.Run(ctx); err != nil {
		h.log.Error("admin API failed", zap.Error(err))
	}
}

// createMember creates the membership task and binds its gossip socket.
func (h *Host) createMember() error {
	self := membership.Member{
		Host:          h.settings.Host,
		DataCentre:    h.settings.DataCentre,
		MeshAddress:   cmp.Or(h.settings.MeshAdvertise, h.mesh.Address()),
		GossipAddress: h.settings.GossipAdvertise,
		Incarnation:   membership.Incarnation(time.Now().UnixMilli()),
	}
	memberMetrics := metrics.NewSet()
	h.metrics = append(h.metrics, memberMetrics)
	var err error
	h.member, err = member.Open(member.Settings{
		Self: self, Listen: h.settings.GossipListen, ClusterKey: h.settings.ClusterKey, Seed: seedFor(h.settings.Host),
		Changes: h.memberChanges, Recorder: h.events.Recorder(recorderMember), Metrics: memberMetrics,
	})
	return errors.Wrap(err, "open gossip socket")
}

// startTasks starts all tasks and joins the cluster through the seeds.
func (h *Host) startTasks(ctx context.Context) {
	h.coordinator = &coordinator{host: h}
	for _, task := range []func(context.Context){
		h.mesh.Run, h.events.Run, h.notes.run, h.payloads.run, h.member.Run, h.conf.Run,
		h.router.Run, h.registry.Run, h.callers.Run, h.coordinator.run, h.serveStreams, h.syncWithPlatform, h.operator.Run, h.reach.Run, h.runAdmin,
	} {
		go task(ctx)
	}
	if len(h.settings.Seeds) > 0 {
		h.member.Input() <- membership.Join{Seeds: h.settings.Seeds}
	}
	h.log.Info("host started",
		zap.String("callers", h.callers.Address()),
		zap.String("mesh", h.mesh.Address()),
		zap.String("gossip", h.member.Address()))
}

// CallerAddress returns the address that callers connect to.
func (h *Host) CallerAddress() string { return h.callers.Address() }

// MeshAddress returns the address that other hosts open mesh sessions to.
func (h *Host) MeshAddress() string { return h.mesh.Address() }

// AdminAddress returns the address of the admin API.
func (h *Host) AdminAddress() string { return h.admin.Addr().String() }

// Done returns a channel that is closed when the host's tasks are cancelled. The
// tasks may still be running then.
func (h *Host) Done() <-chan struct{} { return h.done }

// GossipAddress returns the UDP address that other hosts send gossip to.
func (h *Host) GossipAddress() string { return h.member.Address() }

// ID returns the host's id.
func (h *Host) ID() types.Host { return h.settings.Host }

// DataCentre returns the host's data centre.
func (h *Host) DataCentre() types.DataCentre { return h.settings.DataCentre }

// Stop performs a planned stop. The host leaves the membership and closes each
// caller's session at the end of its transaction. If sessions or requests remain
// after the drain timeout, Stop interrupts them and returns an error.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.DrainTimeout)
	defer cancel()
	h.log.Info("host leaving")
	select {
	case h.member.Input() <- membership.Leave{}:
	case <-ctx.Done():
	}
	go h.storeOwnRecord(ctx, true)
	idle := h.callers.Drain()
	sleep(ctx, leavePropagationDelay)
	h.registry.StartLeaving()
	err := h.waitIdle(ctx, idle)
	h.Kill()
	h.log.Info("host stopped")
	return err
}

// waitIdle waits until no caller's session and no request on an owned endpoint is
// left. It returns an error if ctx ends first.
func (h *Host) waitIdle(ctx context.Context, idle <-chan struct{}) error {
	select {
	case <-idle:
	case <-ctx.Done():
		return fmt.Errorf("host %q still has %d callers after the drain timeout of %v", h.settings.Host, h.callers.Count(context.Background()), h.settings.DrainTimeout)
	}
	return h.registry.WaitIdle(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill cancels all tasks at once and interrupts requests in flight.
func (h *Host) Kill() {
	h.cancel()
	h.cancelWork()
}

// seedFor derives the seed of a host's random numbers from its id, so that hosts
// differ and a host's sequence is reproducible.
func seedFor(h types.Host) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h))
	return f.Sum64()
}

// wallNanos returns the wall clock time in nanoseconds since the Unix epoch.
func wallNanos() int64 { return time.Now().UnixNano() }
