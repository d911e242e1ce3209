package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

// newSettledSimulation returns a simulation that has a primary at faultTime and
// submits writes until loadUntil.
func newSettledSimulation(is *is.I, loadUntil time.Duration) (*simulation, *fakeHost) {
	is.Helper()
	sim := newSimulation(7)
	sim.scheduleWrites(5*time.Millisecond, loadUntil)
	sim.runUntil(faultTime)
	h := sim.primaryHost()
	is.True(h != nil)
	return sim, h
}

func TestPlannedChangeAcknowledgesEveryWrite(t *testing.T) {
	is := is.New(t)
	sim, h := newSettledSimulation(is, faultTime+time.Second)
	to := types.Endpoint("e2")
	if h.machine.View().Primary == to {
		to = "e3"
	}
	before := sim.lastWriteID
	sim.retriesRejected = true
	h.stepMachine(failover.PlannedChange{To: to})
	sim.runUntil(faultTime + 3*time.Second)
	is.Equal(sim.violation, "")
	is.Equal(len(h.plannedChangesEnded), 1)
	is.Equal(h.plannedChangesEnded[0].Outcome, types.Outcome{})
	is.Equal(sim.primaryHost().machine.View().Primary, to)
	is.True(!h.writesHeld)
	for id := before + 1; id <= sim.lastWriteID; id++ {
		is.True(sim.history.acknowledged[id]) // every submitted write is acknowledged
	}
}

func TestPlannedChangeRefusals(t *testing.T) {
	is := is.New(t)
	sim, h := newSettledSimulation(is, faultTime)
	other := sim.host("h2")
	if h == other {
		other = sim.host("h3")
	}
	other.stepMachine(failover.PlannedChange{})
	is.Equal(other.plannedChangesEnded[0].Outcome.Reason, types.ReasonNotOwner)
	h.stepMachine(failover.PlannedChange{To: "e9"})
	is.Equal(h.plannedChangesEnded[0].Outcome.Reason, types.ReasonBadRequest)
}

func TestPlannedChangeToUnreachableReplicaReleasesWrites(t *testing.T) {
	is := is.New(t)
	sim, h := newSettledSimulation(is, faultTime+3*time.Second)
	to := types.Endpoint("e2")
	if h.machine.View().Primary == to {
		to = "e3"
	}
	sim.endpoint(to).crash(time.Minute)
	sim.runUntil(faultTime + time.Second)
	h.stepMachine(failover.PlannedChange{To: to})
	sim.runUntil(faultTime + 3*time.Second)
	is.Equal(h.plannedChangesEnded[0].Outcome.Reason, types.ReasonBehind)
	is.True(!h.writesHeld)
	is.True(sim.primaryHost() != nil)
}

func TestSetChangeReplacesPrimary(t *testing.T) {
	is := is.New(t)
	sim, h := newSettledSimulation(is, faultTime+6*time.Second)
	rest := []types.Endpoint{"e4"}
	for _, e := range []types.Endpoint{"e1", "e2", "e3"} {
		if e != h.machine.View().Primary {
			rest = append(rest, e)
		}
	}
	sim.changeSet(rest, 100*time.Millisecond)
	sim.runUntil(faultTime + 6*time.Second)
	is.Equal(sim.violation, "")
	is.Equal(len(sim.spec.PreviousEndpoints), 0) // the set change is complete
	v := sim.primaryHost().machine.View()
	is.Equal(v.Term.EndpointSet(), uint32(2))
	is.True(sim.history.acks[len(sim.history.acks)-1].time > faultTime+5*time.Second)
}

// TestCampaignNeedsMajorityOfBothSets checks that grants from only one of the current
// and the previous endpoint set lead to no promotion.
func TestCampaignNeedsMajorityOfBothSets(t *testing.T) {
	is := is.New(t)
	spec := types.DatabaseSpec{ID: "db", EndpointSet: 2, Endpoints: endpointSpecs("e4", "e5", "e6"), PreviousEndpoints: specOfSet1.Endpoints}
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
						events = append(events, failover.FenceResponse{RequestID: f.RequestID, Endpoint: f.Endpoint, Granted: true, Term: f.Term})
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
