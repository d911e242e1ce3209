// Package catalog holds what a host believes of routes, services, endpoints and
// other hosts, as the platform's store tells it.
package catalog

import (
	"slices"
	"sort"
	"time"

	"baobabfield.example/core/types"
)

// Consistency says which log a read may run on.
type Consistency uint8

// The kinds of consistency.
const (
	// ConsistencyPrimary reads see every acknowledged commit.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded reads see every commit that is older than the route's MaxAge.
	ConsistencyBounded
	// ConsistencyReadYourWrites are Bounded and also see the session's own commits.
	ConsistencyReadYourWrites
)

// String returns the name of the consistency.
func (c Consistency) String() string { return [...]string{"primary", "bounded", "own writes"}[c] }

// Route says how the statements of one database are served.
type Route struct {
	Database    types.Database
	Service     types.Service
	Consistency Consistency
	// MaxStaleness is the accepted age of the data; it has no meaning for Primary.
	MaxStaleness time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// TargetLatency is the time within which an operation is worth most.
	TargetLatency time.Duration
	// Rank is the urgency; 0 goes first.
	Rank int
}

// Service is what the configuration says of a service.
type Service struct {
	Name types.Service
	// MaxConnections is the number that each endpoint accepts from all hosts.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before its
	// acknowledgement.
	SyncReplicas int
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// TxIdleTimeout is the time after which an idle transaction may be ended; zero for never.
	TxIdleTimeout time.Duration
}

// Endpoint is one instance as it reports itself.
type Endpoint struct {
	ID         types.Endpoint
	Service    types.Service
	Address    string
	DataCentre types.DataCentre
	// Slots is the number of statements that run at a time.
	Slots    int
	Draining bool
	// ClaimsPrimary is the endpoint's own view.
	ClaimsPrimary bool
	// StartedUnixMs is the time of its start, in milliseconds since the Unix epoch.
	StartedUnixMs int64
}

// Host is one process of the proxy.
type Host struct {
	ID          types.Host
	DataCentre  types.DataCentre
	MeshAddress string
	// StartedUnixMs tells apart the incarnations of a host, in milliseconds since the
	// Unix epoch.
	StartedUnixMs int64
	Leaving       bool
	// CPUMillicores is the host's processor in thousandths of a core; 0 where unknown.
	CPUMillicores int
}

// Leadership records who may promote an endpoint of a service, and whom it chose.
type Leadership struct {
	Service types.Service
	// FencingToken grows with every campaign; the platform fences by it.
	FencingToken uint64
	Holder       types.Host
	// CampaignOpen is set while the holder's campaign runs.
	CampaignOpen bool
	// Primary is the endpoint that was promoted last; empty before the first.
	Primary types.Endpoint
	// Candidate is the endpoint that is being promoted; empty for none.
	Candidate types.Endpoint
	// Revision is that of the record in the store, for conditional updates.
	Revision uint64
}

// removalGracePeriod is how long an endpoint whose entry has disappeared is kept: entries
// that lapse while the store is away come back within two seconds of its return.
const removalGracePeriod = 2500 * time.Millisecond

// Catalog is the current belief. One task owns it.
type Catalog struct {
	config    Config
	routes    map[types.Database]Route
	services  map[types.Service]Service
	endpoints map[types.Endpoint]Endpoint
	removeAt  map[types.Endpoint]types.Time
	// endpointsByService holds the endpoints of each service in order; a service is left out
	// after a change until it is asked for.
	endpointsByService map[types.Service][]Endpoint
	// sortedServices holds the services of the configuration in order.
	sortedServices []types.Service
	hosts          map[types.Host]Host
	// sortedHosts holds the hosts in order; nil after a change until it is asked for.
	sortedHosts []Host
	leadership  map[types.Service]Leadership
}

// New returns a catalog that knows nothing.
func New() *Catalog {
	return &Catalog{
		routes:             map[types.Database]Route{},
		services:           map[types.Service]Service{},
		endpoints:          map[types.Endpoint]Endpoint{},
		removeAt:           map[types.Endpoint]types.Time{},
		endpointsByService: map[types.Service][]Endpoint{},
		hosts:              map[types.Host]Host{},
		leadership:         map[types.Service]Leadership{},
	}
}

// SetConfig takes a configuration; it reports false for one that is not newer.
func (c *Catalog) SetConfig(cfg Config) bool {
	if cfg.Version <= c.config.Version {
		return false
	}
	c.config = cfg
	clear(c.routes)
	for _, r := range cfg.Routes {
		c.routes[r.Database] = r
	}
	clear(c.services)
	c.sortedServices = nil
	for _, s := range cfg.Services {
		c.services[s.Name] = s
		c.sortedServices = append(c.sortedServices, s.Name)
	}
	slices.Sort(c.sortedServices)
	c.sortedServices = slices.Compact(c.sortedServices)
	return true
}

// ConfigVersion returns the version of the configuration; 0 before the first.
func (c *Catalog) ConfigVersion() uint64 { return c.config.Version }

// TxIdleTimeout returns the time after which an idle transaction may be ended.
func (c *Catalog) TxIdleTimeout() time.Duration { return c.config.TxIdleTimeout }

// Route returns how a database is served.
func (c *Catalog) Route(db types.Database) (Route, bool) {
	r, ok := c.routes[db]
	return r, ok
}

// Routes returns the routes of the configuration. The result must not be changed.
func (c *Catalog) Routes() []Route { return c.config.Routes }

// Service returns a service of the configuration.
func (c *Catalog) Service(name types.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// SetEndpoint takes an endpoint's entry.
func (c *Catalog) SetEndpoint(e Endpoint) {
	delete(c.removeAt, e.ID)
	if old, ok := c.endpoints[e.ID]; ok {
		delete(c.endpointsByService, old.Service)
	}
	delete(c.endpointsByService, e.Service)
	c.endpoints[e.ID] = e
}

// ScheduleEndpointRemoval notes that an endpoint's entry has disappeared.
func (c *Catalog) ScheduleEndpointRemoval(now types.Time, id types.Endpoint) {
	if _, ok := c.endpoints[id]; !ok {
		return
	}
	if _, ok := c.removeAt[id]; !ok {
		c.removeAt[id] = now.Add(removalGracePeriod)
	}
}

// RemoveExpiredEndpoints forgets the endpoints whose entries stayed away and returns them.
func (c *Catalog) RemoveExpiredEndpoints(now types.Time) []types.Endpoint {
	var removed []types.Endpoint
	for id, at := range c.removeAt {
		if !now.Before(at) {
			delete(c.removeAt, id)
			delete(c.endpointsByService, c.endpoints[id].Service)
			delete(c.endpoints, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Endpoint returns an endpoint by id.
func (c *Catalog) Endpoint(id types.Endpoint) (Endpoint, bool) {
	e, ok := c.endpoints[id]
	return e, ok
}

// IsListed reports whether the endpoint's entry exists at present.
func (c *Catalog) IsListed(id types.Endpoint) bool {
	_, known := c.endpoints[id]
	_, removalPending := c.removeAt[id]
	return known && !removalPending
}

// EndpointsOf returns a service's endpoints, ordered by id. The result must not be
// changed.
func (c *Catalog) EndpointsOf(s types.Service) []Endpoint {
	if out, ok := c.endpointsByService[s]; ok {
		return out
	}
	var out []Endpoint
	for _, e := range c.endpoints {
		if e.Service == s {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	c.endpointsByService[s] = out
	return out
}

// Services returns the names of the services of the configuration, in order. The result
// must not be changed.
func (c *Catalog) Services() []types.Service { return c.sortedServices }

// PrimaryOf returns the endpoint that is believed to be a service's primary: a
// candidate that has come to lead, the one that was promoted last, or the one that
// claims to be the primary.
func (c *Catalog) PrimaryOf(s types.Service) (types.Endpoint, bool) {
	record := c.leadership[s]
	if e, ok := c.endpoints[record.Candidate]; ok && e.Service == s && e.ClaimsPrimary {
		return e.ID, true
	}
	if e, ok := c.endpoints[record.Primary]; ok && e.Service == s {
		return e.ID, true
	}
	for _, e := range c.EndpointsOf(s) {
		if e.ClaimsPrimary {
			return e.ID, true
		}
	}
	return "", false
}

// SetLeadership takes a service's record; it reports false for one that is not newer.
func (c *Catalog) SetLeadership(l Leadership) bool {
	if old, ok := c.leadership[l.Service]; ok && l.Revision <= old.Revision {
		return false
	}
	c.leadership[l.Service] = l
	return true
}

// Leadership returns a service's record.
func (c *Catalog) Leadership(s types.Service) Leadership {
	l := c.leadership[s]
	l.Service = s
	return l
}

// SetHost takes a host's record; a former incarnation does not replace a later one.
func (c *Catalog) SetHost(h Host) {
	if old, ok := c.hosts[h.ID]; ok && old.StartedUnixMs > h.StartedUnixMs {
		return
	}
	c.hosts[h.ID] = h
	c.sortedHosts = nil
}

// RemoveHost forgets a host.
func (c *Catalog) RemoveHost(id types.Host) {
	delete(c.hosts, id)
	c.sortedHosts = nil
}

// Host returns a host by id.
func (c *Catalog) Host(id types.Host) (Host, bool) {
	h, ok := c.hosts[id]
	return h, ok
}

// Hosts returns all known hosts, ordered by id. The result must not be changed.
func (c *Catalog) Hosts() []Host {
	if c.sortedHosts != nil {
		return c.sortedHosts
	}
	out := make([]Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	c.sortedHosts = out
	return out
}
