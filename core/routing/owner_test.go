package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func newHosts(n int) []types.Host {
	out := make([]types.Host, n)
	for i := range out {
		out[i] = types.Host(fmt.Sprintf("host-%d", i))
	}
	return out
}

func TestStandbyBecomesOwnerWhenOwnerLeaves(t *testing.T) {
	is := is.New(t)
	all := newHosts(21)
	for i := range 200 {
		e := types.Endpoint(fmt.Sprintf("db-%d", i))
		owner, standby := OwnerAndStandby(e, all)
		is.True(owner != standby)
		var without []types.Host
		for _, h := range all {
			if h != owner {
				without = append(without, h)
			}
		}
		next, _ := OwnerAndStandby(e, without)
		is.Equal(next, standby) // the standby takes over
	}
}

func TestOwnersAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	all := newHosts(10)
	count := map[types.Host]int{}
	for i := range 10000 {
		owner, _ := OwnerAndStandby(types.Endpoint(fmt.Sprintf("db-%d", i)), all)
		count[owner]++
	}
	for _, h := range all {
		is.True(count[h] > 800 && count[h] < 1200) // within 20 percent of the mean
	}
}

func TestOwnerAndStandbyWithFewHosts(t *testing.T) {
	is := is.New(t)
	owner, standby := OwnerAndStandby("db", nil)
	is.Equal(owner, types.Host(""))
	is.Equal(standby, types.Host(""))
	owner, standby = OwnerAndStandby("db", newHosts(1))
	is.Equal(owner, types.Host("host-0"))
	is.Equal(standby, types.Host(""))
}

// fixedHosts is a LiveHosts with fixed contents.
type fixedHosts map[types.DataCentre][]types.Host

func (c fixedHosts) DataCentres() []types.DataCentre {
	return []types.DataCentre{"pelotas", "sao-jose"}
}
func (c fixedHosts) Live(dc types.DataCentre) []types.Host { return c[dc] }

func TestHostsOfOtherDataCentresOwnEndpointsOfEmptyOne(t *testing.T) {
	is := is.New(t)
	live := fixedHosts{"pelotas": {"p-1", "p-2"}, "sao-jose": {"s-1"}}
	owner, standby := OwnerAndStandbyAt("db", "sao-jose", live)
	is.Equal(owner, types.Host("s-1"))
	is.Equal(standby, types.Host(""))
	delete(live, "sao-jose")
	owner, standby = OwnerAndStandbyAt("db", "sao-jose", live)
	is.True(owner != "" && standby != "" && owner != standby)
}
