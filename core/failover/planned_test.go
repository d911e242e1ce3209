package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

// settled returns a world with a primary and a load of writes.
func settled(is *is.I, load time.Duration) (*world, *fakeHost) {
	is.Helper()
	w := newWorld(7)
	w.load(5*time.Millisecond, load)
	w.run(faultAt)
	h := w.primaryHost()
	is.True(h != nil)
	return w, h
}

func TestPlannedChangeLosesNothing(t *testing.T) {
	is := is.New(t)
	w, h := settled(is, faultAt+time.Second)
	to := types.Endpoint("e2")
	if h.m.View().Primary == to {
		to = "e3"
	}
	before := w.nextWrite
	w.queueing = true
	h.step(failover.PlannedChange{To: to})
	w.run(faultAt + 3*time.Second)
	is.Equal(w.violation, "")
	is.Equal(len(h.ended), 1)
	is.Equal(h.ended[0].Outcome, types.Outcome{})
	is.Equal(w.primaryHost().m.View().Primary, to)
	is.True(!h.held)
	for id := before + 1; id <= w.nextWrite; id++ {
		is.True(w.truth.acked[id]) // every write that was offered is acknowledged
	}
}

func TestPlannedChangeIsRefused(t *testing.T) {
	is := is.New(t)
	w, h := settled(is, faultAt)
	other := w.host("h2")
	if h == other {
		other = w.host("h3")
	}
	other.step(failover.PlannedChange{})
	is.Equal(other.ended[0].Outcome.Reason, types.ReasonNotOwner)
	h.step(failover.PlannedChange{To: "e9"})
	is.Equal(h.ended[0].Outcome.Reason, types.ReasonBadRequest)
}

func TestPlannedChangeToLaggingReplicaEndsUnheld(t *testing.T) {
	is := is.New(t)
	w, h := settled(is, faultAt+3*time.Second)
	to := types.Endpoint("e2")
	if h.m.View().Primary == to {
		to = "e3"
	}
	w.endpoint(to).crash(time.Minute)
	w.run(faultAt + time.Second)
	h.step(failover.PlannedChange{To: to})
	w.run(faultAt + 3*time.Second)
	is.Equal(h.ended[0].Outcome.Reason, types.ReasonBehind)
	is.True(!h.held)
	is.True(w.primaryHost() != nil)
}

func TestSetChangeMovesThePrimary(t *testing.T) {
	is := is.New(t)
	w, h := settled(is, faultAt+6*time.Second)
	rest := []types.Endpoint{"e4"}
	for _, e := range []types.Endpoint{"e1", "e2", "e3"} {
		if e != h.m.View().Primary {
			rest = append(rest, e)
		}
	}
	w.changeSet(rest, 100*time.Millisecond)
	w.run(faultAt + 6*time.Second)
	is.Equal(w.violation, "")
	is.Equal(len(w.spec.PreviousEndpoints), 0) // the change is complete
	v := w.primaryHost().m.View()
	is.Equal(v.Term.EndpointSet(), uint32(2))
	is.True(w.truth.acks[len(w.truth.acks)-1].time > faultAt+5*time.Second)
}

// TestCampaignFencesBothSets checks that grants of the new set alone promote nobody.
func TestCampaignFencesBothSets(t *testing.T) {
	is := is.New(t)
	spec := types.DatabaseSpec{ID: "db", EndpointSet: 2, Endpoints: specsOf("e4", "e5", "e6"), PreviousEndpoints: set1.Endpoints}
	owners := map[types.Endpoint]types.Host{}
	for _, e := range []types.Endpoint{"e1", "e2", "e3", "e4", "e5", "e6"} {
		owners[e] = "h1"
	}
	m := failover.New(failover.Config{Host: "h1", Database: spec, Owners: owners}, 0)
	promotes := func(granting ...types.Endpoint) bool {
		promoted := false
		var events []failover.Event
		for now := types.Time(0); now < types.Time(2*time.Second); now = now.Add(10 * time.Millisecond) {
			events = append(events, failover.Tick{})
			for _, ev := range events {
				events = events[1:]
				for _, eff := range m.Step(now, ev) {
					if f, ok := eff.(failover.Fence); ok && contains(granting, f.Endpoint) {
						events = append(events, failover.FenceAnswer{Question: f.Question, Endpoint: f.Endpoint, Granted: true, Term: f.Term})
					}
					_, sent := eff.(failover.Promote)
					promoted = promoted || sent
				}
			}
		}
		return promoted
	}
	is.True(!promotes("e4", "e5", "e6"))
	is.True(!promotes("e1", "e2", "e3"))
}

func contains(set []types.Endpoint, e types.Endpoint) bool {
	for _, other := range set {
		if other == e {
			return true
		}
	}
	return false
}
