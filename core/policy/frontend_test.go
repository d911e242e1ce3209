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
	inFlight    [endpointCount]int
	stats       [endpointCount]routing.EndpointStats
}

// candidates returns what the frontend knows about the endpoints of a database.
func (s *simulation) candidates(req *request) []routing.Candidate {
	fe := &s.frontends[req.frontend]
	for i := range s.candidateBuffer {
		endpoint := req.database*instanceCount + i
		lag := normalLag
		if s.laggingReplica && endpoint == faultyEndpoint {
			lag = longLag
		}
		s.candidateBuffer[i] = routing.Candidate{
			DataCentre: dataCentreName(dataCentreOf(endpoint)),
			Primary:    s.primaryInstance[req.database] == i,
			Reachable:  !s.owners[endpoint].isSuspected,
			Applied:    s.logPosition(req.database, s.now.Add(-lag-endpointViewDelay)),
			Staleness:  lag + endpointViewDelay,
			InFlight:   fe.inFlight[endpoint],
			Excluded:   req.triedInstances[i],
		}
		if s.policy != policyTwoChoices {
			s.candidateBuffer[i].Latency = fe.stats[endpoint].Latency(s.now)
			s.candidateBuffer[i].SuccessRate = fe.stats[endpoint].SuccessRate(s.now)
		}
	}
	return s.candidateBuffer[:]
}

// routeRequest sends a request to the owner of an endpoint.
func (s *simulation) routeRequest(req *request) {
	fe := &s.frontends[req.frontend]
	instance := s.primaryInstance[req.database]
	if !req.write {
		instance, _ = routing.ChooseReadEndpoint(s.candidates(req), &req.read, &fe.rng)
	}
	if instance < 0 || s.owners[req.database*instanceCount+instance].isSuspected {
		s.applyDecision(req, routing.RetryAfterWait)
		return
	}
	req.endpoint = req.database*instanceCount + instance
	rank := s.ranks[req.rank].Name
	if !fe.gate.Admit(s.now, rank, featureName(req.feature), "", endpointName(req.endpoint)) {
		if s.isMeasured(req) {
			s.result.shedCount++
		}
		return
	}
	fe.inFlight[req.endpoint]++
	req.routedAt = s.now
	delay := s.networkDelay(fe.dataCentre, dataCentreOf(req.endpoint))
	s.schedule(delay, func() { s.submitToOwner(req, delay) })
}

var featureNames = [featuresPerRank]types.Feature{"f0", "f1", "f2", "f3", "f4"}

func featureName(i int) types.Feature { return featureNames[i] }

// sendOutcome sends the outcome of an attempt back to the frontend.
func (s *simulation) sendOutcome(req *request, outcome types.Outcome) {
	endpoint := req.endpoint
	slotTime := s.now.Sub(req.startedAt)
	s.schedule(s.networkDelay(dataCentreOf(endpoint), s.frontends[req.frontend].dataCentre), func() {
		s.frontends[req.frontend].inFlight[endpoint]--
		s.recordAttempt(req, endpoint, outcome)
		if outcome.Kind != types.OutcomeDone {
			s.decideRetry(req, outcome)
			return
		}
		s.schedule(s.clientDelay, func() { s.recordResponse(req, slotTime) })
	})
}

// recordAttempt updates the frontend's statistics of an endpoint. Refusals by the queue
// are ignored, because they contain no information about the endpoint.
func (s *simulation) recordAttempt(req *request, endpoint int, outcome types.Outcome) {
	if outcome.Kind == types.OutcomeNotRun && outcome.Reason != types.ReasonUnreachable {
		return
	}
	stats := &s.frontends[req.frontend].stats[endpoint]
	stats.Observe(s.now, s.now.Sub(req.routedAt), outcome.Kind == types.OutcomeDone)
}

// recordResponse records the response to a request that was served.
func (s *simulation) recordResponse(req *request, slotTime time.Duration) {
	res := &s.result
	latency := s.now.Sub(req.sentAt)
	late := latency > s.ranks[req.rank].Target
	if s.isMeasuring() {
		s.recordSlotTime(req, slotTime, late)
	}
	if !s.isMeasured(req) {
		return
	}
	_ = res.latency[req.rank].RecordValue(int64(latency / time.Microsecond))
	if !req.write {
		res.readCount++
		if !req.read.RequirePrimary {
			res.replicaEligibleReads++
		}
		if req.endpoint%instanceCount != s.primaryInstance[req.database] {
			res.replicaReads++
		}
	}
	if late {
		return
	}
	res.goodput[req.rank]++
	if req.rank == normal {
		res.featureGoodput[req.feature]++
	}
}

// recordSlotTime adds the slot time of a response to the goodput or to the wasted time.
func (s *simulation) recordSlotTime(req *request, slotTime time.Duration, late bool) {
	if late {
		s.result.wastedTime += slotTime
		return
	}
	s.result.goodputTime[req.rank] += slotTime
}

// retryDelay is the time between two attempts at the same database.
const retryDelay = 50 * time.Millisecond

// decideRetry retries a request as far as the rules and the budget allow.
func (s *simulation) decideRetry(req *request, outcome types.Outcome) {
	s.applyDecision(req, routing.DecideRetry(outcome, routing.Attempt{Write: req.write}))
}

// applyDecision carries out a retry decision.
func (s *simulation) applyDecision(req *request, decision routing.RetryDecision) {
	late := s.now.Add(s.clientDelay).Sub(req.sentAt) > s.ranks[req.rank].Target
	if decision == routing.GiveUp || late || !s.frontends[req.frontend].retryBudget.Allow() {
		if s.isMeasured(req) {
			s.result.refusedCount++
		}
		return
	}
	s.result.retryCount++
	switch decision {
	case routing.RetryElsewhere:
		req.triedInstances[req.endpoint%instanceCount] = true
		s.routeRequest(req)
	default:
		s.schedule(retryDelay, func() { s.routeRequest(req) })
	}
}
