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
	// startupTimeout bounds the wait for a caller's first message.
	startupTimeout = 5 * time.Second
	// callerReadBufferBytes is the size in bytes of a caller's read buffer; longer messages
	// are read in parts.
	callerReadBufferBytes = 2 << 10
	// callerQueueLength is the number of answers that wait for a caller to read; one that
	// reads nothing is cut off.
	callerQueueLength = 64
	// callerWriteTimeout bounds the writing of answers to a caller that does not read.
	callerWriteTimeout = 20 * time.Second
)

var (
	callersAccepted = metrics.NewCounter("baobab_gateway_callers_accepted_total")
	callersRefused  = metrics.NewCounter("baobab_gateway_callers_refused_total")
)

// callerAccepted tells the gateway of a caller's connection.
type callerAccepted struct {
	session proxy.SessionID
	out     chan<- []byte
}

// callerWriterDone tells that the last answer to a caller has been written, or cannot be.
type callerWriterDone struct{}

// acceptCallers takes callers' connections until the listener closes.
func (g *Gateway) acceptCallers(ctx context.Context, l net.Listener) {
	var lastID proxy.SessionID
	limiter := make(chan struct{}, g.settings.MaxCallers)
	for {
		sock, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "listener for callers ended", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
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

// readCallerMessages passes a caller's messages on until the connection ends.
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

// logCallerError logs why a session ends, unless the caller just left.
func (g *Gateway) logCallerError(id proxy.SessionID, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	g.logs.Enqueue(proxy.Log{Level: proxy.Debug, Event: "session ended", Fields: []proxy.Field{
		{Key: "session", Value: id}, {Key: "reason", Value: err.Error()},
	}})
}

// writeCallerReplies writes answers until there are no more, and closes the connection.
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

// sendToCaller queues bytes for a caller; one that takes none is cut off.
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

// closeCaller closes a caller's connection once its answers are written.
func (g *Gateway) closeCaller(id proxy.SessionID) {
	if out := g.callerQueues[id]; out != nil {
		delete(g.callerQueues, id)
		close(out)
	}
}
