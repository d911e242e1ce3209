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
	// readBufferBytes is the size of a connection's read buffer in bytes.
	readBufferBytes = 16 << 10
	// answerChunkBytes is the size in bytes at which a part of an answer is passed on.
	answerChunkBytes = 64 << 10
	// databaseUser is the database databaseUser under which hosts connect.
	databaseUser = "baobabfield"
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
	// InactivityTimeout is the longest time without a byte while an answer is outstanding.
	InactivityTimeout time.Duration
	// TLS is the client configuration; nil connects without TLS.
	TLS *tls.Config
}

// Conn is one connection to an endpoint. One task owns it at a time.
type Conn struct {
	cfg    Config
	sock   net.Conn
	reader *bufio.Reader
	// term is the expected term set on the connection; 0 for none.
	term types.Term
	// readOnly is set while new transactions on the connection are read-only.
	readOnly bool
	// preparedNames names the host's own queries that are preparedNames on the connection.
	preparedNames map[string]string
	// cancelKey identifies the connection in a CancelRequest.
	cancelKey cancelKey
	// batchesSinceReset counts the batches run since the last reset.
	batchesSinceReset int
}

// cancelKey is the content of BackendKeyData.
type cancelKey struct {
	processID uint32
	secret    []byte
}

// RefusedError is an ErrorResponse of the endpoint outside of a batch.
type RefusedError struct {
	Endpoint types.Endpoint
	SQLState string
	Message  string
}

// Error returns the endpoint's message with its SQLSTATE.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint %q refused: %s (SQLSTATE %s)", e.Endpoint, e.Message, e.SQLState)
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
	c := &Conn{cfg: cfg, sock: sock, reader: bufio.NewReaderSize(sock, readBufferBytes), preparedNames: map[string]string{}}
	if err := c.startSession(); err != nil {
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
	tlsConn := tls.Client(sock, cfg)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// startSession sends the startSession message and waits for ReadyForQuery.
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

// handleStartupMessage handles one message of the startup phase.
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

// refusedError returns the error for an ErrorResponse body.
func (c *Conn) refusedError(body []byte) error {
	return &RefusedError{Endpoint: c.cfg.Endpoint, SQLState: pgwire.SQLState(body), Message: pgwire.ErrorMessage(body)}
}

// readMessage reads one whole message.
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

// readFull fills buf from the connection.
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
