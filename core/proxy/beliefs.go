package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/types"
)

// Beliefs is what a host believes, for operators.
type Beliefs struct {
	// NotReady says why callers cannot be served; empty where they can.
	NotReady string
	// Sessions counts the callers, Waiting the requests that wait for a primary or an
	// owner.
	Sessions, Waiting int
	Objects           []ObjectsBelief
	// Version is that of the configuration, and Routes are its routes.
	Version  uint64
	Routes   []catalog.Route
	Services []ServiceBelief
	Hosts    []HostBelief
}

// ObjectsBelief is what a host knows of a kind of object at the platform's store.
type ObjectsBelief struct {
	Kind feed.Kind
	// Revision is the newest that the host has seen.
	Revision uint64
	// Age is the time since the kind was last known to be current; negative for never.
	Age time.Duration
}

// ServiceBelief is what a host believes of a service.
type ServiceBelief struct {
	// Primary is empty where none is known.
	Primary    types.Endpoint
	Leadership catalog.Leadership
	// Campaign is the phase of the host's own campaign, or "elsewhere" where another
	// host has one; empty for none.
	Campaign  string
	Endpoints []EndpointBelief
}

// EndpointBelief is what a host believes of an endpoint.
type EndpointBelief struct {
	catalog.Endpoint
	// Listed is set while the endpoint's entry is at the store.
	Listed bool
	Owner  types.Host
	// Owned is set where this host has connections to it, Authority where it may use it
	// as the primary.
	Owned, Authority              bool
	Waiting, Running, Connections int
}

// HostBelief is what a host believes of another one, or of itself.
type HostBelief struct {
	catalog.Host
	// Usable is set where the host is heard and takes new work.
	Usable bool
}

// Beliefs returns what the host believes.
func (m *Machine) Beliefs(now types.Time) Beliefs {
	m.now = max(now, m.now)
	out := Beliefs{
		NotReady: m.notReady(), Sessions: len(m.sessions), Waiting: len(m.parked),
		Version: m.cat.ConfigVersion(), Routes: m.cat.Routes(),
	}
	for _, k := range Kinds {
		o := ObjectsBelief{Kind: k, Revision: m.gossip.newest[k], Age: -1}
		if at, ok := m.refresh.freshAt[k]; ok {
			o.Age = m.now.Sub(at)
		}
		out.Objects = append(out.Objects, o)
	}
	for _, name := range m.cat.Services() {
		out.Services = append(out.Services, m.serviceBelief(name))
	}
	for _, h := range m.cat.Hosts() {
		out.Hosts = append(out.Hosts, HostBelief{Host: h, Usable: m.usable(h)})
	}
	return out
}

func (m *Machine) serviceBelief(name types.Service) ServiceBelief {
	out := ServiceBelief{Leadership: m.cat.Leadership(name)}
	out.Primary, _ = m.cat.PrimaryOf(name)
	switch c := m.service(name).lead.campaign; {
	case c != nil:
		out.Campaign = c.Phase().String()
	case out.Leadership.CampaignOpen:
		out.Campaign = "elsewhere"
	}
	for _, e := range m.cat.EndpointsOf(name) {
		b := EndpointBelief{Endpoint: e, Listed: m.cat.IsListed(e.ID), Owner: m.ownerOf(e.ID, nil)}
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
	case m.cat.ConfigVersion() == 0:
		return "no configuration is known"
	case len(m.cat.Hosts()) == 0:
		return "no host is known"
	case !m.anyEndpoint():
		return "no endpoint of a configured service is known"
	}
	return ""
}
