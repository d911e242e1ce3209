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
	// changeQueue is the number of changes that wait for the coordinator.
	changeQueue = 64
	// eventLimit is the number of events of the time line that a host keeps.
	eventLimit = 8192
	// leaveNotice is the time that a leaving host gives the others to learn of it.
	leaveNotice = time.Second
	// adminTimeout bounds the wait of an admin call for the tasks.
	adminTimeout = 12 * time.Second
	// defaultRank is the rank of callers that state none.
	defaultRank = types.Rank("normal")
)

// Numbers of the recorders of the time line.
const (
	recorderMember uint8 = iota
	recorderConf
	recorderNotes
	recorderAdmin
)

// Host is one running process's tasks.
type Host struct {
	set      Settings
	log      *zap.Logger
	mesh     *mesh.Task
	member   *member.Task
	conf     *conf.Task
	metrics  []*metrics.Set
	events   *events.Task
	registry *owner.Registry
	router   *router.Task
	callers  *caller.Task
	notes    *notesTask
	payloads *payloadSender
	operator *operator.Task
	reach    *reach.Task
	admin    *admin.Server
	platform Platform

	memberChanges chan membership.Changed
	confChanges   chan config.Changed
	views         chan membership.View
	coordinator   *coordinator

	cancel     context.CancelFunc
	cancelWork context.CancelFunc
	ended      <-chan struct{}
}

// Start starts a host's tasks. They run until Stop or Kill.
func Start(set Settings, log *zap.Logger) (*Host, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	h := &Host{
		set:           set,
		log:           log.With(zap.String("host", string(set.Host))),
		memberChanges: make(chan membership.Changed, changeQueue),
		confChanges:   make(chan config.Changed, changeQueue),
		views:         make(chan membership.View, changeQueue),
	}
	ctx, cancel := context.WithCancel(context.Background())
	work, cancelWork := context.WithCancel(context.Background())
	h.cancel, h.cancelWork, h.ended = cancel, cancelWork, work.Done()
	if err := h.build(ctx, work); err != nil {
		cancel()
		cancelWork()
		return nil, err
	}
	h.run(ctx)
	return h, nil
}

// build creates the tasks and binds their sockets.
func (h *Host) build(ctx, work context.Context) error {
	set := h.set
	var err error
	h.mesh, err = mesh.New(ctx, mesh.Settings{
		Host: set.Host, Listen: set.MeshListen, Key: set.ClusterKey,
		ServerTLS: set.MeshServerTLS, ClientTLS: set.MeshClientTLS,
	}, h.log)
	if err != nil {
		return err
	}
	h.events = events.New(events.Config{Host: set.Host, Limit: eventLimit, Wall: wall})
	h.notes = newNotesTask(h.events.Recorder(recorderNotes))
	h.payloads = newPayloadSender(h.mesh, set.Host)
	if err := h.buildMember(); err != nil {
		return err
	}
	confMetrics := metrics.NewSet()
	h.metrics = append(h.metrics, confMetrics)
	h.platform = reported{Platform: set.Platform, report: func(answered bool) { h.operator.ReportPlatformCall(answered) }}
	h.conf = conf.New(conf.Config{
		Host: set.Host, DataCentre: set.DataCentre, Seed: seed(set.Host),
		Platform: h.platform, Sender: h.payloads, Changes: h.confChanges,
		Recorder: h.events.Recorder(recorderConf), Metrics: confMetrics,
	})
	h.reach = reach.New(set.DataCentre, seed(set.Host), h.mesh, h.views, h.log)
	h.router = router.New(router.Settings{
		Host: set.Host, DataCentre: set.DataCentre, Seed: seed(set.Host), DefaultMaxStaleness: set.MaxAge,
	}, h.mesh, h.log)
	h.registry = owner.NewRegistry(work, owner.Settings{
		Host: set.Host, DataCentre: set.DataCentre, Failover: h.failoverConfig(),
		ConnectTimeout: set.ConnectTimeout, InactivityTimeout: set.SilenceBound,
		TLS: set.EndpointTLS, Out: h.watchOut(ctx),
	}, h.log)
	h.callers, err = caller.New(ctx, caller.Settings{
		Host: set.Host, DataCentre: set.DataCentre, Listen: set.CallerListen,
		MaxCallers: set.MaxCallers, RequestTimeout: set.RequestTimeout,
		StartupTimeout: set.ConnectTimeout, DefaultRank: defaultRank,
		TokenKey: token.Key(set.ClusterKey), TLS: set.CallerTLS,
	}, h.router, h.mesh, h.log)
	if err != nil {
		return err
	}
	return h.buildAdmin()
}

// buildAdmin binds the admin API's socket.
func (h *Host) buildAdmin() error {
	h.operator = operator.New(operator.Settings{
		Host: h.set.Host, DataCentre: h.set.DataCentre, Platform: h.platform,
		Mesh: h.mesh, Registry: h.registry, Router: h.router, Conf: h.conf,
		Events: h.events, Recorder: h.events.Recorder(recorderAdmin), BeginStop: h.stopFromAdmin,
	}, h.log)
	var err error
	h.admin, err = admin.Listen(admin.Settings{
		Address: h.set.AdminListen, TLS: h.set.AdminTLS, Tokens: h.set.AdminTokens, AnswerTimeout: adminTimeout,
		Metrics: h.metrics,
	}, h.operator.Requests(), h.log)
	return err
}

// stopFromAdmin is the planned stop that an operator asks for.
func (h *Host) stopFromAdmin() {
	if err := h.Stop(context.Background()); err != nil {
		h.log.Warn("planned stop", zap.Error(err))
	}
}

// runAdmin serves the admin API.
func (h *Host) runAdmin(ctx context.Context) {
	if err := h.admin.Run(ctx); err != nil {
		h.log.Error("admin API ended", zap.Error(err))
	}
}

// buildMember binds the gossip socket.
func (h *Host) buildMember() error {
	self := membership.Member{
		Host:          h.set.Host,
		DataCentre:    h.set.DataCentre,
		MeshAddress:   cmp.Or(h.set.MeshAdvertise, h.mesh.Address()),
		GossipAddress: h.set.GossipAdvertise,
		Incarnation:   membership.Incarnation(time.Now().UnixMilli()),
	}
	memberMetrics := metrics.NewSet()
	h.metrics = append(h.metrics, memberMetrics)
	var err error
	h.member, err = member.Open(member.Config{
		Self: self, Listen: h.set.GossipListen, Key: h.set.ClusterKey, Seed: seed(h.set.Host),
		Changes: h.memberChanges, Recorder: h.events.Recorder(recorderMember), Metrics: memberMetrics,
	})
	return errors.Wrap(err, "open gossip socket")
}

// run starts all tasks.
func (h *Host) run(ctx context.Context) {
	h.coordinator = &coordinator{host: h}
	for _, task := range []func(context.Context){
		h.mesh.Run, h.events.Run, h.notes.run, h.payloads.run, h.member.Run, h.conf.Run,
		h.router.Run, h.registry.Run, h.callers.Run, h.coordinator.run, h.dispatch, h.followPlatform, h.operator.Run, h.reach.Run, h.runAdmin,
	} {
		go task(ctx)
	}
	if len(h.set.Seeds) > 0 {
		h.member.Input() <- membership.Join{Seeds: h.set.Seeds}
	}
	h.log.Info("host started",
		zap.String("callers", h.callers.Address()),
		zap.String("mesh", h.mesh.Address()),
		zap.String("gossip", h.member.Address()))
}

// CallerAddress returns the address for callers.
func (h *Host) CallerAddress() string { return h.callers.Address() }

// MeshAddress returns the address for other hosts' sessions.
func (h *Host) MeshAddress() string { return h.mesh.Address() }

// AdminAddress returns the address of the admin API.
func (h *Host) AdminAddress() string { return h.admin.Addr().String() }

// Ended returns a channel that closes when the host's tasks have been told to end.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// GossipAddress returns the address for other hosts' datagrams.
func (h *Host) GossipAddress() string { return h.member.Address() }

// ID returns the host's id.
func (h *Host) ID() types.Host { return h.set.Host }

// DataCentre returns the host's data centre.
func (h *Host) DataCentre() types.DataCentre { return h.set.DataCentre }

// Stop ends the host without cutting a request: it leaves the membership, lets
// callers go at the end of their transactions, and ends when none is left or
// the drain timeout has passed, which is an error.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.set.DrainTimeout)
	defer cancel()
	h.log.Info("host leaving")
	select {
	case h.member.Input() <- membership.Leave{}:
	case <-ctx.Done():
	}
	go h.recordSelf(ctx, true)
	idle := h.callers.Drain()
	wait(ctx, leaveNotice)
	h.registry.StartLeaving()
	err := h.waitIdle(ctx, idle)
	h.Kill()
	h.log.Info("host stopped")
	return err
}

// waitIdle waits for the callers' sessions and the owned endpoints' requests.
func (h *Host) waitIdle(ctx context.Context, idle <-chan struct{}) error {
	select {
	case <-idle:
	case <-ctx.Done():
		return fmt.Errorf("host %q stopped with %d callers left after %v", h.set.Host, h.callers.Count(context.Background()), h.set.DrainTimeout)
	}
	return h.registry.WaitIdle(ctx)
}

// wait pauses for d or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill ends the host at once.
func (h *Host) Kill() {
	h.cancel()
	h.cancelWork()
}

// seed derives the start of a host's random numbers from its id.
func seed(h types.Host) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h))
	return f.Sum64()
}

// wall returns the wall clock in nanoseconds since the Unix epoch.
func wall() int64 { return time.Now().UnixNano() }
