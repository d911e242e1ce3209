package limits_test

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"baobabfield.example/core/limits"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// This file simulates a deployment of hosts with limits in virtual time.

// span is the length of the spans in which the bound must hold, see the requirement of limits.
const span = 5 * time.Second

type scheduledEvent struct {
	at     time.Duration
	seq    int
	action func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// fleet is a simulated deployment.
type fleet struct {
	t     testing.TB
	now   time.Duration
	seq   int
	queue eventQueue
	rng   random.Source
	hosts []*hostSim
	byID  map[types.Host]*hostSim
	// lost, late and doubled are the probabilities of faults of a message.
	lost, late, doubled float64
	// skew is the exponent with which operations are concentrated on few hosts.
	skew float64
	// owners is the number of hosts that receive operations; zero for all.
	owners            int
	limits            []limits.Limit
	workspaces        map[types.Workspace]*workspaceSim
	messages, entries int
}

// hostSim is a simulated host. Its clock has an offset and a drift.
type hostSim struct {
	id          types.Host
	machine     *limits.Machine
	incarnation int
	offset      time.Duration
	drift       float64
	alive       bool
	frozen      bool
	removed     bool
	delayed     []func()
	// side is the side of a partition that the host is on.
	side int
	// blind holds the hosts that this host does not use as allocators.
	blind        map[types.Host]bool
	tickAt       types.Time
	nextOp       uint64
	pending      map[uint64]pendingSim
	reports      int
	allocatorFor map[int]types.Host
}

// pendingSim is an operation that waits for a grant.
type pendingSim struct {
	workspace *workspaceSim
	since     time.Duration
}

// workspaceSim holds the operations of a workspace and the limits that were in force.
type workspaceSim struct {
	name    types.Workspace
	ran     []time.Duration
	limits  []limitSince
	load    float64
	weights []float64
	sent    int
	refused int
	// waits holds the times for which operations were pending.
	waits []time.Duration
	// idealTokens is the level of one token bucket for the whole deployment with the same
	// depth; idealRefused is the number of operations that it refuses.
	idealTokens  float64
	idealAt      time.Duration
	idealRefused int
	retryTimes   []time.Duration
}

type limitSince struct {
	limit limits.Limit
	since time.Duration
}

func newFleet(t testing.TB, seed uint64, hosts int, list []limits.Limit) *fleet {
	f := &fleet{t: t, skew: 4, rng: random.New(seed), byID: map[types.Host]*hostSim{}, limits: list, workspaces: map[types.Workspace]*workspaceSim{}}
	for _, l := range list {
		f.workspaces[l.Workspace] = &workspaceSim{name: l.Workspace, limits: []limitSince{{l, 0}}}
	}
	for range hosts {
		f.addHost().alive = true
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *fleet) addHost() *hostSim {
	h := &hostSim{
		id: types.Host(fmt.Sprintf("h%d", len(f.hosts))), pending: map[uint64]pendingSim{}, blind: map[types.Host]bool{}, allocatorFor: map[int]types.Host{},
		offset: time.Duration(f.rng.IntN(1000)+1) * time.Hour, drift: 1 + 0.004*(f.rng.Float64()-0.5),
	}
	f.hosts = append(f.hosts, h)
	f.byID[h.id] = h
	return h
}

func (f *fleet) start(h *hostSim) {
	h.incarnation++
	h.alive, h.frozen, h.delayed, h.tickAt = true, false, nil, 0
	h.machine = limits.New(limits.Settings{Host: h.id, Seed: f.rng.Uint64()})
	clear(h.pending)
	now := f.clock(h)
	h.machine.SetHosts(now, f.hostList(h))
	h.machine.Configure(now, f.limits)
	f.tick(h)
}

// hostList returns the hosts as a host knows them. Hosts that are down for it are not usable.
func (f *fleet) hostList(h *hostSim) []limits.Host {
	var out []limits.Host
	for _, other := range f.hosts {
		if !other.removed {
			usable := other == h || (other.alive && other.side == h.side && !h.blind[other.id])
			out = append(out, limits.Host{ID: other.id, Eligible: true, Usable: usable})
		}
	}
	return out
}

func (f *fleet) clock(h *hostSim) types.Time {
	return types.Time(h.offset + time.Duration(float64(f.now)*h.drift))
}

func (f *fleet) schedule(d time.Duration, action func()) {
	f.seq++
	heap.Push(&f.queue, scheduledEvent{at: f.now + d, seq: f.seq, action: action})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(scheduledEvent)
		f.now = next.at
		next.action()
	}
	f.now = end
}

// deliver passes an event to a host, after its resume if it is frozen.
func (f *fleet) deliver(h *hostSim, incarnation int, action func(now types.Time)) {
	switch {
	case !h.alive || h.incarnation != incarnation:
	case h.frozen:
		h.delayed = append(h.delayed, func() { f.deliver(h, incarnation, action) })
	default:
		action(f.clock(h))
		f.drain(h)
	}
}

func (f *fleet) tick(h *hostSim) {
	h.tickAt = 0
	f.deliver(h, h.incarnation, func(now types.Time) { h.machine.Tick(now) })
}

// drain sends the messages of a host, records its decisions and schedules its next tick.
func (f *fleet) drain(h *hostSim) {
	for _, msg := range h.machine.TakeMessages() {
		f.send(h, msg)
	}
	for _, r := range h.machine.TakeResolutions() {
		if p, ok := h.pending[r.Operation]; ok {
			delete(h.pending, r.Operation)
			p.workspace.waits = append(p.workspace.waits, f.now-p.since)
			f.record(h, p.workspace, r.Decision)
		}
	}
	for _, c := range h.machine.TakeAllocatorChanges() {
		h.allocatorFor[c.Group] = c.To
	}
	h.machine.TakeLimitedChanges()
	at, ok := h.machine.NextWake(f.clock(h))
	if !ok || (h.tickAt != 0 && h.tickAt <= at) {
		return
	}
	h.tickAt = at
	wait := time.Duration(math.Ceil(float64(at-f.clock(h)) / h.drift))
	incarnation := h.incarnation
	f.schedule(max(wait, time.Microsecond), func() {
		if h.incarnation == incarnation && h.tickAt == at {
			f.tick(h)
		}
	})
}

func (f *fleet) send(from *hostSim, msg limits.Message) {
	to := f.byID[msg.To]
	f.messages++
	if msg.Report != nil {
		from.reports++
		f.entries += len(msg.Report.Demands)
	} else {
		f.entries += len(msg.Grants.Grants)
	}
	if to == from {
		incarnation := to.incarnation
		f.schedule(0, func() { f.deliver(to, incarnation, func(now types.Time) { receive(to, now, from.id, msg) }) })
		return
	}
	copies := 1
	if f.rng.Float64() < f.doubled {
		copies = 2
	}
	for range copies {
		delay := 200*time.Microsecond + time.Duration(f.rng.IntN(2500))*time.Microsecond
		if f.rng.Float64() < f.late {
			delay += time.Duration(f.rng.IntN(2500)) * time.Millisecond
		}
		if f.rng.Float64() < f.lost {
			continue
		}
		side := from.side
		f.schedule(delay, func() {
			if to.side == side && to.side == from.side {
				f.deliver(to, to.incarnation, func(now types.Time) { receive(to, now, from.id, msg) })
			}
		})
	}
}

func receive(to *hostSim, now types.Time, from types.Host, msg limits.Message) {
	if msg.Report != nil {
		to.machine.HandleReport(now, from, msg.Report)
	} else {
		to.machine.HandleGrants(now, from, msg.Grants)
	}
}

// operate sends an operation of a workspace to a host.
func (f *fleet) operate(w *workspaceSim, h *hostSim) {
	if !h.alive || h.frozen || h.removed {
		return
	}
	w.sent++
	f.idealOperation(w)
	h.nextOp++
	d := h.machine.Admit(f.clock(h), w.name, h.nextOp)
	if d.Verdict == limits.Pending {
		h.pending[h.nextOp] = pendingSim{w, f.now}
	} else {
		f.record(h, w, d)
	}
	f.drain(h)
}

// refundFraction is the part of the admitted operations that do not run.
const refundFraction = 0.02

func (f *fleet) record(h *hostSim, w *workspaceSim, d limits.Decision) {
	switch {
	case d.Verdict == limits.Refused:
		w.refused++
		w.retryTimes = append(w.retryTimes, d.RetryAfter)
	case f.rng.Float64() < refundFraction:
		incarnation := h.incarnation
		f.schedule(20*time.Millisecond, func() {
			f.deliver(h, incarnation, func(now types.Time) { h.machine.Refund(now, w.name) })
		})
	default:
		w.ran = append(w.ran, f.now)
	}
}

func (f *fleet) idealOperation(w *workspaceSim) {
	l := w.limits[len(w.limits)-1].limit
	w.idealTokens = min(w.idealTokens+l.Rate*(f.now-w.idealAt).Seconds(), 0.6*l.Burst+16)
	w.idealAt = f.now
	if w.idealTokens < 1 {
		w.idealRefused++
		return
	}
	w.idealTokens--
}

// generate starts the operations of all workspaces, at load times the limit.
func (f *fleet) generate(load float64) {
	for _, l := range f.limits {
		w := f.workspaces[l.Workspace]
		w.load = load * l.Rate
		w.weights = f.randomWeights()
		f.scheduleOperation(w)
	}
}

// randomWeights returns how a workspace's operations are divided: most go to few hosts.
func (f *fleet) randomWeights() []float64 {
	out := make([]float64, len(f.hosts))
	sum := 0.0
	for i := range out {
		if f.owners > 0 && i >= f.owners {
			break
		}
		out[i] = math.Pow(f.rng.Float64(), f.skew)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

func (f *fleet) scheduleOperation(w *workspaceSim) {
	rate := w.load
	if rate <= 0 {
		f.schedule(100*time.Millisecond, func() { f.scheduleOperation(w) })
		return
	}
	f.schedule(time.Duration(-math.Log(1-f.rng.Float64())/rate*float64(time.Second)), func() {
		x := f.rng.Float64()
		for i, p := range w.weights {
			if x -= p; x <= 0 {
				f.operate(w, f.hosts[i])
				break
			}
		}
		f.scheduleOperation(w)
	})
}

// moveLoad sends the operations of all workspaces to other hosts.
func (f *fleet) moveLoad() {
	for _, l := range f.limits {
		f.workspaces[l.Workspace].weights = f.randomWeights()
	}
}

// updateHosts tells all hosts of a change of the hosts, each after some time.
func (f *fleet) updateHosts(within time.Duration) {
	for _, h := range f.hosts {
		incarnation := h.incarnation
		f.schedule(time.Duration(f.rng.Float64()*float64(within)), func() {
			f.deliver(h, incarnation, func(now types.Time) { h.machine.SetHosts(now, f.hostList(h)) })
		})
	}
}

// setLimits puts new limits in force on each host within a time.
func (f *fleet) setLimits(list []limits.Limit, within time.Duration) {
	f.limits = list
	for _, l := range list {
		w := f.workspaces[l.Workspace]
		w.limits = append(w.limits, limitSince{l, f.now})
	}
	for _, h := range f.hosts {
		incarnation := h.incarnation
		f.schedule(time.Duration(f.rng.Float64()*float64(within)), func() {
			f.deliver(h, incarnation, func(now types.Time) { h.machine.Configure(now, f.limits) })
		})
	}
}

func (f *fleet) kill(h *hostSim) {
	h.alive = false
	f.updateHosts(600 * time.Millisecond)
}

func (f *fleet) restart(h *hostSim) {
	f.start(h)
	f.updateHosts(600 * time.Millisecond)
}

func (f *fleet) freeze(h *hostSim, d time.Duration) {
	if !h.alive || h.frozen {
		return
	}
	h.frozen = true
	incarnation := h.incarnation
	f.schedule(d, func() {
		if h.incarnation != incarnation || !h.alive {
			return
		}
		h.frozen = false
		delayed := h.delayed
		h.delayed = nil
		f.tick(h)
		for _, action := range delayed {
			action()
		}
	})
}

// checkBound fails the test if a workspace ran more operations in a span than allowed. A changed
// limit binds one span after it is in force, which takes at most configTime.
func (f *fleet) checkBound(configTime time.Duration) (worst float64) {
	f.t.Helper()
	for _, l := range f.limits {
		w := f.workspaces[l.Workspace]
		slices.Sort(w.ran)
		from := 0
		for i, end := range w.ran {
			for w.ran[from] <= end-span {
				from++
			}
			n := float64(i - from + 1)
			bound := w.boundAt(end, configTime)
			worst = max(worst, n/bound)
			if n > bound {
				f.t.Errorf("%s ran %.0f operations in the 5 s before %v, the limit allows %.0f", w.name, n, end, bound)
				break
			}
		}
	}
	return worst
}

func (w *workspaceSim) boundAt(end, configTime time.Duration) float64 {
	bound := 0.0
	for i, l := range w.limits {
		if i+1 < len(w.limits) && w.limits[i+1].since+configTime < end-2*span {
			continue // another limit has replaced it
		}
		bound = max(bound, (l.limit.Rate*span.Seconds()+l.limit.Burst)*1.1+20)
	}
	return bound
}

// zipfLimits returns limits whose sizes follow a Zipf distribution with exponent 1.2, as in
// deployment A.
func zipfLimits(n int, total float64) []limits.Limit {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var out []limits.Limit
	for i := range n {
		rate := total * math.Pow(float64(i+1), -1.2) / sum
		out = append(out, limits.Limit{Workspace: types.Workspace(fmt.Sprintf("w%d", i)), Rate: rate, Burst: rate})
	}
	return out
}

// withBurst sets the bursts of limits.
func withBurst(list []limits.Limit, burst float64) []limits.Limit {
	for i := range list {
		list[i].Burst = burst
	}
	return list
}

// resetCounts begins a new measurement of refusals.
func (f *fleet) resetCounts() {
	for _, w := range f.workspaces {
		w.sent, w.refused, w.idealRefused, w.waits = 0, 0, 0, nil
	}
	f.messages, f.entries = 0, 0
}

// refusedFraction returns the part of the operations that were refused, and that one token bucket
// for the whole deployment would refuse.
func (f *fleet) refusedFraction() (got, ideal float64) {
	sent, refused, idealRefused := 0, 0, 0
	for _, w := range f.workspaces {
		sent, refused, idealRefused = sent+w.sent, refused+w.refused, idealRefused+w.idealRefused
	}
	return float64(refused) / float64(sent), float64(idealRefused) / float64(sent)
}

// waits returns the part of the operations that were pending, and the mean and the 99th percentile
// of the wait of all operations.
func (f *fleet) waits() (pending float64, mean, p99 time.Duration) {
	var all []time.Duration
	sent := 0
	for _, w := range f.workspaces {
		sent += w.sent
		all = append(all, w.waits...)
	}
	pending = float64(len(all)) / float64(sent)
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}
	slices.Sort(all)
	if i := len(all) - 1 - sent/100; i >= 0 {
		p99 = all[i]
	}
	return pending, sum / time.Duration(sent), p99
}

// excess is what the hosts may use of a workspace beyond its limit.
type excess struct {
	// share is the highest sum of the shares in use, seconds the integral of what exceeds 1.
	share, seconds float64
	// tokens is the highest sum of the tokens, as a part of the depth of all buckets.
	tokens float64
}

// watchExcess measures the excess of all workspaces from now on.
func (f *fleet) watchExcess() *excess {
	const interval = 5 * time.Millisecond
	e := &excess{}
	var sample func()
	sample = func() {
		for _, l := range f.limits {
			share, tokens := 0.0, 0.0
			for _, h := range f.hosts {
				if h.alive {
					s, n := h.machine.InUse(f.clock(h), l.Workspace)
					share, tokens = share+s, tokens+n
				}
			}
			e.share = max(e.share, share)
			e.seconds += max(share-1, 0) * interval.Seconds()
			e.tokens = max(e.tokens, tokens/(0.6*l.Burst+16))
		}
		f.schedule(interval, sample)
	}
	sample()
	return e
}
