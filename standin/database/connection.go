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

// maxMessageSize bounds the body of a client's message, in bytes.
const maxMessageSize = 16 << 20

// connection serves one client. All its fields belong to the goroutine that
// runs serve; a second goroutine reads from the socket and hands over messages.
type connection struct {
	instance   *Instance
	socket     net.Conn
	backend    *pgproto3.Backend
	registered *registeredConnection
	ctx        context.Context
	typeMap    *pgtype.Map

	incoming chan receivedMessage
	// messageHandled tells the reading goroutine that the last message is done with.
	messageHandled chan struct{}
	hold           trafficHold

	settings   map[string]string
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipUntilSync is set from an error in the extended protocol until Sync.
	skipUntilSync bool
	sqlite        *sql.Conn
	tx            transaction
}

type receivedMessage struct {
	message pgproto3.FrontendMessage
	err     error
}

// serveConnection serves a socket until it is closed or killed.
func (i *Instance) serveConnection(socket net.Conn) {
	ctx, kill := context.WithCancel(context.Background())
	defer kill()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	defer func() { _ = socket.Close() }()
	entry := i.registry.register(kill, i.newCancelSecret())
	if entry == nil {
		return
	}
	defer i.registry.unregister(entry)
	c := &connection{
		instance: i, socket: socket, backend: pgproto3.NewBackend(socket, socket), registered: entry, ctx: ctx,
		typeMap: pgtype.NewMap(), incoming: make(chan receivedMessage), messageHandled: make(chan struct{}),
		settings: map[string]string{}, statements: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	defer c.releaseResources()
	c.backend.SetMaxBodyLen(maxMessageSize)
	if c.startup() {
		go c.readMessages()
		c.serveMessages()
	}
}

// startup reads the startup message and answers it.
func (c *connection) startup() bool {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				c.sendFatal(&Error{State: stateProtocol, Message: err.Error()})
			}
			return false
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest:
			if !c.answerTLS() {
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

func (c *connection) answerTLS() bool {
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
	err := c.instance.registry.admitStartup(c.registered, parameters["application_name"])
	switch {
	case errors.Is(err, errRefused):
		return false
	case errors.Is(err, errNoAnswer):
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
		c.sendFatal(&Error{State: stateNoDatabase, Message: "database \"" + database + "\" does not exist"})
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
	secret := binary.BigEndian.AppendUint32(nil, c.registered.secret)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.registered.ID, SecretKey: secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// wait waits for a time and reports whether the connection is still open.
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

// readMessages hands over the client's messages one by one.
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

// serveMessages answers messages until the connection ends.
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
		case c.hold = <-c.registered.holdUpdates:
		case <-c.registered.cancel:
		case err := <-c.tx.revocation():
			c.tx.revoke(c, err)
		case <-idle:
			c.sendFatal(&Error{State: stateIdleTx, Message: "terminating connection due to idle-in-transaction timeout"})
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
			c.sendFatal(&Error{State: stateProtocol, Message: r.err.Error()})
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

// startIdleTimer starts the timer of a transaction that waits for its client.
func (c *connection) startIdleTimer() (<-chan time.Time, func()) {
	if !c.tx.open || c.instance.config.IdleTransaction < 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(c.instance.config.IdleTransaction)
	return timer.C, func() { timer.Stop() }
}

// flush sends what has been written, once no cut holds it.
func (c *connection) flush() bool {
	select {
	case c.hold = <-c.registered.holdUpdates:
	default:
	}
	for c.hold.outbound {
		select {
		case c.hold = <-c.registered.holdUpdates:
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

// releaseResources gives back what the connection holds.
func (c *connection) releaseResources() {
	c.tx.rollback(c)
	if c.sqlite != nil {
		_ = c.sqlite.Close()
	}
}

// sqliteConnection returns the connection's own SQLite connection.
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
