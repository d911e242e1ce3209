package router

import (
	"fmt"
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/wire/meshpb"
)

// readObserved holds the latency and the success of a read at an endpoint.
type readObserved struct {
	db        types.Database
	endpoint  types.Endpoint
	latency   time.Duration
	succeeded bool
}

// stateUpdate holds the state that an owner has sent with a result.
type stateUpdate struct {
	view  *meshpb.DatabaseView
	state *meshpb.EndpointState
}

// stateReply holds an owner's reply to a state request.
type stateReply struct {
	db types.Database
	// reply is nil if the owner did not reply in time.
	reply *meshpb.StateAnswer
	// isLast is set if all other owners have replied or failed to reply.
	isLast bool
}

// updateDatabases applies the configuration to the set of databases. The state of
// databases that remain is kept. The pending requests of removed databases are
// refused.
func (t *Task) updateDatabases() {
	old := t.databases
	t.databases = map[types.Database]*database{}
	for _, s := range t.config.Services() {
		for _, spec := range s.Databases {
			d := old[spec.ID]
			if d == nil {
				d = &database{endpoints: map[types.Endpoint]*endpointState{}}
			}
			delete(old, spec.ID)
			d.service, d.spec = s, spec
			t.databases[spec.ID] = d
			for _, e := range spec.Endpoints {
				if d.endpoints[e.ID] == nil {
					d.endpoints[e.ID] = &endpointState{}
				}
			}
		}
	}
	for id, d := range old {
		for _, m := range d.pendingRoutes {
			m.reply <- Target{Outcome: types.NotRunOutcome(types.ReasonBadRequest, fmt.Sprintf("database %q does not exist", id))}
		}
	}
}

// recordRead adds a sample to an endpoint's latency and success rate.
func (t *Task) recordRead(m readObserved) {
	d, ok := t.databases[m.db]
	if !ok {
		return
	}
	if e, ok := d.endpoints[m.endpoint]; ok {
		e.stats.Observe(clock.Now(), m.latency, m.succeeded)
	}
}

// updateOwners updates the owner table from the configuration and the membership.
func (t *Task) updateOwners() {
	dataCentres := map[types.DataCentre]bool{}
	for _, d := range t.databases {
		for _, e := range d.spec.Endpoints {
			t.owners.AddEndpoint(e.ID, e.DataCentre)
			dataCentres[e.DataCentre] = true
		}
	}
	for dc := range dataCentres {
		t.owners.SetHosts(dc, routing.OwnerCandidates(dc, t.members))
	}
}

// updatePrimary takes a database's primary from an owner's view if the view's term
// is later, or if the term is equal and no primary is known.
func (t *Task) updatePrimary(v *meshpb.DatabaseView) {
	if v == nil {
		return
	}
	d, ok := t.databases[types.Database(v.GetDatabase())]
	if !ok {
		return
	}
	term := types.Term(v.GetTerm())
	if term > d.term || (term == d.term && d.primary == "") {
		d.term = term
		d.primary = types.Endpoint(v.GetPrimary())
	}
}

// updateEndpointState takes an endpoint's state and admission levels from an owner.
func (t *Task) updateEndpointState(v *meshpb.DatabaseView, s *meshpb.EndpointState) {
	if s == nil || v == nil {
		return
	}
	d, ok := t.databases[types.Database(v.GetDatabase())]
	if !ok {
		return
	}
	now := clock.Now()
	id := types.Endpoint(s.GetEndpoint())
	for _, l := range s.GetLevels() {
		t.gate.SetLevel(now, id, admission.LevelNotice{
			Rank: types.Rank(l.GetRank()), Feature: types.Feature(l.GetFeature()),
			Job: types.Job(l.GetJob()), Level: admission.Level(min(l.GetAdmit(), uint32(admission.LevelFull))),
		})
	}
	e, ok := d.endpoints[id]
	if !ok || s.GetLast() == nil {
		return
	}
	e.hasState = true
	e.updatedAt = now
	e.applied = types.LogPoint{Term: types.Term(s.GetLast().GetTerm()), Position: types.Position(s.GetLast().GetPosition())}
	e.staleness = time.Duration(s.GetAgeUs()) * time.Microsecond
	e.stalenessKnown = s.GetAgeKnown()
	e.reachable = s.GetReachable()
}
