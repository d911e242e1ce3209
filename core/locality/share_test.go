package locality

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

const testStart = types.Time(time.Hour)

// Guards against a cost that falls while the response gets later, and against one at which waiting
// that misses the objective costs little.
func TestResponseCostRisesWithResponse(t *testing.T) {
	is := is.New(t)
	last := time.Duration(-1)
	for response := time.Duration(0); response < 2*time.Second; response += ms {
		cost := ResponseCost(response, 400*ms)
		is.True(cost >= last)
		last = cost
	}
	within := ResponseCost(130*ms, 400*ms) - ResponseCost(30*ms, 400*ms)
	missed := ResponseCost(400*ms, 400*ms) - ResponseCost(300*ms, 400*ms)
	late := ResponseCost(900*ms, 400*ms) - ResponseCost(800*ms, 400*ms)
	is.True(missed > 3*within)
	is.True(missed > 3*late)
	is.Equal(ResponseCost(100*ms, 0), ResponseCost(100*ms, defaultObjective))
}

// Guards against a share that follows each small difference of the costs, so that the load
// alternates between two data centres.
func TestShareStaysBetweenPriceAndPartOfIt(t *testing.T) {
	is := is.New(t)
	var s Share
	now := testStart
	step := func(gain time.Duration, n int) float64 {
		for range n {
			now = now.Add(10 * ms)
			s.leave(now, gain, DefaultPrice, 28*ms)
		}
		return s.Value()
	}
	is.Equal(step(-1*ms, 50), 0.0)
	risen := step(30*ms, 20)
	is.True(risen > 0.2 && risen < maxShare)
	is.Equal(step(-20*ms, 50), risen) // leaving saves less than the price, but most of it
	is.True(step(-60*ms, 20) < risen)
	is.Equal(step(-200*ms, 50), 0.0)
	is.Equal(step(time.Second, 50), maxShare) // some reads always stay
}

// Guards against a share that is not the part of the reads that leave.
func TestShareIsPartOfReads(t *testing.T) {
	is := is.New(t)
	for _, phase := range []float64{0, 0.5, 0.99} {
		s := NewShare(phase)
		s.value, s.updatedAt = 0.3, testStart
		left := 0
		for range 1000 {
			if s.leave(testStart, 0, DefaultPrice, 28*ms) {
				left++
			}
		}
		is.True(left >= 299 && left <= 301)
	}
}

// Guards against estimates that change for a host that has observed nothing yet.
func TestEstimatesWithoutObservations(t *testing.T) {
	is := is.New(t)
	e := Endpoint{InFlight: 3}
	is.Equal(e.Cost(testStart, &Read{}, 6, true), 9*ms)
	e.RecordLoad(testStart, 12)
	is.Equal(e.Cost(testStart.Add(399*ms), &Read{}, 6, false), 36*ms)
	is.Equal(e.Cost(testStart.Add(400*ms), &Read{}, 6, true), 9*ms)

	var choice Choice
	var share Share
	choice.Add(Candidate{Index: 0, Cost: 71 * ms}, true)
	choice.Add(Candidate{Index: 1, Cost: 70 * ms}, false)
	i, reason, ok := choice.Decide(testStart, &share, DefaultPrice, 0)
	is.True(ok)
	is.Equal(i, 1)
	is.Equal(reason, ReasonWait)
}

// Guards against reads that wait for the share to change while their endpoint fails, or that stay
// away after its recovery.
func TestFaultsDoNotWaitForShare(t *testing.T) {
	is := is.New(t)
	var share Share
	decide := func(homeFault time.Duration) (int, Reason) {
		var choice Choice
		choice.Add(Candidate{Index: 0, Cost: 10*ms + homeFault, FaultCost: homeFault}, true)
		choice.Add(Candidate{Index: 1, Cost: 80 * ms}, false)
		i, reason, _ := choice.Decide(testStart, &share, DefaultPrice, 28*ms)
		return i, reason
	}
	i, reason := decide(3 * time.Second)
	is.Equal(i, 1)
	is.Equal(reason, ReasonFault)
	i, reason = decide(0)
	is.Equal(i, 0)
	is.Equal(reason, ReasonHome)
	is.Equal(share.Value(), 0.0)

	var empty, awayOnly Choice
	_, _, ok := empty.Decide(testStart, &share, DefaultPrice, 28*ms)
	is.True(!ok)
	awayOnly.Add(Candidate{Index: 2}, false)
	i, reason, ok = awayOnly.Decide(testStart, &share, DefaultPrice, 28*ms)
	is.True(ok)
	is.Equal(i, 2)
	is.Equal(reason, ReasonNoEndpoint)
}

// BenchmarkDecide measures the decision for a read with three endpoints.
func BenchmarkDecide(b *testing.B) {
	var endpoints [3]Endpoint
	var share Share
	var baseline Baseline
	for i := range endpoints {
		endpoints[i].RecordLoad(testStart, 8+i)
		endpoints[i].RecordRead(testStart, Sample{Rank: 1, Slots: 6, QueueTime: 10 * ms, ServiceTime: 28 * ms, Elapsed: 40 * ms})
	}
	now := testStart
	for b.Loop() {
		now = now.Add(time.Microsecond)
		read := Read{Rank: 1, Objective: 400 * ms, TypicalService: baseline.Update(now, endpoints[0].ServiceTime(now))}
		var choice Choice
		for i := range endpoints {
			choice.Add(Candidate{Index: i, Cost: endpoints[i].Cost(now, &read, 6, i == 0)}, i == 0)
		}
		choice.Decide(now, &share, DefaultPrice, read.TypicalService)
	}
}
