package capacity

import (
	"container/heap"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// One-way delays of messages, and the resolution of timers.
const (
	localDelay  = 500 * time.Microsecond
	remoteDelay = 25 * time.Millisecond
	delayJitter = time.Millisecond
	timerPeriod = 10 * time.Millisecond
)

// Bytes of a message beside its content.
const (
	headerBytesTCP = 40 + 12 + 4 // IP and TCP, yamux, length of the frame
	headerBytesUDP = 28 + 32     // IP and UDP, authentication code
)

// peer is the state machine of one host.
type peer interface {
	// step applies a message, or a tick if the message is nil.
	step(now types.Time, message any) []delivery
	deadline() types.Time
}

// delivery is a message to a host.
type delivery struct {
	to      int
	message any
}

// parcel is a message on its way.
type parcel struct {
	at       types.Time
	sequence int
	delivery
}

// parcels is a heap of messages in the order of their arrival.
type parcels []parcel

func (p parcels) Len() int      { return len(p) }
func (p parcels) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p parcels) Less(i, j int) bool {
	if p[i].at != p[j].at {
		return p[i].at < p[j].at
	}
	return p[i].sequence < p[j].sequence
}

// Push appends a message.
func (p *parcels) Push(x any) { *p = append(*p, x.(parcel)) }

// Pop removes the last message.
func (p *parcels) Pop() any {
	old := *p
	last := old[len(old)-1]
	old[len(old)-1] = parcel{}
	*p = old[:len(old)-1]
	return last
}

// meter counts what one host did.
type meter struct {
	sent, received           int
	sentBytes, receivedBytes int
	busy                     time.Duration
}

// bus carries the messages of a fleet in virtual time.
type bus struct {
	now types.Time
	// peers holds the machine of each host, nil for a stopped one.
	peers    []peer
	centres  []int
	meters   []meter
	overhead int
	// workers is the number of goroutines that step hosts.
	workers int
	// cut reports whether messages between two data centres are lost.
	cut      func(a, b int) bool
	random   random.Source
	queue    parcels
	sequence int
}

func newBus(f fleet, overhead, workers int) *bus {
	return &bus{
		now:      types.Time(time.Second),
		peers:    make([]peer, f.hosts),
		centres:  f.centreOf(),
		meters:   make([]meter, f.hosts),
		overhead: overhead,
		workers:  workers,
		cut:      func(int, int) bool { return false },
		random:   random.New(seed),
	}
}

// post delivers a message after a delay, without counting it.
func (b *bus) post(to int, message any, delay time.Duration) {
	b.sequence++
	heap.Push(&b.queue, parcel{at: b.now.Add(delay), sequence: b.sequence, delivery: delivery{to: to, message: message}})
}

// outcome is what a step emitted, with the encoded sizes of the messages.
type outcome struct {
	deliveries []delivery
	sizes      []int
}

// apply steps a host and sends the messages that it emits.
func (b *bus) apply(host int, message any) {
	b.sendAll(host, b.step(b.now, host, message))
}

// step steps a host. Different hosts may step at the same time.
func (b *bus) step(now types.Time, host int, message any) outcome {
	p := b.peers[host]
	if p == nil {
		return outcome{}
	}
	start := time.Now()
	out := outcome{deliveries: p.step(now, message)}
	b.meters[host].busy += time.Since(start)
	for _, d := range out.deliveries {
		out.sizes = append(out.sizes, b.overhead+encodedSize(d.message))
	}
	return out
}

func (b *bus) sendAll(from int, out outcome) {
	for i, d := range out.deliveries {
		b.send(from, d, out.sizes[i])
	}
}

func (b *bus) send(from int, d delivery, size int) {
	b.meters[from].sent++
	b.meters[from].sentBytes += size
	if b.cut(b.centres[from], b.centres[d.to]) {
		return
	}
	b.meters[d.to].received++
	b.meters[d.to].receivedBytes += size
	delay := localDelay
	if b.centres[from] != b.centres[d.to] {
		delay = remoteDelay
	}
	b.post(d.to, d.message, delay+time.Duration(b.random.IntN(int(delayJitter))))
}

// run advances the virtual time.
func (b *bus) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.runPeriod()
	}
}

// runUntil advances the virtual time until done, at most by limit, and returns
// the time that passed.
func (b *bus) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := b.now
	for b.now.Sub(start) < limit && !done() {
		b.runPeriod()
	}
	return b.now.Sub(start)
}

// runPeriod delivers the messages of one timer period, then ticks the hosts
// whose timer is due. No message arrives in the quantum in which it is sent, so
// that the hosts of a quantum may step at the same time.
func (b *bus) runPeriod() {
	for next := b.now.Add(timerPeriod); b.now.Before(next); {
		b.now = b.now.Add(localDelay)
		b.stepBatch(b.due())
	}
	var ticks []parcel
	for host, p := range b.peers {
		if p != nil && !b.now.Before(p.deadline()) {
			ticks = append(ticks, parcel{at: b.now, delivery: delivery{to: host}})
		}
	}
	b.stepBatch(ticks)
}

// due removes the messages that have arrived.
func (b *bus) due() []parcel {
	var batch []parcel
	for len(b.queue) > 0 && !b.queue[0].at.After(b.now) {
		batch = append(batch, heap.Pop(&b.queue).(parcel))
	}
	return batch
}

// stepBatch steps the hosts of a batch, each host's messages in their order.
func (b *bus) stepBatch(batch []parcel) {
	outcomes := make([]outcome, len(batch))
	shard := func(worker int) {
		for i, p := range batch {
			if p.to%b.workers == worker {
				outcomes[i] = b.step(p.at, p.to, p.message)
			}
		}
	}
	done := make(chan struct{})
	for worker := 1; worker < b.workers; worker++ {
		go func() {
			shard(worker)
			done <- struct{}{}
		}()
	}
	shard(0)
	for worker := 1; worker < b.workers; worker++ {
		<-done
	}
	for i, p := range batch {
		b.sendAll(p.to, outcomes[i])
	}
}

// reset clears the meters.
func (b *bus) reset() { clear(b.meters) }
