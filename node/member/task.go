package member

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"baobabfield.example/core/membership"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/events"
)

// Capacities of the task's channels, and sizes of its buffers.
const (
	inputQueueLength  = 16
	packetQueueLength = 1024
	// readBufferBytes exceeds maxDatagramBytes. A datagram that does not fit the
	// buffer is truncated and then fails authentication.
	readBufferBytes = 2048
	// receiveBufferBytes is the size of the socket's receive buffer in the kernel.
	receiveBufferBytes = 1 << 20
)

// Settings holds the settings of a task.
type Settings struct {
	// Self describes this host. An empty gossip address is replaced by the address of
	// the socket.
	Self membership.Member
	// Listen is the UDP address that the socket is bound to.
	Listen string
	// ClusterKey is shared by all hosts. It authenticates datagrams.
	ClusterKey []byte
	// Seed is the seed of the machine's random numbers.
	Seed uint64
	// Changes receives every membership change.
	Changes  chan<- membership.Changed
	Recorder *events.Recorder
	Metrics  *metrics.Set
}

// Task owns the gossip socket and the membership machine.
type Task struct {
	settings  Settings
	conn      *net.UDPConn
	machine   *membership.Machine
	input     chan membership.Event
	packets   chan []byte
	counters  counters
	startedAt time.Time
	// resolvedAddresses caches the resolution of gossip addresses.
	resolvedAddresses map[string]*net.UDPAddr
	// pendingChange is the change that Changes has not received yet.
	pendingChange *membership.Changed
}

// counters count datagrams and their bytes.
type counters struct {
	sent, received           *metrics.Counter
	sentBytes, receivedBytes *metrics.Counter
	notAuthentic, malformed  *metrics.Counter
	sendFailed               *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		sent:          set.NewCounter(`baobab_member_datagrams_total{direction="sent"}`),
		received:      set.NewCounter(`baobab_member_datagrams_total{direction="received"}`),
		sentBytes:     set.NewCounter(`baobab_member_bytes_total{direction="sent"}`),
		receivedBytes: set.NewCounter(`baobab_member_bytes_total{direction="received"}`),
		notAuthentic:  set.NewCounter(`baobab_member_dropped_total{reason="not authentic"}`),
		malformed:     set.NewCounter(`baobab_member_dropped_total{reason="malformed"}`),
		sendFailed:    set.NewCounter(`baobab_member_dropped_total{reason="not sent"}`),
	}
}

// Open binds the socket and returns the task; Run starts it.
func Open(settings Settings) (*Task, error) {
	if len(settings.ClusterKey) == 0 {
		return nil, errors.New("cluster key is empty")
	}
	address, err := net.ResolveUDPAddr("udp", settings.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve gossip address %q", settings.Listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on gossip address %q", settings.Listen)
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "set receive buffer of gossip socket %q to %d bytes", settings.Listen, receiveBufferBytes)
	}
	if settings.Self.GossipAddress == "" {
		settings.Self.GossipAddress = conn.LocalAddr().String()
	}
	return &Task{
		settings:          settings,
		conn:              conn,
		machine:           membership.New(membership.Config{Self: settings.Self, Seed: settings.Seed}),
		input:             make(chan membership.Event, inputQueueLength),
		packets:           make(chan []byte, packetQueueLength),
		counters:          newCounters(settings.Metrics),
		startedAt:         time.Now(),
		resolvedAddresses: map[string]*net.UDPAddr{},
	}, nil
}

// Input returns the channel for the events Join, Leave and PlatformHosts.
func (t *Task) Input() chan<- membership.Event { return t.input }

// Address returns the address that the socket is bound to.
func (t *Task) Address() string { return t.conn.LocalAddr().String() }

// Run serves the task until ctx ends or the socket fails, and then closes the socket.
func (t *Task) Run(ctx context.Context) {
	go readPackets(t.conn, t.packets)
	defer t.closeSocket()
	timer := time.NewTimer(0)
	defer timer.Stop()
	t.queueChange(membership.Changed{Snapshot: t.machine.Snapshot()})
	for {
		var changes chan<- membership.Changed
		var change membership.Changed
		if t.pendingChange != nil {
			changes = t.settings.Changes
			change = *t.pendingChange
		}
		select {
		case <-ctx.Done():
			return
		case changes <- change:
			t.pendingChange = nil
		case ev := <-t.input:
			t.step(ev)
		case packet, open := <-t.packets:
			if !open {
				return
			}
			t.handlePacket(packet)
		case <-timer.C:
			t.step(membership.Tick{})
		}
		timer.Reset(t.machine.NextWake().Sub(t.now()))
	}
}

// readPackets sends the received datagrams to out until the socket is closed or
// fails, and then closes out.
func readPackets(conn *net.UDPConn, out chan<- []byte) {
	defer close(out)
	for {
		buffer := make([]byte, readBufferBytes)
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		out <- buffer[:n]
	}
}

// closeSocket closes the socket and waits for readPackets to return.
func (t *Task) closeSocket() {
	_ = t.conn.Close()
	for range t.packets {
		continue
	}
}

// now returns the time since the task was opened.
func (t *Task) now() types.Time { return types.Time(time.Since(t.startedAt)) }

func (t *Task) handlePacket(packet []byte) {
	t.counters.received.Inc()
	t.counters.receivedBytes.Add(len(packet))
	msg, err := decode(t.settings.ClusterKey, packet)
	switch {
	case errors.Is(err, errNotAuthentic):
		t.counters.notAuthentic.Inc()
	case err != nil:
		t.counters.malformed.Inc()
	default:
		t.step(msg)
	}
}

// step applies an event to the machine and performs the effects.
func (t *Task) step(ev membership.Event) {
	for _, eff := range t.machine.Step(t.now(), ev) {
		switch eff := eff.(type) {
		case membership.Send:
			t.send(eff)
		case membership.Changed:
			t.queueChange(eff)
		case membership.Note:
			t.recordNote(eff)
		}
	}
}

func (t *Task) send(s membership.Send) {
	address, err := t.resolve(s.Address)
	if err != nil {
		t.counters.sendFailed.Inc()
		return
	}
	datagram, err := encode(t.settings.ClusterKey, s.Message)
	if err != nil {
		t.counters.sendFailed.Inc()
		return
	}
	if _, err := t.conn.WriteToUDP(datagram, address); err != nil {
		t.counters.sendFailed.Inc()
		return
	}
	t.counters.sent.Inc()
	t.counters.sentBytes.Add(len(datagram))
}

// maxResolvedAddresses bounds the cache of resolved addresses. The cache is cleared
// when it is full.
const maxResolvedAddresses = 10000

func (t *Task) resolve(address string) (*net.UDPAddr, error) {
	if known, ok := t.resolvedAddresses[address]; ok {
		return known, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if len(t.resolvedAddresses) >= maxResolvedAddresses {
		clear(t.resolvedAddresses)
	}
	t.resolvedAddresses[address] = resolved
	return resolved, nil
}

// queueChange keeps a change until Changes receives it. Later changes are merged
// into a waiting one, so that a slow receiver never blocks the task.
func (t *Task) queueChange(c membership.Changed) {
	if t.pendingChange != nil {
		c.Members = append(t.pendingChange.Members[:len(t.pendingChange.Members):len(t.pendingChange.Members)], c.Members...)
	}
	t.pendingChange = &c
}

var noteKinds = map[membership.NoteKind]timeline.Kind{
	membership.NoteJoined:                timeline.KindHostJoined,
	membership.NoteSuspected:             timeline.KindHostSuspected,
	membership.NoteRefuted:               timeline.KindHostRefuted,
	membership.NoteLeaving:               timeline.KindHostLeaving,
	membership.NoteDead:                  timeline.KindHostDead,
	membership.NoteSelfListedLeaving:     timeline.KindHostListedLeaving,
	membership.NoteDataCentreUnreachable: timeline.KindDataCentreUnreachable,
	membership.NoteDataCentreReachable:   timeline.KindDataCentreReachable,
}

// recordNote records a note in the time line.
func (t *Task) recordNote(n membership.Note) {
	object := string(n.Host)
	if n.Host == "" {
		object = string(n.DataCentre)
	}
	t.settings.Recorder.Record(timeline.Event{Kind: noteKinds[n.Kind], Object: object})
}
