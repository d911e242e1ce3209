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

const (
	inputBuffer  = 16
	packetBuffer = 1024
	// readBytes exceeds every valid datagram, so that longer ones are noticed.
	readBytes = 2048
	// socketBytes is the size of the socket's receive buffer.
	socketBytes = 1 << 20
)

// Config holds the settings of a task.
type Config struct {
	// Self describes the host. An empty gossip address is filled in from the socket.
	Self membership.Member
	// Listen is the UDP address of the socket.
	Listen string
	// Key authenticates the datagrams of the cluster.
	Key []byte
	// Seed starts the machine's random numbers.
	Seed uint64
	// Changes receives every change of the membership.
	Changes  chan<- membership.Changed
	Recorder *events.Recorder
	Metrics  *metrics.Set
}

// Task owns the gossip socket and the membership machine.
type Task struct {
	config   Config
	conn     *net.UDPConn
	machine  *membership.Machine
	input    chan membership.Event
	packets  chan []byte
	counters counters
	started  time.Time
	// addresses caches the resolved gossip addresses.
	addresses map[string]*net.UDPAddr
	// pending is the change that Changes has not taken yet.
	pending *membership.Changed
}

// counters count the datagrams.
type counters struct {
	sent, received         *metrics.Counter
	sentBytes, recvBytes   *metrics.Counter
	notAuthentic, unusable *metrics.Counter
	sendFailed             *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		sent:         set.NewCounter(`baobab_member_datagrams_total{direction="sent"}`),
		received:     set.NewCounter(`baobab_member_datagrams_total{direction="received"}`),
		sentBytes:    set.NewCounter(`baobab_member_bytes_total{direction="sent"}`),
		recvBytes:    set.NewCounter(`baobab_member_bytes_total{direction="received"}`),
		notAuthentic: set.NewCounter(`baobab_member_dropped_total{reason="not authentic"}`),
		unusable:     set.NewCounter(`baobab_member_dropped_total{reason="malformed"}`),
		sendFailed:   set.NewCounter(`baobab_member_dropped_total{reason="not sent"}`),
	}
}

// Open binds the socket and returns the task; Run starts it.
func Open(cfg Config) (*Task, error) {
	if len(cfg.Key) == 0 {
		return nil, errors.New("the cluster key is empty")
	}
	address, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on gossip address %q", cfg.Listen)
	}
	if err := conn.SetReadBuffer(socketBytes); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "gossip socket buffer")
	}
	if cfg.Self.GossipAddress == "" {
		cfg.Self.GossipAddress = conn.LocalAddr().String()
	}
	return &Task{
		config:    cfg,
		conn:      conn,
		machine:   membership.New(membership.Config{Self: cfg.Self, Seed: cfg.Seed}),
		input:     make(chan membership.Event, inputBuffer),
		packets:   make(chan []byte, packetBuffer),
		counters:  newCounters(cfg.Metrics),
		started:   time.Now(),
		addresses: map[string]*net.UDPAddr{},
	}, nil
}

// Input returns the channel for Join, Leave and PlatformHosts events.
func (t *Task) Input() chan<- membership.Event { return t.input }

// Address returns the address that the socket is bound to.
func (t *Task) Address() string { return t.conn.LocalAddr().String() }

// Run serves the task until the context ends or the socket fails, and closes the
// socket.
func (t *Task) Run(ctx context.Context) {
	go readPackets(t.conn, t.packets)
	defer t.stopReading()
	timer := time.NewTimer(0)
	defer timer.Stop()
	t.publish(membership.Changed{Snapshot: t.machine.Snapshot()})
	for {
		var changes chan<- membership.Changed
		var change membership.Changed
		if t.pending != nil {
			changes = t.config.Changes
			change = *t.pending
		}
		select {
		case <-ctx.Done():
			return
		case changes <- change:
			t.pending = nil
		case ev := <-t.input:
			t.step(ev)
		case packet, open := <-t.packets:
			if !open {
				return
			}
			t.receive(packet)
		case <-timer.C:
			t.step(membership.Tick{})
		}
		timer.Reset(t.machine.Deadline().Sub(t.now()))
	}
}

// readPackets passes on what the socket receives until it is closed or fails.
func readPackets(conn *net.UDPConn, out chan<- []byte) {
	defer close(out)
	for {
		buffer := make([]byte, readBytes)
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		out <- buffer[:n]
	}
}

// stopReading closes the socket and waits for its reader.
func (t *Task) stopReading() {
	_ = t.conn.Close()
	for range t.packets {
		continue
	}
}

// now returns the time since the task was opened.
func (t *Task) now() types.Time { return types.Time(time.Since(t.started)) }

func (t *Task) receive(packet []byte) {
	t.counters.received.Inc()
	t.counters.recvBytes.Add(len(packet))
	msg, err := decode(t.config.Key, packet)
	switch {
	case errors.Is(err, errNotAuthentic):
		t.counters.notAuthentic.Inc()
	case err != nil:
		t.counters.unusable.Inc()
	default:
		t.step(msg)
	}
}

// step gives an event to the machine and carries out its effects.
func (t *Task) step(ev membership.Event) {
	for _, eff := range t.machine.Step(t.now(), ev) {
		switch eff := eff.(type) {
		case membership.Send:
			t.send(eff)
		case membership.Changed:
			t.publish(eff)
		case membership.Note:
			t.record(eff)
		}
	}
}

func (t *Task) send(s membership.Send) {
	address, err := t.resolve(s.Address)
	if err != nil {
		t.counters.sendFailed.Inc()
		return
	}
	datagram, err := encode(t.config.Key, s.Message)
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

// maxAddresses bounds the cache of resolved addresses.
const maxAddresses = 10000

func (t *Task) resolve(address string) (*net.UDPAddr, error) {
	if known, ok := t.addresses[address]; ok {
		return known, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if len(t.addresses) >= maxAddresses {
		clear(t.addresses)
	}
	t.addresses[address] = resolved
	return resolved, nil
}

// publish keeps a change until it is taken, together with later ones.
func (t *Task) publish(c membership.Changed) {
	if t.pending != nil {
		c.Members = append(t.pending.Members[:len(t.pending.Members):len(t.pending.Members)], c.Members...)
	}
	t.pending = &c
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

// record puts a note on the time line.
func (t *Task) record(n membership.Note) {
	object := string(n.Host)
	if n.Host == "" {
		object = string(n.DataCentre)
	}
	t.config.Recorder.Record(timeline.Event{Kind: noteKinds[n.Kind], Object: object})
}
