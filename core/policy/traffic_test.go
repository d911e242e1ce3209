package policy

import (
	"math"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// request is one call of a client.
type request struct {
	id       types.RequestID
	rank     int
	feature  int
	database int
	write    bool
	read     routing.Read
	entry    int
	sent     types.Time // by the client
	routed   types.Time // to the owner, in the current attempt
	tried    [instances]bool
	endpoint int // of the current attempt
	service  time.Duration
	started  types.Time
}

// rate returns the requests per second of a feature.
func (s *simulation) rate(rank, feature int) float64 {
	capacity := float64(endpoints*s.slots) / loads[rank].service.Seconds()
	rate := capacity * loads[rank].calm / featuresPerRank
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

// generate sends the requests of one feature, as a Poisson process.
func (s *simulation) generate(rank, feature int) {
	mean := time.Duration(float64(time.Second) / s.rate(rank, feature))
	rng := random.New(s.arrival.Uint64())
	var next func()
	next = func() {
		s.send(rank, feature, &rng)
		s.after(exponential(&rng, mean), next)
	}
	s.after(exponential(&rng, mean), next)
}

func (s *simulation) send(rank, feature int, rng *random.Source) {
	q := &request{rank: rank, feature: feature, sent: s.now}
	q.database = rng.IntN(databases)
	q.entry = rng.IntN(len(s.entries))
	q.write = rng.Float64() < loads[rank].writes
	// One part of the service time is fixed, the rest is exponential.
	mean := loads[rank].service
	q.service = mean/5 + exponential(rng, mean*4/5)
	kind := rng.Float64()
	if !q.write {
		s.describeRead(q, kind, rng.Float64())
	}
	if s.measured(q) {
		s.result.offered[rank]++
	}
	s.after(s.client, func() {
		s.entries[q.entry].budget.FirstTry()
		s.result.first++
		s.route(q)
	})
}

func (s *simulation) describeRead(q *request, kind, age float64) {
	q.read.DataCentre = dataCentreName(s.entries[q.entry].dataCentre)
	if age < agedReads {
		q.read.MaxAge = acceptedAge
	}
	switch {
	case kind < lostTokens:
		q.read.Primary = true
	case kind < lostTokens+hotReads:
		q.read.Token = s.position(q.database, s.now)
	default:
		// The session's last write lies some seconds back.
		q.read.Token = s.position(q.database, s.now.Add(-time.Second-time.Duration(age*float64(10*time.Second))))
	}
}
