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
	// callerBuffer is the size in bytes of a caller's read buffer; longer messages
	// are read in parts.
	callerBuffer = 2 << 10
	// callerQueue is the number of answers that wait for a caller to read; one that
	// reads nothing is cut off.
	callerQueue = 64
	// callerWriteTimeout bounds the writing of answers to a caller that does not read.
	callerWriteTimeout = 20 * time.Second
)

var (
	callersAccepted = metrics.NewCounter("baobab_gateway_callers_accepted_total")
	callersRefused  = metrics.NewCounter("baobab_gateway_callers_refused_total")
)

// callerOpened tells the gateway of a caller's connection.
type callerOpened struct {
	session proxy.SessionID
	out     chan<- []byte
}

// callerWritten tells that the last answer to a caller has been written, or cannot be.
type callerWritten struct{}

// acceptCallers takes callers' connections until the listener closes.
func (g *Gateway) acceptCallers(ctx context.Context, l net.Listener) {
	var next proxy.SessionID
	slots := make(chan struct{}, g.set.MaxCallers)
	for {
		sock, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				g.logs.Line(proxy.Log{Level: proxy.Warn, Event: "listener for callers ended", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
			}
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			callersRefused.Inc()
			_ = sock.Close()
			continue
		}
		callersAccepted.Inc()
		next++
		out := make(chan []byte, callerQueue)
		g.post(callerOpened{session: next, out: out})
		go func() {
			writeCaller(sock, out)
			g.post(callerWritten{})
		}()
		go func(id proxy.SessionID) {
			defer func() { <-slots }()
			g.readCaller(sock, id)
		}(next)
	}
}

// readCaller passes a caller's messages on until the connection ends.
func (g *Gateway) readCaller(sock net.Conn, id proxy.SessionID) {
	defer func() {
		_ = sock.Close()
		g.post(proxy.CallerDisconnected{Session: id})
	}()
	r := bufio.NewReaderSize(sock, callerBuffer)
	_ = sock.SetReadDeadline(time.Now().Add(startupTimeout))
	db, err := g.set.Codec.ReadStartup(r)
	if err != nil {
		g.callerFailed(id, err)
		return
	}
	_ = sock.SetReadDeadline(time.Time{})
	g.post(proxy.CallerStarted{Session: id, Database: db})
	for {
		q, err := g.set.Codec.ReadQuery(r)
		if err != nil {
			g.callerFailed(id, err)
			return
		}
		g.post(proxy.CallerQuery{Session: id, Query: q})
	}
}

// callerFailed logs why a session ends, unless the caller just left.
func (g *Gateway) callerFailed(id proxy.SessionID, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	g.logs.Line(proxy.Log{Level: proxy.Debug, Event: "session ended", Fields: []proxy.Field{
		{Key: "session", Value: id}, {Key: "reason", Value: err.Error()},
	}})
}

// writeCaller writes answers until there are no more, and closes the connection.
func writeCaller(sock net.Conn, out <-chan []byte) {
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

// answerCaller queues bytes for a caller; one that takes none is cut off.
func (g *Gateway) answerCaller(id proxy.SessionID, buf []byte) {
	out := g.callers[id]
	if out == nil || len(buf) == 0 {
		return
	}
	select {
	case out <- buf:
	default:
		g.dropCaller(id)
	}
}

// dropCaller closes a caller's connection once its answers are written.
func (g *Gateway) dropCaller(id proxy.SessionID) {
	if out := g.callers[id]; out != nil {
		delete(g.callers, id)
		close(out)
	}
}
