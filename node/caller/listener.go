// Package caller serves PostgreSQL callers. The listener task owns the listening socket
// and the set of sessions. It handles new connections, cancel requests and the drain of
// the host, and sends cancel and drain messages to the sessions.
//
// Each session task owns the caller's socket, the session token and the stream of an
// open transaction. For each batch it requests a target from the router, sends the batch
// to the owner of that endpoint over the mesh, and sends the answer to the caller. Package
// core/routing decides whether a failed request is retried.
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
	// inboxSize is the capacity of the listener task's inbox in messages.
	inboxSize = 1024
	// cancelSecretBytes is the length of a session's cancel secret.
	cancelSecretBytes = 4
	// refusalTimeout bounds the exchange with a caller that is refused, and the write
	// of a fatal error.
	refusalTimeout = time.Second
)

// Settings configures the serving of callers.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Listen is the HOST:PORT on which the task listens for callers.
	Listen string
	// MaxCallers limits the concurrent sessions of the host.
	MaxCallers int
	// RequestTimeout bounds a request including its retries.
	RequestTimeout time.Duration
	// StartupTimeout bounds the startup of a session, a TLS handshake included.
	StartupTimeout time.Duration
	// DefaultRank is the rank of a caller that specifies none.
	DefaultRank types.Rank
	// TokenKey authenticates session tokens.
	TokenKey token.Key
	// TLS configures TLS for caller connections. If nil, TLS is not offered.
	TLS *tls.Config
}

var (
	callersServed  = metrics.NewCounter("baobab_callers_total")
	callersRefused = metrics.NewCounter("baobab_callers_refused_total")
	cancelRequests = metrics.NewCounter("baobab_cancel_requests_total")
)

// Task owns the listening socket and the set of sessions.
type Task struct {
	settings          Settings
	router            *router.Task
	mesh              *mesh.Task
	log               *zap.Logger
	listener          net.Listener
	inbox             chan any
	stopped           chan struct{}
	sessions          map[uint32]*sessionHandle
	lastSessionNumber uint16
	draining          bool
	hostsByHash       map[uint16][]types.Host
	drained           chan struct{}
}

// sessionHandle is the listener's reference to a session.
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

// connAccepted holds a newly accepted connection.
type connAccepted struct{ conn net.Conn }

// sessionEnded reports that a session has ended.
type sessionEnded struct{ processID uint32 }

// cancelRequest requests the cancellation of a session's running statement.
type cancelRequest struct {
	processID uint32
	secret    []byte
	// local is set if the request must not be forwarded to another host.
	local bool
}

// drainRequest requests that each session ends at the end of its transaction.
// drained closes once no session is left.
type drainRequest struct{ drained chan struct{} }

// peersUpdate replaces the set of other hosts.
type peersUpdate struct{ hosts []types.Host }

// countRequest requests the number of sessions.
type countRequest struct{ reply chan int }

// New opens the listening socket. It returns an error if the address cannot be
// bound.
func New(ctx context.Context, settings Settings, r *router.Task, m *mesh.Task, log *zap.Logger) (*Task, error) {
	l, err := netopt.Listen(ctx, settings.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers at %q", settings.Listen)
	}
	return &Task{
		settings:    settings,
		router:      r,
		mesh:        m,
		log:         log,
		listener:    l,
		inbox:       make(chan any, inboxSize),
		stopped:     make(chan struct{}),
		sessions:    map[uint32]*sessionHandle{},
		hostsByHash: map[uint16][]types.Host{},
	}, nil
}

// Address returns the address that the task listens on.
func (t *Task) Address() string { return t.listener.Addr().String() }

// Run serves until the context ends, which also ends the remaining sessions.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	defer func() { _ = t.listener.Close() }()
	go t.acceptConns()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.inbox:
			t.handleMessage(ctx, msg)
		}
	}
}

func (t *Task) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case connAccepted:
		t.startSession(ctx, m.conn)
	case sessionEnded:
		delete(t.sessions, m.processID)
		t.reportDrained()
	case cancelRequest:
		t.handleCancel(ctx, m)
	case drainRequest:
		t.startDrain(m)
	case peersUpdate:
		t.setPeers(m.hosts)
	case countRequest:
		m.reply <- len(t.sessions)
	default:
		panic(fmt.Sprintf("caller: unexpected message type %T", msg))
	}
}

// post sends a message to the task. It reports false if the task has ended.
func (t *Task) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// Drain refuses new callers and ends each session at the end of its transaction. The
// returned channel closes once no session is left.
func (t *Task) Drain() <-chan struct{} {
	drained := make(chan struct{})
	t.post(drainRequest{drained: drained})
	return drained
}

// SetPeers replaces the set of other hosts, to which cancel requests are forwarded.
func (t *Task) SetPeers(hosts []types.Host) { t.post(peersUpdate{hosts: hosts}) }

// Cancel cancels the running statement of a session on this host. The request is not
// forwarded.
func (t *Task) Cancel(processID uint32, secret []byte) {
	t.post(cancelRequest{processID: processID, secret: secret, local: true})
}

// Count returns the number of sessions. It returns 0 if the context or the task ends
// first.
func (t *Task) Count(ctx context.Context) int {
	m := countRequest{reply: make(chan int, 1)}
	if !t.post(m) {
		return 0
	}
	n, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return n
}

// acceptConns posts new connections to the task until the listener closes.
func (t *Task) acceptConns() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		if !t.post(connAccepted{conn: conn}) {
			_ = conn.Close()
			return
		}
	}
}

// startSession starts the task of a session, or refuses the caller if the host is
// draining or full.
func (t *Task) startSession(ctx context.Context, conn net.Conn) {
	if t.draining || len(t.sessions) >= t.settings.MaxCallers {
		callersRefused.Inc()
		go refuseCaller(conn, t.draining)
		return
	}
	secret := make([]byte, cancelSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		panic("caller: generating the cancel secret failed: " + err.Error())
	}
	callersServed.Inc()
	processID := t.allocateProcessID()
	h := &sessionHandle{secret: secret, control: make(chan control, 2)}
	t.sessions[processID] = h
	s := newSession(t, conn, processID, h)
	go s.run(ctx)
}

// allocateProcessID returns a process ID that no session uses. Its upper 16 bits are
// the hash of the host, by which a cancel request is forwarded.
func (t *Task) allocateProcessID() uint32 {
	for {
		t.lastSessionNumber++
		processID := uint32(hostHash(t.settings.Host))<<16 | uint32(t.lastSessionNumber)
		if _, used := t.sessions[processID]; !used {
			return processID
		}
	}
}

// hostHash returns a 16-bit hash of a host's name. Several hosts can share a hash.
func hostHash(h types.Host) uint16 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(h))
	return uint16(f.Sum32())
}

// refuseCaller sends an error to a caller that cannot be served and closes the
// connection.
func refuseCaller(conn net.Conn, draining bool) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := pgproto3.NewBackend(conn, conn).ReceiveStartupMessage(); err != nil {
		return
	}
	code, text := pgwire.SQLStateTooManyConnections, "too many callers"
	if draining {
		code, text = pgwire.SQLStateShutdown, "host is stopping"
	}
	_, _ = conn.Write(pgwire.AppendError(nil, "FATAL", code, text))
}

func (t *Task) setPeers(hosts []types.Host) {
	clear(t.hostsByHash)
	for _, h := range hosts {
		n := hostHash(h)
		t.hostsByHash[n] = append(t.hostsByHash[n], h)
	}
}

// handleCancel passes a cancel request to its session, or forwards it to the hosts
// whose hash is in the process ID.
func (t *Task) handleCancel(ctx context.Context, m cancelRequest) {
	cancelRequests.Inc()
	if h, ok := t.sessions[m.processID]; ok && string(h.secret) == string(m.secret) {
		h.sendControl(controlCancel)
		return
	}
	if m.local {
		return
	}
	for _, h := range t.hostsByHash[uint16(m.processID>>16)] {
		if h != t.settings.Host {
			go t.forwardCancel(ctx, h, m)
		}
	}
}

// sendControl sends a message to a session. The message is dropped if the session's
// queue is full.
func (h *sessionHandle) sendControl(c control) {
	select {
	case h.control <- c:
	default:
	}
}

func (t *Task) startDrain(m drainRequest) {
	t.draining = true
	t.drained = m.drained
	for _, h := range t.sessions {
		h.sendControl(controlDrain)
	}
	t.reportDrained()
}

// reportDrained closes the channel of a drain request once no session is left.
func (t *Task) reportDrained() {
	if t.draining && len(t.sessions) == 0 && t.drained != nil {
		close(t.drained)
		t.drained = nil
	}
}

// normalizeSecret copies a cancel secret. An empty secret becomes four zero bytes.
func normalizeSecret(key []byte) []byte {
	if len(key) == 0 {
		return binary.BigEndian.AppendUint32(nil, 0)
	}
	return append([]byte(nil), key...)
}
