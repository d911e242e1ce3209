package routing

import "baobabfield.example/core/types"

// OwnerTable caches the owners of endpoints, so that the cost of a lookup does not
// depend on the number of hosts. Owners are recomputed at the first lookup after a
// change of the live hosts of the endpoint's data centre.
type OwnerTable struct {
	dataCentres map[types.DataCentre]*dataCentreHosts
	ownerships  map[types.Endpoint]*ownership
}

// dataCentreHosts holds the live hosts of a data centre. The version increases with each
// change.
type dataCentreHosts struct {
	live    []types.Host
	version uint64
}

// ownership holds the owner and the standby of an endpoint, computed from the given
// version of its data centre's hosts.
type ownership struct {
	hosts          *dataCentreHosts
	version        uint64
	owner, standby types.Host
}

// NewOwnerTable returns a table without hosts and endpoints.
func NewOwnerTable() *OwnerTable {
	return &OwnerTable{
		dataCentres: map[types.DataCentre]*dataCentreHosts{},
		ownerships:  map[types.Endpoint]*ownership{},
	}
}

// SetHosts replaces the live hosts of a data centre.
func (t *OwnerTable) SetHosts(dc types.DataCentre, live []types.Host) {
	c := t.hostsOf(dc)
	c.live = append(c.live[:0], live...)
	c.version++
}

// AddEndpoint adds an endpoint, or moves it to another data centre.
func (t *OwnerTable) AddEndpoint(e types.Endpoint, dc types.DataCentre) {
	t.ownerships[e] = &ownership{hosts: t.hostsOf(dc)}
}

// RemoveEndpoint removes an endpoint.
func (t *OwnerTable) RemoveEndpoint(e types.Endpoint) { delete(t.ownerships, e) }

// OwnerAndStandby returns the owner and the standby of an endpoint. Both are empty if
// the endpoint is not in the table.
func (t *OwnerTable) OwnerAndStandby(e types.Endpoint) (owner, standby types.Host) {
	o, ok := t.ownerships[e]
	if !ok {
		return "", ""
	}
	if o.version != o.hosts.version {
		o.owner, o.standby = OwnerAndStandby(e, o.hosts.live)
		o.version = o.hosts.version
	}
	return o.owner, o.standby
}

func (t *OwnerTable) hostsOf(dc types.DataCentre) *dataCentreHosts {
	c, ok := t.dataCentres[dc]
	if !ok {
		c = &dataCentreHosts{version: 1}
		t.dataCentres[dc] = c
	}
	return c
}
