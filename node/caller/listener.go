// Package caller serves callers: a listener task that knows the sessions, and
// for each connection a session task that owns the socket.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/netopt"
	"baobabfield.example/node/router"
	"baobabfield.example/wire/pgwire"
	"baobabfield.example/wire/token"
)

const (
	// inboxSize is the number of messages that wait for the listener task.
	inboxSize = 1024
	// secretSize is the size in bytes of a session's cancel secret.
	secretSize = 4
	// refusalTimeout bounds the sending of a refusal to a new caller.
	refusalTimeout = time.Second
)

// Settings configure the serving of callers.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Listen is the address for callers.
	Listen string
	// MaxCallers is the number of sessions that the host serves at a time.
	MaxCallers int
	// RequestTimeout bounds a request with all its retries.
	RequestTimeout time.Duration
	// StartupTimeout bounds a caller's startup.
	StartupTimeout time.Duration
	// DefaultRank is the rank of a caller that states none.
	DefaultRank types.Rank
	// TokenKey authenticates session tokens.
	TokenKey token.Key
	// TLS secures callers' connections; nil offers no TLS.
	TLS *tls.Config
}

var (
	callersServed  = metrics.NewCounter("baobab_callers_total")
	callersRefused = metrics.NewCounter("baobab_callers_refused_total")
	cancelsTaken   = metrics.NewCounter("baobab_cancel_requests_total")
)

// Task owns the listening socket and the set of sessions.
type Task struct {
	set      Settings
	router   *router.Task
	mesh     *mesh.Task
	log      *zap.Logger
	listener net.Listener
	inbox    chan any
	stopped  chan struct{}
	sessions map[uint32]*sessionHandle
	nextKey  uint16
	draining bool
	peers    map[uint16][]types.Host
	idle     chan struct{}
}

// sessionHandle is how the listener reaches a session.
type sessionHandle struct {
	secret  []byte
	control chan control
}

// control is a message from the listener to a session.
type control uint8

const (
	// controlCancel cancels the running statement.
	controlCancel control = iota
	// controlDrain ends the session at the end of its transaction.
	controlDrain
)

// accepted is a new connection.
type accepted struct{ conn net.Conn }

// ended says that a session is over.
type ended struct{ key uint32 }

// cancelMessage asks for a statement to be cancelled.
type cancelMessage struct {
	process uint32
	secret  []byte
	// local is set if the message must not go to another host.
	local bool
}

// drainMessage ends all sessions at the end of their transactions.
type drainMessage struct{ idle chan struct{} }

// peersMessage brings the other hosts.
type peersMessage struct{ hosts []types.Host }

// countRequest asks for the number of sessions.
type countRequest struct{ reply chan int }

// New listens for callers.
func New(ctx context.Context, set Settings, r *router.Task, m *mesh.Task, log *zap.Logger) (*Task, error) {
	l, err := netopt.Listen(ctx, set.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers at %q", set.Listen)
	}
	return &Task{
		set:      set,
		router:   r,
		mesh:     m,
		log:      log,
		listener: l,
		inbox:    make(chan any, inboxSize),
		stopped:  make(chan struct{}),
		sessions: map[uint32]*sessionHandle{},
		peers:    map[uint16][]types.Host{},
	}, nil
}

// Address returns the address at which the task listens.
func (t *Task) Address() string { return t.listener.Addr().String() }

// Run serves until the context ends, which cuts the sessions that are left.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	defer func() { _ = t.listener.Close() }()
	go t.accept()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		}
	}
}

func (t *Task) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case accepted:
		t.startSession(ctx, m.conn)
	case ended:
		delete(t.sessions, m.key)
		t.reportIdle()
	case cancelMessage:
		t.cancel(ctx, m)
	case drainMessage:
		t.drain(m)
	case peersMessage:
		t.setPeers(m.hosts)
	case countRequest:
		m.reply <- len(t.sessions)
	default:
		panic(fmt.Sprintf("caller: message %T is not known", msg))
	}
}

// post sends a message unless the task has ended; it reports whether it was sent.
func (t *Task) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// Drain refuses new callers and ends each session at the end of its
// transaction. The returned channel closes once no session is left.
func (t *Task) Drain() <-chan struct{} {
	idle := make(chan struct{})
	t.post(drainMessage{idle: idle})
	return idle
}

// SetPeers tells the other hosts, to which cancel requests may belong.
func (t *Task) SetPeers(hosts []types.Host) { t.post(peersMessage{hosts: hosts}) }

// Cancel cancels the running statement of one of the host's own sessions.
func (t *Task) Cancel(process uint32, secret []byte) {
	t.post(cancelMessage{process: process, secret: secret, local: true})
}

// Count returns the number of sessions.
func (t *Task) Count(ctx context.Context) int {
	m := countRequest{reply: make(chan int, 1)}
	if !t.post(m) {
		return 0
	}
	n, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return n
}

// accept passes new connections on until the listener closes.
func (t *Task) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		if !t.post(accepted{conn: conn}) {
			_ = conn.Close()
			return
		}
	}
}

// startSession starts a session's task, or refuses the caller.
func (t *Task) startSession(ctx context.Context, conn net.Conn) {
	if t.draining || len(t.sessions) >= t.set.MaxCallers {
		callersRefused.Inc()
		go refuse(conn, t.draining)
		return
	}
	secret := make([]byte, secretSize)
	if _, err := rand.Read(secret); err != nil {
		panic("random numbers are not available: " + err.Error())
	}
	callersServed.Inc()
	key := t.freeKey()
	h := &sessionHandle{secret: secret, control: make(chan control, 2)}
	t.sessions[key] = h
	s := newSession(t, conn, key, h)
	go s.run(ctx)
}

// freeKey returns a process number that no session uses; its upper half tells
// the host.
func (t *Task) freeKey() uint32 {
	for {
		t.nextKey++
		key := uint32(hostNumber(t.set.Host))<<16 | uint32(t.nextKey)
		if _, used := t.sessions[key]; !used {
			return key
		}
	}
}

// hostNumber returns a number by which a cancel request finds its host.
func hostNumber(h types.Host) uint16 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(h))
	return uint16(f.Sum32())
}

// refuse answers a caller that cannot be served.
func refuse(conn net.Conn, draining bool) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := pgproto3.NewBackend(conn, conn).ReceiveStartupMessage(); err != nil {
		return
	}
	state, text := pgwire.StateTooManyConnections, "too many callers"
	if draining {
		state, text = pgwire.StateShutdown, "host is stopping"
	}
	_, _ = conn.Write(pgwire.AppendError(nil, "FATAL", state, text))
}

func (t *Task) setPeers(hosts []types.Host) {
	clear(t.peers)
	for _, h := range hosts {
		n := hostNumber(h)
		t.peers[n] = append(t.peers[n], h)
	}
}

// cancel passes a cancel request to its session or to the host that has it.
func (t *Task) cancel(ctx context.Context, m cancelMessage) {
	cancelsTaken.Inc()
	if h, ok := t.sessions[m.process]; ok && string(h.secret) == string(m.secret) {
		h.send(controlCancel)
		return
	}
	if m.local {
		return
	}
	for _, h := range t.peers[uint16(m.process>>16)] {
		if h != t.set.Host {
			go t.forwardCancel(ctx, h, m)
		}
	}
}

// send delivers a message unless the session has not taken the last ones yet.
func (h *sessionHandle) send(c control) {
	select {
	case h.control <- c:
	default:
	}
}

func (t *Task) drain(m drainMessage) {
	t.draining = true
	t.idle = m.idle
	for _, h := range t.sessions {
		h.send(controlDrain)
	}
	t.reportIdle()
}

// reportIdle closes the channel of a drain once no session is left.
func (t *Task) reportIdle() {
	if t.draining && len(t.sessions) == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// secretBytes normalises a cancel secret.
func secretBytes(key []byte) []byte {
	if len(key) == 0 {
		return binary.BigEndian.AppendUint32(nil, 0)
	}
	return append([]byte(nil), key...)
}
