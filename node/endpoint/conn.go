// Package endpoint connects to database instances. A Conn sends the batches of callers
// and the host's own queries, which include the control commands of failover. The package
// runs no tasks: the task that owns a Conn waits for each answer.
//
// It is the only package that relies on the behaviour of instances described in
// docs/ENDPOINT.md.
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
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10
	// answerChunkBytes is the size from which a part of an answer is passed to the
	// ChunkHandler.
	answerChunkBytes = 64 << 10
	// databaseUser is the database user of the hosts' connections.
	databaseUser = "baobabfield"
)

// Config describes how to reach an endpoint.
type Config struct {
	// Host is the connecting host. It is sent to the endpoint in application_name.
	Host     types.Host
	Database types.Database
	Endpoint types.Endpoint
	// Address is the endpoint's host:port.
	Address string
	// ConnectTimeout is the limit for dialling, the TLS handshake and the startup
	// exchange together.
	ConnectTimeout time.Duration
	// InactivityTimeout is the read and write deadline while an answer is outstanding.
	// Each sent request and each received message of a batch renews it.
	InactivityTimeout time.Duration
	// TLS is the client configuration. If nil, the connection is in plain text.
	TLS *tls.Config
}

// Conn is one connection to an endpoint. One task owns it at a time. A query of the host
// that the endpoint rejects returns a *RefusedError. After any other error the connection
// must be closed.
type Conn struct {
	cfg    Config
	sock   net.Conn
	reader *bufio.Reader
	// term is the expected term that is set on the connection. Zero if none is set.
	term types.Term
	// readOnly is set if new transactions on the connection are read-only.
	readOnly bool
	// preparedNames maps the SQL of the host's own queries to the names of their
	// prepared statements.
	preparedNames map[string]string
	// cancelKey identifies the connection in a CancelRequest.
	cancelKey cancelKey
	// batchesSinceReset counts the batches since the last reset of the session state.
	batchesSinceReset int
}

// cancelKey holds the content of a BackendKeyData message.
type cancelKey struct {
	processID uint32
	secret    []byte
}

// RefusedError is an ErrorResponse to one of the host's own queries or to the startup
// message.
type RefusedError struct {
	Endpoint types.Endpoint
	SQLState string
	Message  string
}

// Error returns the endpoint's message and its SQLSTATE.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint %q refused: %s (SQLSTATE %s)", e.Endpoint, e.Message, e.SQLState)
}

// Dial connects to an endpoint within cfg.ConnectTimeout. It returns a *RefusedError if the
// server rejects the startup message. It also fails if the server reports the ID of another
// endpoint.
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
	c := &Conn{cfg: cfg, sock: sock, reader: bufio.NewReaderSize(sock, readBufferBytes), preparedNames: map[string]string{}}
	if err := c.startSession(); err != nil {
		_ = sock.Close()
		return nil, err
	}
	_ = sock.SetDeadline(time.Time{})
	return c, nil
}

// startTLS sends an SSLRequest and performs the TLS handshake.
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
	tlsConn := tls.Client(sock, cfg)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// startSession sends the startup message and reads messages up to ReadyForQuery.
func (c *Conn) startSession() error {
	msg := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             databaseUser,
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
		m, err := c.readMessage()
		if err != nil {
			return errors.Wrapf(err, "startup of endpoint %q", c.cfg.Endpoint)
		}
		done, err := c.handleStartupMessage(m)
		if done || err != nil {
			return err
		}
	}
}

// handleStartupMessage handles one message of the startup exchange. It reports whether the
// exchange is complete.
func (c *Conn) handleStartupMessage(m pgwire.Message) (done bool, err error) {
	switch m.Type {
	case pgwire.TypeReadyForQuery:
		return true, nil
	case pgwire.TypeErrorResponse:
		return false, c.refusedError(m.Body)
	case pgwire.TypeParameterStatus:
		return false, c.checkIdentity(m.Body)
	case 'K':
		var key pgproto3.BackendKeyData
		if err := key.Decode(m.Body); err != nil {
			return false, errors.Wrap(err, "decode key data")
		}
		c.cancelKey = cancelKey{processID: key.ProcessID, secret: append([]byte(nil), key.SecretKey...)}
	case 'R':
		const authOK = "\x00\x00\x00\x00"
		if string(m.Body) != authOK {
			return false, fmt.Errorf("endpoint %q asks for an authentication that is not supported", c.cfg.Endpoint)
		}
	}
	return false, nil
}

// checkIdentity returns an error if a ParameterStatus body carries the ID of another
// endpoint.
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

// refusedError converts the body of an ErrorResponse to a *RefusedError.
func (c *Conn) refusedError(body []byte) error {
	return &RefusedError{Endpoint: c.cfg.Endpoint, SQLState: pgwire.ErrorSQLState(body), Message: pgwire.ErrorMessage(body)}
}

// readMessage reads one message.
func (c *Conn) readMessage() (pgwire.Message, error) {
	kind, size, err := pgwire.ReadHeader(c.reader)
	if err != nil {
		return pgwire.Message{}, err
	}
	body := make([]byte, size)
	if err := c.readFull(body); err != nil {
		return pgwire.Message{}, err
	}
	return pgwire.Message{Type: kind, Body: body}, nil
}

// readFull reads len(buf) bytes.
func (c *Conn) readFull(buf []byte) error {
	for len(buf) > 0 {
		n, err := c.reader.Read(buf)
		if err != nil {
			return err
		}
		buf = buf[n:]
	}
	return nil
}

// Close closes the connection. The endpoint then rolls back an open transaction.
func (c *Conn) Close() {
	buf, err := (&pgproto3.Terminate{}).Encode(nil)
	if err == nil {
		_ = c.sock.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.sock.Write(buf)
	}
	_ = c.sock.Close()
}

// Interrupt makes pending reads and writes fail. It may be called while another task owns
// the connection.
func (c *Conn) Interrupt() { _ = c.sock.SetDeadline(time.Unix(1, 0)) }
