package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
)

func TestDebugStateOfHealthyHost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 51, 2)
	openAll(sim)
	sim.runFor(2 * time.Second)
	state := sim.hosts["h-a0"].machine.DebugState(sim.now)
	is.Equal(state.NotReady, "")
	is.Equal(state.Version, uint64(1))
	is.Equal(len(state.Routes), 3)
	is.Equal(state.Sessions, 7)
	is.Equal(len(state.Hosts), 6)
	for _, h := range state.Hosts {
		is.True(h.Usable)
	}
	for _, o := range state.Objects {
		is.True(o.Revision > 0 || o.Kind == proxy.KindLeadership) // no primary has been changed
		is.True(o.Kind != proxy.KindConfig || o.Age >= 0)
	}
	s := state.Services[0]
	is.Equal(string(s.Primary), "e-a")
	is.Equal(len(s.Endpoints), 3)
	is.Equal(s.Campaign, "")
	holders := 0
	for _, h := range sim.sortedHosts() {
		for _, e := range h.machine.DebugState(sim.now).Services[0].Endpoints {
			is.Equal(e.Owned, e.Owner == h.id) // only its owner uses an endpoint
			if e.HasAuthority {
				holders++
				is.Equal(e.ID, s.Primary)
			}
		}
	}
	is.Equal(holders, 1)
}

func TestDebugStateSaysWhyHostIsNotReady(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 52, 1)
	sim.store.down = true
	sim.killHost("h-a0")
	sim.startHost("h-a0", "a")
	is.Equal(sim.hosts["h-a0"].machine.DebugState(sim.now).NotReady, "no configuration is known")
}
