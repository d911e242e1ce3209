// Package policy measures the admission and routing policy in virtual time. Endpoints
// and the network between hosts are simulated; packages admission and routing make the
// decisions. A scenario states the load, and a run of it gives the goodput and the
// latency of each rank. Goodput counts the requests that are served within the target of
// their rank.
package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// result holds the measurements of a run after the warm-up.
type result struct {
	offeredCount         [rankCount]int
	goodput              [rankCount]int
	goodputTime          [rankCount]time.Duration
	latency              [rankCount]*hdrhistogram.Histogram
	featureGoodput       [featuresPerRank]int // goodput of the features of the normal rank
	refusedCount         int
	shedCount            int
	firstAttempts        int
	retryCount           int
	readCount            int
	replicaEligibleReads int
	replicaReads         int
	slotTime             time.Duration
	wastedTime           time.Duration
	maxSlotsInUse        int
}

// simulation is one run of a scenario.
type simulation struct {
	deployment
	scenario
	policy          policyKind
	ranks           []types.RankSpec
	now             types.Time
	seq             uint64
	events          eventQueue
	arrivalRandom   random.Source
	workRandom      random.Source
	owners          [endpointCount]owner
	frontends       []frontend
	primaryInstance [databaseCount]int   // instance number by database
	positions       [databaseCount]int   // current log position by database
	positionHistory [databaseCount][]int // log positions by database, one per positionInterval
	nextID          types.RequestID
	result          result
	candidateBuffer [instanceCount]routing.Candidate
}

// positionInterval is the interval at which log positions are recorded.
const positionInterval = 10 * time.Millisecond

func newSimulation(d deployment, sc scenario, kind policyKind, seed uint64) *simulation {
	s := &simulation{
		deployment: d, scenario: sc, policy: kind, ranks: admission.DefaultRanks(),
		arrivalRandom: random.New(seed), workRandom: random.New(seed + 1),
	}
	for i := range s.owners {
		s.owners[i] = owner{
			queue:   newScheduler(kind, d),
			running: map[types.RequestID]*request{}, queued: map[types.RequestID]*request{},
		}
	}
	s.frontends = make([]frontend, d.frontendCount)
	for i := range s.frontends {
		rng := random.New(seed + 100 + uint64(i))
		s.frontends[i] = frontend{dataCentre: i % dataCentreCount, gate: admission.NewGate(rng.Uint64()), rng: rng}
	}
	for db := range s.positions {
		s.positions[db] = firstPosition
	}
	for r := range s.result.latency {
		s.result.latency[r] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	return s
}

// dataCentreOf returns the data centre of an endpoint. Each database has one instance in
// each data centre.
func dataCentreOf(endpoint int) int {
	return (endpoint/instanceCount + endpoint%instanceCount) % dataCentreCount
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	s.events.push(event{s.now.Add(d), s.seq, run})
}

func (s *simulation) networkDelay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return s.remoteDelay
}

func (s *simulation) run() *result {
	s.recordPositions()
	for r := range loads {
		for f := range featuresPerRank {
			s.generateLoad(r, f)
		}
	}
	for e := range s.owners {
		s.tickQueue(e)
	}
	if s.failover {
		s.schedule(failoverAt, s.failPrimary)
	}
	for len(s.events) > 0 && s.events[0].at < types.Time(loadDuration+loadTail) {
		next := s.events.pop()
		s.now = next.at
		next.run()
	}
	for e := range s.owners {
		s.result.maxSlotsInUse = max(s.result.maxSlotsInUse, s.owners[e].maxSlotsInUse)
	}
	return &s.result
}

func dataCentreName(i int) types.DataCentre { return types.DataCentre(rune('a' + i)) }

func (s *simulation) isMeasured(req *request) bool {
	return req.sentAt >= types.Time(warmUpTime) && req.sentAt < types.Time(loadDuration)
}

// firstPosition is the initial log position of every database.
const firstPosition = 1_000_000

// isMeasuring reports whether slot time that ends now is measured.
func (s *simulation) isMeasuring() bool {
	return s.now >= types.Time(warmUpTime) && s.now < types.Time(loadDuration)
}

// logPosition returns the log position of a database at a time. Before the start of the
// simulation, it assumes one commit per positionInterval.
func (s *simulation) logPosition(db int, at types.Time) types.LogPoint {
	i := int(at / types.Time(positionInterval))
	position := firstPosition + i
	switch {
	case at >= s.now:
		position = s.positions[db]
	case at >= 0:
		position = s.positionHistory[db][i]
	}
	return types.LogPoint{Term: 1, Position: types.Position(position)}
}

// recordPositions records the log positions once per positionInterval.
func (s *simulation) recordPositions() {
	for db := range s.positions {
		s.positionHistory[db] = append(s.positionHistory[db], s.positions[db])
	}
	s.schedule(positionInterval, s.recordPositions)
}
