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

// assignTasks starts and stops endpoint tasks and watches so that they match the
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

// ensureWatch starts a database's watch or brings it up to date.
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
		r.log.Error("database cannot be watched", zap.Error(err))
		return
	}
	watchCtx, cancel := context.WithCancel(r.txnContext)
	h := &databaseHandle{
		databaseTasks: databaseTasks{
			watch: watch.New(watch.Settings{Failover: cfg, TLS: r.settings.TLS, Out: r.watchOutputs()}, r.log),
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

// watchOutputs returns the watch's outputs; views and holds come to the registry too.
func (r *Registry) watchOutputs() watch.Out {
	out := r.settings.Out
	out.View = func(db types.Database, v failover.View) {
		r.post(viewChange{db: db, view: v})
		r.settings.Out.View(db, v)
	}
	out.Hold = func(db types.Database, on bool) { r.post(databaseWriteHold{db: db, hold: on}) }
	return out
}

// ensureEndpoints starts the owned endpoints' tasks or brings them up to date.
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
			h.durability = s.Promise
			if !reflect.DeepEqual(h.queueConfig, queueConfig) {
				h.queueConfig = queueConfig
				h.task.post(reconfigure{cfg: queueConfig})
			}
		}
	}
}

// usableRanks returns the configured usableRanks, or the defaults where there are none or
// rival plans have made them contradict each other.
func (r *Registry) usableRanks() []types.RankSpec {
	ranks, err := admission.RanksOrDefault(r.snapshot.Ranks())
	if err != nil {
		r.log.Error("ranks cannot be used; the defaults apply", zap.Error(err))
	}
	return ranks
}

// startEndpoint starts an endpoint's task; one that runs already ends once its
// transactions have ended.
func (r *Registry) startEndpoint(s types.ServiceSpec, db types.DatabaseSpec, e types.EndpointSpec, queueConfig admission.Config) {
	if err := queueConfig.Validate(); err != nil {
		r.log.Error("endpoint cannot be served", zap.String("endpoint", string(e.ID)), zap.Error(err))
		return
	}
	if old, ok := r.endpoints[e.ID]; ok {
		old.cancel()
		r.formerTasks = append(r.formerTasks, old.task)
	}
	w := r.databases[db.ID]
	if w == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.txnContext)
	task := newEndpointTask(r.endpointConfig(db.ID, e), queueConfig, w.watch, r.log)
	r.endpoints[e.ID] = &endpointHandle{
		task: task, cancel: cancel, spec: e, db: db.ID, service: s, durability: s.Promise, queueConfig: queueConfig,
	}
	go task.run(ctx)
	r.log.Info("endpoint owned", zap.String("endpoint", string(e.ID)))
}

// removeEndpoints ends the tasks of endpoints that the host no longer owns; their
// running transactions go on.
func (r *Registry) removeEndpoints(owned map[types.Endpoint]bool) {
	for id, h := range r.endpoints {
		if owned[id] {
			continue
		}
		h.task.post(drainEndpoint{reason: types.ReasonNotOwner})
		h.cancel()
		r.formerTasks = append(r.formerTasks, h.task)
		delete(r.endpoints, id)
		r.log.Info("endpoint no longer owned", zap.String("endpoint", string(id)))
	}
}

// removeWatches ends the watches of databases without owned endpoints, once the
// transactions that need them have had time to end.
func (r *Registry) removeWatches(owned map[types.Database]bool) {
	const watchLinger = 30 * time.Second
	for id, h := range r.databases {
		if owned[id] {
			continue
		}
		time.AfterFunc(watchLinger, h.cancel)
		delete(r.databases, id)
	}
}

// drainLeavingEndpoints drains the endpoints that leave; a primary is replaced first.
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

// replaceLeavingPrimary starts a planned change of primary where the leaving
// endpoint is the primary.
func (r *Registry) replaceLeavingPrimary(h *endpointHandle) {
	db := r.databases[h.db]
	if db != nil && db.view.Primary == h.spec.ID {
		db.watch.Post(failover.PlannedChange{})
	}
}

// drainEndpoints drains all endpoints, since the host is about to stop.
func (r *Registry) drainEndpoints() {
	r.leaving = true
	for _, h := range r.endpoints {
		h.task.post(drainEndpoint{reason: types.ReasonNotOwner})
	}
}
