package database

import (
	"context"
	"crypto/tls"
	"database/sql"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"
)

// maxMessageSize limits the body of a client's message, in bytes.
const maxMessageSize = 16 << 20

// connection serves one client. Its fields belong to the goroutine that runs
// serveMessages; the goroutine of readMessages receives from the socket and sends
// each message to it.
type connection struct {
	instance     *Instance
	socket       net.Conn
	backend      *pgproto3.Backend
	registration *registeredConnection
	ctx          context.Context
	typeMap      *pgtype.Map

	incoming chan receivedMessage
	// messageHandled lets readMessages receive the next message. A message is valid
	// only until then.
	messageHandled chan struct{}
	hold           trafficHold

	settings   map[string]string
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipUntilSync is set after an error in the extended protocol, until Sync.
	skipUntilSync bool
	sqlite        *sql.Conn
	tx            transaction
}

// receivedMessage is one message of the client, or the error that ended the receipt.
type receivedMessage struct {
	message pgproto3.FrontendMessage
	err     error
}

// serveConnection serves a socket until either side closes it.
func (i *Instance) serveConnection(socket net.Conn) {
	ctx, closeSocket := context.WithCancel(context.Background())
	defer closeSocket()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	defer func() { _ = socket.Close() }()
	registration := i.registry.register(closeSocket, i.newCancelSecret())
	if registration == nil {
		return
	}
	defer i.registry.unregister(registration)
	c := &connection{
		instance: i, socket: socket, backend: pgproto3.NewBackend(socket, socket), registration: registration, ctx: ctx,
		typeMap: pgtype.NewMap(), incoming: make(chan receivedMessage), messageHandled: make(chan struct{}),
		settings: map[string]string{}, statements: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	defer c.releaseResources()
	c.backend.SetMaxBodyLen(maxMessageSize)
	if c.handleStartup() {
		go c.readMessages()
		c.serveMessages()
	}
}

// handleStartup handles the messages up to the startup message. It reports whether the
// connection is ready for statements.
func (c *connection) handleStartup() bool {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				c.sendFatal(&Error{SQLState: sqlStateProtocolViolation, Message: err.Error()})
			}
			return false
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest:
			if !c.startTLS() {
				return false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.instance.registry.cancelStatement(message.ProcessID, decodeSecret(message.SecretKey))
			return false
		case *pgproto3.StartupMessage:
			return c.completeStartup(message.Parameters)
		}
	}
}

func decodeSecret(key []byte) uint32 {
	if len(key) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(key)
}

func (c *connection) startTLS() bool {
	config := c.instance.config.TLS
	if config == nil {
		_, err := c.socket.Write([]byte{'N'})
		return err == nil
	}
	if _, err := c.socket.Write([]byte{'S'}); err != nil {
		return false
	}
	encrypted := tls.Server(c.socket, config)
	c.backend = pgproto3.NewBackend(encrypted, encrypted)
	c.backend.SetMaxBodyLen(maxMessageSize)
	return true
}

func (c *connection) completeStartup(parameters map[string]string) bool {
	err := c.instance.registry.admitStartup(c.registration, parameters["application_name"])
	switch {
	case errors.Is(err, errConnectionRefused):
		return false
	case errors.Is(err, errConnectionHeld):
		_, _ = io.Copy(io.Discard, c.socket)
		return false
	case err != nil:
		c.sendFatal(toError(err))
		return false
	}
	if !c.wait(c.instance.config.ConnectDelay) {
		return false
	}
	if database := parameters["database"]; database != string(c.instance.config.Database) {
		c.sendFatal(&Error{SQLState: sqlStateUndefinedDatabase, Message: "database \"" + database + "\" does not exist"})
		return false
	}
	for name, value := range parameters {
		c.settings[name] = value
	}
	c.sendStartupResponse()
	return c.flush()
}

func (c *connection) sendStartupResponse() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "16.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "baobab.endpoint", Value: string(c.instance.config.ID)},
	} {
		c.backend.Send(&p)
	}
	secret := binary.BigEndian.AppendUint32(nil, c.registration.secret)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.registration.ID, SecretKey: secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// wait waits for a duration and reports whether the connection is still open.
func (c *connection) wait(d time.Duration) bool {
	if d <= 0 {
		return c.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// readMessages sends the client's messages to serveMessages one at a time.
func (c *connection) readMessages() {
	for {
		message, err := c.backend.Receive()
		select {
		case c.incoming <- receivedMessage{message, err}:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
		select {
		case <-c.messageHandled:
		case <-c.ctx.Done():
			return
		}
	}
}

// serveMessages handles messages until the connection ends.
func (c *connection) serveMessages() {
	for {
		incoming := c.incoming
		if c.hold.inbound {
			incoming = nil
		}
		idle, stopIdle := c.startIdleTimer()
		select {
		case r := <-incoming:
			stopIdle()
			if !c.handleReceived(r) {
				return
			}
		case c.hold = <-c.registration.holdUpdates:
		case <-c.registration.cancel:
		case err := <-c.tx.revocation():
			c.tx.revoke(c, err)
		case <-idle:
			c.sendFatal(&Error{SQLState: sqlStateIdleInTransactionTimeout, Message: "terminating connection due to idle-in-transaction timeout"})
			return
		case <-c.ctx.Done():
			return
		}
		stopIdle()
	}
}

func (c *connection) handleReceived(r receivedMessage) bool {
	if r.err != nil {
		if !errors.Is(r.err, io.EOF) && !errors.Is(r.err, net.ErrClosed) {
			c.sendFatal(&Error{SQLState: sqlStateProtocolViolation, Message: r.err.Error()})
		}
		return false
	}
	if !c.handleMessage(r.message) {
		return false
	}
	select {
	case c.messageHandled <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// startIdleTimer starts the timeout of an open transaction that waits for its client.
// The returned function stops it.
func (c *connection) startIdleTimer() (<-chan time.Time, func()) {
	if !c.tx.open || c.instance.config.IdleTransactionTimeout < 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(c.instance.config.IdleTransactionTimeout)
	return timer.C, func() { timer.Stop() }
}

// flush sends the buffered messages after any cut that holds outbound traffic ends. It
// reports whether the connection is still open.
func (c *connection) flush() bool {
	select {
	case c.hold = <-c.registration.holdUpdates:
	default:
	}
	for c.hold.outbound {
		select {
		case c.hold = <-c.registration.holdUpdates:
		case <-c.ctx.Done():
			return false
		}
	}
	return c.backend.Flush() == nil
}

func (c *connection) sendFatal(err *Error) {
	c.backend.Send(err.response("FATAL"))
	c.flush()
}

// releaseResources rolls back the open transaction and returns the SQLite connection.
func (c *connection) releaseResources() {
	c.tx.rollback(c)
	if c.sqlite != nil {
		_ = c.sqlite.Close()
	}
}

// sqliteConnection returns the SQLite connection that is reserved for this connection.
func (c *connection) sqliteConnection() (*sql.Conn, error) {
	if c.sqlite != nil {
		return c.sqlite, nil
	}
	conn, err := c.instance.storage.db.Conn(c.ctx)
	if err != nil {
		return nil, err
	}
	c.sqlite = conn
	return conn, nil
}
