package mesh

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"baobabfield.example/core/types"
	"baobabfield.example/node/netopt"
)

const (
	// keepAliveInterval is the time between yamux keepalives.
	keepAliveInterval = 2 * time.Second
	// sessionWriteTimeout is the time after which a blocked write fails the session.
	sessionWriteTimeout = 5 * time.Second
	// acceptBacklog is the number of streams of a session that may wait to be accepted.
	acceptBacklog = 1024
	// streamWindowBytes is the flow-control window of a stream.
	streamWindowBytes = 256 << 10
	// replacedSessionCloseDelay is the time for which a replaced session stays open for
	// its running streams.
	replacedSessionCloseDelay = 30 * time.Second
	// nonceBytes is the size of the acceptor's challenge.
	nonceBytes = 16
	// maxHostIDBytes is the largest size of a host ID.
	maxHostIDBytes = 255
)

// session is a yamux session that this host dialled.
type session struct {
	peer types.Host
	mux  *yamux.Session
}

// muxConfig returns the yamux configuration that both ends use.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = sessionWriteTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}

// dialSession connects to a host, authenticates and starts yamux.
func dialSession(ctx context.Context, settings Settings, h types.Host, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := netopt.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %q", h)
	}
	if settings.ClientTLS != nil {
		tlsConn := tls.Client(conn, settings.ClientTLS)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "TLS with host %q", h)
		}
		conn = tlsConn
	}
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if err := authenticate(conn, settings); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "start session with host %q", h)
	}
	_ = conn.SetDeadline(time.Time{})
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "start session with host %q", h)
	}
	return &session{peer: h, mux: mux}, nil
}

// authenticate reads the acceptor's nonce and sends the host's ID and the authentication
// code.
func authenticate(conn net.Conn, settings Settings) error {
	var nonce [nonceBytes]byte
	if _, err := io.ReadFull(conn, nonce[:]); err != nil {
		return err
	}
	name := []byte(settings.Host)
	msg := binary.BigEndian.AppendUint16(nil, uint16(len(name)))
	msg = append(msg, name...)
	msg = append(msg, authenticationCode(settings.ClusterKey, nonce[:], name)...)
	_, err := conn.Write(msg)
	return err
}

// authenticationCode returns the HMAC-SHA256 of a nonce and a host ID under the shared key.
func authenticationCode(key, nonce, name []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(nonce)
	h.Write(name)
	return h.Sum(nil)
}

// verifyPeer sends a nonce, checks the connecting host's authentication code and returns
// its ID.
func verifyPeer(conn net.Conn, key []byte) (types.Host, error) {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return "", err
	}
	if _, err := conn.Write(nonce[:]); err != nil {
		return "", err
	}
	var length [2]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return "", err
	}
	n := int(binary.BigEndian.Uint16(length[:]))
	if n == 0 || n > maxHostIDBytes {
		return "", fmt.Errorf("host ID has %d bytes, not 1 to %d", n, maxHostIDBytes)
	}
	buf := make([]byte, n+sha256.Size)
	if _, err := io.ReadFull(conn, buf); err != nil {
		return "", err
	}
	if !hmac.Equal(buf[n:], authenticationCode(key, nonce[:], buf[:n])) {
		return "", fmt.Errorf("authentication code of host %q does not match the shared key", buf[:n])
	}
	return types.Host(buf[:n]), nil
}

// acceptSessions accepts connections of other hosts until the listener closes.
func (t *Task) acceptSessions(ctx context.Context) {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveSession(ctx, conn)
	}
}

// serveSession authenticates an accepted connection and sends the session's streams to
// inbound.
func (t *Task) serveSession(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if t.settings.ServerTLS != nil {
		conn = tls.Server(conn, t.settings.ServerTLS)
	}
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	peer, err := verifyPeer(conn, t.settings.ClusterKey)
	if err != nil {
		refusedSessions.Inc()
		t.log.Info("rejected mesh session", zap.String("address", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	_ = conn.SetDeadline(time.Time{})
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	for {
		stream, err := mux.Accept()
		if err != nil {
			return
		}
		select {
		case t.inbound <- newStream(peer, stream):
		case <-ctx.Done():
			_ = stream.Close()
			return
		}
	}
}

// openStream opens a stream of the session and replies to the request.
func (s *session) openStream(req openRequest) {
	conn, err := s.mux.Open()
	if err != nil {
		req.reply <- openReply{err: errors.Wrapf(err, "open stream to host %q", s.peer)}
		return
	}
	streamsOpened.Inc()
	req.reply <- openReply{stream: newStream(s.peer, conn)}
}

func (s *session) isClosed() bool { return s.mux.IsClosed() }

func (s *session) close() { _ = s.mux.Close() }

// closeAfterDelay closes the session after replacedSessionCloseDelay, so that its running
// streams can end first.
func (s *session) closeAfterDelay() {
	time.AfterFunc(replacedSessionCloseDelay, func() { _ = s.mux.Close() })
}
