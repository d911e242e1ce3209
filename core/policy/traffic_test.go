package policy

import (
	"math"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// request is one request of a client.
type request struct {
	id             types.RequestID
	rank           int
	feature        int
	database       int
	write          bool
	read           routing.ReadRequirements
	frontend       int
	sentAt         types.Time // when the client sent it
	routedAt       types.Time // when the current attempt was sent to the owner
	triedInstances [instanceCount]bool
	endpoint       int // endpoint of the current attempt
	serviceTime    time.Duration
	startedAt      types.Time
}

// requestRate returns the requests per second of a feature.
func (s *simulation) requestRate(rank, feature int) float64 {
	capacity := float64(endpointCount*s.slots) / loads[rank].meanServiceTime.Seconds()
	rate := capacity * loads[rank].calmShare / featuresPerRank
	if s.flood[rank] {
		rate = capacity * floodLoadFactor / featuresPerRank
	}
	if s.floodFeature && rank == normal && feature == 0 {
		rate = capacity * floodLoadFactor
	}
	return rate
}

func exponential(rng *random.Source, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) * float64(mean))
}

// generateLoad sends the requests of one feature as a Poisson process.
func (s *simulation) generateLoad(rank, feature int) {
	mean := time.Duration(float64(time.Second) / s.requestRate(rank, feature))
	rng := random.New(s.arrivalRandom.Uint64())
	var next func()
	next = func() {
		s.sendRequest(rank, feature, &rng)
		s.schedule(exponential(&rng, mean), next)
	}
	s.schedule(exponential(&rng, mean), next)
}

func (s *simulation) sendRequest(rank, feature int, rng *random.Source) {
	req := &request{rank: rank, feature: feature, sentAt: s.now}
	req.database = rng.IntN(databaseCount)
	req.frontend = rng.IntN(len(s.frontends))
	req.write = rng.Float64() < loads[rank].writeShare
	// One fifth of the mean service time is constant. The rest is exponentially
	// distributed.
	mean := loads[rank].meanServiceTime
	req.serviceTime = mean/5 + exponential(rng, mean*4/5)
	kindDraw := rng.Float64()
	if !req.write {
		s.setReadConstraints(req, kindDraw, rng.Float64())
	}
	if s.isMeasured(req) {
		s.result.offeredCount[rank]++
	}
	s.schedule(s.clientDelay, func() {
		s.frontends[req.frontend].retryBudget.RecordFirstAttempt()
		s.result.firstAttempts++
		s.routeRequest(req)
	})
}

func (s *simulation) setReadConstraints(req *request, kindDraw, ageDraw float64) {
	req.read.DataCentre = dataCentreName(s.frontends[req.frontend].dataCentre)
	if ageDraw < maxAgeReadShare {
		req.read.MaxStaleness = acceptedStaleness
	}
	switch {
	case kindDraw < lostTokenShare:
		req.read.RequirePrimary = true
	case kindDraw < lostTokenShare+readAfterWriteShare:
		req.read.MinPosition = s.logPosition(req.database, s.now)
	default:
		// The last write of the session was 1 s to 11 s ago.
		req.read.MinPosition = s.logPosition(req.database, s.now.Add(-time.Second-time.Duration(ageDraw*float64(10*time.Second))))
	}
}
