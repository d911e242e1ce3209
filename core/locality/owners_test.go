package locality

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

func testHosts(dc types.DataCentre, n, power int) []Host {
	var out []Host
	for i := range n {
		out = append(out, Host{types.Host(fmt.Sprintf("%s-%d-%d", dc, power, i)), dc, power})
	}
	return out
}

func testEndpoints(seed, n int) []types.Endpoint {
	var out []types.Endpoint
	for i := range n {
		out = append(out, types.Endpoint(fmt.Sprintf("service%d~%d", i, seed)))
	}
	return out
}

func dataCentresOf(hosts []Host) []types.DataCentre {
	var out []types.DataCentre
	for _, h := range hosts {
		out = append(out, h.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Guards against a weak host that owns an endpoint while strong hosts can carry it, wherever they
// are, and against strong hosts that get more endpoints than they can carry.
func TestOwnerCandidates(t *testing.T) {
	is := is.New(t)
	weak := testHosts("a", 31, 134)
	strongElsewhere := append(testHosts("b", 2, 800), testHosts("c", 2, 800)...)

	hosts := slices.Concat(weak, testHosts("a", 1, 800), strongElsewhere)
	is.Equal(OwnerCandidates("a", hosts, 8, 24), testHosts("a", 1, 800)) // strong hosts at home

	hosts = slices.Concat(weak, testHosts("a", 2, 448), strongElsewhere)
	is.Equal(OwnerCandidates("a", hosts, 8, 24), testHosts("a", 2, 448)) // 448 is more than half of 800

	// Four hosts of 0.8 core offer 24 endpoints 133 millicores each, less than the 134 at home;
	// with 16 endpoints they offer 200.
	hosts = slices.Concat(weak, strongElsewhere)
	is.Equal(dataCentresOf(OwnerCandidates("a", hosts, 8, 24)), []types.DataCentre{"a"})
	is.Equal(dataCentresOf(OwnerCandidates("a", hosts, 8, 16)), []types.DataCentre{"b", "c"})

	is.Equal(OwnerCandidates("d", hosts, 8, 24), strongElsewhere)      // no host at home
	is.Equal(len(OwnerCandidates("a", weak, 8, 8)), len(weak))         // only weak hosts
	is.Equal(len(OwnerCandidates("a", testHosts("a", 3, 0), 8, 8)), 3) // unknown power
	is.Equal(len(OwnerCandidates("a", nil, 8, 8)), 0)
}

// Guards against owners that depend on the order of the lists, since all hosts must find the same.
func TestOwnersDoNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	endpoints, hosts := testEndpoints(1, 20), testHosts("a", 7, 500)
	want := Owners(endpoints, hosts)
	is.Equal(len(want), len(endpoints))
	slices.Reverse(endpoints)
	slices.Reverse(hosts)
	is.Equal(Owners(endpoints, hosts), want)
	is.Equal(len(Owners(endpoints, nil)), 0)
}

// Guards against a host that owns much more than its share while another owns nothing, and against
// owners that change when a host or an endpoint comes or goes that does not concern them.
func TestOwnersAreEvenAndStable(t *testing.T) {
	const runs = 300
	for _, c := range []struct{ endpoints, hosts int }{{8, 2}, {8, 3}, {8, 9}, {24, 8}, {100, 20}} {
		idleBounded, idlePlain, mostBounded, mostPlain := 0, 0, 0, 0
		needless, moved, movedByEndpoint := 0, 0, 0
		for seed := range runs {
			endpoints, hosts := testEndpoints(seed, c.endpoints), testHosts("a", c.hosts, 800)
			owners := Owners(endpoints, hosts)
			bounded, plain := map[types.Host]int{}, map[types.Host]int{}
			for _, e := range endpoints {
				bounded[owners[e]]++
				first, _ := routing.HighestWeightHosts(string(e), ids(hosts))
				plain[first]++
			}
			limit := ownerLimits(c.endpoints, hosts)[0]
			for _, h := range hosts {
				if bounded[h.ID] > limit {
					t.Errorf("%d endpoints, %d hosts: %s owns %d", c.endpoints, c.hosts, h.ID, bounded[h.ID])
				}
				mostBounded, mostPlain = max(mostBounded, bounded[h.ID]), max(mostPlain, plain[h.ID])
				idleBounded += btoi(bounded[h.ID] == 0)
				idlePlain += btoi(plain[h.ID] == 0)
			}
			gone := hosts[0].ID
			without := Owners(endpoints, hosts[1:])
			for _, e := range endpoints {
				if without[e] != owners[e] {
					moved++
					needless += btoi(owners[e] != gone)
				}
			}
			fewer := Owners(endpoints[1:], hosts)
			for _, e := range endpoints[1:] {
				movedByEndpoint += btoi(fewer[e] != owners[e])
			}
		}
		n := float64(runs)
		t.Logf("%3d endpoints, %2d hosts: most of a host %d, plain %d; hosts without %.2f, plain %.2f; a host goes: %.2f move, %.2f of them of other hosts; an endpoint goes: %.2f others move",
			c.endpoints, c.hosts, mostBounded, mostPlain, float64(idleBounded)/n, float64(idlePlain)/n, float64(moved)/n, float64(needless)/n, float64(movedByEndpoint)/n)
		if idleBounded > idlePlain || mostBounded > mostPlain {
			t.Errorf("%d endpoints, %d hosts: less even than without bounds", c.endpoints, c.hosts)
		}
		if 10*needless > runs*c.endpoints || 10*movedByEndpoint > runs*c.endpoints {
			t.Errorf("%d endpoints, %d hosts: more than a tenth of the owners change needlessly", c.endpoints, c.hosts)
		}
	}
}

func ids(hosts []Host) []types.Host {
	var out []types.Host
	for _, h := range hosts {
		out = append(out, h.ID)
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
