package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

func TestOwnerTableFollowsHosts(t *testing.T) {
	is := is.New(t)
	table := NewOwnerTable()
	table.AddEndpoint("db", "a")
	owner, _ := table.Owners("db")
	is.Equal(owner, types.Host(""))
	for _, n := range []int{3, 10, 2} {
		table.SetHosts("a", hosts(n))
		owner, standby := table.Owners("db")
		wantOwner, wantStandby := Owners("db", hosts(n))
		is.Equal(owner, wantOwner)
		is.Equal(standby, wantStandby)
	}
	table.RemoveEndpoint("db")
	owner, _ = table.Owners("db")
	is.Equal(owner, types.Host(""))
}

// fleet returns a table of n databases with three endpoints each, in three
// data centres that share the given hosts, and the endpoints.
func fleet(databases, hostCount int) (*OwnerTable, []types.Endpoint) {
	table := NewOwnerTable()
	all := hosts(hostCount)
	centres := []types.DataCentre{"a", "b", "c"}
	for i, dc := range centres {
		table.SetHosts(dc, all[i*len(all)/3:(i+1)*len(all)/3])
	}
	var endpoints []types.Endpoint
	for i := range databases * 3 {
		e := types.Endpoint(fmt.Sprintf("database-%d-%d", i/3, i%3))
		table.AddEndpoint(e, centres[i%3])
		table.Owners(e)
		endpoints = append(endpoints, e)
	}
	return table, endpoints
}

func BenchmarkOwners(b *testing.B) {
	for _, size := range []struct{ databases, hosts int }{{3, 21}, {30, 210}, {300, 2600}, {3000, 2600}} {
		b.Run(fmt.Sprintf("databases=%d/hosts=%d", size.databases, size.hosts), func(b *testing.B) {
			table, endpoints := fleet(size.databases, size.hosts)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Owners(endpoints[i%len(endpoints)])
				i++
			}
		})
	}
}

func BenchmarkChooseRead(b *testing.B) {
	candidates := threeEndpoints()
	rng := random.New(1)
	read := Read{Token: at(40), DataCentre: "b"}
	b.ReportAllocs()
	for b.Loop() {
		ChooseRead(candidates, &read, &rng)
	}
}

func TestRoutingAllocatesNothing(t *testing.T) {
	is := is.New(t)
	table, endpoints := fleet(300, 210)
	candidates := threeEndpoints()
	rng := random.New(1)
	read := Read{Token: at(40), DataCentre: "b"}
	i := 0
	is.Equal(testing.AllocsPerRun(1000, func() {
		table.Owners(endpoints[i%len(endpoints)])
		ChooseRead(candidates, &read, &rng)
		Retry(types.RefusedOutcome(types.ReasonBehind, ""), Attempt{})
		i++
	}), 0.0)
}
