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

// hostStatus returns this host's status and its view of all databases.
func (v requestView) hostStatus(ctx context.Context) admin.Status {
	report := v.Registry.CollectReport(ctx)
	s := admin.Status{
		Host:       v.Host,
		DataCentre: v.DataCentre,
		State:      v.hostState(),
		Members:    v.members.Members(),
		Configuration: admin.ConfigurationStatus{
			Version: v.snapshot.Version(), Digest: v.snapshot.Digest(), Complete: v.snapshot.Complete(),
		},
	}
	s.PlatformReachable = v.platform.reachable
	s.SincePlatformAnswer = time.Since(v.platform.lastAnswer)
	for _, service := range v.snapshot.Services() {
		for _, db := range service.Databases {
			s.Databases = append(s.Databases, v.databaseStatus(service.Name, db, report))
		}
	}
	return s
}

func (v requestView) hostState() admin.HostState {
	switch {
	case v.leaving:
		return admin.HostLeaving
	case !v.snapshot.Complete():
		return admin.HostStarting
	}
	return admin.HostServing
}

// databaseStatus returns this host's view of a database.
func (v requestView) databaseStatus(service types.Service, db types.DatabaseSpec, report owner.Report) admin.DatabaseStatus {
	out := admin.DatabaseStatus{Service: service, ID: db.ID}
	watchView, watched := report.Views[db.ID]
	if watched {
		out.Term = watchView.Term
		out.Primary = watchView.Primary
		out.Authority = watchView.Owner == v.Host && !watchView.Suspected
	}
	for _, e := range db.Endpoints {
		out.Endpoints = append(out.Endpoints, v.endpointStatus(e, watchView, report))
	}
	return out
}

// endpointStatus returns this host's view of an endpoint.
func (v requestView) endpointStatus(e types.EndpointSpec, watchView failover.View, report owner.Report) admin.EndpointStatus {
	out := admin.EndpointStatus{ID: e.ID, DataCentre: e.DataCentre, Address: e.Address, State: admin.EndpointUnknown, Staleness: admin.StalenessUnknown}
	out.Owner, out.Standby = routing.OwnerAndStandbyAt(e.ID, e.DataCentre, v.members)
	if i := slices.IndexFunc(watchView.Endpoints, func(k failover.EndpointView) bool { return k.ID == e.ID }); i >= 0 {
		fillFromView(&out, watchView.Endpoints[i], watchView.Primary)
	}
	if e.Leaving {
		out.State = admin.EndpointLeaving
	}
	if i := slices.IndexFunc(report.Endpoints, func(s owner.EndpointStatus) bool { return s.Endpoint == e.ID }); i >= 0 {
		fillFromOwner(&out, report.Endpoints[i])
	}
	return out
}

// fillFromView sets the fields that come from the database's watch.
func fillFromView(out *admin.EndpointStatus, endpointView failover.EndpointView, primary types.Endpoint) {
	out.LastLogPoint = endpointView.LastLogPoint
	if staleness, ok := endpointView.Staleness(clock.Now()); ok {
		out.Staleness = staleness
	}
	switch {
	case !endpointView.Reachable:
		out.State = admin.EndpointUnreachable
	case endpointView.ID == primary:
		out.State = admin.EndpointPrimary
	default:
		out.State = admin.EndpointReplica
	}
}

// fillFromOwner sets the fields that are available only at the endpoint's owner.
func fillFromOwner(out *admin.EndpointStatus, s owner.EndpointStatus) {
	out.Slots = s.Slots
	out.SlotsInUse = s.SlotsInUse
	out.OpenConnections = s.OpenConnections
	for _, d := range s.QueueDepths {
		q := admin.QueueStatus{Rank: d.Rank, Depth: d.Depth, Level: 1}
		for _, l := range s.Levels {
			if l.Rank == d.Rank {
				q.Level = min(q.Level, float64(l.Level)/float64(admission.LevelFull))
			}
		}
		out.Queues = append(out.Queues, q)
	}
}
