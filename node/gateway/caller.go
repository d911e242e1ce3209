package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/intake"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 5 * time.Second
	// callerReadBufferBytes is the size of a caller's read buffer. A longer message is
	// read in several parts.
	callerReadBufferBytes = 2 << 10
	// largestMessageBytes is what is reserved for a message that exceeds the read buffer.
	largestMessageBytes = 1 << 20
	// callerQueueLength is the number of replies that can wait to be written to a
	// caller. A caller whose queue is full is disconnected. A caller can have 64 statements
	// outstanding beside the current one, and gets a message before the first reply and
	// after the last one.
	callerQueueLength = 68
	// acceptRetryInterval is the pause after a connection could not be accepted, for instance
	// because no descriptor was free.
	acceptRetryInterval = 50 * time.Millisecond
)

// The reasons for which the gateway closes a caller's connection.
const (
	closedInvalidMessage = "invalid message"
	closedSlowStartup    = "startup message not finished in time"
	closedSlowMessage    = "message not finished in time"
	closedSlowReader     = "reply not read in time"
	closedReplyMemory    = "unread replies exceed the memory"
	closedReplyQueue     = "too many unread replies"
	closedTooManyAhead   = "too many statements sent ahead"
)

var (
	callersAccepted = metrics.NewCounter("baobab_gateway_callers_accepted_total")
	callersRefused  = metrics.NewCounter("baobab_gateway_callers_refused_total")
	// acceptFailures counts the connections that could not be accepted.
	acceptFailures = metrics.NewCounter("baobab_gateway_accept_failures_total")
	// readsDelayed counts the times that a caller's reader waited for memory.
	readsDelayed = metrics.NewCounter("baobab_gateway_reads_delayed_total")
	// callersBlocked counts the times that a caller's statements waited for its replies to be
	// written.
	callersBlocked = metrics.NewCounter("baobab_gateway_callers_blocked_total")
	callersClosed  = map[string]*metrics.Counter{
		closedInvalidMessage: metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="invalid_message"}`),
		closedSlowStartup:    metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="slow_startup"}`),
		closedSlowMessage:    metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="slow_message"}`),
		closedSlowReader:     metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="slow_reader"}`),
		closedReplyMemory:    metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="reply_memory"}`),
		closedReplyQueue:     metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="reply_queue"}`),
		closedTooManyAhead:   metrics.NewCounter(`baobab_gateway_callers_closed_total{reason="sent_ahead"}`),
	}
	messageBytes = metrics.NewGauge("baobab_gateway_message_bytes", nil)
	replyBytes   = metrics.NewGauge("baobab_gateway_reply_bytes", nil)
)

// callerConn holds the gateway's end of a caller connection.
type callerConn struct {
	// out is the queue of replies.
	out chan<- []byte
	// drain makes the reader stop after the messages that it has read, and resume makes it
	// go on.
	drain, resume chan<- struct{}
	// granted lets the reader go on after a callerReserves.
	granted chan<- struct{}
	// abort closes the connection at once.
	abort context.CancelFunc
}

// callerAccepted reports a new caller connection.
type callerAccepted struct {
	session proxy.SessionID
	conn    callerConn
}

// callerWriterDone reports that a caller's writer has ended: its last reply has been
// written, or a write has failed.
type callerWriterDone struct{ session proxy.SessionID }

// callerReserves reports that a caller's reader waits until the gateway grants it memory for the
// rest of a message, or for further ordinary messages.
type callerReserves struct {
	session proxy.SessionID
	bytes   int
}

// callerStatement carries a statement that has been read. bytes is the memory that it uses.
type callerStatement struct {
	session proxy.SessionID
	query   pool.Query
	bytes   int
}

// callerWrote reports that a reply has been written.
type callerWrote struct {
	session proxy.SessionID
	bytes   int
}

// handleCallerMessage processes a message from a task of a caller connection.
func (g *Gateway) handleCallerMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case callerAccepted:
		g.callerConns[m.session] = m.conn
		g.activeWriters++
		g.intake.Open(intake.Caller(m.session))
	case callerWriterDone:
		g.activeWriters--
		g.intake.WriterDone(intake.Caller(m.session))
	case callerReserves:
		if !g.intake.Reserve(intake.Caller(m.session), m.bytes) {
			readsDelayed.Inc()
		}
		g.applyIntakeDecisions()
	case callerStatement:
		g.intake.Arrive(intake.Caller(m.session), m.bytes)
		g.stepMachine(ctx, proxy.CallerQuery{Session: m.session, Query: m.query})
	case callerWrote:
		g.intake.WriteReply(intake.Caller(m.session), m.bytes)
		g.applyIntakeDecisions()
		g.processQueuedEvents(ctx)
	}
}

// acceptCallers accepts caller connections until the listener closes.
func (g *Gateway) acceptCallers(ctx context.Context, l net.Listener) {
	var lastID proxy.SessionID
	limiter := make(chan struct{}, g.settings.MaxCallers)
	for {
		sock, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// Without a free descriptor, for instance, the next call fails too until a
			// connection ends.
			acceptFailures.Inc()
			g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "caller not accepted", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
			select {
			case <-time.After(acceptRetryInterval):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case limiter <- struct{}{}:
		default:
			callersRefused.Inc()
			_ = sock.Close()
			continue
		}
		callersAccepted.Inc()
		lastID++
		g.startCaller(ctx, sock, lastID, func() { <-limiter })
	}
}

// startCaller starts the tasks of a caller connection.
func (g *Gateway) startCaller(ctx context.Context, sock net.Conn, id proxy.SessionID, ended func()) {
	ctx, abort := context.WithCancel(ctx)
	stopAbort := context.AfterFunc(ctx, func() { _ = sock.Close() })
	out := make(chan []byte, callerQueueLength)
	drain, resume, granted := make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	g.post(callerAccepted{session: id, conn: callerConn{out: out, drain: drain, resume: resume, granted: granted, abort: abort}})
	writerDone := make(chan struct{})
	go func() {
		g.writeCallerReplies(sock, id, out, drain, abort)
		close(writerDone)
		g.post(callerWriterDone{session: id})
	}()
	go func() {
		defer ended()
		defer abort()
		defer stopAbort()
		g.readCallerMessages(ctx, sock, id, resume, granted, writerDone)
	}()
}

// readCallerMessages posts a caller's messages to the gateway's task until the
// connection ends. Each time the reading is drained it waits for a message from resume, or
// for the end of the writer, which closes the connection. ctx ends if a write has failed.
func (g *Gateway) readCallerMessages(ctx context.Context, sock net.Conn, id proxy.SessionID, resume, granted, writerDone <-chan struct{}) {
	defer func() {
		_ = sock.Close()
		g.post(proxy.CallerDisconnected{Session: id})
	}()
	reader := &callerReader{sock: sock, reserve: func(bytes int) bool { return g.awaitGrant(ctx, id, bytes, granted, writerDone) }}
	r := bufio.NewReaderSize(reader, callerReadBufferBytes)
	reader.beginMessage(0, startupTimeout)
	db, key, err := g.settings.Codec.ReadStartup(r)
	if err != nil {
		g.reportReadError(id, err, reader.timedOut, closedSlowStartup)
		return
	}
	g.post(proxy.CallerStarted{Session: id, Database: db, Key: key})
	reader.started = true
	for unconfirmed := 0; ; {
		if unconfirmed >= intake.OrdinaryBytes {
			if !reader.reserve(intake.OrdinaryBytes) {
				return
			}
			unconfirmed = 0
		}
		if err := reader.awaitMessage(r, g.settings.MessageTimeout); errors.Is(err, os.ErrDeadlineExceeded) {
			g.post(proxy.CallerDrained{Session: id})
			select {
			case <-resume:
				_ = sock.SetReadDeadline(time.Time{})
				continue
			case <-writerDone:
				return
			case <-ctx.Done():
				return
			}
		}
		q, err := g.settings.Codec.ReadQuery(r)
		if err != nil {
			g.reportReadError(id, err, reader.timedOut, closedSlowMessage)
			return
		}
		bytes := reader.messageBytes - r.Buffered() + intake.StatementOverheadBytes
		unconfirmed += bytes
		g.post(callerStatement{session: id, query: q, bytes: bytes})
	}
}

// awaitGrant waits until the gateway's task grants memory to a reader. It returns false if the
// connection is being closed.
func (g *Gateway) awaitGrant(ctx context.Context, id proxy.SessionID, bytes int, granted, writerDone <-chan struct{}) bool {
	g.post(callerReserves{session: id, bytes: bytes})
	select {
	case <-granted:
		return true
	case <-writerDone:
	case <-ctx.Done():
	case <-g.stopped:
	}
	return false
}

// drainDeadline is a read deadline in the past. It ends a read that waits for a caller's next
// message.
var drainDeadline = time.Unix(1, 0)

// callerReader reads from a caller's connection. A drain does not interrupt a message of which
// a part has been read.
type callerReader struct {
	sock net.Conn
	// reserve waits for the memory of a message that exceeds the read buffer. It returns false if
	// the connection is being closed.
	reserve func(bytes int) bool
	// started is set once the startup message has been read.
	started bool
	// inMessage is set while a message is read. drainPending is set if a drain was requested
	// meanwhile.
	inMessage, drainPending bool
	// messageBytes is the number of bytes that were read for the message, including those after
	// its end. reserved is set once its memory is reserved.
	messageBytes int
	reserved     bool
	// remaining is the time in which the caller has to send the rest of the message. timedOut is
	// set if it has not.
	remaining time.Duration
	timedOut  bool
}

// beginMessage prepares for a message of which some bytes may have been read.
func (c *callerReader) beginMessage(buffered int, timeout time.Duration) {
	c.inMessage, c.messageBytes, c.reserved, c.remaining = true, buffered, false, timeout
}

// awaitMessage waits for the first byte of a message. It returns os.ErrDeadlineExceeded if the
// reading is drained, and nil if a message or another error can be read.
func (c *callerReader) awaitMessage(r *bufio.Reader, timeout time.Duration) error {
	c.inMessage = false
	if c.drainPending {
		c.drainPending = false
		_ = c.sock.SetReadDeadline(drainDeadline)
	}
	if _, err := r.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	c.beginMessage(r.Buffered(), timeout)
	return nil
}

// Read reads from the connection. A message that fills the buffer is read on only after its memory
// has been reserved.
func (c *callerReader) Read(p []byte) (int, error) {
	if !c.inMessage {
		return c.sock.Read(p)
	}
	if c.messageBytes >= callerReadBufferBytes && !c.reserved {
		if !c.reserve(largestMessageBytes) {
			return 0, net.ErrClosed
		}
		c.reserved = true
	}
	n, err := c.readInTime(p)
	if n == 0 && c.started && errors.Is(err, os.ErrDeadlineExceeded) {
		c.drainPending = true
		_ = c.sock.SetReadDeadline(time.Time{})
		n, err = c.readInTime(p)
	}
	c.messageBytes += n
	return n, err
}

// readInTime reads a part of a message and closes the connection if the time for the message ends.
// The read deadline is not used, because a drain sets it.
func (c *callerReader) readInTime(p []byte) (int, error) {
	began := time.Now()
	timer := time.AfterFunc(c.remaining, func() { _ = c.sock.Close() })
	n, err := c.sock.Read(p)
	if !timer.Stop() {
		c.timedOut = true
	}
	c.remaining -= time.Since(began)
	return n, err
}

// reportReadError reports why a session ends. If the caller has ended it or the connection has
// failed, that is no misbehaviour.
func (g *Gateway) reportReadError(id proxy.SessionID, err error, timedOut bool, timeoutReason string) {
	var network net.Error
	switch {
	case timedOut:
		g.reportCallerClosed(id, timeoutReason)
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
	case errors.As(err, &network), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe):
		g.logs.Enqueue(proxy.Log{Level: proxy.Debug, Event: "session ended", Fields: []proxy.Field{
			{Key: "session", Value: id}, {Key: "reason", Value: err.Error()},
		}})
	default:
		g.reportCallerClosed(id, closedInvalidMessage, proxy.Field{Key: "error", Value: err.Error()})
	}
}

// reportCallerClosed logs and counts that the gateway closes a caller's connection.
func (g *Gateway) reportCallerClosed(id proxy.SessionID, reason string, fields ...proxy.Field) {
	callersClosed[reason].Inc()
	g.logs.Enqueue(proxy.Log{Level: proxy.Info, Event: "caller closed", Fields: append([]proxy.Field{
		{Key: "session", Value: id}, {Key: "reason", Value: reason},
	}, fields...)})
}

// writeCallerReplies writes queued replies until the queue closes or a write fails,
// and closes the connection. A message from drain ends a read that waits for a message. After a
// failed write, abort ends a reader that waits: what it waits for may depend on the replies that
// are not written any more.
func (g *Gateway) writeCallerReplies(sock net.Conn, id proxy.SessionID, out <-chan []byte, drain <-chan struct{}, abort func()) {
	failed := false
	for more := true; more; {
		more, failed = g.writeNextReply(sock, id, out, drain)
	}
	_ = sock.Close()
	if failed {
		abort()
	}
	for range out {
		continue
	}
}

// writeNextReply waits for a queued reply or a drain. It returns more as false after the last reply
// or a failed write.
func (g *Gateway) writeNextReply(sock net.Conn, id proxy.SessionID, out <-chan []byte, drain <-chan struct{}) (more, failed bool) {
	select {
	case buf, ok := <-out:
		if !ok {
			return false, false
		}
		_ = sock.SetWriteDeadline(time.Now().Add(g.settings.ReplyTimeout))
		_, err := sock.Write(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			g.reportCallerClosed(id, closedSlowReader)
		}
		if err == nil {
			g.post(callerWrote{session: id, bytes: len(buf)})
		}
		return err == nil, err != nil
	case <-drain:
		_ = sock.SetReadDeadline(drainDeadline)
		return true, false
	}
}

// applyIntakeDecisions applies the decisions on the memory of callers.
func (g *Gateway) applyIntakeDecisions() {
	for _, d := range g.intake.TakeDecisions() {
		id := proxy.SessionID(d.Caller)
		conn, ok := g.callerConns[id]
		if !ok {
			continue
		}
		switch d.Action {
		case intake.Read:
			signalCaller(conn.granted)
		case intake.Block:
			callersBlocked.Inc()
			g.queueEvent(proxy.CallerBlocked{Session: id})
		case intake.Unblock:
			g.queueEvent(proxy.CallerUnblocked{Session: id})
		case intake.Close:
			g.reportCallerClosed(id, closedReplyMemory, proxy.Field{Key: "bytes", Value: d.Bytes}, proxy.Field{Key: "limit", Value: g.settings.Intake.ReplyBytes})
			g.closeCaller(id)
			conn.abort()
		}
	}
	messageBytes.Set(float64(g.intake.MessageBytes()))
	replyBytes.Set(float64(g.intake.ReplyBytes()))
}

// signalCaller sends a signal to a task of a caller connection. At most one signal of a kind
// is outstanding.
func signalCaller(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendToCaller queues encoded replies for a caller. A caller whose queue is full is
// disconnected.
func (g *Gateway) sendToCaller(id proxy.SessionID, buf []byte) {
	conn, ok := g.callerConns[id]
	if !ok || len(buf) == 0 {
		return
	}
	select {
	case conn.out <- buf:
		g.intake.QueueReply(intake.Caller(id), len(buf))
	default:
		g.reportCallerClosed(id, closedReplyQueue)
		g.closeCaller(id)
	}
}

// closeCaller closes a caller's connection after its queued replies have been
// written.
func (g *Gateway) closeCaller(id proxy.SessionID) {
	if conn, ok := g.callerConns[id]; ok {
		delete(g.callerConns, id)
		close(conn.out)
		g.intake.Release(intake.Caller(id))
	}
}
