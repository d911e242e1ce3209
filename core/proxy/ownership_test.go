package proxy

import (
	"fmt"
	"testing"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/types"
)

// newFleetMachine returns a machine that knows 134 hosts, 9 of them strong, and 24 endpoints.
func newFleetMachine() *Machine {
	m := New(Settings{Host: "h-000", DataCentre: "dc-0", Seed: 1})
	cfg := catalog.Config{Version: 1, Workspaces: []catalog.Workspace{{Name: "w"}}}
	for i := range 8 {
		s := types.Service(fmt.Sprintf("s-%d", i))
		cfg.Services = append(cfg.Services, catalog.Service{Name: s, MaxConnections: 100})
		for j := range 3 {
			m.catalog.SetEndpoint(catalog.Endpoint{ID: types.Endpoint(fmt.Sprintf("e-%d-%d", i, j)), Service: s, DataCentre: types.DataCentre(fmt.Sprintf("dc-%d", j))})
		}
	}
	m.catalog.SetConfig(cfg)
	for i := range 134 {
		power := 134
		if i%15 == 0 {
			power = 800
		}
		m.catalog.SetHost(catalog.Host{
			ID: types.Host(fmt.Sprintf("h-%03d", i)), DataCentre: types.DataCentre(fmt.Sprintf("dc-%d", i%4)), CPUMillicores: power, WorkspaceRules: catalog.WorkspaceRules,
		})
	}
	return m
}

// Guards against work that grows with the number of hosts for each attempt of a deferred request:
// each of them avoids the hosts that have refused it, and is attempted every 40 ms.
func TestOwnersWithoutAvoidedHostsAreCached(t *testing.T) {
	m := newFleetMachine()
	owner := m.ownerOf("e-0-0", nil)
	avoided := []types.Host{owner}
	other := m.ownerOf("e-0-0", avoided)
	if other == owner || other == "" {
		t.Fatalf("the owner without %s is %q", owner, other)
	}
	if n := testing.AllocsPerRun(100, func() { m.ownerOf("e-0-0", avoided) }); n > 2 {
		t.Errorf("the owner without an avoided host takes %v allocations", n)
	}
	if got := m.ownerOf("e-0-0", []types.Host{owner, other}); got == owner || got == other {
		t.Errorf("the owner without %s and %s is %s", owner, other, got)
	}
	m.catalog.RemoveHost(other)
	m.clearOwnerCache()
	if got := m.ownerOf("e-0-0", avoided); got == other {
		t.Errorf("the owner is %s, which has gone", got)
	}
	for i := range 1000 {
		m.ownerOf("e-0-0", []types.Host{types.Host(fmt.Sprint(i))})
	}
	if n := len(m.ownersWithout); n > maxOwnersWithout {
		t.Errorf("%d lists of avoided hosts are cached", n)
	}
}

func BenchmarkOwnerWithoutAvoidedHost(b *testing.B) {
	m := newFleetMachine()
	avoided := []types.Host{m.ownerOf("e-0-0", nil)}
	for b.Loop() {
		m.ownerOf("e-0-0", avoided)
	}
}
