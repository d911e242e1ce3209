package locality

import (
	"container/heap"
	"math"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	simDataCentres = 3
	simDuration    = 10 * time.Second
	// simTroubleStart and simTroubleEnd bound the burst or the move of callers.
	simTroubleStart = 2 * time.Second
	simTroubleEnd   = 5 * time.Second
	// simWindow is the interval over which the remote share of a data centre is observed.
	simWindow = 250 * time.Millisecond
)

// simKind is one kind of read.
type simKind struct {
	rank      int
	perSecond float64 // over all data centres, in calm
	service   time.Duration
	objective time.Duration
	deadline  time.Duration
}

// simDeployment is one service with one replica in each data centre.
type simDeployment struct {
	name  string
	slots int
	// frontends is the number of frontends in each data centre.
	frontends int
	oneWay    time.Duration // between data centres
	kinds     []simKind
	// stretch multiplies the duration of the run and of the trouble; 0 counts as 1.
	stretch float64
}

// utilisation returns the share of all slots that the reads take in calm.
func (d *simDeployment) utilisation() float64 {
	work := 0.0
	for _, k := range d.kinds {
		work += k.perSecond * k.service.Seconds()
	}
	return work / float64(simDataCentres*d.slots)
}

// stretched returns a duration of the run.
func (d *simDeployment) stretched(t time.Duration) time.Duration {
	return time.Duration(float64(t) * max(d.stretch, 1))
}

// scaled returns the deployment with work of factor times the length, at the same utilisation.
// Objectives and deadlines scale with the work.
func (d simDeployment) scaled(name string, factor float64) simDeployment {
	out := d
	out.name, out.kinds = name, nil
	for _, k := range d.kinds {
		k.perSecond /= factor
		k.service = time.Duration(float64(k.service) * factor)
		k.objective = time.Duration(float64(k.objective) * factor)
		k.deadline = time.Duration(float64(k.deadline) * factor)
		out.kinds = append(out.kinds, k)
	}
	return out
}

// simLoad is one case.
type simLoad struct {
	name string
	// demand is the part of the slots of its data centre that its reads take.
	demand [simDataCentres]float64
	// burst multiplies the demand during the trouble; zero values count as 1.
	burst [simDataCentres]float64
	// movedFrom and movedTo are data centres: half of the callers move during the trouble.
	moves              bool
	movedFrom, movedTo int
	// floodRank, if not zero, restricts the burst to the reads of one rank.
	floodRank int
	// alternates makes the burst change between data centres 0 and 1 every 600 ms, stretched like the run.
	alternates bool
	// slow multiplies the service time at the endpoint of data centre 0.
	slow float64
}

// rule is the selection rule of a frontend.
type rule interface {
	choose(now types.Time, read *simRead) int
	sent(endpoint int)
	returned(now types.Time, read *simRead, load int)
}

// simRead is a read in flight.
type simRead struct {
	kind              *simKind
	frontend          int // its data centre is frontend % simDataCentres
	endpoint          int
	arrivedAt         types.Time
	sentAt, queuedAt  types.Time
	startedAt         types.Time
	queueTime, served time.Duration
	expired           bool
}

func (r *simRead) dataCentre() int { return r.frontend % simDataCentres }

type simEvent struct {
	at  types.Time
	seq int
	run func()
}

type simEvents []simEvent

func (q simEvents) Len() int      { return len(q) }
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q *simEvents) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simResult is what one run measures.
type simResult struct {
	reads, inTime, remote int
	// turns counts the changes of direction of the remote share of a data centre by at least a
	// fifth. opposed counts the windows in which two data centres each send a tenth of their reads
	// to the other.
	turns, opposed int
}

// simulation runs one rule under one load in virtual time.
type simulation struct {
	simDeployment
	simLoad
	now       types.Time
	seq       int
	events    simEvents
	arrivals  random.Source
	work      random.Source
	rules     []rule
	queues    [simDataCentres][]*simRead
	running   [simDataCentres]int
	result    simResult
	window    [simDataCentres][simDataCentres]int
	lastShare [simDataCentres]float64
	direction [simDataCentres]int
}

func newSimulation(d simDeployment, l simLoad, newRule func(s *simulation, dc int, seed uint64) rule, seed uint64) *simulation {
	s := &simulation{simDeployment: d, simLoad: l, now: types.Time(time.Hour), arrivals: random.New(seed), work: random.New(seed + 1)}
	for i := range simDataCentres * d.frontends {
		s.rules = append(s.rules, newRule(s, i%simDataCentres, seed+100+uint64(i)))
	}
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func exponential(rng *random.Source, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) * float64(mean))
}

func (s *simulation) run() simResult {
	start := s.now
	for k := range s.kinds {
		for dc := range simDataCentres {
			s.arrive(start, &s.kinds[k], dc, false)
		}
	}
	s.closeWindow()
	end := start.Add(s.stretched(simDuration))
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(simEvent)
		if !next.at.Before(end) {
			break
		}
		s.now = next.at
		next.run()
	}
	return s.result
}

// rate returns the present demand of a data centre.
func (s *simulation) rate(since time.Duration, dc, rank int) float64 {
	demand := s.demand[dc]
	if since < s.stretched(simTroubleStart) || since >= s.stretched(simTroubleEnd) {
		return demand
	}
	if s.moves && dc == s.movedFrom {
		return demand / 2
	}
	if s.moves && dc == s.movedTo {
		return demand + s.demand[s.movedFrom]/2
	}
	if s.alternates && int(since/s.stretched(600*time.Millisecond))%2 != dc {
		return demand
	}
	if s.burst[dc] > 0 && (s.floodRank == 0 || s.floodRank == rank) {
		return demand * s.burst[dc]
	}
	return demand
}

func (s *simulation) arrive(start types.Time, k *simKind, dc int, isRead bool) {
	if isRead {
		frontend := dc + simDataCentres*s.arrivals.IntN(s.frontends)
		s.send(&simRead{kind: k, frontend: frontend, arrivedAt: s.now})
	}
	perSecond := k.perSecond / simDataCentres * s.rate(s.now.Sub(start), dc, k.rank) / s.utilisation()
	gap := exponential(&s.arrivals, time.Duration(float64(time.Second)/perSecond))
	s.schedule(gap, func() { s.arrive(start, k, dc, true) })
}

func (s *simulation) delay(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return s.oneWay
}

func (s *simulation) send(r *simRead) {
	r.sentAt = s.now
	r.endpoint = s.rules[r.frontend].choose(s.now, r)
	s.rules[r.frontend].sent(r.endpoint)
	s.result.reads++
	s.window[r.dataCentre()][r.endpoint]++
	if r.endpoint != r.dataCentre() {
		s.result.remote++
	}
	s.schedule(s.delay(r.dataCentre(), r.endpoint), func() {
		r.queuedAt = s.now
		s.queues[r.endpoint] = append(s.queues[r.endpoint], r)
		s.dispatch(r.endpoint)
	})
}

// dispatch starts reads: by rank those that can still meet their objective, then late ones.
func (s *simulation) dispatch(e int) {
	for s.running[e] < s.slots {
		best, bestKey := -1, 0
		for i := 0; i < len(s.queues[e]); i++ {
			r := s.queues[e][i]
			if s.now.Sub(r.arrivedAt) >= r.kind.deadline {
				s.queues[e] = append(s.queues[e][:i], s.queues[e][i+1:]...)
				r.expired = true
				s.reply(r)
				i--
				continue
			}
			key := r.kind.rank
			if s.now.Sub(r.arrivedAt)+2*r.kind.service > r.kind.objective {
				key += ranks
			}
			if best < 0 || key < bestKey {
				best, bestKey = i, key
			}
		}
		if best < 0 {
			return
		}
		r := s.queues[e][best]
		s.queues[e] = append(s.queues[e][:best], s.queues[e][best+1:]...)
		s.running[e]++
		r.startedAt = s.now
		service := exponential(&s.work, r.kind.service)
		if e == 0 && s.slow > 0 {
			service = time.Duration(float64(service) * s.slow)
		}
		s.schedule(service, func() {
			s.running[e]--
			r.queueTime, r.served = r.startedAt.Sub(r.queuedAt), s.now.Sub(r.startedAt)
			s.reply(r)
			s.dispatch(e)
		})
	}
}

func (s *simulation) reply(r *simRead) {
	load := len(s.queues[r.endpoint]) + s.running[r.endpoint]
	s.schedule(s.delay(r.endpoint, r.dataCentre()), func() {
		s.rules[r.frontend].returned(s.now, r, load)
		if !r.expired && s.now.Sub(r.arrivedAt) <= r.kind.objective {
			s.result.inTime++
		}
	})
}

// closeWindow evaluates the reads of the last simWindow.
func (s *simulation) closeWindow() {
	var share [simDataCentres][simDataCentres]float64
	for dc := range simDataCentres {
		total := 0
		for e := range simDataCentres {
			total += s.window[dc][e]
		}
		if total == 0 {
			continue
		}
		for e := range simDataCentres {
			share[dc][e] = float64(s.window[dc][e]) / float64(total)
		}
		remote := 1 - share[dc][dc]
		direction := s.direction[dc]
		switch {
		case remote-s.lastShare[dc] >= 0.2:
			direction = 1
		case s.lastShare[dc]-remote >= 0.2:
			direction = -1
		}
		if direction != s.direction[dc] {
			if s.direction[dc] != 0 {
				s.result.turns++
			}
			s.direction[dc] = direction
			s.lastShare[dc] = remote
		} else if (direction > 0 && remote > s.lastShare[dc]) || (direction < 0 && remote < s.lastShare[dc]) {
			s.lastShare[dc] = remote
		}
	}
	for a := range simDataCentres {
		for b := range a {
			if share[a][b] >= 0.1 && share[b][a] >= 0.1 {
				s.result.opposed++
			}
		}
	}
	s.window = [simDataCentres][simDataCentres]int{}
	s.schedule(s.stretched(simWindow), s.closeWindow)
}

// fixedRule is the rule with constants: each read goes to the endpoint with the lowest cost.
type fixedRule struct {
	sim       *simulation
	dc        int
	endpoints [simDataCentres]struct {
		inFlight, load int
		loadAt         types.Time
	}
}

func newFixedRule(s *simulation, dc int, _ uint64) rule { return &fixedRule{sim: s, dc: dc} }

func (f *fixedRule) choose(now types.Time, _ *simRead) int {
	best, bestCost := -1, time.Duration(0)
	for i := range f.endpoints {
		e := &f.endpoints[i]
		load := e.inFlight
		if isRecent(now, e.loadAt, 400*time.Millisecond) {
			load = max(load, e.load)
		}
		cost := 18 * time.Millisecond * time.Duration(load) / time.Duration(f.sim.slots)
		if i != f.dc {
			cost += 70 * time.Millisecond
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (f *fixedRule) sent(e int) { f.endpoints[e].inFlight++ }

func (f *fixedRule) returned(now types.Time, r *simRead, load int) {
	e := &f.endpoints[r.endpoint]
	e.inFlight--
	e.load, e.loadAt = load, now
}

// homeRule never leaves the data centre.
type homeRule struct{ dc int }

func newHomeRule(_ *simulation, dc int, _ uint64) rule { return homeRule{dc} }

func (h homeRule) choose(types.Time, *simRead) int    { return h.dc }
func (h homeRule) sent(int)                           {}
func (h homeRule) returned(types.Time, *simRead, int) {}

// sharedRule is the rule of this package.
type sharedRule struct {
	sim       *simulation
	dc, first int
	endpoints [simDataCentres]Endpoint
	shares    [ranks]Share
	baselines [ranks]Baseline
}

func newSharedRule(s *simulation, dc int, seed uint64) rule {
	r := &sharedRule{sim: s, dc: dc}
	rng := random.New(seed)
	r.first = rng.IntN(simDataCentres)
	for i := range r.shares {
		r.shares[i] = NewShare(rng.Float64())
	}
	return r
}

func (f *sharedRule) choose(now types.Time, r *simRead) int {
	var lowest time.Duration
	for i := range f.endpoints {
		if s := f.endpoints[i].ServiceTime(now); s > 0 && (lowest == 0 || s < lowest) {
			lowest = s
		}
	}
	read := Read{Rank: r.kind.rank, Objective: r.kind.objective, TypicalService: f.baselines[r.kind.rank].Update(now, lowest)}
	var choice Choice
	for n := range f.endpoints {
		i := (f.first + n) % simDataCentres
		c := Candidate{Index: i, Cost: f.endpoints[i].Cost(now, &read, f.sim.slots, i == f.dc)}
		if i != f.dc {
			c.Cost += DefaultPrice
		}
		choice.Add(c, i == f.dc)
	}
	i, _, _ := choice.Decide(now, &f.shares[r.kind.rank], DefaultPrice, read.TypicalService)
	return i
}

func (f *sharedRule) sent(e int) { f.endpoints[e].InFlight++ }

func (f *sharedRule) returned(now types.Time, r *simRead, load int) {
	e := &f.endpoints[r.endpoint]
	e.InFlight--
	e.RecordLoad(now, load)
	if !r.expired {
		e.RecordRead(now, Sample{Rank: r.kind.rank, Slots: f.sim.slots, QueueTime: r.queueTime, ServiceTime: r.served, Elapsed: now.Sub(r.sentAt)})
	}
}
