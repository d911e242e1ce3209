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

// assign starts and stops endpoint tasks and watches so that they match the
// configuration and the live hosts.
func (r *Registry) assign() {
	wantedDB := map[types.Database]bool{}
	wantedEP := map[types.Endpoint]bool{}
	for _, s := range r.conf.Services() {
		for _, db := range s.Databases {
			owners := r.owners(db)
			for _, e := range db.Endpoints {
				if owners[e.ID] != r.set.Host {
					continue
				}
				wantedDB[db.ID] = true
				wantedEP[e.ID] = true
			}
			if wantedDB[db.ID] {
				r.ensureWatch(db, owners)
				r.ensureEndpoints(s, db, wantedEP)
			}
		}
	}
	r.dropEndpoints(wantedEP)
	r.dropWatches(wantedDB)
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
	cfg := r.set.Failover
	cfg.Host = r.set.Host
	cfg.Database = db
	cfg.Owners = maps.Clone(owners)
	if err := cfg.Check(); err != nil {
		r.log.Error("database cannot be watched", zap.Error(err))
		return
	}
	wctx, cancel := context.WithCancel(r.work)
	h := &watchHandle{
		databaseTasks: databaseTasks{
			watch: watch.New(watch.Settings{Failover: cfg, TLS: r.set.TLS, Effects: r.out()}, r.log),
			acks:  newAckTask(),
		},
		cancel: cancel,
		spec:   db,
		owners: owners,
	}
	r.databases[db.ID] = h
	go h.watch.Run(wctx)
	go h.acks.run(wctx)
}

// out returns the watch's outputs; views and holds come to the registry too.
func (r *Registry) out() watch.Effects {
	out := r.set.Out
	out.PublishView = func(db types.Database, v failover.View) {
		r.post(viewMessage{db: db, view: v})
		r.set.Out.PublishView(db, v)
	}
	out.HoldWrites = func(db types.Database, on bool) { r.post(holdMessage{db: db, on: on}) }
	return out
}

// ensureEndpoints starts the owned endpoints' tasks or brings them up to date.
func (r *Registry) ensureEndpoints(s types.ServiceSpec, db types.DatabaseSpec, wanted map[types.Endpoint]bool) {
	qcfg := admission.Config{Ranks: r.ranks(), Slots: s.Slots, Connections: s.Connections}
	for _, e := range db.Endpoints {
		if !wanted[e.ID] {
			continue
		}
		h, ok := r.endpoints[e.ID]
		switch {
		case !ok, h.spec.Address != e.Address, h.draining && !e.Leaving:
			r.startEndpoint(s, db, e, qcfg)
		default:
			h.spec = e
			h.promise = s.Promise
			if !reflect.DeepEqual(h.qcfg, qcfg) {
				h.qcfg = qcfg
				h.task.post(reconfigure{cfg: qcfg})
			}
		}
	}
}

// ranks returns the configured ranks, or the defaults where there are none or
// rival plans have made them contradict each other.
func (r *Registry) ranks() []types.RankSpec {
	ranks, err := admission.RanksOrDefault(r.conf.Ranks())
	if err != nil {
		r.log.Error("ranks cannot be used; the defaults apply", zap.Error(err))
	}
	return ranks
}

// startEndpoint starts an endpoint's task; one that runs already ends once its
// transactions have ended.
func (r *Registry) startEndpoint(s types.ServiceSpec, db types.DatabaseSpec, e types.EndpointSpec, qcfg admission.Config) {
	if err := qcfg.Validate(); err != nil {
		r.log.Error("endpoint cannot be served", zap.String("endpoint", string(e.ID)), zap.Error(err))
		return
	}
	if old, ok := r.endpoints[e.ID]; ok {
		old.cancel()
		r.former = append(r.former, old.task)
	}
	w := r.databases[db.ID]
	if w == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.work)
	task := newEndpointTask(r.endpointConfig(db.ID, e), qcfg, w.watch, r.log)
	r.endpoints[e.ID] = &endpointHandle{
		task: task, cancel: cancel, spec: e, db: db.ID, service: s, promise: s.Promise, qcfg: qcfg,
	}
	go task.run(ctx)
	r.log.Info("endpoint owned", zap.String("endpoint", string(e.ID)))
}

// dropEndpoints ends the tasks of endpoints that the host no longer owns; their
// running transactions go on.
func (r *Registry) dropEndpoints(wanted map[types.Endpoint]bool) {
	for id, h := range r.endpoints {
		if wanted[id] {
			continue
		}
		h.task.post(drainEndpoint{reason: types.ReasonNotOwner})
		h.cancel()
		r.former = append(r.former, h.task)
		delete(r.endpoints, id)
		r.log.Info("endpoint no longer owned", zap.String("endpoint", string(id)))
	}
}

// dropWatches ends the watches of databases without owned endpoints, once the
// transactions that need them have had time to end.
func (r *Registry) dropWatches(wanted map[types.Database]bool) {
	const watchLinger = 30 * time.Second
	for id, h := range r.databases {
		if wanted[id] {
			continue
		}
		time.AfterFunc(watchLinger, h.cancel)
		delete(r.databases, id)
	}
}

// checkLeaving drains the endpoints that leave; a primary is replaced first.
func (r *Registry) checkLeaving() {
	for _, h := range r.endpoints {
		if !h.spec.Leaving || h.draining {
			continue
		}
		if h.leavingSince.IsZero() {
			h.leavingSince = time.Now()
			r.startReplacement(h)
		}
		w := r.databases[h.db]
		primary := w != nil && w.view.Primary == h.spec.ID
		if primary && time.Since(h.leavingSince) < leavingGrace {
			continue
		}
		h.draining = true
		h.task.post(drainEndpoint{reason: types.ReasonLeaving})
	}
}

// startReplacement starts a planned change of primary where the leaving
// endpoint is the primary.
func (r *Registry) startReplacement(h *endpointHandle) {
	w := r.databases[h.db]
	if w != nil && w.view.Primary == h.spec.ID {
		w.watch.Post(failover.PlannedChange{})
	}
}

// leave drains all endpoints, since the host is about to stop.
func (r *Registry) leave() {
	r.leaving = true
	for _, h := range r.endpoints {
		h.task.post(drainEndpoint{reason: types.ReasonNotOwner})
	}
}
