package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func hosts(n int) []types.Host {
	out := make([]types.Host, n)
	for i := range out {
		out[i] = types.Host(fmt.Sprintf("host-%d", i))
	}
	return out
}

func TestOwnerStaysWhenAnotherHostLeaves(t *testing.T) {
	is := is.New(t)
	all := hosts(21)
	for i := range 200 {
		e := types.Endpoint(fmt.Sprintf("db-%d", i))
		owner, standby := Owners(e, all)
		is.True(owner != standby) // two distinct hosts
		var without []types.Host
		for _, h := range all {
			if h != owner {
				without = append(without, h)
			}
		}
		next, _ := Owners(e, without)
		is.Equal(next, standby) // the stand-by takes over
	}
}

func TestOwnersSpreadEvenly(t *testing.T) {
	is := is.New(t)
	all := hosts(10)
	count := map[types.Host]int{}
	for i := range 10000 {
		owner, _ := Owners(types.Endpoint(fmt.Sprintf("db-%d", i)), all)
		count[owner]++
	}
	for _, h := range all {
		is.True(count[h] > 800 && count[h] < 1200) // within a fifth of the mean
	}
}

func TestOwnersOfFewHosts(t *testing.T) {
	is := is.New(t)
	owner, standby := Owners("db", nil)
	is.Equal(owner, types.Host(""))
	is.Equal(standby, types.Host(""))
	owner, standby = Owners("db", hosts(1))
	is.Equal(owner, types.Host("host-0"))
	is.Equal(standby, types.Host(""))
}

// centres is a fixed view of the hosts.
type centres map[types.DataCentre][]types.Host

func (c centres) DataCentres() []types.DataCentre       { return []types.DataCentre{"pelotas", "sao-jose"} }
func (c centres) Live(dc types.DataCentre) []types.Host { return c[dc] }

func TestOtherDataCentresStandInForOneWithoutHosts(t *testing.T) {
	is := is.New(t)
	live := centres{"pelotas": {"p-1", "p-2"}, "sao-jose": {"s-1"}}
	owner, standby := OwnersAt("db", "sao-jose", live)
	is.Equal(owner, types.Host("s-1"))
	is.Equal(standby, types.Host(""))
	delete(live, "sao-jose")
	owner, standby = OwnersAt("db", "sao-jose", live)
	is.True(owner != "" && standby != "" && owner != standby)
}
