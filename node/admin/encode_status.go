package admin

import (
	api "baobabfield.example/api/admin"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
)

func encodeStatus(s Status) *api.Status {
	return &api.Status{
		Host:       string(s.Host),
		DataCentre: string(s.DataCentre),
		State:      api.HostState(s.State),
		Platform:   api.PlatformState{Reachable: s.PlatformReachable, LastAnswer: s.SincePlatformAnswer},
		Configuration: api.Configuration{
			Version:  uint64(s.Configuration.Version),
			Digest:   encodeDigest(s.Configuration.Digest),
			Complete: s.Configuration.Complete,
		},
		Members:   convertAll(s.Members, encodeMember),
		Databases: convertAll(s.Databases, encodeDatabaseStatus),
		Ranks:     convertAll(s.Ranks, encodeRankLevel),
	}
}

func encodeMember(m membership.Member) api.Member {
	return api.Member{
		Host:          string(m.Host),
		DataCentre:    string(m.DataCentre),
		MeshAddress:   m.MeshAddress,
		GossipAddress: m.GossipAddress,
		State:         api.MemberState(m.State.String()),
		Incarnation:   uint64(m.Incarnation),
	}
}

func encodeDatabaseStatus(d DatabaseStatus) api.DatabaseStatus {
	return api.DatabaseStatus{
		Service:   string(d.Service),
		Database:  string(d.ID),
		Set:       d.Term.EndpointSet(),
		Campaign:  d.Term.Campaign(),
		Primary:   string(d.Primary),
		Authority: d.Authority,
		Endpoints: convertAll(d.Endpoints, encodeEndpointStatus),
	}
}

func encodeEndpointStatus(e EndpointStatus) api.EndpointStatus {
	return api.EndpointStatus{
		Endpoint:    string(e.ID),
		DataCentre:  string(e.DataCentre),
		Address:     e.Address,
		State:       api.EndpointState(e.State),
		Position:    encodePosition(e.LastLogPoint),
		Age:         e.Staleness,
		Owner:       string(e.Owner),
		StandBy:     string(e.Standby),
		Slots:       e.Slots,
		SlotsInUse:  e.SlotsInUse,
		Connections: e.OpenConnections,
		Queues:      convertAll(e.Queues, encodeQueue),
	}
}

func encodePosition(p types.LogPoint) api.Position {
	return api.Position{Set: p.Term.EndpointSet(), Campaign: p.Term.Campaign(), Position: uint64(p.Position)}
}

func encodeQueue(q QueueStatus) api.Queue {
	return api.Queue{Rank: string(q.Rank), Length: q.Depth, Level: q.Level}
}

func encodeRankLevel(l RankLevel) api.RankLevel {
	return api.RankLevel{Rank: string(l.Rank), Level: l.Level, Admitted: l.Admitted, Refused: l.Refused}
}
