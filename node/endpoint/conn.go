// Package endpoint is the adapter to database instances: everything that
// docs/ENDPOINT.md assumes of them is used here and nowhere else.
package endpoint

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"baobabfield.example/core/types"
	"baobabfield.example/node/netopt"
	"baobabfield.example/wire/pgwire"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 16 << 10
	// chunkSize is the size in bytes at which a part of an answer is passed on.
	chunkSize = 64 << 10
	// user is the database user under which hosts connect.
	user = "baobabfield"
)

// Config describes how to reach an endpoint.
type Config struct {
	// Host is the connecting host; the endpoint sees it as application_name.
	Host     types.Host
	Database types.Database
	Endpoint types.Endpoint
	// Address is the endpoint's host:port.
	Address string
	// ConnectTimeout bounds dialling and startup.
	ConnectTimeout time.Duration
	// SilenceBound is the longest time without a byte while an answer is outstanding.
	SilenceBound time.Duration
	// TLS is the client configuration; nil connects without TLS.
	TLS *tls.Config
}

// Conn is one connection to an endpoint. One task owns it at a time.
type Conn struct {
	cfg  Config
	sock net.Conn
	r    *bufio.Reader
	// term is the expected term set on the connection; 0 for none.
	term types.Term
	// readOnly is set while new transactions on the connection are read-only.
	readOnly bool
	// prepared names the host's own queries that are prepared on the connection.
	prepared map[string]string
	// key identifies the connection in a CancelRequest.
	key cancelKey
	// used counts the batches run since the last reset.
	used int
}

// cancelKey is the content of BackendKeyData.
type cancelKey struct {
	process uint32
	secret  []byte
}

// RefusedError is an ErrorResponse of the endpoint outside of a batch.
type RefusedError struct {
	Endpoint types.Endpoint
	State    string
	Message  string
}

// Error returns the endpoint's message with its SQLSTATE.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint %q refused: %s (SQLSTATE %s)", e.Endpoint, e.Message, e.State)
}

// Dial connects to an endpoint and checks that it is the one expected.
func Dial(ctx context.Context, cfg Config) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.ConnectTimeout)
	defer cancel()
	sock, err := netopt.Dial(ctx, cfg.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to endpoint %q", cfg.Endpoint)
	}
	deadline, _ := ctx.Deadline()
	_ = sock.SetDeadline(deadline)
	if cfg.TLS != nil {
		sock, err = startTLS(ctx, sock, cfg.TLS)
		if err != nil {
			return nil, errors.Wrapf(err, "start TLS with endpoint %q", cfg.Endpoint)
		}
	}
	c := &Conn{cfg: cfg, sock: sock, r: bufio.NewReaderSize(sock, readBufferSize), prepared: map[string]string{}}
	if err := c.startup(); err != nil {
		_ = sock.Close()
		return nil, err
	}
	_ = sock.SetDeadline(time.Time{})
	return c, nil
}

// startTLS asks the server for TLS and performs the handshake.
func startTLS(ctx context.Context, sock net.Conn, cfg *tls.Config) (net.Conn, error) {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, err
	}
	var answer [1]byte
	if _, err := sock.Write(request); err != nil {
		return nil, err
	}
	if _, err := sock.Read(answer[:]); err != nil {
		return nil, err
	}
	if answer[0] != 'S' {
		_ = sock.Close()
		return nil, errors.New("server does not offer TLS")
	}
	secure := tls.Client(sock, cfg)
	return secure, secure.HandshakeContext(ctx)
}

// startup sends the startup message and waits for ReadyForQuery.
func (c *Conn) startup() error {
	msg := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             user,
			"database":         string(c.cfg.Database),
			"application_name": "baobabfield/" + string(c.cfg.Host),
		},
	}
	buf, err := msg.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode startup message")
	}
	if _, err := c.sock.Write(buf); err != nil {
		return errors.Wrapf(err, "send startup to endpoint %q", c.cfg.Endpoint)
	}
	for {
		m, err := c.next()
		if err != nil {
			return errors.Wrapf(err, "startup of endpoint %q", c.cfg.Endpoint)
		}
		done, err := c.startupMessage(m)
		if done || err != nil {
			return err
		}
	}
}

// startupMessage handles one message of the startup phase.
func (c *Conn) startupMessage(m pgwire.Message) (done bool, err error) {
	switch m.Type {
	case pgwire.TypeReadyForQuery:
		return true, nil
	case pgwire.TypeErrorResponse:
		return false, c.refused(m.Body)
	case pgwire.TypeParameterStatus:
		return false, c.checkIdentity(m.Body)
	case 'K':
		var key pgproto3.BackendKeyData
		if err := key.Decode(m.Body); err != nil {
			return false, errors.Wrap(err, "decode key data")
		}
		c.key = cancelKey{process: key.ProcessID, secret: append([]byte(nil), key.SecretKey...)}
	case 'R':
		const authOK = "\x00\x00\x00\x00"
		if string(m.Body) != authOK {
			return false, fmt.Errorf("endpoint %q asks for an authentication that is not supported", c.cfg.Endpoint)
		}
	}
	return false, nil
}

// checkIdentity compares the endpoint's own id with the expected one.
func (c *Conn) checkIdentity(body []byte) error {
	name, value, err := pgwire.ParameterStatus(body)
	if err != nil {
		return err
	}
	if name == "baobab.endpoint" && value != string(c.cfg.Endpoint) {
		return fmt.Errorf("endpoint at %s is %q, not %q", c.cfg.Address, value, c.cfg.Endpoint)
	}
	return nil
}

// refused returns the error for an ErrorResponse body.
func (c *Conn) refused(body []byte) error {
	return &RefusedError{Endpoint: c.cfg.Endpoint, State: pgwire.ErrorSQLState(body), Message: pgwire.ErrorMessage(body)}
}

// next reads one whole message.
func (c *Conn) next() (pgwire.Message, error) {
	kind, size, err := pgwire.ReadHeader(c.r)
	if err != nil {
		return pgwire.Message{}, err
	}
	body := make([]byte, size)
	if err := c.readFull(body); err != nil {
		return pgwire.Message{}, err
	}
	return pgwire.Message{Type: kind, Body: body}, nil
}

// readFull fills buf from the connection.
func (c *Conn) readFull(buf []byte) error {
	for len(buf) > 0 {
		n, err := c.r.Read(buf)
		if err != nil {
			return err
		}
		buf = buf[n:]
	}
	return nil
}

// Close ends the connection; the endpoint rolls back an open transaction.
func (c *Conn) Close() {
	buf, err := (&pgproto3.Terminate{}).Encode(nil)
	if err == nil {
		_ = c.sock.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.sock.Write(buf)
	}
	_ = c.sock.Close()
}

// Interrupt makes reads and writes in progress fail. It may be called while
// another task owns the connection.
func (c *Conn) Interrupt() { _ = c.sock.SetDeadline(time.Unix(1, 0)) }
