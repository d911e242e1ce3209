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
	// retryPause is the time after a failed dial in which a host is not dialled again.
	retryPause = 200 * time.Millisecond
	// maxIdlePeer and maxIdle are the numbers of unused streams that are kept for
	// one host and for all.
	maxIdlePeer = 16
	maxIdle     = 1024
	// maxWaiting is the number of requests that wait for one session.
	maxWaiting = 1024
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
	set      Settings
	log      *zap.Logger
	listener net.Listener
	inbound  chan *Stream
	inbox    chan any
	peers    map[types.Host]*peer
	// idle is the number of unused streams of all peers.
	idle    int
	stopped chan struct{}
}

// peer is what the task knows of another host.
type peer struct {
	address string
	session *session
	dialing bool
	retryAt time.Time
	waiting []openRequest
	// idle are the streams that wait for their next conversation.
	idle []*Stream
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

// dialed is the result of opening a session.
type dialed struct {
	host    types.Host
	session *session
	err     error
}

// suspect says that a session gave no answer in time.
type suspect struct{ host types.Host }

var (
	streamsOpened = metrics.NewCounter("baobab_mesh_streams_opened_total")
	streamsReused = metrics.NewCounter("baobab_mesh_streams_reused_total")
	dialFailures  = metrics.NewCounter("baobab_mesh_dial_failures_total")
	badSessions   = metrics.NewCounter("baobab_mesh_refused_sessions_total")
)

// New listens for other hosts' sessions.
func New(ctx context.Context, set Settings, log *zap.Logger) (*Task, error) {
	l, err := netopt.Listen(ctx, set.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for hosts at %q", set.Listen)
	}
	return &Task{
		set:      set,
		log:      log,
		listener: l,
		inbound:  make(chan *Stream),
		inbox:    make(chan any, inboxSize),
		peers:    map[types.Host]*peer{set.Host: {}},
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
	go t.accept(ctx)
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
		t.open(ctx, m)
	case setAddresses:
		t.update(m.addresses)
	case dialed:
		t.dialed(m)
	case suspect:
		t.replace(ctx, m.host)
	case released:
		t.keep(m.stream)
	default:
		panic(fmt.Sprintf("mesh: message %T is not known", msg))
	}
}

// SetAddresses tells where the other hosts listen.
func (t *Task) SetAddresses(addresses map[types.Host]string) {
	t.post(setAddresses{addresses: addresses})
}

// Suspect tells that a session gave no answer: a new one is opened beside it,
// and later streams use the new one.
func (t *Task) Suspect(h types.Host) { t.post(suspect{host: h}) }

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
		go discard(req.reply, t.stopped)
		return nil, ctx.Err()
	case <-t.stopped:
		return nil, errors.New("mesh has stopped")
	}
}

// discard closes a stream that arrives after its requester has given up.
func discard(reply <-chan openReply, stopped <-chan struct{}) {
	select {
	case r := <-reply:
		if r.stream != nil {
			r.stream.Close()
		}
	case <-stopped:
	}
}

// Answers reports whether a host answers a question for no database in time. A
// host that does not is suspected.
func (t *Task) Answers(ctx context.Context, h types.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	f := &meshpb.Frame{Body: &meshpb.Frame_StateRequest{StateRequest: &meshpb.StateRequest{}}}
	answer := t.Ask(ctx, h, f)
	if ctx.Err() != nil {
		t.Suspect(h)
	}
	return answer != nil
}

// Ask sends a question to a host and returns the first frame of its answer; nil
// if none comes before the context ends.
func (t *Task) Ask(ctx context.Context, h types.Host, question *meshpb.Frame) *meshpb.Frame {
	s, err := t.Open(ctx, h)
	if err != nil {
		return nil
	}
	defer s.Close()
	if s.Send(question) != nil {
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
	near, far := net.Pipe()
	select {
	case t.inbound <- newStream(t.set.Host, far):
		req.reply <- openReply{stream: newStream(t.set.Host, near)}
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

// open answers a request at once, or after the session has been opened.
func (t *Task) open(ctx context.Context, req openRequest) {
	p, ok := t.peers[req.host]
	if !ok {
		req.reply <- openReply{err: fmt.Errorf("host %q has no known address", req.host)}
		return
	}
	if s := t.reuse(p); s != nil {
		req.reply <- openReply{stream: s}
		return
	}
	if req.host == t.set.Host {
		go t.openLocal(ctx, req)
		return
	}
	if p.session != nil && !p.session.closed() {
		go p.session.open(req)
		return
	}
	if len(p.waiting) >= maxWaiting || time.Now().Before(p.retryAt) {
		req.reply <- openReply{err: fmt.Errorf("host %q cannot be reached at %s", req.host, p.address)}
		return
	}
	p.waiting = append(p.waiting, req)
	t.dial(ctx, req.host, p)
}

// dial opens a session in the background.
func (t *Task) dial(ctx context.Context, h types.Host, p *peer) {
	if p.dialing {
		return
	}
	p.dialing = true
	address := p.address
	go func() {
		s, err := dialSession(ctx, t.set, h, address)
		t.post(dialed{host: h, session: s, err: err})
	}()
}

// dialed answers the requests that waited for the session.
func (t *Task) dialed(m dialed) {
	p, ok := t.peers[m.host]
	if !ok {
		if m.session != nil {
			m.session.close()
		}
		return
	}
	p.dialing = false
	waiting := p.waiting
	p.waiting = nil
	if m.err != nil {
		dialFailures.Inc()
		p.retryAt = time.Now().Add(retryPause)
		for _, req := range waiting {
			req.reply <- openReply{err: m.err}
		}
		return
	}
	if p.session != nil {
		p.session.retire()
	}
	p.session = m.session
	for _, req := range waiting {
		go p.session.open(req)
	}
}

// replace dials a new session beside one that is suspect.
func (t *Task) replace(ctx context.Context, h types.Host) {
	if p, ok := t.peers[h]; ok && h != t.set.Host && time.Now().After(p.retryAt) {
		t.dropIdle(p)
		t.dial(ctx, h, p)
	}
}

// update takes the hosts' addresses and drops hosts that are gone.
func (t *Task) update(addresses map[types.Host]string) {
	for h, p := range t.peers {
		if addresses[h] == p.address || h == t.set.Host {
			continue
		}
		t.dropIdle(p)
		if p.session != nil {
			p.session.retire()
		}
		for _, req := range p.waiting {
			req.reply <- openReply{err: fmt.Errorf("host %q has left", h)}
		}
		delete(t.peers, h)
	}
	for h, address := range addresses {
		if _, ok := t.peers[h]; !ok && h != t.set.Host {
			t.peers[h] = &peer{address: address}
		}
	}
}

// closeAll ends all sessions.
func (t *Task) closeAll() {
	_ = t.listener.Close()
	for _, p := range t.peers {
		t.dropIdle(p)
		if p.session != nil {
			p.session.close()
		}
	}
}
