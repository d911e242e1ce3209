package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

func TestOwnerTableFollowsHostChanges(t *testing.T) {
	is := is.New(t)
	table := NewOwnerTable()
	table.AddEndpoint("db", "a")
	owner, _ := table.OwnerAndStandby("db")
	is.Equal(owner, types.Host(""))
	for _, n := range []int{3, 10, 2} {
		table.SetHosts("a", newHosts(n))
		owner, standby := table.OwnerAndStandby("db")
		wantOwner, wantStandby := OwnerAndStandby("db", newHosts(n))
		is.Equal(owner, wantOwner)
		is.Equal(standby, wantStandby)
	}
	table.RemoveEndpoint("db")
	owner, _ = table.OwnerAndStandby("db")
	is.Equal(owner, types.Host(""))
}

// newOwnerTable returns a table with three endpoints per database, and these endpoints.
// The hosts are divided among three data centres.
func newOwnerTable(databases, hostCount int) (*OwnerTable, []types.Endpoint) {
	table := NewOwnerTable()
	all := newHosts(hostCount)
	centres := []types.DataCentre{"a", "b", "c"}
	for i, dc := range centres {
		table.SetHosts(dc, all[i*len(all)/3:(i+1)*len(all)/3])
	}
	var endpoints []types.Endpoint
	for i := range databases * 3 {
		e := types.Endpoint(fmt.Sprintf("database-%d-%d", i/3, i%3))
		table.AddEndpoint(e, centres[i%3])
		table.OwnerAndStandby(e)
		endpoints = append(endpoints, e)
	}
	return table, endpoints
}

func BenchmarkOwnerTable(b *testing.B) {
	for _, size := range []struct{ databases, hosts int }{{3, 21}, {30, 210}, {300, 2600}, {3000, 2600}} {
		b.Run(fmt.Sprintf("databases=%d/hosts=%d", size.databases, size.hosts), func(b *testing.B) {
			table, endpoints := newOwnerTable(size.databases, size.hosts)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.OwnerAndStandby(endpoints[i%len(endpoints)])
				i++
			}
		})
	}
}

func BenchmarkChooseReadEndpoint(b *testing.B) {
	candidates := threeEndpoints()
	rng := random.New(1)
	read := ReadRequirements{MinPosition: logPoint(40), DataCentre: "b"}
	b.ReportAllocs()
	for b.Loop() {
		ChooseReadEndpoint(candidates, &read, &rng)
	}
}

func TestRoutingDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table, endpoints := newOwnerTable(300, 210)
	candidates := threeEndpoints()
	rng := random.New(1)
	read := ReadRequirements{MinPosition: logPoint(40), DataCentre: "b"}
	i := 0
	is.Equal(testing.AllocsPerRun(1000, func() {
		table.OwnerAndStandby(endpoints[i%len(endpoints)])
		ChooseReadEndpoint(candidates, &read, &rng)
		DecideRetry(types.NotRunOutcome(types.ReasonBehind, ""), Attempt{})
		i++
	}), 0.0)
}
