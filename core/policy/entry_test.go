package policy

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// entry is the fake of an entry host round the real gate, budget and routing.
type entry struct {
	dataCentre  int
	gate        *admission.Gate
	budget      routing.RetryBudget
	rng         random.Source
	outstanding [endpoints]int
	stats       [endpoints]routing.Stats
}

// candidates fills in what the entry knows of the endpoints of a database.
func (s *simulation) candidates(q *request) []routing.Candidate {
	e := &s.entries[q.entry]
	for i := range s.scratch {
		endpoint := q.database*instances + i
		lag := usualLag
		if s.behind && endpoint == faulty {
			lag = longLag
		}
		s.scratch[i] = routing.Candidate{
			DataCentre:  dataCentreName(place(endpoint)),
			Primary:     s.primary[q.database] == i,
			Reachable:   !s.owners[endpoint].suspected,
			Applied:     s.position(q.database, s.now.Add(-lag-viewDelay)),
			Age:         lag + viewDelay,
			Outstanding: e.outstanding[endpoint],
			Excluded:    q.tried[i],
		}
		if s.kind != twoChoices {
			s.scratch[i].Latency = e.stats[endpoint].Latency(s.now)
			s.scratch[i].Success = e.stats[endpoint].Success(s.now)
		}
	}
	return s.scratch[:]
}

// route sends a request to an endpoint's owner.
func (s *simulation) route(q *request) {
	e := &s.entries[q.entry]
	instance := s.primary[q.database]
	if !q.write {
		instance, _ = routing.ChooseRead(s.candidates(q), &q.read, &e.rng)
	}
	if instance < 0 || s.owners[q.database*instances+instance].suspected {
		s.decide(q, routing.WaitRetry)
		return
	}
	q.endpoint = q.database*instances + instance
	rank := s.ranks[q.rank].Name
	if !e.gate.Admit(s.now, rank, featureName(q.feature), "", endpointName(q.endpoint)) {
		if s.measured(q) {
			s.result.shed++
		}
		return
	}
	e.outstanding[q.endpoint]++
	q.routed = s.now
	way := s.way(e.dataCentre, place(q.endpoint))
	s.after(way, func() { s.submit(q, way) })
}

var featureNames = [featuresPerRank]types.Feature{"f0", "f1", "f2", "f3", "f4"}

func featureName(i int) types.Feature { return featureNames[i] }

// answer brings the outcome of an attempt back to the entry.
func (s *simulation) answer(q *request, outcome types.Outcome) {
	endpoint := q.endpoint
	held := s.now.Sub(q.started)
	s.after(s.way(place(endpoint), s.entries[q.entry].dataCentre), func() {
		s.entries[q.entry].outstanding[endpoint]--
		s.observe(q, endpoint, outcome)
		if outcome.Kind != types.OutcomeDone {
			s.retry(q, outcome)
			return
		}
		s.after(s.client, func() { s.complete(q, held) })
	})
}

// observe feeds the entry's statistics of an endpoint. Refusals by the queue
// say nothing about the endpoint.
func (s *simulation) observe(q *request, endpoint int, outcome types.Outcome) {
	if outcome.Kind == types.OutcomeNotRun && outcome.Reason != types.ReasonUnreachable {
		return
	}
	stats := &s.entries[q.entry].stats[endpoint]
	stats.Observe(s.now, s.now.Sub(q.routed), outcome.Kind == types.OutcomeDone)
}

// complete records a request that was served.
func (s *simulation) complete(q *request, held time.Duration) {
	res := &s.result
	latency := s.now.Sub(q.sent)
	late := latency > s.ranks[q.rank].Target
	if s.inWindow() {
		s.account(q, held, late)
	}
	if !s.measured(q) {
		return
	}
	_ = res.latency[q.rank].RecordValue(int64(latency / time.Microsecond))
	if !q.write {
		res.reads++
		if !q.read.Primary {
			res.eligible++
		}
		if q.endpoint%instances != s.primary[q.database] {
			res.onReplica++
		}
	}
	if late {
		return
	}
	res.good[q.rank]++
	if q.rank == normal {
		res.features[q.feature]++
	}
}

// account adds the slot time of an answer to the goodput or to the waste.
func (s *simulation) account(q *request, held time.Duration, late bool) {
	if late {
		s.result.wasted += held
		return
	}
	s.result.goodTime[q.rank] += held
}

// retryPause is the time between two tries of the same database.
const retryPause = 50 * time.Millisecond

// retry tries a request again as the rules and the budget allow.
func (s *simulation) retry(q *request, outcome types.Outcome) {
	s.decide(q, routing.Retry(outcome, routing.Attempt{Write: q.write}))
}

// decide carries out a decision about another try.
func (s *simulation) decide(q *request, decision routing.Decision) {
	late := s.now.Add(s.client).Sub(q.sent) > s.ranks[q.rank].Target
	if decision == routing.GiveUp || late || !s.entries[q.entry].budget.Allow() {
		if s.measured(q) {
			s.result.refused++
		}
		return
	}
	s.result.retries++
	switch decision {
	case routing.RetryElsewhere:
		q.tried[q.endpoint%instances] = true
		s.route(q)
	default:
		s.after(retryPause, func() { s.route(q) })
	}
}
