package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
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

// callerAccepted reports a new caller connection and the queue of its replies.
type callerAccepted struct {
	session proxy.SessionID
	out     chan<- []byte
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
		out := make(chan []byte, callerQueueLength)
		g.post(callerAccepted{session: lastID, out: out})
		go func() {
			writeCallerReplies(sock, out)
			g.post(callerWriterDone{})
		}()
		go func(id proxy.SessionID) {
			defer func() { <-limiter }()
			g.readCallerMessages(sock, id)
		}(lastID)
	}
}

// readCallerMessages posts a caller's messages to the gateway's task until the
// connection ends.
func (g *Gateway) readCallerMessages(sock net.Conn, id proxy.SessionID) {
	defer func() {
		_ = sock.Close()
		g.post(proxy.CallerDisconnected{Session: id})
	}()
	r := bufio.NewReaderSize(sock, callerReadBufferBytes)
	_ = sock.SetReadDeadline(time.Now().Add(startupTimeout))
	db, err := g.settings.Codec.ReadStartup(r)
	if err != nil {
		g.logCallerError(id, err)
		return
	}
	_ = sock.SetReadDeadline(time.Time{})
	g.post(proxy.CallerStarted{Session: id, Database: db})
	for {
		q, err := g.settings.Codec.ReadQuery(r)
		if err != nil {
			g.logCallerError(id, err)
			return
		}
		g.post(proxy.CallerQuery{Session: id, Query: q})
	}
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
// and closes the connection.
func writeCallerReplies(sock net.Conn, out <-chan []byte) {
	for buf := range out {
		_ = sock.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := sock.Write(buf); err != nil {
			break
		}
	}
	_ = sock.Close()
	for range out {
		continue
	}
}

// sendToCaller queues encoded replies for a caller. A caller whose queue is full is
// disconnected.
func (g *Gateway) sendToCaller(id proxy.SessionID, buf []byte) {
	out := g.callerQueues[id]
	if out == nil || len(buf) == 0 {
		return
	}
	select {
	case out <- buf:
	default:
		g.closeCaller(id)
	}
}

// closeCaller closes a caller's connection after its queued replies have been
// written.
func (g *Gateway) closeCaller(id proxy.SessionID) {
	if out := g.callerQueues[id]; out != nil {
		delete(g.callerQueues, id)
		close(out)
	}
}
