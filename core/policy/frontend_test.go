package policy

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// frontend simulates a frontend. It uses the real gate, retry budget and routing.
type frontend struct {
	dataCentre  int
	gate        *admission.Gate
	retryBudget routing.RetryBudget
	rng         random.Source
	inFlight    [endpoints]int
	stats       [endpoints]routing.EndpointStats
}

// candidates returns what the frontend knows about the endpoints of a database.
func (s *simulation) candidates(q *request) []routing.Candidate {
	e := &s.frontends[q.frontend]
	for i := range s.candidateBuffer {
		endpoint := q.database*instances + i
		lag := normalLag
		if s.behind && endpoint == faultyEndpoint {
			lag = longLag
		}
		s.candidateBuffer[i] = routing.Candidate{
			DataCentre: dataCentreName(dataCentreOf(endpoint)),
			Primary:    s.primaryInstance[q.database] == i,
			Reachable:  !s.owners[endpoint].isSuspected,
			Applied:    s.logPosition(q.database, s.now.Add(-lag-endpointViewDelay)),
			Staleness:  lag + endpointViewDelay,
			InFlight:   e.inFlight[endpoint],
			Excluded:   q.tried[i],
		}
		if s.policy != policyTwoChoices {
			s.candidateBuffer[i].Latency = e.stats[endpoint].Latency(s.now)
			s.candidateBuffer[i].SuccessRate = e.stats[endpoint].SuccessRate(s.now)
		}
	}
	return s.candidateBuffer[:]
}

// routeRequest sends a request to the owner of an endpoint.
func (s *simulation) routeRequest(q *request) {
	e := &s.frontends[q.frontend]
	instance := s.primaryInstance[q.database]
	if !q.write {
		instance, _ = routing.ChooseReadEndpoint(s.candidates(q), &q.read, &e.rng)
	}
	if instance < 0 || s.owners[q.database*instances+instance].isSuspected {
		s.applyDecision(q, routing.RetryAfterWait)
		return
	}
	q.endpoint = q.database*instances + instance
	rank := s.ranks[q.rank].Name
	if !e.gate.Admit(s.now, rank, featureName(q.feature), "", endpointName(q.endpoint)) {
		if s.isMeasured(q) {
			s.result.shedCount++
		}
		return
	}
	e.inFlight[q.endpoint]++
	q.routedAt = s.now
	delay := s.networkDelay(e.dataCentre, dataCentreOf(q.endpoint))
	s.schedule(delay, func() { s.submitToOwner(q, delay) })
}

var featureNames = [featuresPerRank]types.Feature{"f0", "f1", "f2", "f3", "f4"}

func featureName(i int) types.Feature { return featureNames[i] }

// sendOutcome sends the outcome of an attempt back to the frontend.
func (s *simulation) sendOutcome(q *request, outcome types.Outcome) {
	endpoint := q.endpoint
	held := s.now.Sub(q.startedAt)
	s.schedule(s.networkDelay(dataCentreOf(endpoint), s.frontends[q.frontend].dataCentre), func() {
		s.frontends[q.frontend].inFlight[endpoint]--
		s.recordAttempt(q, endpoint, outcome)
		if outcome.Kind != types.Done {
			s.decideRetry(q, outcome)
			return
		}
		s.schedule(s.clientDelay, func() { s.recordAnswer(q, held) })
	})
}

// recordAttempt updates the frontend's statistics of an endpoint. Refusals by the queue
// are ignored, because they contain no information about the endpoint.
func (s *simulation) recordAttempt(q *request, endpoint int, outcome types.Outcome) {
	if outcome.Kind == types.NotRun && outcome.Reason != types.ReasonUnreachable {
		return
	}
	stats := &s.frontends[q.frontend].stats[endpoint]
	stats.Observe(s.now, s.now.Sub(q.routedAt), outcome.Kind == types.Done)
}

// recordAnswer records a request that was served.
func (s *simulation) recordAnswer(q *request, held time.Duration) {
	res := &s.result
	latency := s.now.Sub(q.sentAt)
	late := latency > s.ranks[q.rank].Target
	if s.inWindow() {
		s.recordSlotTime(q, held, late)
	}
	if !s.isMeasured(q) {
		return
	}
	_ = res.latency[q.rank].RecordValue(int64(latency / time.Microsecond))
	if !q.write {
		res.readCount++
		if !q.read.RequirePrimary {
			res.replicaEligibleReads++
		}
		if q.endpoint%instances != s.primaryInstance[q.database] {
			res.replicaReads++
		}
	}
	if late {
		return
	}
	res.goodput[q.rank]++
	if q.rank == normal {
		res.featureGoodput[q.feature]++
	}
}

// recordSlotTime adds the slot time of an answer to the goodput or to the wasted time.
func (s *simulation) recordSlotTime(q *request, held time.Duration, late bool) {
	if late {
		s.result.wastedTime += held
		return
	}
	s.result.goodputTime[q.rank] += held
}

// retryDelay is the time between two attempts at the same database.
const retryDelay = 50 * time.Millisecond

// decideRetry retries a request as far as the rules and the budget allow.
func (s *simulation) decideRetry(q *request, outcome types.Outcome) {
	s.applyDecision(q, routing.DecideRetry(outcome, routing.Attempt{Write: q.write}))
}

// applyDecision carries out a retry decision.
func (s *simulation) applyDecision(q *request, decision routing.Decision) {
	late := s.now.Add(s.clientDelay).Sub(q.sentAt) > s.ranks[q.rank].Target
	if decision == routing.GiveUp || late || !s.frontends[q.frontend].retryBudget.Allow() {
		if s.isMeasured(q) {
			s.result.refusedCount++
		}
		return
	}
	s.result.retryCount++
	switch decision {
	case routing.RetryElsewhere:
		q.tried[q.endpoint%instances] = true
		s.routeRequest(q)
	default:
		s.schedule(retryDelay, func() { s.routeRequest(q) })
	}
}
