package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/types"
)

// DebugState is what a host believes, for operators.
type DebugState struct {
	// NotReady says why callers cannot be served; empty where they can.
	NotReady string
	// Sessions counts the callers, Waiting the requests that wait for a primary or an
	// owner.
	Sessions, Waiting int
	Objects           []ObjectsDebug
	// Version is that of the configuration, and Routes are its routes.
	Version  uint64
	Routes   []catalog.Route
	Services []ServiceDebug
	Hosts    []HostDebug
}

// ObjectsDebug is what a host knows of a kind of object at the platform's store.
type ObjectsDebug struct {
	Kind feed.Kind
	// Revision is the newest that the host has seen.
	Revision uint64
	// Age is the time since the kind was last known to be current; negative for never.
	Age time.Duration
}

// ServiceDebug is what a host believes of a service.
type ServiceDebug struct {
	// Primary is empty where none is known.
	Primary    types.Endpoint
	Leadership catalog.Leadership
	// Campaign is the phase of the host's own campaign, or "elsewhere" where another
	// host has one; empty for none.
	Campaign  string
	Endpoints []EndpointDebug
}

// EndpointDebug is what a host believes of an endpoint.
type EndpointDebug struct {
	catalog.Endpoint
	// Listed is set while the endpoint's entry is at the store.
	Listed bool
	Owner  types.Host
	// Owned is set where this host has connections to it, Authority where it may use it
	// as the primary.
	Owned, Authority              bool
	Waiting, Running, Connections int
}

// HostDebug is what a host believes of another one, or of itself.
type HostDebug struct {
	catalog.Host
	// Usable is set where the host is heard and takes new work.
	Usable bool
}

// DebugState returns what the host believes.
func (m *Machine) DebugState(now types.Time) DebugState {
	m.now = max(now, m.now)
	out := DebugState{
		NotReady: m.notReady(), Sessions: len(m.sessions), Waiting: len(m.deferred),
		Version: m.catalog.Version(), Routes: m.catalog.Routes(),
	}
	for _, k := range Kinds {
		o := ObjectsDebug{Kind: k, Revision: m.gossip.newestRevisions[k], Age: -1}
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
	case out.Leadership.Open:
		out.Campaign = "elsewhere"
	}
	for _, e := range m.catalog.EndpointsOf(name) {
		b := EndpointDebug{Endpoint: e, Listed: m.catalog.Listed(e.ID), Owner: m.ownerOf(e.ID, nil)}
		if o := m.owned[e.ID]; o != nil {
			b.Owned = true
			b.Authority = o.authority != nil && o.authority.Valid(m.now)
			b.Waiting, b.Running = o.pool.Load()
			b.Connections = o.pool.Connections()
		}
		out.Endpoints = append(out.Endpoints, b)
	}
	return out
}

// notReady returns why callers cannot be served; empty where they can.
func (m *Machine) notReady() string {
	switch {
	case m.stop.begun:
		return "host is stopping"
	case m.catalog.Version() == 0:
		return "no configuration is known"
	case len(m.catalog.Hosts()) == 0:
		return "no host is known"
	case !m.hasEndpoint():
		return "no endpoint of a configured service is known"
	}
	return ""
}
