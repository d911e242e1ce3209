// Package mesh connects hosts with each other: one yamux session for each
// direction between two hosts, and on it one stream for each statement,
// transaction or message.
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
	// inboxSize is the number of requests that wait for the task.
	inboxSize = 256
	// dialTimeout bounds the opening of a session.
	dialTimeout = 2 * time.Second
	// probeTimeout bounds the wait for a probed host's answer.
	probeTimeout = time.Second
	// redialDelay is the time after a failed dial in which a host is not dialled again.
	redialDelay = 200 * time.Millisecond
	// maxIdleStreamsPerPeer and maxIdle are the numbers of unused streams that are kept for
	// one host and for all.
	maxIdleStreamsPerPeer = 16
	maxIdleStreams        = 1024
	// maxPendingOpens is the number of requests that wait for one session.
	maxPendingOpens = 1024
)

// Settings configure the mesh of a host.
type Settings struct {
	Host types.Host
	// Listen is the address for sessions of other hosts.
	Listen string
	// Key is shared by all hosts; a session starts with a proof of it.
	Key []byte
	// ServerTLS and ClientTLS secure sessions; nil leaves them plain.
	ServerTLS, ClientTLS *tls.Config
}

// PayloadHandler takes a message of another package.
type PayloadHandler func(from types.Host, body []byte)

// Task owns the sessions with other hosts. Its exported methods send messages
// to the task or wait for its answer.
type Task struct {
	settings Settings
	log      *zap.Logger
	listener net.Listener
	inbound  chan *Stream
	inbox    chan any
	peers    map[types.Host]*peer
	// idleStreamCount is the number of unused streams of all peers.
	idleStreamCount int
	stopped         chan struct{}
}

// peer is what the task knows of another host.
type peer struct {
	address      string
	session      *session
	dialing      bool
	redialAt     time.Time
	pendingOpens []openRequest
	// idleStreams are the streams that wait for their next conversation.
	idleStreams []*Stream
}

// openRequest asks for a stream to a host.
type openRequest struct {
	host  types.Host
	reply chan openReply
}

type openReply struct {
	stream *Stream
	err    error
}

// setAddresses replaces the hosts' addresses.
type setAddresses struct{ addresses map[types.Host]string }

// dialResult is the result of opening a session.
type dialResult struct {
	host    types.Host
	session *session
	err     error
}

// suspectHost says that a session gave no answer in time.
type suspectHost struct{ host types.Host }

var (
	streamsOpened   = metrics.NewCounter("baobab_mesh_streams_opened_total")
	streamsReused   = metrics.NewCounter("baobab_mesh_streams_reused_total")
	dialFailures    = metrics.NewCounter("baobab_mesh_dial_failures_total")
	refusedSessions = metrics.NewCounter("baobab_mesh_refused_sessions_total")
)

// New listens for other hosts' sessions.
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

// Address returns the address at which the task listens.
func (t *Task) Address() string { return t.listener.Addr().String() }

// Inbound returns the streams that other hosts open.
func (t *Task) Inbound() <-chan *Stream { return t.inbound }

// Run serves until the context ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	go t.acceptSessions(ctx)
	for {
		select {
		case <-ctx.Done():
			t.closeAll()
			return
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		}
	}
}

func (t *Task) handle(ctx context.Context, msg any) {
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
		panic(fmt.Sprintf("mesh: message %T is not known", msg))
	}
}

// SetAddresses tells where the other hosts listen.
func (t *Task) SetAddresses(addresses map[types.Host]string) {
	t.post(setAddresses{addresses: addresses})
}

// SuspectHost tells that a session gave no answer: a new one is opened beside it,
// and later streams use the new one.
func (t *Task) SuspectHost(h types.Host) { t.post(suspectHost{host: h}) }

// post sends a message unless the task has ended.
func (t *Task) post(msg any) {
	mailbox.Post(t.inbox, t.stopped, msg)
}

// Open returns a stream to a host; to the host itself it is a pipe.
func (t *Task) Open(ctx context.Context, h types.Host) (*Stream, error) {
	req := openRequest{host: h, reply: make(chan openReply, 1)}
	t.post(req)
	select {
	case r := <-req.reply:
		return r.stream, r.err
	case <-ctx.Done():
		go closeAbandoned(req.reply, t.stopped)
		return nil, ctx.Err()
	case <-t.stopped:
		return nil, errors.New("mesh has stopped")
	}
}

// closeAbandoned closes a stream that arrives after its requester has given up.
func closeAbandoned(reply <-chan openReply, stopped <-chan struct{}) {
	select {
	case r := <-reply:
		if r.stream != nil {
			r.stream.Close()
		}
	case <-stopped:
	}
}

// ProbeHost reports whether a host answers a question for no database in time. A
// host that does not is suspected.
func (t *Task) ProbeHost(ctx context.Context, h types.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	f := &meshpb.Frame{Body: &meshpb.Frame_StateRequest{StateRequest: &meshpb.StateRequest{}}}
	answer := t.QueryHost(ctx, h, f)
	if ctx.Err() != nil {
		t.SuspectHost(h)
	}
	return answer != nil
}

// QueryHost sends a question to a host and returns the first frame of its answer; nil
// if none comes before the context ends.
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

// openLocal connects the host with itself.
func (t *Task) openLocal(ctx context.Context, req openRequest) {
	localEnd, remoteEnd := net.Pipe()
	select {
	case t.inbound <- newStream(t.settings.Host, remoteEnd):
		req.reply <- openReply{stream: newStream(t.settings.Host, localEnd)}
	case <-ctx.Done():
		req.reply <- openReply{err: ctx.Err()}
	}
}

// Send delivers one frame to a host on a stream of its own.
func (t *Task) Send(ctx context.Context, h types.Host, f *meshpb.Frame) error {
	s, err := t.Open(ctx, h)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Send(f)
}

// openStream answers a request at once, or after the session has been opened.
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

// dialPeer opens a session in the background.
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

// handleDialResult answers the requests that waited for the session.
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

// replaceSession dials a new session beside one that is suspect.
func (t *Task) replaceSession(ctx context.Context, h types.Host) {
	if p, ok := t.peers[h]; ok && h != t.settings.Host && time.Now().After(p.redialAt) {
		t.closeIdleStreams(p)
		t.dialPeer(ctx, h, p)
	}
}

// updateAddresses takes the hosts' addresses and drops hosts that are gone.
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

// closeAll ends all sessions.
func (t *Task) closeAll() {
	_ = t.listener.Close()
	for _, p := range t.peers {
		t.closeIdleStreams(p)
		if p.session != nil {
			p.session.close()
		}
	}
}
