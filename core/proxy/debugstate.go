package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/types"
)

// DebugState is the state of a host as shown to operators.
type DebugState struct {
	// NotReady says why the host cannot serve callers; empty if it can.
	NotReady string
	// Sessions is the number of callers, Waiting the number of requests that wait for a
	// primary or an owner.
	Sessions, Waiting int
	Objects           []ObjectsDebug
	// Version is the version of the configuration, Routes are its routes.
	Version  uint64
	Routes   []catalog.Route
	Services []ServiceDebug
	Hosts    []HostDebug
}

// ObjectsDebug describes what the host knows of one kind of object in the platform's store.
type ObjectsDebug struct {
	Kind feed.Kind
	// Revision is the newest revision that the host has seen.
	Revision types.Revision
	// Age is the time since the objects were last known to be current; negative for never.
	Age time.Duration
}

// ServiceDebug is a host's view of a service.
type ServiceDebug struct {
	// Primary is empty if no primary is known.
	Primary    types.Endpoint
	Leadership catalog.Leadership
	// Campaign is the phase of this host's own campaign, "elsewhere" if another host runs one,
	// or empty for none.
	Campaign  string
	Endpoints []EndpointDebug
}

// EndpointDebug is a host's view of an endpoint.
type EndpointDebug struct {
	catalog.Endpoint
	// Listed is set while the endpoint's record exists in the store.
	Listed bool
	Owner  types.Host
	// Owned is set if this host owns the endpoint's connections, HasAuthority if it may use the
	// endpoint as the primary.
	Owned, HasAuthority           bool
	Waiting, Running, Connections int
}

// HostDebug is a host's view of another host or of itself.
type HostDebug struct {
	catalog.Host
	// Usable is set if the host is reachable and accepts new work.
	Usable bool
}

// DebugState returns the current state of the host.
func (m *Machine) DebugState(now types.Time) DebugState {
	m.now = max(now, m.now)
	out := DebugState{
		NotReady: m.notReadyReason(), Sessions: len(m.sessions), Waiting: len(m.deferred),
		Version: m.catalog.ConfigVersion(), Routes: m.catalog.Routes(),
	}
	for _, k := range Kinds {
		o := ObjectsDebug{Kind: k, Revision: m.mirror.Newest(k), Age: -1}
		if at, ok := m.refresh.currentAt[k]; ok {
			o.Age = m.now.Sub(at)
		}
		out.Objects = append(out.Objects, o)
	}
	for _, name := range m.catalog.Services() {
		out.Services = append(out.Services, m.serviceDebug(name))
	}
	for _, h := range m.catalog.Hosts() {
		out.Hosts = append(out.Hosts, HostDebug{Host: h, Usable: m.isUsable(h)})
	}
	return out
}

func (m *Machine) serviceDebug(name types.Service) ServiceDebug {
	out := ServiceDebug{Leadership: m.catalog.Leadership(name)}
	out.Primary, _ = m.catalog.PrimaryOf(name)
	switch c := m.serviceFor(name).failover.campaign; {
	case c != nil:
		out.Campaign = c.Phase().String()
	case out.Leadership.CampaignOpen:
		out.Campaign = "elsewhere"
	}
	for _, e := range m.catalog.EndpointsOf(name) {
		ep := EndpointDebug{Endpoint: e, Listed: m.catalog.IsListed(e.ID), Owner: m.ownerOf(e.ID, nil)}
		if o := m.owned[e.ID]; o != nil {
			ep.Owned = true
			ep.HasAuthority = o.authority != nil && o.authority.Valid(m.now)
			ep.Waiting, ep.Running = o.pool.Load()
			ep.Connections = o.pool.ConnectionCount()
		}
		out.Endpoints = append(out.Endpoints, ep)
	}
	return out
}

// notReadyReason returns why the host cannot serve callers, or "" if it can.
func (m *Machine) notReadyReason() string {
	switch {
	case m.stop.begun:
		return "host is stopping"
	case m.catalog.ConfigVersion() == 0:
		return "no configuration is known"
	case m.catalog.HasWorkspaces() && !m.isConfigConfirmed():
		return "the configuration is not confirmed"
	case len(m.catalog.Hosts()) == 0:
		return "no host is known"
	case !m.hasEndpoint():
		return "no endpoint of a configured service is known"
	case m.isolatedSince != 0:
		return "no other data centre can be reached"
	}
	return ""
}
