package capacity

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/membership"
)

// trafficCounts returns the numbers of messages and bytes sent by each host.
func trafficCounts(nw *network) []int {
	var counts []int
	for _, hostUsage := range nw.usage {
		counts = append(counts, hostUsage.sent, hostUsage.sentBytes)
	}
	return counts
}

func TestEqualRunsSendEqualTraffic(t *testing.T) {
	is := is.New(t)
	run := func() []int {
		m := newMemberFleet(fleets[0])
		m.network.advance(5 * time.Second)
		return trafficCounts(m.network)
	}
	is.Equal(run(), run())
}

func TestMembershipDetectsLostHost(t *testing.T) {
	is := is.New(t)
	m := newMemberFleet(fleets[0])
	m.measureUntil(time.Minute, m.allHostsAgree)
	is.True(m.allHostsAgree())
	m.stopHost(1)
	is.True(!m.allHostsAgree())
	m.measureUntil(2*time.Minute, m.allHostsAgree)
	is.True(m.allHostsAgree())
}

func TestConfigRolloutStaysWithinBudget(t *testing.T) {
	is := is.New(t)
	c := newConfigFleet(fleets[0])
	c.network.advanceUntil(time.Minute, func() bool { return c.upToDate(allCentres) })
	c.network.advance(watchStartTime)
	is.True(c.measureSlowestRollout() <= rolloutBudget) // virtual time
	is.Equal(len(c.platform.watchedVersions), 2*fleets[0].centres)
}

func TestPrimaryReplacementStaysWithinBudget(t *testing.T) {
	is := is.New(t)
	spec := fleets[0].databaseSpec(0)
	sim := newDatabaseSimulation(spec)
	sim.advanceUntil(5*time.Second, never)
	is.True(sim.hasPrimary())
	sim.instances[spec.Endpoints[0].ID].stopped = true
	is.True(!sim.hasPrimary())
	is.True(sim.advanceUntil(time.Minute, sim.hasPrimary) <= primaryChangeBudget) // virtual time
}

func TestEncodedSize(t *testing.T) {
	is := is.New(t)
	is.Equal(encodedSize("abc"), 5)
	is.Equal(encodedSize(""), 0)
	is.Equal(encodedSize(uint64(300)), 3)
	is.Equal(encodedSize([]string{"a", "bc"}), 7)
	is.True(encodedSize(membership.Ping{Seq: 1, Updates: make([]membership.Member, 3)}) > 20)
}

func TestReplaceTablesKeepsRestOfPage(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "page.md")
	is.NoErr(os.WriteFile(name, []byte("before\n"+beginMarker+"\nold\n"+endMarker+"\nafter\n"), 0o600))
	is.NoErr(ReplaceTables(name, "new\n"))
	content, err := os.ReadFile(name)
	is.NoErr(err)
	is.Equal(string(content), "before\n"+beginMarker+"\nnew\n"+endMarker+"\nafter\n")
	is.NoErr(os.WriteFile(name, []byte("no markers"), 0o600))
	is.True(ReplaceTables(name, "new") != nil)
}
