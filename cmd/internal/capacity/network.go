package capacity

import (
	"container/heap"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// One-way delays of messages, and the resolution of timers.
const (
	localLatency  = 500 * time.Microsecond
	remoteLatency = 25 * time.Millisecond
	latencyJitter = time.Millisecond
	timerPeriod   = 10 * time.Millisecond
)

// Bytes of a message beside its content.
const (
	headerBytesTCP = 40 + 12 + 4 // IP and TCP, yamux, length of the frame
	headerBytesUDP = 28 + 32     // IP and UDP, authentication code
)

// stateMachine is the state machine of one host.
type stateMachine interface {
	// step applies a message, or a tick if the message is nil.
	step(now types.Time, message any) []delivery
	deadline() types.Time
}

// delivery is a message to a host.
type delivery struct {
	to      int
	message any
}

// scheduledDelivery is a message on its way.
type scheduledDelivery struct {
	arrival  types.Time
	sequence int
	delivery
}

// deliveryHeap is a heap of messages in the order of their arrival.
type deliveryHeap []scheduledDelivery

func (h deliveryHeap) Len() int      { return len(h) }
func (h deliveryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h deliveryHeap) Less(i, j int) bool {
	if h[i].arrival != h[j].arrival {
		return h[i].arrival < h[j].arrival
	}
	return h[i].sequence < h[j].sequence
}

// Push appends a message.
func (h *deliveryHeap) Push(x any) { *h = append(*h, x.(scheduledDelivery)) }

// Pop removes the last message.
func (h *deliveryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = scheduledDelivery{}
	*h = old[:len(old)-1]
	return last
}

// hostUsage counts what one host did.
type hostUsage struct {
	sent, received           int
	sentBytes, receivedBytes int
	coreTime                 time.Duration
}

// network carries the messages of a fleet in virtual time.
type network struct {
	now types.Time
	// machines holds the machine of each host, nil for a stopped one.
	machines    []stateMachine
	hostCentres []int
	usage       []hostUsage
	headerBytes int
	// workers is the number of goroutines that step hosts.
	workers int
	// disconnected reports whether messages between two data centres are lost.
	disconnected func(a, b int) bool
	random       random.Source
	queue        deliveryHeap
	sequence     int
}

func newNetwork(f fleet, headerBytes, workers int) *network {
	return &network{
		now:          types.Time(time.Second),
		machines:     make([]stateMachine, f.hosts),
		hostCentres:  f.hostCentres(),
		usage:        make([]hostUsage, f.hosts),
		headerBytes:  headerBytes,
		workers:      workers,
		disconnected: func(int, int) bool { return false },
		random:       random.New(randomSeed),
	}
}

// schedule delivers a message after a delay, without counting it.
func (nw *network) schedule(to int, message any, delay time.Duration) {
	nw.sequence++
	heap.Push(&nw.queue, scheduledDelivery{arrival: nw.now.Add(delay), sequence: nw.sequence, delivery: delivery{to: to, message: message}})
}

// stepResult is what a step emitted, with the encoded sizes of the messages.
type stepResult struct {
	deliveries []delivery
	sizes      []int
}

// stepAndSend steps a host and sends the messages that it emits.
func (nw *network) stepAndSend(host int, message any) {
	nw.sendResult(host, nw.step(nw.now, host, message))
}

// step steps a host. Different hosts may step at the same time.
func (nw *network) step(now types.Time, host int, message any) stepResult {
	machine := nw.machines[host]
	if machine == nil {
		return stepResult{}
	}
	start := time.Now()
	result := stepResult{deliveries: machine.step(now, message)}
	nw.usage[host].coreTime += time.Since(start)
	for _, d := range result.deliveries {
		result.sizes = append(result.sizes, nw.headerBytes+encodedSize(d.message))
	}
	return result
}

func (nw *network) sendResult(from int, result stepResult) {
	for i, d := range result.deliveries {
		nw.send(from, d, result.sizes[i])
	}
}

func (nw *network) send(from int, d delivery, size int) {
	nw.usage[from].sent++
	nw.usage[from].sentBytes += size
	if nw.disconnected(nw.hostCentres[from], nw.hostCentres[d.to]) {
		return
	}
	nw.usage[d.to].received++
	nw.usage[d.to].receivedBytes += size
	delay := localLatency
	if nw.hostCentres[from] != nw.hostCentres[d.to] {
		delay = remoteLatency
	}
	nw.schedule(d.to, d.message, delay+time.Duration(nw.random.IntN(int(latencyJitter))))
}

// advance advances the virtual time.
func (nw *network) advance(d time.Duration) {
	for end := nw.now.Add(d); nw.now.Before(end); {
		nw.advancePeriod()
	}
}

// advanceUntil advances the virtual time until done, at most by limit, and returns
// the time that passed.
func (nw *network) advanceUntil(limit time.Duration, done func() bool) time.Duration {
	start := nw.now
	for nw.now.Sub(start) < limit && !done() {
		nw.advancePeriod()
	}
	return nw.now.Sub(start)
}

// advancePeriod delivers the messages of one timer period, then ticks the hosts
// whose timer is due. No message arrives in the quantum in which it is sent, so
// that the hosts of a quantum may step at the same time.
func (nw *network) advancePeriod() {
	for next := nw.now.Add(timerPeriod); nw.now.Before(next); {
		nw.now = nw.now.Add(localLatency)
		nw.stepBatch(nw.popArrived())
	}
	var ticks []scheduledDelivery
	for host, machine := range nw.machines {
		if machine != nil && !nw.now.Before(machine.deadline()) {
			ticks = append(ticks, scheduledDelivery{arrival: nw.now, delivery: delivery{to: host}})
		}
	}
	nw.stepBatch(ticks)
}

// popArrived removes the messages that have arrived.
func (nw *network) popArrived() []scheduledDelivery {
	var batch []scheduledDelivery
	for len(nw.queue) > 0 && !nw.queue[0].arrival.After(nw.now) {
		batch = append(batch, heap.Pop(&nw.queue).(scheduledDelivery))
	}
	return batch
}

// stepBatch steps the hosts of a batch, each host's messages in their order.
func (nw *network) stepBatch(batch []scheduledDelivery) {
	results := make([]stepResult, len(batch))
	stepShard := func(worker int) {
		for i, arrived := range batch {
			if arrived.to%nw.workers == worker {
				results[i] = nw.step(arrived.arrival, arrived.to, arrived.message)
			}
		}
	}
	done := make(chan struct{})
	for worker := 1; worker < nw.workers; worker++ {
		go func() {
			stepShard(worker)
			done <- struct{}{}
		}()
	}
	stepShard(0)
	for worker := 1; worker < nw.workers; worker++ {
		<-done
	}
	for i, p := range batch {
		nw.sendResult(p.to, results[i])
	}
}

// resetUsage clears the meters.
func (nw *network) resetUsage() { clear(nw.usage) }
