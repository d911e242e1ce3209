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
	id          types.RequestID
	rank        int
	feature     int
	database    int
	write       bool
	read        routing.Read
	frontend    int
	sentAt      types.Time // when the client sent it
	routedAt    types.Time // when the current attempt was sent to the owner
	tried       [instances]bool
	endpoint    int // endpoint of the current attempt
	serviceTime time.Duration
	startedAt   types.Time
}

// requestRate returns the requests per second of a feature.
func (s *simulation) requestRate(rank, feature int) float64 {
	capacity := float64(endpoints*s.slots) / loads[rank].meanServiceTime.Seconds()
	rate := capacity * loads[rank].calmShare / featuresPerRank
	if s.flood[rank] {
		rate = capacity * floodFactor / featuresPerRank
	}
	if s.floodFeature && rank == normal && feature == 0 {
		rate = capacity * floodFactor
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
	q := &request{rank: rank, feature: feature, sentAt: s.now}
	q.database = rng.Below(databases)
	q.frontend = rng.Below(len(s.frontends))
	q.write = rng.Float64() < loads[rank].writeShare
	// One fifth of the mean service time is constant. The rest is exponentially
	// distributed.
	mean := loads[rank].meanServiceTime
	q.serviceTime = mean/5 + exponential(rng, mean*4/5)
	kind := rng.Float64()
	if !q.write {
		s.setReadConstraints(q, kind, rng.Float64())
	}
	if s.isMeasured(q) {
		s.result.offeredCount[rank]++
	}
	s.schedule(s.clientDelay, func() {
		s.frontends[q.frontend].retryBudget.RecordFirstAttempt()
		s.result.firstAttempts++
		s.routeRequest(q)
	})
}

func (s *simulation) setReadConstraints(q *request, kind, age float64) {
	q.read.DataCentre = dataCentreName(s.frontends[q.frontend].dataCentre)
	if age < maxAgeReadShare {
		q.read.MaxStaleness = acceptedStaleness
	}
	switch {
	case kind < lostTokenShare:
		q.read.RequirePrimary = true
	case kind < lostTokenShare+readAfterWriteShare:
		q.read.MinPosition = s.logPosition(q.database, s.now)
	default:
		// The last write of the session was 1 s to 11 s ago.
		q.read.MinPosition = s.logPosition(q.database, s.now.Add(-time.Second-time.Duration(age*float64(10*time.Second))))
	}
}
