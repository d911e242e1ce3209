package policy

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
)

// owner is the fake of an endpoint with the real queue before it.
type owner struct {
	queue   scheduler
	running map[types.RequestID]*request
	queued  map[types.RequestID]*request
	down    bool
	// suspected is set once entry hosts know that the endpoint is down.
	suspected bool
	inUse     int
	maxUse    int
}

var endpointNames = func() (out [endpoints]types.Endpoint) {
	for i := range out {
		out[i] = types.Endpoint(rune('A' + i))
	}
	return out
}()

func endpointName(i int) types.Endpoint { return endpointNames[i] }

// submit hands a request to the owner's queue. Its age includes the way back.
func (s *simulation) submit(q *request, way time.Duration) {
	o := &s.owners[q.endpoint]
	s.nextID++
	q.id = s.nextID
	o.queued[q.id] = q
	s.apply(q.endpoint, o.queue.Step(s.now, admission.Event{
		Kind: admission.EventSubmit, ID: q.id, Rank: s.ranks[q.rank].Name,
		Feature: featureName(q.feature), Write: q.write,
		Age: s.now.Sub(q.sent) + way + s.client,
	}))
}

// apply carries out the effects of an owner's queue.
func (s *simulation) apply(e int, effects []admission.Effect) {
	o := &s.owners[e]
	for _, effect := range effects {
		switch effect.Kind {
		case admission.EffectStart:
			q := o.queued[effect.ID]
			delete(o.queued, effect.ID)
			s.start(e, q)
		case admission.EffectRefuse:
			q := o.queued[effect.ID]
			delete(o.queued, effect.ID)
			s.answer(q, types.RefusedOutcome(effect.Reason, ""))
		case admission.EffectLevel:
			s.tell(e, effect.Level)
		}
	}
}

func (s *simulation) tell(e int, notice admission.LevelNotice) {
	for i := range s.entries {
		s.after(s.way(place(e), s.entries[i].dataCentre), func() {
			s.entries[i].gate.Tell(s.now, endpointName(e), notice)
		})
	}
}

// start runs a request at the endpoint.
func (s *simulation) start(e int, q *request) {
	o := &s.owners[e]
	o.inUse++
	if s.measured(q) {
		o.maxUse = max(o.maxUse, o.inUse)
	}
	o.running[q.id] = q
	q.started = s.now
	service := q.service
	outcome := types.Outcome{}
	switch {
	case o.down || (s.fastFail && e == faulty):
		service = fastFailTime
		outcome = types.RefusedOutcome(types.ReasonUnreachable, "")
	case (s.slow && e == faulty) || (s.slowPrimary && e == slowest):
		service *= slowTimes
	}
	id := q.id
	s.after(service, func() {
		if o.running[id] == q {
			s.finish(e, q, outcome)
		}
	})
}

// finish ends the service of a request and frees its slot.
func (s *simulation) finish(e int, q *request, outcome types.Outcome) {
	o := &s.owners[e]
	delete(o.running, q.id)
	o.inUse--
	held := s.now.Sub(q.started)
	done := outcome.Kind == types.OutcomeDone
	if done && q.write {
		s.log[q.database]++
	}
	if s.inWindow() {
		s.result.slotTime += held
		if !done {
			s.result.wasted += held
		}
	}
	s.answer(q, outcome)
	s.apply(e, o.queue.Step(s.now, admission.Event{
		Kind: admission.EventFinish, ID: q.id, OK: done, Service: held,
	}))
}

// fail kills the primary of database 0 and promotes a replica after a while.
// Requests in service are lost without an answer to the caller.
func (s *simulation) fail() {
	o := &s.owners[0]
	o.down = true
	for id := types.RequestID(1); id <= s.nextID; id++ {
		if q, ok := o.running[id]; ok {
			s.finish(0, q, types.InDoubtOutcome(types.ReasonBroken, ""))
		}
	}
	s.after(suspicionTime, func() { o.suspected = true })
	s.after(failoverGap, func() { s.primary[0] = 2 })
}

// tick wakes the queue of an endpoint regularly.
func (s *simulation) tick(e int) {
	s.apply(e, s.owners[e].queue.Step(s.now, admission.Event{Kind: admission.EventTick}))
	s.after(100*time.Millisecond, func() { s.tick(e) })
}
