package capacity

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/membership"
)

// traffic returns the messages and bytes that each host sent.
func traffic(b *bus) []int {
	var counts []int
	for _, meter := range b.meters {
		counts = append(counts, meter.sent, meter.sentBytes)
	}
	return counts
}

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	run := func() []int {
		m := newMembers(fleets[0])
		m.bus.run(5 * time.Second)
		return traffic(m.bus)
	}
	is.Equal(run(), run())
}

func TestMembershipSeesALostRack(t *testing.T) {
	is := is.New(t)
	m := newMembers(fleets[0])
	m.loadUntil(time.Minute, m.allAgreed)
	is.True(m.allAgreed())
	m.stop(1)
	is.True(!m.allAgreed())
	m.loadUntil(2*time.Minute, m.allAgreed)
	is.True(m.allAgreed())
}

func TestConfigurationIsInForceWithinTheBudget(t *testing.T) {
	is := is.New(t)
	c := newConfigFleet(fleets[0])
	c.bus.runUntil(time.Minute, func() bool { return c.current(everywhere) })
	c.bus.run(settleTime)
	is.True(c.slowestRollout() <= rolloutBudget) // virtual time
	is.Equal(len(c.platform.watches), 2*fleets[0].centres)
}

func TestPrimaryIsReplacedWithinTheBudget(t *testing.T) {
	is := is.New(t)
	spec := fleets[0].database(0)
	w := newDatabaseWorld(spec)
	w.run(5*time.Second, never)
	is.True(w.hasPrimary())
	w.instances[spec.Endpoints[0].ID].dead = true
	is.True(!w.hasPrimary())
	is.True(w.run(time.Minute, w.hasPrimary) <= primaryBudget) // virtual time
}

func TestEncodedSize(t *testing.T) {
	is := is.New(t)
	is.Equal(encodedSize("abc"), 5)
	is.Equal(encodedSize(""), 0)
	is.Equal(encodedSize(uint64(300)), 3)
	is.Equal(encodedSize([]string{"a", "bc"}), 7)
	is.True(encodedSize(membership.Ping{Seq: 1, Updates: make([]membership.Member, 3)}) > 20)
}

func TestReplaceKeepsTheRestOfThePage(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "page.md")
	is.NoErr(os.WriteFile(name, []byte("before\n"+beginMark+"\nold\n"+endMark+"\nafter\n"), 0o600))
	is.NoErr(Replace(name, "new\n"))
	content, err := os.ReadFile(name)
	is.NoErr(err)
	is.Equal(string(content), "before\n"+beginMark+"\nnew\n"+endMark+"\nafter\n")
	is.NoErr(os.WriteFile(name, []byte("no marks"), 0o600))
	is.True(Replace(name, "new") != nil)
}
