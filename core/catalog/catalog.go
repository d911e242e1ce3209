// Package catalog holds a host's view of routes, services, endpoints and other hosts, as
// read from the platform's store by "baobabd platform". Its inputs are decoded records.
// It returns the records of a service or a host and the presumed primary of a service,
// and keeps endpoints for a grace period after their records have been deleted.
//
// A record carries up to three counters. The version is the operator's number of the
// configuration, the revision is the store's number of a change, and the fencing token
// is the number of a service's campaign.
package catalog

import (
	"slices"
	"sort"
	"time"

	"baobabfield.example/core/types"
)

// Consistency is the consistency level of the reads of a route.
type Consistency uint8

// The consistency levels.
const (
	// ConsistencyPrimary reads see every acknowledged commit.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded reads see every commit that is older than the route's
	// MaxStaleness.
	ConsistencyBounded
	// ConsistencyReadYourWrites reads see what ConsistencyBounded reads see and
	// also the session's own commits.
	ConsistencyReadYourWrites
)

func (c Consistency) String() string { return [...]string{"primary", "bounded", "own writes"}[c] }

// Route states how the statements of one database are served.
type Route struct {
	Database    types.Database
	Service     types.Service
	Consistency Consistency
	// MaxStaleness bounds the staleness of reads. It is not used with
	// ConsistencyPrimary.
	MaxStaleness time.Duration
	// StatementTimeout bounds the duration of one statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency within which a request is due.
	TargetLatency time.Duration
	// Rank is the priority. Rank 0 is served first. It corresponds to
	// types.RankSpec.Order.
	Rank int
	// Public is set if callers need no key.
	Public bool
}

// Workspace is a customer organisation of the configuration.
type Workspace struct {
	Name types.Workspace
	// Keys are the API keys of its callers. They must not appear in logs, metrics, errors or
	// messages to endpoints.
	Keys []string
	// Rate is the limit of its operations per second over all hosts, Burst the number that may
	// exceed it at once. A Rate of 0 means that there is no limit.
	Rate, Burst float64
}

// Service is a service of the configuration.
type Service struct {
	Name types.Service
	// MaxConnections is the number of connections that each endpoint accepts from
	// all hosts together.
	MaxConnections int
	// SyncReplicas is the number of replicas that must hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Workspaces is empty if callers are not told apart.
	Workspaces []Workspace
	// TxIdleTimeout is the time after which an idle transaction can be ended. Zero
	// means that it is never ended.
	TxIdleTimeout time.Duration
}

// Endpoint is one database instance as it registered itself in the store.
type Endpoint struct {
	ID         types.Endpoint
	Service    types.Service
	Address    string
	DataCentre types.DataCentre
	// Slots is the number of statements that the endpoint runs concurrently.
	Slots int
	// Leaving is set when the endpoint has announced that it will stop. A leaving
	// replica accepts no new work, and a leaving primary is replaced.
	Leaving bool
	// ClaimsPrimary is set if the endpoint reports itself as primary.
	ClaimsPrimary bool
	// StartedUnixMs is the start time in milliseconds since the Unix epoch.
	StartedUnixMs int64
}

// Host is one process of the proxy.
type Host struct {
	ID          types.Host
	DataCentre  types.DataCentre
	MeshAddress string
	// StartedUnixMs is the start time in milliseconds since the Unix epoch. It
	// identifies the incarnation of the host.
	StartedUnixMs int64
	// Leaving is set when the host has announced that it accepts no new work.
	Leaving bool
	// CPUMillicores is the CPU capacity of the host in thousandths of a core, or 0
	// if it is unknown.
	CPUMillicores int
	// AuthorityRules is the version of the rules of package lead by which the host uses a
	// primary; 0 for builds that state none.
	AuthorityRules int
	// WorkspaceRules is that of the host's build, see the constant; 0 for builds that do not
	// know workspaces.
	WorkspaceRules int
	// Revision is the revision of the record in the store; 0 for a host that has introduced
	// itself. It is not part of the record.
	Revision types.Revision
}

// WorkspaceRules is the version of the rules by which this build keeps workspaces apart. In a
// configuration with workspaces, only hosts of this version own endpoints.
const WorkspaceRules = 1

// Leadership records which host can promote an endpoint of a service and which
// endpoint it selected.
type Leadership struct {
	Service types.Service
	// FencingToken increases with every campaign. The platform uses it to fence
	// the holders of earlier campaigns.
	FencingToken uint64
	Holder       types.Host
	// HolderStartedUnixMs is the incarnation of the holder, as Host.StartedUnixMs; 0 if it is
	// unknown.
	HolderStartedUnixMs int64
	// CampaignOpen is set while the holder's campaign is in progress.
	CampaignOpen bool
	// Primary is the endpoint that was promoted last. It is empty before the
	// first promotion.
	Primary types.Endpoint
	// Candidate is the endpoint that is being promoted. It is empty if there is
	// none.
	Candidate types.Endpoint
	// Revision is the revision of the record in the store, for conditional
	// updates. Without a number, the store has no record.
	Revision types.Revision
	// WriteID identifies the write that stored the record; 0 if its host is of a build that
	// assigns none.
	WriteID uint64
}

// progress returns how far the campaign of the record's token has come.
func (l *Leadership) progress() int {
	switch {
	case !l.CampaignOpen:
		return 2
	case l.Candidate != "":
		return 1
	}
	return 0
}

// isEarlierThan reports whether a record was written before another one, by their content.
func (l *Leadership) isEarlierThan(other *Leadership) bool {
	if l.FencingToken != other.FencingToken {
		return l.FencingToken < other.FencingToken
	}
	return l.progress() < other.progress()
}

// tokenEraBits is the position of the era in a fencing token.
const tokenEraBits = 32

// NextToken returns the fencing token that follows a token. Tokens of a later era of the store
// are greater than all earlier ones, since a restored store may have lost the last ones.
func NextToken(token, era uint64) uint64 { return max(token, era<<tokenEraBits) + 1 }

// TokenEra returns the era in which a fencing token was granted.
func TokenEra(token uint64) uint64 { return token >> tokenEraBits }

// RemovalGracePeriod is the time for which an endpoint is kept after its record has
// been deleted from the store. Endpoints whose records expire during an outage of
// the store register again within two seconds of its recovery.
const RemovalGracePeriod = 2500 * time.Millisecond

// copyRetention is the time for which campaigns wait for an endpoint of a service with
// SyncReplicas after its record has been deleted. The endpoint may be the only one with the last
// commits, and may be restarting. Requests no longer use it after RemovalGracePeriod.
const copyRetention = 10 * time.Second

// Catalog is the current view of the store. It must be used by one task only.
type Catalog struct {
	config   Config
	routes   map[types.Database]Route
	services map[types.Service]Service
	// workspaceByKey maps each API key to its workspace.
	workspaceByKey map[string]types.Workspace
	endpoints      map[types.Endpoint]Endpoint
	// missingSince holds when the record of an endpoint was found to be deleted; the endpoint
	// may be one of endpoints or of formerCopies.
	missingSince map[types.Endpoint]types.Time
	// formerCopies holds removed endpoints that campaigns still wait for, see copyRetention.
	formerCopies map[types.Endpoint]Endpoint
	// endpointsByService caches the endpoints of each service, ordered by id. A
	// change of an endpoint deletes the cached list of its service.
	endpointsByService map[types.Service][]Endpoint
	// endpointDataCentres caches the data centres that hold endpoints, in order. It is nil
	// after a change.
	endpointDataCentres []types.DataCentre
	// sortedServices holds the services of the configuration in order of their
	// names.
	sortedServices []types.Service
	hosts          map[types.Host]Host
	// sortedHosts caches the hosts, ordered by id. It is nil after a change.
	sortedHosts []Host
	leadership  map[types.Service]Leadership
	// lostLeadership holds the services of which the store has an earlier record than the
	// known one, or none.
	lostLeadership map[types.Service]bool
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		routes:             map[types.Database]Route{},
		services:           map[types.Service]Service{},
		workspaceByKey:     map[string]types.Workspace{},
		endpoints:          map[types.Endpoint]Endpoint{},
		missingSince:       map[types.Endpoint]types.Time{},
		formerCopies:       map[types.Endpoint]Endpoint{},
		endpointsByService: map[types.Service][]Endpoint{},
		hosts:              map[types.Host]Host{},
		leadership:         map[types.Service]Leadership{},
		lostLeadership:     map[types.Service]bool{},
	}
}

// SetConfig stores a configuration. It returns false, and changes nothing, if the
// version is not higher than the current one.
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
	clear(c.workspaceByKey)
	for _, w := range cfg.Workspaces {
		for _, key := range w.Keys {
			c.workspaceByKey[key] = w.Name
		}
	}
	return true
}

// ConfigVersion returns the version of the configuration, or 0 if none is known.
func (c *Catalog) ConfigVersion() uint64 { return c.config.Version }

// TxIdleTimeout returns the time after which an idle transaction can be ended.
// Zero means that it is never ended.
func (c *Catalog) TxIdleTimeout() time.Duration { return c.config.TxIdleTimeout }

// Route returns the route of a database.
func (c *Catalog) Route(db types.Database) (Route, bool) {
	r, ok := c.routes[db]
	return r, ok
}

// Routes returns the routes of the configuration. The result must not be changed.
func (c *Catalog) Routes() []Route { return c.config.Routes }

// Service returns a service of the configuration.
func (c *Catalog) Service(name types.Service) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// HasWorkspaces reports whether the configuration tells callers apart by their keys.
func (c *Catalog) HasWorkspaces() bool { return len(c.config.Workspaces) > 0 }

// Workspaces returns the workspaces of the configuration. The result must not be changed.
func (c *Catalog) Workspaces() []Workspace { return c.config.Workspaces }

// WorkspaceOfKey returns the workspace that holds an API key.
func (c *Catalog) WorkspaceOfKey(key string) (types.Workspace, bool) {
	w, ok := c.workspaceByKey[key]
	return w, ok
}

// SetEndpoint stores an endpoint and cancels its pending removal, if any.
func (c *Catalog) SetEndpoint(e Endpoint) {
	delete(c.missingSince, e.ID)
	delete(c.formerCopies, e.ID)
	if old, ok := c.endpoints[e.ID]; ok {
		delete(c.endpointsByService, old.Service)
	}
	delete(c.endpointsByService, e.Service)
	c.endpoints[e.ID] = e
	c.endpointDataCentres = nil
}

// NoteMissing records that the record of an endpoint has been deleted from the store. The
// endpoint may have ended, or its record may have expired while the endpoint could not renew it.
// RemoveGoneEndpoints removes it unless the record returns.
func (c *Catalog) NoteMissing(now types.Time, id types.Endpoint) {
	if _, ok := c.endpoints[id]; !ok {
		return
	}
	if _, ok := c.missingSince[id]; !ok {
		c.missingSince[id] = now
	}
}

// AddMissing adds an endpoint without a record, which another host has known for longer. It has
// no effect if the endpoint is known.
func (c *Catalog) AddMissing(e Endpoint, since types.Time) {
	if _, known := c.Instance(e.ID); known {
		return
	}
	c.SetEndpoint(e)
	c.missingSince[e.ID] = since
}

// MissingEndpoint is an endpoint without a record, and when that was found.
type MissingEndpoint struct {
	Endpoint Endpoint
	Since    types.Time
}

// MissingEndpoints returns the endpoints without a record, ordered by id.
func (c *Catalog) MissingEndpoints() []MissingEndpoint {
	var out []MissingEndpoint
	for id, since := range c.missingSince {
		e, _ := c.Instance(id)
		out = append(out, MissingEndpoint{Endpoint: e, Since: since})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint.ID < out[j].Endpoint.ID })
	return out
}

// ListNeededAt returns the earliest time as of which a list of the records decides whether a
// missing endpoint is removed. It returns false if none is to be removed.
func (c *Catalog) ListNeededAt() (types.Time, bool) {
	var earliest types.Time
	found := false
	for id, since := range c.missingSince {
		if _, ok := c.endpoints[id]; !ok {
			continue
		}
		if at := since.Add(RemovalGracePeriod); !found || at.Before(earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// RemoveGoneEndpoints removes the endpoints whose records are still missing after the grace
// period, or whose addresses belong to others, and returns their ids in order. listedAt is the
// time as of which the known records are current: a host that reads none meanwhile does not learn
// that a record has returned.
func (c *Catalog) RemoveGoneEndpoints(listedAt types.Time) []types.Endpoint {
	if len(c.missingSince) == 0 {
		return nil
	}
	var removed []types.Endpoint
	for id, since := range c.missingSince {
		e, ok := c.endpoints[id]
		superseded := ok && c.isSuperseded(e)
		if !ok || (listedAt.Before(since.Add(RemovalGracePeriod)) && !superseded) {
			continue
		}
		delete(c.endpointsByService, e.Service)
		delete(c.endpoints, id)
		c.endpointDataCentres = nil
		removed = append(removed, id)
		// An endpoint that ends as announced passes its log on to the next one at its address.
		if superseded || e.Leaving || c.services[e.Service].SyncReplicas == 0 {
			delete(c.missingSince, id)
			continue
		}
		c.formerCopies[id] = e
	}
	slices.Sort(removed)
	return removed
}

// RemoveLostCopies forgets the removed endpoints that campaigns no longer wait for, and returns
// them in order. Those of one service are forgotten together: each may be the only one with
// the last commits.
func (c *Catalog) RemoveLostCopies(listedAt types.Time) []Endpoint {
	if len(c.formerCopies) == 0 {
		return nil
	}
	newest := map[types.Service]types.Time{}
	for id, since := range c.missingSince {
		e, _ := c.Instance(id)
		newest[e.Service] = max(newest[e.Service], since)
	}
	var lost []Endpoint
	for id, e := range c.formerCopies {
		if c.isSuperseded(e) || !listedAt.Before(newest[e.Service].Add(copyRetention)) {
			delete(c.formerCopies, id)
			delete(c.missingSince, id)
			lost = append(lost, e)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].ID < lost[j].ID })
	return lost
}

// isSuperseded reports whether the address of a missing endpoint belongs to another one.
func (c *Catalog) isSuperseded(missing Endpoint) bool {
	for id, e := range c.endpoints {
		if id != missing.ID && e.Address == missing.Address && e.Address != "" && c.IsListed(id) {
			return true
		}
	}
	return false
}

// Endpoint returns an endpoint by id.
func (c *Catalog) Endpoint(id types.Endpoint) (Endpoint, bool) {
	e, ok := c.endpoints[id]
	return e, ok
}

// Instance returns an endpoint by id, also one that has been removed but that campaigns still
// wait for.
func (c *Catalog) Instance(id types.Endpoint) (Endpoint, bool) {
	if e, ok := c.endpoints[id]; ok {
		return e, true
	}
	e, ok := c.formerCopies[id]
	return e, ok
}

// InstancesOf returns the endpoints that a campaign for a service has to consider, ordered by id:
// those of EndpointsOf, and the removed ones that may hold the last commits.
func (c *Catalog) InstancesOf(service types.Service) []Endpoint {
	out := slices.Clone(c.EndpointsOf(service))
	for _, e := range c.formerCopies {
		if e.Service == service {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// IsListed reports whether the store holds a record of the endpoint.
func (c *Catalog) IsListed(id types.Endpoint) bool {
	_, known := c.endpoints[id]
	_, missing := c.missingSince[id]
	return known && !missing
}

// EndpointsOf returns a service's endpoints, ordered by id, also those whose records may only
// have expired. The result must not be changed.
func (c *Catalog) EndpointsOf(service types.Service) []Endpoint {
	if out, ok := c.endpointsByService[service]; ok {
		return out
	}
	var out []Endpoint
	for _, e := range c.endpoints {
		if e.Service == service {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	c.endpointsByService[service] = out
	return out
}

// EndpointDataCentres returns the data centres that hold endpoints, in order. The result must
// not be changed.
func (c *Catalog) EndpointDataCentres() []types.DataCentre {
	if c.endpointDataCentres == nil {
		for _, e := range c.endpoints {
			c.endpointDataCentres = append(c.endpointDataCentres, e.DataCentre)
		}
		slices.Sort(c.endpointDataCentres)
		c.endpointDataCentres = slices.Compact(c.endpointDataCentres)
	}
	return c.endpointDataCentres
}

// VisitEndpoints calls visit with the endpoints of the configured services, in order.
func (c *Catalog) VisitEndpoints(visit func(e *Endpoint)) {
	for _, name := range c.sortedServices {
		endpoints := c.EndpointsOf(name)
		for i := range endpoints {
			visit(&endpoints[i])
		}
	}
}

// Services returns the names of the services of the configuration, in order. The
// result must not be changed.
func (c *Catalog) Services() []types.Service { return c.sortedServices }

// PrimaryOf returns the presumed primary of a service: the candidate if it claims
// to be primary, else the endpoint that was promoted last, else the first endpoint
// that claims to be primary.
func (c *Catalog) PrimaryOf(service types.Service) (types.Endpoint, bool) {
	record := c.leadership[service]
	if e, ok := c.endpoints[record.Candidate]; ok && e.Service == service && e.ClaimsPrimary {
		return e.ID, true
	}
	if e, ok := c.endpoints[record.Primary]; ok && e.Service == service {
		return e.ID, true
	}
	for _, e := range c.EndpointsOf(service) {
		if e.ClaimsPrimary {
			return e.ID, true
		}
	}
	return "", false
}

// SetLeadership stores the leadership record of a service. It returns false, and changes
// nothing, if the revision is not higher than the current one. If the store was restored and
// the record is earlier than the known one, the known one stays, with the new revision.
func (c *Catalog) SetLeadership(record Leadership) bool {
	old, known := c.leadership[record.Service]
	switch {
	case known && record.Revision <= old.Revision:
		return false
	case known && record.isEarlierThan(&old):
		old.Revision = record.Revision
		c.leadership[record.Service] = old
		c.lostLeadership[record.Service] = true
		return false
	}
	delete(c.lostLeadership, record.Service)
	c.leadership[record.Service] = record
	return true
}

// AmendLeadership replaces what is known of a service's leadership by a record that the store
// does not have. It returns false, and changes nothing, if the known record is a later one.
func (c *Catalog) AmendLeadership(record Leadership) bool {
	old := c.leadership[record.Service]
	if record.isEarlierThan(&old) {
		return false
	}
	record.Revision = old.Revision
	c.leadership[record.Service] = record
	c.lostLeadership[record.Service] = true
	return true
}

// IsLeadershipLost reports whether the store has an earlier leadership record of a service
// than the known one, or none.
func (c *Catalog) IsLeadershipLost(s types.Service) bool { return c.lostLeadership[s] }

// Leadership returns the leadership record of a service. Without one, it returns a
// record that holds only the service's name.
func (c *Catalog) Leadership(service types.Service) Leadership {
	record := c.leadership[service]
	record.Service = service
	return record
}

// SetHost stores a host, unless a later incarnation of it is known.
func (c *Catalog) SetHost(h Host) {
	old, known := c.hosts[h.ID]
	isOlder := h.StartedUnixMs < old.StartedUnixMs
	if old.Revision != 0 && h.Revision != 0 && old.Revision.Era() == h.Revision.Era() {
		// A restored store may return the record of an earlier process with a higher revision.
		isOlder = h.Revision < old.Revision
	}
	if known && isOlder {
		return
	}
	c.hosts[h.ID] = h
	c.sortedHosts = nil
}

// RemoveHost removes a host.
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
