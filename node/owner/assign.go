package owner

import (
	"context"
	"maps"
	"reflect"
	"time"

	"go.uber.org/zap"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/watch"
)

// assignTasks starts, updates and stops endpoint tasks and watches so that they match the
// configuration and the live hosts.
func (r *Registry) assignTasks() {
	ownedDatabases := map[types.Database]bool{}
	ownedEndpoints := map[types.Endpoint]bool{}
	for _, s := range r.snapshot.Services() {
		for _, db := range s.Databases {
			owners := r.owners(db)
			for _, e := range db.Endpoints {
				if owners[e.ID] != r.settings.Host {
					continue
				}
				ownedDatabases[db.ID] = true
				ownedEndpoints[e.ID] = true
			}
			if ownedDatabases[db.ID] {
				r.ensureWatch(db, owners)
				r.ensureEndpoints(s, db, ownedEndpoints)
			}
		}
	}
	r.removeEndpoints(ownedEndpoints)
	r.removeWatches(ownedDatabases)
}

// ensureWatch starts a database's watch or updates its specification and owners.
func (r *Registry) ensureWatch(db types.DatabaseSpec, owners map[types.Endpoint]types.Host) {
	h, ok := r.databases[db.ID]
	if !ok {
		r.startWatch(db, owners)
		return
	}
	if !reflect.DeepEqual(h.spec, db) {
		h.spec = db
		h.watch.Post(failover.SpecChanged{Spec: db})
	}
	if !maps.Equal(h.owners, owners) {
		h.owners = owners
		h.watch.Post(failover.OwnersChanged{Owners: maps.Clone(owners)})
	}
}

func (r *Registry) startWatch(db types.DatabaseSpec, owners map[types.Endpoint]types.Host) {
	cfg := r.settings.Failover
	cfg.Host = r.settings.Host
	cfg.Database = db
	cfg.Owners = maps.Clone(owners)
	if err := cfg.Check(); err != nil {
		r.log.Error("cannot watch database: its failover configuration is invalid", zap.String("database", string(db.ID)), zap.Error(err))
		return
	}
	watchCtx, cancel := context.WithCancel(r.txnContext)
	h := &databaseHandle{
		databaseTasks: databaseTasks{
			watch: watch.New(watch.Settings{Failover: cfg, TLS: r.settings.TLS, Effects: r.watchEffects()}, r.log),
			acks:  newAckTask(),
		},
		cancel: cancel,
		spec:   db,
		owners: owners,
	}
	r.databases[db.ID] = h
	go h.watch.Run(watchCtx)
	go h.acks.run(watchCtx)
}

// watchEffects returns the outputs of a watch. Views go to the registry as well as to
// Settings.WatchEffects. Holds go to the registry alone.
func (r *Registry) watchEffects() watch.Effects {
	out := r.settings.WatchEffects
	out.PublishView = func(db types.Database, v failover.View) {
		r.post(viewChange{db: db, view: v})
		r.settings.WatchEffects.PublishView(db, v)
	}
	out.HoldWrites = func(db types.Database, hold bool) { r.post(databaseWriteHold{db: db, hold: hold}) }
	return out
}

// ensureEndpoints starts the tasks of a database's owned endpoints or updates their
// configuration. An endpoint with a new address, or one that was draining and no longer
// leaves, gets a new task.
func (r *Registry) ensureEndpoints(s types.ServiceSpec, db types.DatabaseSpec, owned map[types.Endpoint]bool) {
	queueConfig := admission.Config{Ranks: r.usableRanks(), Slots: s.Slots, Connections: s.Connections}
	for _, e := range db.Endpoints {
		if !owned[e.ID] {
			continue
		}
		h, ok := r.endpoints[e.ID]
		switch {
		case !ok, h.spec.Address != e.Address, h.draining && !e.Leaving:
			r.startEndpoint(s, db, e, queueConfig)
		default:
			h.spec = e
			h.durability = s.Durability
			if !reflect.DeepEqual(h.queueConfig, queueConfig) {
				h.queueConfig = queueConfig
				h.task.post(reconfigure{cfg: queueConfig})
			}
		}
	}
}

// usableRanks returns the configured ranks. It returns the defaults if none are configured
// or if plans confirmed at the same time made the ranks inconsistent.
func (r *Registry) usableRanks() []types.RankSpec {
	ranks, err := admission.RanksOrDefault(r.snapshot.Ranks())
	if err != nil {
		r.log.Error("configured ranks are inconsistent; using the default ranks", zap.Error(err))
	}
	return ranks
}

// startEndpoint starts an endpoint's task. A previous task of the endpoint ends once its
// transactions have ended.
func (r *Registry) startEndpoint(s types.ServiceSpec, db types.DatabaseSpec, e types.EndpointSpec, queueConfig admission.Config) {
	if err := queueConfig.Check(); err != nil {
		r.log.Error("cannot serve endpoint: its queue configuration is invalid", zap.String("endpoint", string(e.ID)), zap.Error(err))
		return
	}
	if old, ok := r.endpoints[e.ID]; ok {
		old.cancel()
		r.formerTasks = append(r.formerTasks, old.task)
	}
	handle := r.databases[db.ID]
	if handle == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.txnContext)
	task := newEndpointTask(r.endpointConfig(db.ID, e), queueConfig, handle.watch, r.log)
	r.endpoints[e.ID] = &endpointHandle{
		task: task, cancel: cancel, spec: e, db: db.ID, service: s, durability: s.Durability, queueConfig: queueConfig,
	}
	go task.run(ctx)
	r.log.Info("started to own endpoint", zap.String("endpoint", string(e.ID)))
}

// removeEndpoints drains the tasks of endpoints that the host no longer owns. Each task
// ends after its running transactions.
func (r *Registry) removeEndpoints(owned map[types.Endpoint]bool) {
	for id, h := range r.endpoints {
		if owned[id] {
			continue
		}
		h.task.post(drainEndpoint{reason: types.ReasonNotOwner})
		h.cancel()
		r.formerTasks = append(r.formerTasks, h.task)
		delete(r.endpoints, id)
		r.log.Info("stopped owning endpoint", zap.String("endpoint", string(id)))
	}
}

// removeWatches stops the watches of databases without owned endpoints. The stop is
// delayed by watchStopDelay, because running transactions still use the watch.
func (r *Registry) removeWatches(owned map[types.Database]bool) {
	const watchStopDelay = 30 * time.Second
	for id, h := range r.databases {
		if owned[id] {
			continue
		}
		time.AfterFunc(watchStopDelay, h.cancel)
		delete(r.databases, id)
	}
}

// drainLeavingEndpoints drains the endpoints that leave. A primary is first given
// leavingPrimaryGrace to be replaced.
func (r *Registry) drainLeavingEndpoints() {
	for _, h := range r.endpoints {
		if !h.spec.Leaving || h.draining {
			continue
		}
		if h.leavingSince.IsZero() {
			h.leavingSince = time.Now()
			r.replaceLeavingPrimary(h)
		}
		db := r.databases[h.db]
		primary := db != nil && db.view.Primary == h.spec.ID
		if primary && time.Since(h.leavingSince) < leavingPrimaryGrace {
			continue
		}
		h.draining = true
		h.task.post(drainEndpoint{reason: types.ReasonLeaving})
	}
}

// replaceLeavingPrimary starts a planned change of primary if the leaving endpoint is the
// primary.
func (r *Registry) replaceLeavingPrimary(h *endpointHandle) {
	db := r.databases[h.db]
	if db != nil && db.view.Primary == h.spec.ID {
		db.watch.Post(failover.PlannedChange{})
	}
}

// drainAllEndpoints drains all endpoints before the host stops.
func (r *Registry) drainAllEndpoints() {
	r.leaving = true
	for _, h := range r.endpoints {
		h.task.post(drainEndpoint{reason: types.ReasonNotOwner})
	}
}
