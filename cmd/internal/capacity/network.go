package capacity

import (
	"container/heap"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// The one-way latencies inside a data centre and between data centres, the upper bound
// of their random jitter, and the resolution of timers.
const (
	localLatency  = 500 * time.Microsecond
	remoteLatency = 25 * time.Millisecond
	latencyJitter = time.Millisecond
	timerPeriod   = 10 * time.Millisecond
)

// The size of a message's headers.
const (
	headerBytesTCP = 40 + 12 + 4 // IP and TCP, yamux, frame length
	headerBytesUDP = 28 + 32     // IP and UDP, message authentication code
)

// stateMachine is the state machine of one host.
type stateMachine interface {
	// step applies a message, or a tick if the message is nil.
	step(now types.Time, message any) []delivery
	deadline() types.Time
}

// delivery is a message with the index of its destination host.
type delivery struct {
	to      int
	message any
}

// scheduledDelivery is a message in flight. Messages that arrive at the same time are
// ordered by sequence.
type scheduledDelivery struct {
	arrival  types.Time
	sequence int
	delivery
}

// deliveryHeap is a heap of messages in flight in the order of their arrival.
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

// hostUsage holds the messages, bytes and CPU time of one host.
type hostUsage struct {
	sent, received           int
	sentBytes, receivedBytes int
	cpuTime                  time.Duration
}

// network simulates the network of a fleet in virtual time.
type network struct {
	now types.Time
	// machines holds the state machine of each host, or nil for a stopped host.
	machines    []stateMachine
	hostCentres []int
	usage       []hostUsage
	headerBytes int
	// workers is the number of goroutines that step hosts.
	workers int
	// disconnected reports whether the messages between two data centres are lost.
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

// schedule delivers a message after a delay. It does not count the message as traffic.
func (nw *network) schedule(to int, message any, delay time.Duration) {
	nw.sequence++
	heap.Push(&nw.queue, scheduledDelivery{arrival: nw.now.Add(delay), sequence: nw.sequence, delivery: delivery{to: to, message: message}})
}

// stepResult holds the messages that a step emitted and their sizes in bytes.
type stepResult struct {
	deliveries []delivery
	sizes      []int
}

// stepAndSend applies a message to a host and sends the messages that it emits.
func (nw *network) stepAndSend(host int, message any) {
	nw.sendResult(host, nw.step(nw.now, host, message))
}

// step applies a message to a host. It may run concurrently for different hosts.
func (nw *network) step(now types.Time, host int, message any) stepResult {
	machine := nw.machines[host]
	if machine == nil {
		return stepResult{}
	}
	start := time.Now()
	result := stepResult{deliveries: machine.step(now, message)}
	nw.usage[host].cpuTime += time.Since(start)
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

// advanceUntil advances the virtual time until done returns true, at most by limit. It
// returns the elapsed virtual time.
func (nw *network) advanceUntil(limit time.Duration, done func() bool) time.Duration {
	start := nw.now
	for nw.now.Sub(start) < limit && !done() {
		nw.advancePeriod()
	}
	return nw.now.Sub(start)
}

// advancePeriod delivers the messages of one timer period and then ticks the hosts whose
// deadline has passed. It advances the time in steps of localLatency, the shortest
// latency. A message therefore never arrives in the step in which it is sent, and the
// hosts of one step can run concurrently.
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

// popArrived removes and returns the messages that have arrived.
func (nw *network) popArrived() []scheduledDelivery {
	var batch []scheduledDelivery
	for len(nw.queue) > 0 && !nw.queue[0].arrival.After(nw.now) {
		batch = append(batch, heap.Pop(&nw.queue).(scheduledDelivery))
	}
	return batch
}

// stepBatch applies a batch of messages. The messages of one host are applied in order
// by one worker. Emitted messages are sent in the order of the batch, so that the result
// does not depend on the scheduling of the workers.
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

func (nw *network) resetUsage() { clear(nw.usage) }
