package membership

import "baobabfield.example/core/types"

// Snapshot is an immutable view of the hosts.
type Snapshot struct{}

// DataCentres returns the data centres with known hosts, in order.
func (s Snapshot) DataCentres() []types.DataCentre { return nil }

// Live returns the hosts of a data centre that may own endpoints, in order:
// alive and suspect hosts, but not leaving or dead ones. Callers must not
// change the result.
func (s Snapshot) Live(_ types.DataCentre) []types.Host { return nil }

// Member returns the description of a host.
func (s Snapshot) Member(_ types.Host) (Member, bool) { return Member{}, false }

// Members returns the descriptions of all known hosts, in order of their names.
func (s Snapshot) Members() []Member { return nil }
