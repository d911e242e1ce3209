// Package policy measures the admission and routing policy in virtual time,
// with fakes of the endpoints and of the ways between hosts.
package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// result is what a run measured after the warm-up.
type result struct {
	offered   [rankCount]int
	good      [rankCount]int
	goodTime  [rankCount]time.Duration
	latency   [rankCount]*hdrhistogram.Histogram
	features  [featuresPerRank]int // goodput of the normal rank's features
	refused   int
	shed      int
	first     int
	retries   int
	reads     int
	eligible  int
	onReplica int
	slotTime  time.Duration
	wasted    time.Duration
	maxUse    int
}

// simulation is one run of a scenario.
type simulation struct {
	deployment
	scenario
	kind    policyKind
	ranks   []types.RankSpec
	now     types.Time
	seq     uint64
	agenda  agenda
	arrival random.Source
	work    random.Source
	owners  [endpoints]owner
	entries []entry
	primary [databases]int   // instance
	log     [databases]int   // positions now
	history [databases][]int // positions, one for each commitGrain
	nextID  types.RequestID
	result  result
	scratch [instances]routing.Candidate
}

// commitGrain is the resolution at which log positions are recorded.
const commitGrain = 10 * time.Millisecond

func newSimulation(d deployment, sc scenario, kind policyKind, seed uint64) *simulation {
	s := &simulation{
		deployment: d, scenario: sc, kind: kind, ranks: admission.DefaultRanks(),
		arrival: random.New(seed), work: random.New(seed + 1),
	}
	for i := range s.owners {
		s.owners[i] = owner{
			queue:   newScheduler(kind, d),
			running: map[types.RequestID]*request{}, queued: map[types.RequestID]*request{},
		}
	}
	s.entries = make([]entry, d.entries)
	for i := range s.entries {
		rng := random.New(seed + 100 + uint64(i))
		s.entries[i] = entry{dataCentre: i % dataCentres, gate: admission.NewGate(rng.Uint64()), rng: rng}
	}
	for db := range s.log {
		s.log[db] = firstPosition
	}
	for r := range s.result.latency {
		s.result.latency[r] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	return s
}

// place returns the data centre of an endpoint; each database has one in each.
func place(endpoint int) int { return (endpoint/instances + endpoint%instances) % dataCentres }

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	s.agenda.push(step{s.now.Add(d), s.seq, run})
}

func (s *simulation) way(a, b int) time.Duration {
	if a == b {
		return within
	}
	return s.between
}

func (s *simulation) run() *result {
	s.record()
	for r := range loads {
		for f := range featuresPerRank {
			s.generate(r, f)
		}
	}
	for e := range s.owners {
		s.tick(e)
	}
	if s.failover {
		s.after(failAt, s.fail)
	}
	for len(s.agenda) > 0 && s.agenda[0].at < types.Time(duration+tail) {
		next := s.agenda.pop()
		s.now = next.at
		next.run()
	}
	for e := range s.owners {
		s.result.maxUse = max(s.result.maxUse, s.owners[e].maxUse)
	}
	return &s.result
}

func dataCentreName(i int) types.DataCentre { return types.DataCentre(rune('a' + i)) }

func (s *simulation) measured(q *request) bool {
	return q.sent >= types.Time(warmUp) && q.sent < types.Time(duration)
}

// firstPosition is the log position of every database at the start.
const firstPosition = 1_000_000

// inWindow reports whether slot time that ends now is measured.
func (s *simulation) inWindow() bool {
	return s.now >= types.Time(warmUp) && s.now < types.Time(duration)
}

// position returns the log position of a database at a time. Before the start
// there was one commit in each commitGrain.
func (s *simulation) position(db int, at types.Time) types.LogPoint {
	i := int(at / types.Time(commitGrain))
	position := firstPosition + i
	switch {
	case at >= s.now:
		position = s.log[db]
	case at >= 0:
		position = s.history[db][i]
	}
	return types.LogPoint{Term: 1, Position: types.Position(position)}
}

// record notes the log positions once in each commitGrain.
func (s *simulation) record() {
	for db := range s.log {
		s.history[db] = append(s.history[db], s.log[db])
	}
	s.after(commitGrain, s.record)
}
