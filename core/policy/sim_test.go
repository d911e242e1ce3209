// Package policy measures the admission and routing policy in virtual time,
// with fakes of the endpoints and of the ways between hosts.
package policy

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// step is something that happens in the simulation.
type step struct {
	at  types.Time
	seq uint64
	run func()
}

// agenda is a binary heap of steps, the earliest first.
type agenda []step

func (a agenda) less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}

func (a *agenda) push(s step) {
	*a = append(*a, s)
	h := *a
	for i := len(h) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

func (a *agenda) pop() step {
	h := *a
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if child >= last || !h.less(child, i) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*a = h
	return top
}

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

// entry is the fake of an entry host round the real gate, budget and routing.
type entry struct {
	dataCentre  int
	gate        *admission.Gate
	budget      routing.RetryBudget
	rng         routing.Rand
	outstanding [endpoints]int
	stats       [endpoints]routing.Stats
}

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
	arrival routing.Rand
	work    routing.Rand
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
		arrival: routing.NewRand(seed), work: routing.NewRand(seed + 1),
	}
	for i := range s.owners {
		s.owners[i] = owner{
			queue:   newScheduler(kind, d),
			running: map[types.RequestID]*request{}, queued: map[types.RequestID]*request{},
		}
	}
	s.entries = make([]entry, d.entries)
	for i := range s.entries {
		rng := routing.NewRand(seed + 100 + uint64(i))
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

func exponential(rng *routing.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) * float64(mean))
}

// generate sends the requests of one feature, as a Poisson process.
func (s *simulation) generate(rank, feature int) {
	mean := time.Duration(float64(time.Second) / s.rate(rank, feature))
	rng := routing.NewRand(s.arrival.Uint64())
	var next func()
	next = func() {
		s.send(rank, feature, &rng)
		s.after(exponential(&rng, mean), next)
	}
	s.after(exponential(&rng, mean), next)
}

func (s *simulation) send(rank, feature int, rng *routing.Rand) {
	q := &request{rank: rank, feature: feature, sent: s.now}
	q.database = rng.Intn(databases)
	q.entry = rng.Intn(len(s.entries))
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
			s.answer(q, types.Refused(effect.Reason, ""))
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
		outcome = types.Refused(types.ReasonUnreachable, "")
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
	done := outcome.Kind == types.Done
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

// answer brings the outcome of an attempt back to the entry.
func (s *simulation) answer(q *request, outcome types.Outcome) {
	endpoint := q.endpoint
	held := s.now.Sub(q.started)
	s.after(s.way(place(endpoint), s.entries[q.entry].dataCentre), func() {
		s.entries[q.entry].outstanding[endpoint]--
		s.observe(q, endpoint, outcome)
		if outcome.Kind != types.Done {
			s.retry(q, outcome)
			return
		}
		s.after(s.client, func() { s.complete(q, held) })
	})
}

// observe feeds the entry's statistics of an endpoint. Refusals by the queue
// say nothing about the endpoint.
func (s *simulation) observe(q *request, endpoint int, outcome types.Outcome) {
	if outcome.Kind == types.NotRun && outcome.Reason != types.ReasonUnreachable {
		return
	}
	stats := &s.entries[q.entry].stats[endpoint]
	stats.Observe(s.now, s.now.Sub(q.routed), outcome.Kind == types.Done)
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

// fail kills the primary of database 0 and promotes a replica after a while.
// Requests in service are lost without an answer to the caller.
func (s *simulation) fail() {
	o := &s.owners[0]
	o.down = true
	for id := types.RequestID(1); id <= s.nextID; id++ {
		if q, ok := o.running[id]; ok {
			s.finish(0, q, types.InDoubt(types.ReasonBroken, ""))
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
