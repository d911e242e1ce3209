package membership

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// datagram is a message in flight.
type datagram struct {
	at  types.Time
	seq int
	to  string
	msg Message
}

type datagrams []datagram

func (q datagrams) Len() int      { return len(q) }
func (q datagrams) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *datagrams) Push(x any)   { *q = append(*q, x.(datagram)) }
func (q datagrams) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

func (q *datagrams) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// network runs machines in virtual time.
type network struct {
	now       types.Time
	random    random.Source
	queue     datagrams
	seq       int
	hosts     map[string]*Machine
	addresses []string
	// isPartitioned reports whether messages between two data centres are lost.
	isPartitioned func(a, b types.DataCentre) bool
	// lossPercent and duplicatePercent are the percentages of messages that are lost and
	// duplicated.
	lossPercent, duplicatePercent int
	startCount                    Incarnation
}

func newNetwork(seed uint64) *network {
	return &network{now: types.Time(time.Second), random: random.New(seed), hosts: map[string]*Machine{}}
}

// start starts or restarts a host with the given seeds.
func (n *network) start(i, dcs int, seeds ...string) string {
	n.startCount++
	address := fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250)
	self := Member{
		Host:          types.Host(fmt.Sprintf("host-%04d", i)),
		DataCentre:    types.DataCentre(fmt.Sprintf("dc-%02d", i%dcs)),
		MeshAddress:   fmt.Sprintf("10.0.%d.%d:7947", i/250, i%250),
		GossipAddress: address,
		Incarnation:   1000 + n.startCount,
	}
	if !slices.Contains(n.addresses, address) {
		n.addresses = append(n.addresses, address)
	}
	n.hosts[address] = New(Config{Self: self, Seed: n.random.Uint64()})
	n.apply(address, Join{Seeds: seeds})
	return address
}

// startAll starts hosts 0 to count-1 with the first three as seeds.
func (n *network) startAll(count, dcs int) {
	for i := range count {
		n.start(i, dcs, "10.0.0.0:7946", "10.0.0.1:7946", "10.0.0.2:7946")
	}
}

func (n *network) apply(address string, ev Event) {
	m := n.hosts[address]
	for _, eff := range m.Step(n.now, ev) {
		if s, ok := eff.(Send); ok {
			n.send(m.self.DataCentre, s)
		}
	}
}

func (n *network) send(from types.DataCentre, s Send) {
	to := n.hosts[s.Address]
	lost := n.random.IntN(100) < n.lossPercent
	if to == nil || lost || (n.isPartitioned != nil && n.isPartitioned(from, to.self.DataCentre)) {
		return
	}
	copies := 1
	if n.random.IntN(100) < n.duplicatePercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(200+n.random.IntN(1500)) * time.Microsecond
		n.seq++
		heap.Push(&n.queue, datagram{at: n.now.Add(delay), seq: n.seq, to: s.Address, msg: s.Message})
	}
}

// run advances the virtual time.
func (n *network) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tick)
		for len(n.queue) > 0 && !n.queue[0].at.After(n.now) {
			next := heap.Pop(&n.queue).(datagram)
			if n.hosts[next.to] != nil {
				n.apply(next.to, next.msg)
			}
		}
		for _, address := range n.addresses {
			if m := n.hosts[address]; m != nil && !n.now.Before(m.NextWake()) {
				n.apply(address, Tick{})
			}
		}
	}
}

// countDifferences counts, for the observers that the filter accepts, the hosts of
// which their view is wrong.
func (n *network) countDifferences(observes func(Member) bool) int {
	differences := 0
	for _, address := range n.addresses {
		m := n.hosts[address]
		if m == nil || !observes(m.self) {
			continue
		}
		live := map[types.Host]bool{}
		for _, dc := range m.Snapshot().DataCentres() {
			for _, h := range m.Snapshot().Live(dc) {
				live[h] = true
			}
		}
		for _, other := range n.addresses {
			o := n.hosts[other]
			if o == nil || o.self.State == Leaving {
				continue
			}
			if !live[o.self.Host] {
				differences++
			}
			delete(live, o.self.Host)
		}
		differences += len(live)
	}
	return differences
}

func anyObserver(Member) bool { return true }

func inDataCentre(dc types.DataCentre) func(Member) bool {
	return func(m Member) bool { return m.DataCentre == dc }
}
