// Package mesh connects hosts with each other. Two hosts have one yamux session for each
// direction. The task owns the listening socket, the sessions that it has dialled and the
// idle streams. It replies to requests for a stream to a host, and passes the streams that
// other hosts open to Inbound.
//
// In "baobabd serve" each statement, transaction or message uses one stream at a time. In
// "baobabd platform" one stream, the link, carries all messages to a host.
package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/netopt"
	"baobabfield.example/wire/meshpb"
)

const (
	// inboxSize is the capacity of the task's inbox in messages.
	inboxSize = 256
	// dialTimeout is the limit for opening a session.
	dialTimeout = 2 * time.Second
	// probeTimeout is the limit for a probed host's answer.
	probeTimeout = time.Second
	// redialDelay is the time after a failed dial during which the host is not dialled
	// again.
	redialDelay = 200 * time.Millisecond
	// maxIdleStreamsPerPeer and maxIdleStreams limit the idle streams that are kept for
	// one host and for all hosts.
	maxIdleStreamsPerPeer = 16
	maxIdleStreams        = 1024
	// maxPendingOpens is the number of stream requests that may wait for one session.
	maxPendingOpens = 1024
)

// Settings holds the mesh configuration of a host.
type Settings struct {
	Host types.Host
	// Listen is the address on which the host accepts sessions of other hosts.
	Listen string
	// ClusterKey is shared by all hosts. It authenticates a connecting host.
	ClusterKey []byte
	// ServerTLS and ClientTLS are the TLS configurations of sessions. If nil, sessions
	// are in plain text.
	ServerTLS, ClientTLS *tls.Config
}

// PayloadHandler handles a payload message, whose format another package defines.
type PayloadHandler func(from types.Host, body []byte)

// Task owns the sessions with other hosts. Its exported methods may be called from any
// goroutine: they send messages to the task and wait for its replies.
type Task struct {
	settings Settings
	log      *zap.Logger
	listener net.Listener
	inbound  chan *Stream
	inbox    chan any
	peers    map[types.Host]*peer
	// idleStreamCount is the number of idle streams of all peers.
	idleStreamCount int
	stopped         chan struct{}
}

// peer is the state of the connection to another host.
type peer struct {
	address      string
	session      *session
	dialing      bool
	redialAt     time.Time
	pendingOpens []openRequest
	// idleStreams holds the open streams that can be reused, the most recently used one
	// last.
	idleStreams []*Stream
}

// openRequest requests a stream to a host.
type openRequest struct {
	host  types.Host
	reply chan openReply
}

type openReply struct {
	stream *Stream
	err    error
}

// setAddresses replaces the addresses of the other hosts.
type setAddresses struct{ addresses map[types.Host]string }

// dialResult is the result of dialSession.
type dialResult struct {
	host    types.Host
	session *session
	err     error
}

// suspectHost reports that a host did not answer in time.
type suspectHost struct{ host types.Host }

var (
	streamsOpened   = metrics.NewCounter("baobab_mesh_streams_opened_total")
	streamsReused   = metrics.NewCounter("baobab_mesh_streams_reused_total")
	dialFailures    = metrics.NewCounter("baobab_mesh_dial_failures_total")
	refusedSessions = metrics.NewCounter("baobab_mesh_refused_sessions_total")
)

// New returns a task that listens for sessions of other hosts. It accepts them once Run
// is called.
func New(ctx context.Context, settings Settings, log *zap.Logger) (*Task, error) {
	l, err := netopt.Listen(ctx, settings.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for hosts at %q", settings.Listen)
	}
	return &Task{
		settings: settings,
		log:      log,
		listener: l,
		inbound:  make(chan *Stream),
		inbox:    make(chan any, inboxSize),
		peers:    map[types.Host]*peer{settings.Host: {}},
		stopped:  make(chan struct{}),
	}, nil
}

// Address returns the address on which the task listens.
func (t *Task) Address() string { return t.listener.Addr().String() }

// Inbound returns the channel of streams that hosts open to this host.
func (t *Task) Inbound() <-chan *Stream { return t.inbound }

// Run accepts sessions and handles messages until the context ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	go t.acceptSessions(ctx)
	for {
		select {
		case <-ctx.Done():
			t.closeAll()
			return
		case msg := <-t.inbox:
			t.handleMessage(ctx, msg)
		}
	}
}

func (t *Task) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case openRequest:
		t.openStream(ctx, m)
	case setAddresses:
		t.updateAddresses(m.addresses)
	case dialResult:
		t.handleDialResult(m)
	case suspectHost:
		t.replaceSession(ctx, m.host)
	case releaseStream:
		t.keepIdleStream(m.stream)
	default:
		panic(fmt.Sprintf("mesh: received a message of unexpected type %T", msg))
	}
}

// SetAddresses replaces the addresses of the other hosts.
func (t *Task) SetAddresses(addresses map[types.Host]string) {
	t.post(setAddresses{addresses: addresses})
}

// SuspectHost reports that a host did not answer in time. The task then dials a new session
// and opens later streams on it. Streams of the old session may still end normally. The
// state of the host in the membership does not change.
func (t *Task) SuspectHost(h types.Host) { t.post(suspectHost{host: h}) }

// post sends a message to the task unless the task has ended.
func (t *Task) post(msg any) {
	mailbox.Post(t.inbox, t.stopped, msg)
}

// Open returns a stream to a host. A stream to the host itself is an in-memory pipe. Open
// fails if the host has no known address or cannot be reached.
func (t *Task) Open(ctx context.Context, h types.Host) (*Stream, error) {
	req := openRequest{host: h, reply: make(chan openReply, 1)}
	t.post(req)
	select {
	case r := <-req.reply:
		return r.stream, r.err
	case <-ctx.Done():
		go closeAbandonedStream(req.reply, t.stopped)
		return nil, ctx.Err()
	case <-t.stopped:
		return nil, errors.New("mesh has stopped")
	}
}

// closeAbandonedStream closes a stream that is opened after the context of its Open has
// ended.
func closeAbandonedStream(reply <-chan openReply, stopped <-chan struct{}) {
	select {
	case r := <-reply:
		if r.stream != nil {
			r.stream.Close()
		}
	case <-stopped:
	}
}

// ProbeHost reports whether a host answers within probeTimeout. The probe is a state
// request without a database. A host that does not answer in time is suspected.
func (t *Task) ProbeHost(ctx context.Context, h types.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &meshpb.Frame{Body: &meshpb.Frame_StateRequest{StateRequest: &meshpb.StateRequest{}}}
	answer := t.QueryHost(ctx, h, request)
	if ctx.Err() != nil {
		t.SuspectHost(h)
	}
	return answer != nil
}

// QueryHost sends a request to a host and returns the first frame of the answer. It returns
// nil if the request cannot be sent or no answer arrives before the context ends.
func (t *Task) QueryHost(ctx context.Context, h types.Host, request *meshpb.Frame) *meshpb.Frame {
	s, err := t.Open(ctx, h)
	if err != nil {
		return nil
	}
	defer s.Close()
	if s.Send(request) != nil {
		return nil
	}
	select {
	case answer := <-s.Frames():
		return answer
	case <-ctx.Done():
		return nil
	}
}

// openLocal opens a stream from the host to itself.
func (t *Task) openLocal(ctx context.Context, req openRequest) {
	localEnd, remoteEnd := net.Pipe()
	select {
	case t.inbound <- newStream(t.settings.Host, remoteEnd):
		req.reply <- openReply{stream: newStream(t.settings.Host, localEnd)}
	case <-ctx.Done():
		req.reply <- openReply{err: ctx.Err()}
	}
}

// Send sends one frame to a host on a separate stream. A nil error does not mean that the
// host has received it.
func (t *Task) Send(ctx context.Context, h types.Host, f *meshpb.Frame) error {
	s, err := t.Open(ctx, h)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Send(f)
}

// openStream replies to a request with an idle or new stream. Without a session, the
// request waits until one is dialled.
func (t *Task) openStream(ctx context.Context, req openRequest) {
	p, ok := t.peers[req.host]
	if !ok {
		req.reply <- openReply{err: fmt.Errorf("host %q has no known address", req.host)}
		return
	}
	if s := t.reuseIdleStream(p); s != nil {
		req.reply <- openReply{stream: s}
		return
	}
	if req.host == t.settings.Host {
		go t.openLocal(ctx, req)
		return
	}
	if p.session != nil && !p.session.isClosed() {
		go p.session.openStream(req)
		return
	}
	if len(p.pendingOpens) >= maxPendingOpens || time.Now().Before(p.redialAt) {
		req.reply <- openReply{err: fmt.Errorf("host %q cannot be reached at %s", req.host, p.address)}
		return
	}
	p.pendingOpens = append(p.pendingOpens, req)
	t.dialPeer(ctx, req.host, p)
}

// dialPeer dials a session in a goroutine, unless a dial is in progress.
func (t *Task) dialPeer(ctx context.Context, h types.Host, p *peer) {
	if p.dialing {
		return
	}
	p.dialing = true
	address := p.address
	go func() {
		s, err := dialSession(ctx, t.settings, h, address)
		t.post(dialResult{host: h, session: s, err: err})
	}()
}

// handleDialResult replaces the peer's session and opens the pending streams on the new
// one. If the dial failed, the pending requests fail.
func (t *Task) handleDialResult(m dialResult) {
	p, ok := t.peers[m.host]
	if !ok {
		if m.session != nil {
			m.session.close()
		}
		return
	}
	p.dialing = false
	pending := p.pendingOpens
	p.pendingOpens = nil
	if m.err != nil {
		dialFailures.Inc()
		p.redialAt = time.Now().Add(redialDelay)
		for _, req := range pending {
			req.reply <- openReply{err: m.err}
		}
		return
	}
	if p.session != nil {
		p.session.closeAfterDelay()
	}
	p.session = m.session
	for _, req := range pending {
		go p.session.openStream(req)
	}
}

// replaceSession dials a new session to a suspected host. Streams that are opened meanwhile wait
// for it: on the suspected session they might never be answered.
func (t *Task) replaceSession(ctx context.Context, h types.Host) {
	p, ok := t.peers[h]
	if !ok || h == t.settings.Host {
		return
	}
	t.closeIdleStreams(p)
	if p.session != nil {
		p.session.closeAfterDelay()
		p.session = nil
	}
	if time.Now().After(p.redialAt) {
		t.dialPeer(ctx, h, p)
	}
}

// updateAddresses adds new hosts and removes the hosts that have left or have a new
// address.
func (t *Task) updateAddresses(addresses map[types.Host]string) {
	for h, p := range t.peers {
		if addresses[h] == p.address || h == t.settings.Host {
			continue
		}
		t.closeIdleStreams(p)
		if p.session != nil {
			p.session.closeAfterDelay()
		}
		for _, req := range p.pendingOpens {
			req.reply <- openReply{err: fmt.Errorf("host %q has left", h)}
		}
		delete(t.peers, h)
	}
	for h, address := range addresses {
		if _, ok := t.peers[h]; !ok && h != t.settings.Host {
			t.peers[h] = &peer{address: address}
		}
	}
}

// closeAll closes the listener, all sessions and all idle streams.
func (t *Task) closeAll() {
	_ = t.listener.Close()
	for _, p := range t.peers {
		t.closeIdleStreams(p)
		if p.session != nil {
			p.session.close()
		}
	}
}
