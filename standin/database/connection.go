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
	instance *Instance
	socket   net.Conn
	backend  *pgproto3.Backend
	entry    *gateEntry
	ctx      context.Context
	types    *pgtype.Map

	incoming chan received
	// handled tells the reading goroutine that the last message is done with.
	handled chan struct{}
	hold    directive

	settings   map[string]string
	statements map[string]*prepared
	portals    map[string]*portal
	// skipping is set from an error in the extended protocol until Sync.
	skipping bool
	database *sql.Conn
	tx       transaction
}

type received struct {
	message pgproto3.FrontendMessage
	err     error
}

// accept serves a socket until it is closed or killed.
func (i *Instance) accept(socket net.Conn) {
	ctx, kill := context.WithCancel(context.Background())
	defer kill()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	defer func() { _ = socket.Close() }()
	entry := i.gate.open(kill, i.newSecret())
	if entry == nil {
		return
	}
	defer i.gate.closed(entry)
	c := &connection{
		instance: i, socket: socket, backend: pgproto3.NewBackend(socket, socket), entry: entry, ctx: ctx,
		types: pgtype.NewMap(), incoming: make(chan received), handled: make(chan struct{}),
		settings: map[string]string{}, statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
	defer c.release()
	c.backend.SetMaxBodyLen(maxMessageSize)
	if c.startup() {
		go c.read()
		c.serve()
	}
}

// startup reads the startup message and answers it.
func (c *connection) startup() bool {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				c.fatal(&Error{State: stateProtocol, Message: err.Error()})
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
			c.instance.gate.cancelStatement(message.ProcessID, secretNumber(message.SecretKey))
			return false
		case *pgproto3.StartupMessage:
			return c.greet(message.Parameters)
		}
	}
}

func secretNumber(key []byte) uint32 {
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

func (c *connection) greet(parameters map[string]string) bool {
	err := c.instance.gate.start(c.entry, parameters["application_name"])
	switch {
	case errors.Is(err, errRefused):
		return false
	case errors.Is(err, errHeld):
		_, _ = io.Copy(io.Discard, c.socket)
		return false
	case err != nil:
		c.fatal(asError(err))
		return false
	}
	if !c.pause(c.instance.config.ConnectDelay) {
		return false
	}
	if name := parameters["database"]; name != string(c.instance.config.Database) {
		c.fatal(&Error{State: stateNoDatabase, Message: "database \"" + name + "\" does not exist"})
		return false
	}
	for name, value := range parameters {
		c.settings[name] = value
	}
	c.sendGreeting()
	return c.flush()
}

func (c *connection) sendGreeting() {
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
	secret := binary.BigEndian.AppendUint32(nil, c.entry.secret)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.entry.ID, SecretKey: secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// pause waits for a time and reports whether the connection is still open.
func (c *connection) pause(d time.Duration) bool {
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

// read hands over the client's messages one by one.
func (c *connection) read() {
	for {
		message, err := c.backend.Receive()
		select {
		case c.incoming <- received{message, err}:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
		select {
		case <-c.handled:
		case <-c.ctx.Done():
			return
		}
	}
}

// serve answers messages until the connection ends.
func (c *connection) serve() {
	for {
		incoming := c.incoming
		if c.hold.holdIn {
			incoming = nil
		}
		idle, stopIdle := c.idleTimer()
		select {
		case r := <-incoming:
			stopIdle()
			if !c.receive(r) {
				return
			}
		case c.hold = <-c.entry.directives:
		case <-c.entry.cancel:
		case err := <-c.tx.revocation():
			c.tx.revoke(c, err)
		case <-idle:
			c.fatal(&Error{State: stateIdleTx, Message: "terminating connection due to idle-in-transaction timeout"})
			return
		case <-c.ctx.Done():
			return
		}
		stopIdle()
	}
}

func (c *connection) receive(r received) bool {
	if r.err != nil {
		if !errors.Is(r.err, io.EOF) && !errors.Is(r.err, net.ErrClosed) {
			c.fatal(&Error{State: stateProtocol, Message: r.err.Error()})
		}
		return false
	}
	if !c.handle(r.message) {
		return false
	}
	select {
	case c.handled <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// idleTimer starts the timer of a transaction that waits for its client.
func (c *connection) idleTimer() (<-chan time.Time, func()) {
	if !c.tx.open || c.instance.config.IdleTransaction < 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(c.instance.config.IdleTransaction)
	return timer.C, func() { timer.Stop() }
}

// flush sends what has been written, once no cut holds it.
func (c *connection) flush() bool {
	select {
	case c.hold = <-c.entry.directives:
	default:
	}
	for c.hold.holdOut {
		select {
		case c.hold = <-c.entry.directives:
		case <-c.ctx.Done():
			return false
		}
	}
	return c.backend.Flush() == nil
}

func (c *connection) fatal(err *Error) {
	c.backend.Send(err.response("FATAL"))
	c.flush()
}

// release gives back what the connection holds.
func (c *connection) release() {
	c.tx.rollback(c)
	if c.database != nil {
		_ = c.database.Close()
	}
}

// conn returns the connection's own SQLite connection.
func (c *connection) conn() (*sql.Conn, error) {
	if c.database != nil {
		return c.database, nil
	}
	conn, err := c.instance.storage.db.Conn(c.ctx)
	if err != nil {
		return nil, err
	}
	c.database = conn
	return conn, nil
}
