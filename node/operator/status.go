package operator

import (
	"context"
	"slices"
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/failover"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/owner"
)

// status describes this host.
func (v view) status(ctx context.Context) admin.Status {
	report := v.Registry.Report(ctx)
	s := admin.Status{
		Host:       v.Host,
		DataCentre: v.DataCentre,
		State:      v.state(),
		Members:    v.members.Members(),
		Configuration: admin.Configuration{
			Version: v.snapshot.Version(), Digest: v.snapshot.Digest(), Complete: v.snapshot.Complete(),
		},
	}
	s.PlatformReachable = v.platform.reachable
	s.SincePlatformAnswer = time.Since(v.platform.answered)
	for _, service := range v.snapshot.Services() {
		for _, db := range service.Databases {
			s.Databases = append(s.Databases, v.database(service.Name, db, report))
		}
	}
	return s
}

func (v view) state() admin.HostState {
	switch {
	case v.leaving:
		return admin.HostLeaving
	case !v.snapshot.Complete():
		return admin.HostStarting
	}
	return admin.HostServing
}

// database describes a database as this host knows it.
func (v view) database(service types.Service, db types.DatabaseSpec, report owner.Report) admin.Database {
	out := admin.Database{Service: service, ID: db.ID}
	known, watched := report.Views[db.ID]
	if watched {
		out.Term = known.Term
		out.Primary = known.Primary
		out.Authority = known.Owner == v.Host && !known.Suspected
	}
	for _, e := range db.Endpoints {
		out.Endpoints = append(out.Endpoints, v.endpoint(e, known, report))
	}
	return out
}

// endpoint describes an endpoint as this host knows it.
func (v view) endpoint(e types.EndpointSpec, known failover.View, report owner.Report) admin.Endpoint {
	out := admin.Endpoint{ID: e.ID, DataCentre: e.DataCentre, Address: e.Address, State: admin.EndpointUnknown, Staleness: admin.StalenessUnknown}
	out.Owner, out.Standby = routing.OwnerAndStandbyAt(e.ID, e.DataCentre, v.members)
	if i := slices.IndexFunc(known.Endpoints, func(k failover.EndpointView) bool { return k.ID == e.ID }); i >= 0 {
		fillEndpoint(&out, known.Endpoints[i], known.Primary)
	}
	if e.Leaving {
		out.State = admin.EndpointLeaving
	}
	if i := slices.IndexFunc(report.Endpoints, func(s owner.Status) bool { return s.Endpoint == e.ID }); i >= 0 {
		fillUse(&out, report.Endpoints[i])
	}
	return out
}

// fillEndpoint adds what the watch knows.
func fillEndpoint(out *admin.Endpoint, k failover.EndpointView, primary types.Endpoint) {
	out.Position = k.LastLogPoint
	if age, ok := k.Staleness(clock.Now()); ok {
		out.Staleness = age
	}
	switch {
	case !k.Reachable:
		out.State = admin.EndpointUnreachable
	case k.ID == primary:
		out.State = admin.EndpointPrimary
	default:
		out.State = admin.EndpointReplica
	}
}

// fillUse adds what the endpoint's own task knows.
func fillUse(out *admin.Endpoint, s owner.Status) {
	out.Slots = s.Slots
	out.SlotsInUse = s.SlotsInUse
	out.Connections = s.Open
	for _, d := range s.Depth {
		q := admin.Queue{Rank: d.Rank, Length: d.Depth, Level: 1}
		for _, l := range s.Levels {
			if l.Rank == d.Rank {
				q.Level = min(q.Level, float64(l.Level)/float64(admission.LevelFull))
			}
		}
		out.Queues = append(out.Queues, q)
	}
}
