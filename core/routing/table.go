package routing

import "baobabfield.example/core/types"

// OwnerTable remembers the owners of endpoints, so that a lookup does not
// depend on the number of hosts. Owners are computed anew at the first lookup
// after a change of the live hosts of the endpoint's data centre.
type OwnerTable struct {
	centres map[types.DataCentre]*centre
	owners  map[types.Endpoint]*owners
}

// centre holds the live hosts of a data centre.
type centre struct {
	live    []types.Host
	version uint64
}

// owners holds the owner and the stand-by of an endpoint as of a version of
// its data centre's hosts.
type owners struct {
	centre         *centre
	version        uint64
	owner, standby types.Host
}

// NewOwnerTable returns a table without hosts and endpoints.
func NewOwnerTable() *OwnerTable {
	return &OwnerTable{
		centres: map[types.DataCentre]*centre{},
		owners:  map[types.Endpoint]*owners{},
	}
}

// SetHosts replaces the live hosts of a data centre.
func (t *OwnerTable) SetHosts(dc types.DataCentre, live []types.Host) {
	c := t.centre(dc)
	c.live = append(c.live[:0], live...)
	c.version++
}

// AddEndpoint adds an endpoint, or moves it to another data centre.
func (t *OwnerTable) AddEndpoint(e types.Endpoint, dc types.DataCentre) {
	t.owners[e] = &owners{centre: t.centre(dc)}
}

// RemoveEndpoint forgets an endpoint.
func (t *OwnerTable) RemoveEndpoint(e types.Endpoint) { delete(t.owners, e) }

// Owners returns the owner and the stand-by of an endpoint; both are empty for
// an endpoint that is not in the table.
func (t *OwnerTable) Owners(e types.Endpoint) (owner, standby types.Host) {
	o, ok := t.owners[e]
	if !ok {
		return "", ""
	}
	if o.version != o.centre.version {
		o.owner, o.standby = Owners(e, o.centre.live)
		o.version = o.centre.version
	}
	return o.owner, o.standby
}

func (t *OwnerTable) centre(dc types.DataCentre) *centre {
	c, ok := t.centres[dc]
	if !ok {
		c = &centre{version: 1}
		t.centres[dc] = c
	}
	return c
}
