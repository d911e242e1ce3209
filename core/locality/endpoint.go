package locality

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// loadValidity is how long a reported load is used while no service time is known.
	loadValidity = 400 * time.Millisecond
	// holdServiceTimes is the time, in service times, for which a reported load is used unchanged:
	// a queue of long statements changes slowly and is reported rarely. minHold bounds it. An
	// older load is reduced by drainPercent of what the endpoint can run in the time since then.
	holdServiceTimes = 8
	minHold          = 30 * time.Millisecond
	drainPercent     = 25
	// sampleValidity is how long service times and round trips are used without a new sample.
	// An endpoint that was slow once is then tried again.
	sampleValidity = 5 * time.Second
	// averageSamples and waitSamples set the weight of a new sample, 1/averageSamples for times
	// and 1/waitSamples for waits, which vary more.
	averageSamples = 8
	waitSamples    = 32
	// maxRoundTrip bounds the round trip of a sample, since a result that is sent again after a
	// silent link arrives late.
	maxRoundTrip = 500 * time.Millisecond
	// waitPerRequest is the estimated wait that each request per slot adds while no service time
	// is known.
	waitPerRequest = 18 * time.Millisecond
	// ranks is the number of ranks with statistics of their own. Higher ranks share the last one.
	ranks = 4
	// minWaitRatio bounds the correction of the wait of a rank. Observed waits lag behind a queue
	// that grows: with a bound of 0.125, 1.3 % more of the reads missed their objective in a burst of
	// short work (TestSharedRuleAgainstFixedCosts).
	minWaitRatio = 0.75
	// awayWaitFactor multiplies the wait at an endpoint in another data centre, and
	// awayServiceTimes service times are added to it. Its load is known from few reads, and other
	// frontends may be about to send theirs. With factor 1, the data centres of a deployment that is
	// overloaded everywhere send each other 35 % of their reads instead of 21 %.
	awayWaitFactor   = 3
	awayServiceTimes = 1
)

// Endpoint is what a frontend has observed of an endpoint.
type Endpoint struct {
	// InFlight is the number of the frontend's own requests at the endpoint.
	InFlight int
	// load is the load that the owner reported at loadAt.
	load   int
	loadAt types.Time
	// service and roundTrip are averages of reads; sampledAt is the time of the last sample.
	service, roundTrip time.Duration
	sampledAt          types.Time
	// queued and modelled are the averages, by rank, of the observed time in the queue and of the
	// wait that the load suggests. A rank that the queue serves first waits less.
	queued, modelled [ranks]time.Duration
}

// Sample is the result of a read.
type Sample struct {
	Rank  int
	Slots int
	// QueueTime, ServiceTime and Elapsed are the time in the owner's queue, at the endpoint, and
	// between sending and the result.
	QueueTime, ServiceTime, Elapsed time.Duration
}

func isRecent(now, at types.Time, d time.Duration) bool { return at != 0 && now.Sub(at) < d }

func average(mean *time.Duration, sample, samples time.Duration) { *mean += (sample - *mean) / samples }

func clampRank(r int) int { return max(0, min(r, ranks-1)) }

// RecordLoad records the load that a result reports.
func (e *Endpoint) RecordLoad(now types.Time, load int) { e.load, e.loadAt = load, now }

// RecordRead records the times of a read that the endpoint has run. The load of its result must
// have been recorded before.
func (e *Endpoint) RecordRead(now types.Time, s Sample) {
	roundTrip := max(0, min(s.Elapsed-s.QueueTime-s.ServiceTime, maxRoundTrip))
	if !isRecent(now, e.sampledAt, sampleValidity) {
		e.service, e.roundTrip = s.ServiceTime, roundTrip
	}
	e.sampledAt = now
	average(&e.service, s.ServiceTime, averageSamples)
	average(&e.roundTrip, roundTrip, averageSamples)
	r := clampRank(s.Rank)
	average(&e.queued[r], s.QueueTime, waitSamples)
	average(&e.modelled[r], waitBehind(e.load, s.Slots, e.service), waitSamples)
}

// waitBehind returns the time until a slot is free for a request that arrives behind load others.
func waitBehind(load, slots int, service time.Duration) time.Duration {
	slots = max(slots, 1)
	return service * time.Duration(max(0, load+1-slots)) / time.Duration(slots)
}

// ServiceTime returns the mean service time of recent reads, or 0 if there are none.
func (e *Endpoint) ServiceTime(now types.Time) time.Duration {
	if !isRecent(now, e.sampledAt, sampleValidity) {
		return 0
	}
	return e.service
}

// Load returns the estimated number of requests at the endpoint. service is the estimated
// service time; 0 if unknown.
func (e *Endpoint) Load(now types.Time, slots int, service time.Duration) int {
	age := now.Sub(e.loadAt)
	if e.loadAt == 0 || (service <= 0 && age >= loadValidity) {
		return e.InFlight
	}
	if service <= 0 {
		return max(e.InFlight, e.load)
	}
	hold := max(minHold, holdServiceTimes*service)
	if age <= hold {
		return max(e.InFlight, e.load)
	}
	drained := int64(age-hold) * int64(slots) * drainPercent / 100 / int64(service)
	return max(e.InFlight, e.load-int(min(drained, int64(e.load))))
}

// Read describes a read whose endpoint is being selected.
type Read struct {
	Rank int
	// Objective is the time that is left to meet the latency objective.
	Objective time.Duration
	// TypicalService is the service time of an endpoint without observations, see Baseline; 0 if
	// none is known.
	TypicalService time.Duration
}

// baselineTime is the time in which the baseline follows a changed service time.
const baselineTime = 30 * time.Second

// Baseline is the usual service time of the fastest endpoint of a service. An endpoint that a
// frontend has not used is expected to be as fast: the service time of the only one that it uses
// says nothing about the others if that one has become slow.
type Baseline struct {
	service   time.Duration
	updatedAt types.Time
}

// Update adds the present lowest mean service time, or 0 if none is known, and returns the
// baseline.
func (b *Baseline) Update(now types.Time, lowest time.Duration) time.Duration {
	elapsed := min(now.Sub(b.updatedAt), baselineTime)
	b.updatedAt = now
	switch {
	case lowest <= 0:
	case b.service == 0:
		b.service = lowest
	default:
		b.service += scale(lowest-b.service, elapsed, baselineTime)
	}
	return b.service
}

// Cost returns the cost of the time that a read takes at the endpoint, as waiting time. isHome is
// set for an endpoint of the frontend's data centre.
func (e *Endpoint) Cost(now types.Time, read *Read, slots int, isHome bool) time.Duration {
	if read.TypicalService <= 0 {
		return waitPerRequest * time.Duration(e.Load(now, slots, 0)) / time.Duration(max(slots, 1))
	}
	service, perRequest := read.TypicalService, read.TypicalService
	var roundTrip time.Duration
	if own := e.ServiceTime(now); own > 0 {
		// Averages of a few samples differ by chance. Only a service time of more than twice the
		// typical one counts as slow by itself.
		service, perRequest = max(service, own-service), max(service, own)
		roundTrip = e.roundTrip
	}
	wait := waitBehind(e.Load(now, slots, perRequest), slots, perRequest)
	wait = time.Duration(float64(wait) * e.waitRatio(read.Rank, service))
	if !isHome {
		wait = awayWaitFactor*wait + awayServiceTimes*service
	}
	return ResponseCost(wait+service+roundTrip, read.Objective)
}

// waitRatio returns the observed wait of a rank in relation to the wait that the load suggests.
// It is 1 as long as both are short.
func (e *Endpoint) waitRatio(rank int, service time.Duration) float64 {
	r := clampRank(rank)
	return max(minWaitRatio, min(float64(e.queued[r]+service)/float64(e.modelled[r]+service), 1))
}

const (
	// missCost is the cost of a read that misses its objective, as waiting time: more than
	// ten times the default price of a link.
	missCost = 800 * time.Millisecond
	// safePercent is the part of the objective up to which a response is expected to meet it,
	// and safeCost the cost of a response of that duration. Service times vary, so that an
	// expected response close to the objective often misses it.
	safePercent = 33
	safeCost    = missCost * 12 / 100
	// latePercent is the cost of further waiting beyond the objective, in relation to waiting
	// that is safe.
	latePercent = 10
	// defaultObjective is that of a route without one.
	defaultObjective = 400 * time.Millisecond
)

// ResponseCost returns the cost of an expected response time: little while the objective is met
// for certain, then rising steeply up to missCost, and little more for each further delay.
func ResponseCost(response, objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	safe := max(objective*safePercent/100, 1)
	switch {
	case response <= safe:
		return scale(safeCost, response, safe)
	case response <= objective:
		return safeCost + scale(missCost-safeCost, response-safe, objective-safe)
	}
	return missCost + scale(safeCost, response-objective, safe)*latePercent/100
}

// scale returns d * part / whole.
func scale(d, part, whole time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(part) / float64(whole))
}
