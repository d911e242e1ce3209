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

	"baobabfield.example/core/proxy"
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 5 * time.Second
	// callerReadBufferBytes is the size of a caller's read buffer. A longer message is
	// read in several parts.
	callerReadBufferBytes = 2 << 10
	// callerQueueLength is the number of replies that can wait to be written to a
	// caller. A caller whose queue is full is disconnected.
	callerQueueLength = 64
	// callerWriteTimeout bounds one write to a caller that does not read.
	callerWriteTimeout = 20 * time.Second
)

var (
	callersAccepted = metrics.NewCounter("baobab_gateway_callers_accepted_total")
	callersRefused  = metrics.NewCounter("baobab_gateway_callers_refused_total")
)

// callerConn holds the gateway's end of a caller connection.
type callerConn struct {
	// out is the queue of replies.
	out chan<- []byte
	// drain makes the reader stop after the messages that it has read, and resume makes it
	// go on.
	drain, resume chan<- struct{}
}

// callerAccepted reports a new caller connection.
type callerAccepted struct {
	session proxy.SessionID
	conn    callerConn
}

// callerWriterDone reports that a caller's writer has ended: its last reply has been
// written, or a write has failed.
type callerWriterDone struct{}

// acceptCallers accepts caller connections until the listener closes.
func (g *Gateway) acceptCallers(ctx context.Context, l net.Listener) {
	var lastID proxy.SessionID
	limiter := make(chan struct{}, g.settings.MaxCallers)
	for {
		sock, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "caller listener failed", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
			}
			return
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
		out, drain, resume := make(chan []byte, callerQueueLength), make(chan struct{}, 1), make(chan struct{}, 1)
		g.post(callerAccepted{session: lastID, conn: callerConn{out: out, drain: drain, resume: resume}})
		writerDone := make(chan struct{})
		go func() {
			writeCallerReplies(sock, out, drain)
			close(writerDone)
			g.post(callerWriterDone{})
		}()
		go func(id proxy.SessionID) {
			defer func() { <-limiter }()
			g.readCallerMessages(sock, id, resume, writerDone)
		}(lastID)
	}
}

// readCallerMessages posts a caller's messages to the gateway's task until the
// connection ends. Each time the reading is drained it waits for a message from resume, or
// for the end of the writer, which closes the connection.
func (g *Gateway) readCallerMessages(sock net.Conn, id proxy.SessionID, resume, writerDone <-chan struct{}) {
	defer func() {
		_ = sock.Close()
		g.post(proxy.CallerDisconnected{Session: id})
	}()
	reader := &callerReader{sock: sock}
	r := bufio.NewReaderSize(reader, callerReadBufferBytes)
	_ = sock.SetReadDeadline(time.Now().Add(startupTimeout))
	db, key, err := g.settings.Codec.ReadStartup(r)
	if err != nil {
		g.logCallerError(id, err)
		return
	}
	_ = sock.SetReadDeadline(time.Time{})
	g.post(proxy.CallerStarted{Session: id, Database: db, Key: key})
	for {
		if err := reader.awaitMessage(r); errors.Is(err, os.ErrDeadlineExceeded) {
			g.post(proxy.CallerDrained{Session: id})
			select {
			case <-resume:
				_ = sock.SetReadDeadline(time.Time{})
				continue
			case <-writerDone:
				return
			}
		}
		q, err := g.settings.Codec.ReadQuery(r)
		if err != nil {
			g.logCallerError(id, err)
			return
		}
		g.post(proxy.CallerQuery{Session: id, Query: q})
	}
}

// drainDeadline is a read deadline in the past. It ends a read that waits for a caller's next
// message.
var drainDeadline = time.Unix(1, 0)

// callerReader reads from a caller's connection. A drain does not interrupt a message of which
// a part has been read.
type callerReader struct {
	sock net.Conn
	// inMessage is set while a message is read. drainPending is set if a drain was requested
	// meanwhile.
	inMessage, drainPending bool
}

// awaitMessage waits for the first byte of a message. It returns os.ErrDeadlineExceeded if the
// reading is drained, and nil if a message or another error can be read.
func (c *callerReader) awaitMessage(r *bufio.Reader) error {
	c.inMessage = false
	if c.drainPending {
		c.drainPending = false
		_ = c.sock.SetReadDeadline(drainDeadline)
	}
	if _, err := r.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	c.inMessage = true
	return nil
}

// Read reads from the connection.
func (c *callerReader) Read(p []byte) (int, error) {
	n, err := c.sock.Read(p)
	if n == 0 && c.inMessage && errors.Is(err, os.ErrDeadlineExceeded) {
		c.drainPending = true
		_ = c.sock.SetReadDeadline(time.Time{})
		return c.sock.Read(p)
	}
	return n, err
}

// logCallerError logs why a session ends, except if the connection was closed.
func (g *Gateway) logCallerError(id proxy.SessionID, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	g.logs.Enqueue(proxy.Log{Level: proxy.Debug, Event: "session ended", Fields: []proxy.Field{
		{Key: "session", Value: id}, {Key: "reason", Value: err.Error()},
	}})
}

// writeCallerReplies writes queued replies until the queue closes or a write fails,
// and closes the connection. A message from drain ends a read that waits for a message.
func writeCallerReplies(sock net.Conn, out <-chan []byte, drain <-chan struct{}) {
	for writeNextReply(sock, out, drain) {
		continue
	}
	_ = sock.Close()
	for range out {
		continue
	}
}

// writeNextReply waits for a queued reply or a drain. It returns false after the last reply or
// a failed write.
func writeNextReply(sock net.Conn, out <-chan []byte, drain <-chan struct{}) bool {
	select {
	case buf, ok := <-out:
		if !ok {
			return false
		}
		_ = sock.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		_, err := sock.Write(buf)
		return err == nil
	case <-drain:
		_ = sock.SetReadDeadline(drainDeadline)
		return true
	}
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
	default:
		g.closeCaller(id)
	}
}

// closeCaller closes a caller's connection after its queued replies have been
// written.
func (g *Gateway) closeCaller(id proxy.SessionID) {
	if conn, ok := g.callerConns[id]; ok {
		delete(g.callerConns, id)
		close(conn.out)
	}
}
