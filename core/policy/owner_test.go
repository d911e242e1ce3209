package policy

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
)

// owner simulates an endpoint and its owner. It uses the real queue or a baseline.
type owner struct {
	queue   scheduler
	running map[types.RequestID]*request
	queued  map[types.RequestID]*request
	isDown  bool
	// isSuspected is set once the frontends know that the endpoint is down.
	isSuspected   bool
	slotsInUse    int
	maxSlotsInUse int
}

var endpointNames = func() (out [endpointCount]types.Endpoint) {
	for i := range out {
		out[i] = types.Endpoint(rune('A' + i))
	}
	return out
}()

func endpointName(i int) types.Endpoint { return endpointNames[i] }

// submitToOwner submits a request to the owner's queue. The submitted age includes the
// time that the response needs to reach the client.
func (s *simulation) submitToOwner(req *request, delay time.Duration) {
	o := &s.owners[req.endpoint]
	s.nextID++
	req.id = s.nextID
	o.queued[req.id] = req
	s.applyEffects(req.endpoint, o.queue.Step(s.now, admission.Event{
		Kind: admission.EventSubmit, ID: req.id, Rank: s.ranks[req.rank].Name,
		Feature: featureName(req.feature), Write: req.write,
		Age: s.now.Sub(req.sentAt) + delay + s.clientDelay,
	}))
}

// applyEffects carries out the effects of an owner's queue.
func (s *simulation) applyEffects(e int, effects []admission.Effect) {
	o := &s.owners[e]
	for _, effect := range effects {
		switch effect.Kind {
		case admission.EffectStart:
			req := o.queued[effect.ID]
			delete(o.queued, effect.ID)
			s.startRequest(e, req)
		case admission.EffectRefuse:
			req := o.queued[effect.ID]
			delete(o.queued, effect.ID)
			s.sendOutcome(req, types.NotRunOutcome(effect.Reason, ""))
		case admission.EffectLevel:
			s.sendLevel(e, effect.Level)
		}
	}
}

func (s *simulation) sendLevel(e int, notice admission.LevelNotice) {
	for i := range s.frontends {
		s.schedule(s.networkDelay(dataCentreOf(e), s.frontends[i].dataCentre), func() {
			s.frontends[i].gate.SetLevel(s.now, endpointName(e), notice)
		})
	}
}

// startRequest runs a request at the endpoint.
func (s *simulation) startRequest(e int, req *request) {
	o := &s.owners[e]
	o.slotsInUse++
	if s.isMeasured(req) {
		o.maxSlotsInUse = max(o.maxSlotsInUse, o.slotsInUse)
	}
	o.running[req.id] = req
	req.startedAt = s.now
	serviceTime := req.serviceTime
	outcome := types.Outcome{}
	switch {
	case o.isDown || (s.fastFailingReplica && e == faultyEndpoint):
		serviceTime = fastFailTime
		outcome = types.NotRunOutcome(types.ReasonUnreachable, "")
	case (s.slowReplica && e == faultyEndpoint) || (s.slowPrimary && e == slowPrimaryEndpoint):
		serviceTime *= slowdownFactor
	}
	id := req.id
	s.schedule(serviceTime, func() {
		if o.running[id] == req {
			s.finishRequest(e, req, outcome)
		}
	})
}

// finishRequest ends the service of a request and frees its slot.
func (s *simulation) finishRequest(e int, req *request, outcome types.Outcome) {
	o := &s.owners[e]
	delete(o.running, req.id)
	o.slotsInUse--
	slotTime := s.now.Sub(req.startedAt)
	done := outcome.Kind == types.OutcomeDone
	if done && req.write {
		s.positions[req.database]++
	}
	if s.isMeasuring() {
		s.result.slotTime += slotTime
		if !done {
			s.result.wastedTime += slotTime
		}
	}
	s.sendOutcome(req, outcome)
	s.applyEffects(e, o.queue.Step(s.now, admission.Event{
		Kind: admission.EventFinish, ID: req.id, Completed: done, ServiceTime: slotTime,
	}))
}

// failPrimary stops the primary of database 0 and promotes a replica after
// promotionDelay. Requests in flight end with an unknown outcome.
func (s *simulation) failPrimary() {
	o := &s.owners[0]
	o.isDown = true
	for id := types.RequestID(1); id <= s.nextID; id++ {
		if req, ok := o.running[id]; ok {
			s.finishRequest(0, req, types.UnknownOutcome(types.ReasonBroken, ""))
		}
	}
	s.schedule(suspicionDelay, func() { o.isSuspected = true })
	s.schedule(promotionDelay, func() { s.primaryInstance[0] = 2 })
}

// tickQueue sends periodic ticks to the queue of an endpoint.
func (s *simulation) tickQueue(e int) {
	s.applyEffects(e, s.owners[e].queue.Step(s.now, admission.Event{Kind: admission.EventTick}))
	s.schedule(100*time.Millisecond, func() { s.tickQueue(e) })
}
