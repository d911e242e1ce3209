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

// observed brings the result of a read at an endpoint.
type observed struct {
	db       types.Database
	endpoint types.Endpoint
	latency  time.Duration
	ok       bool
}

// learn brings what an owner told with a result.
type learn struct {
	view  *meshpb.DatabaseView
	state *meshpb.EndpointState
}

// stateAnswer brings an owner's answer to a question for state.
type stateAnswer struct {
	db     types.Database
	answer *meshpb.StateAnswer
	last   bool
}

// configure brings the set of databases up to date; what is known of those
// that stay is kept.
func (t *Task) configure() {
	old := t.databases
	t.databases = map[types.Database]*database{}
	for _, s := range t.conf.Services() {
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
		for _, m := range d.parked {
			m.reply <- Target{Outcome: types.RefusedOutcome(types.ReasonBadRequest, fmt.Sprintf("database %q does not exist", id))}
		}
	}
}

// observe adds a sample to an endpoint's latency and success rate.
func (t *Task) observe(m observed) {
	d, ok := t.databases[m.db]
	if !ok {
		return
	}
	if e, ok := d.endpoints[m.endpoint]; ok {
		e.stats.Observe(clock.Now(), m.latency, m.ok)
	}
}

// setOwners brings the table of owners up to date.
func (t *Task) setOwners() {
	centres := map[types.DataCentre]bool{}
	for _, d := range t.databases {
		for _, e := range d.spec.Endpoints {
			t.owners.AddEndpoint(e.ID, e.DataCentre)
			centres[e.DataCentre] = true
		}
	}
	for dc := range centres {
		t.owners.SetHosts(dc, routing.OwnerCandidates(dc, t.members))
	}
}

// learnView takes a database's primary from an owner that knows a later term.
func (t *Task) learnView(v *meshpb.DatabaseView) {
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

// learnState takes an endpoint's state and admission levels.
func (t *Task) learnState(v *meshpb.DatabaseView, s *meshpb.EndpointState) {
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
	e.known = true
	e.at = now
	e.last = types.LogPoint{Term: types.Term(s.GetLast().GetTerm()), Position: types.Position(s.GetLast().GetPosition())}
	e.age = time.Duration(s.GetAgeUs()) * time.Microsecond
	e.ageKnown = s.GetAgeKnown()
	e.reachable = s.GetReachable()
}
