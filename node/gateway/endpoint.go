package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/node/netopt"
)

const (
	// dialTimeout bounds connecting to an endpoint, and separately the wait for its
	// reply to the startup message.
	dialTimeout = 2 * time.Second
	// endpointReadBufferBytes is the size of an endpoint's read buffer.
	endpointReadBufferBytes = 4 << 10
	// endpointQueueLength is the number of commands that can wait to be written. The
	// pool sends one at a time.
	endpointQueueLength = 4
	// endpointWriteTimeout bounds the write of one command.
	endpointWriteTimeout = 2 * time.Second
)

// endpointConn holds the gateway's end of an endpoint connection.
type endpointConn struct {
	out    chan<- []byte
	cancel context.CancelFunc
	// controlInFlight is set while the command in flight is a control command.
	controlInFlight bool
}

// endpointReply is a complete reply. The gateway's task determines whether it
// belongs to a statement or to a control command.
type endpointReply struct {
	conn  pool.ConnID
	reply statement.Reply
}

// dialEndpoint starts the task of a new endpoint connection.
func (g *Gateway) dialEndpoint(ctx context.Context, d proxy.EndpointDial) {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan []byte, endpointQueueLength)
	g.endpointConns[d.Conn] = &endpointConn{out: out, cancel: cancel}
	go g.runEndpointConn(ctx, d, out)
}

// runEndpointConn connects to an endpoint and reads its replies until the connection
// ends.
func (g *Gateway) runEndpointConn(ctx context.Context, d proxy.EndpointDial, out <-chan []byte) {
	sock, r, failed := g.connectEndpoint(ctx, d)
	if sock == nil {
		g.post(failed)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = sock.Close() })
	defer stop()
	defer func() { _ = sock.Close() }()
	go writeEndpointCommands(ctx, sock, out)
	for {
		reply, err := g.settings.Codec.ReadReply(r)
		if err != nil {
			if ctx.Err() == nil {
				g.logs.Enqueue(proxy.Log{Level: proxy.Info, Event: "endpoint connection ended", Fields: []proxy.Field{
					{Key: "endpoint", Value: d.Endpoint}, {Key: "reason", Value: err.Error()},
				}})
			}
			g.post(proxy.EndpointDisconnected{Conn: d.Conn})
			return
		}
		g.post(endpointReply{conn: d.Conn, reply: reply})
	}
}

// connectEndpoint connects to an endpoint and starts a session. If that fails, sock
// is nil and failed says why. Absent is set if no endpoint of this ID runs at the
// address: the connection was refused or another endpoint replied.
func (g *Gateway) connectEndpoint(ctx context.Context, d proxy.EndpointDial) (sock net.Conn, r *bufio.Reader, failed proxy.EndpointDialFailed) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	failed.Conn = d.Conn
	// A command on a connection that was given up must not reach the endpoint later, when
	// another host may have sent it newer ones.
	sock, err := netopt.DialDiscarding(dialCtx, d.Address)
	if err != nil {
		failed.Absent = errors.Is(err, syscall.ECONNREFUSED)
		g.logDialFailure(d, err.Error(), failed.Absent)
		return nil, nil, failed
	}
	stop := context.AfterFunc(ctx, func() { _ = sock.Close() })
	defer stop()
	_ = sock.SetDeadline(time.Now().Add(dialTimeout))
	r = bufio.NewReaderSize(sock, endpointReadBufferBytes)
	if _, err = sock.Write(g.settings.Codec.AppendStartup(nil, d.Service, d.Endpoint, d.Workspace)); err == nil {
		code, readErr := g.settings.Codec.ReadStartupReply(r)
		if readErr == nil && code == statement.CodeOK {
			_ = sock.SetDeadline(time.Time{})
			g.post(proxy.EndpointConnected{Conn: d.Conn})
			return sock, r, failed
		}
		err = readErr
		if err == nil {
			failed.Absent = code == statement.CodeWrongEndpoint
			failed.AtLimit = code == statement.CodeConnectionLimit
			err = errors.New("endpoint refused startup: " + code.String())
		}
	}
	_ = sock.Close()
	g.logDialFailure(d, err.Error(), failed.Absent)
	return nil, nil, failed
}

func (g *Gateway) logDialFailure(d proxy.EndpointDial, reason string, absent bool) {
	g.logs.Enqueue(proxy.Log{Level: proxy.Info, Event: "endpoint not connected", Fields: []proxy.Field{
		{Key: "endpoint", Value: d.Endpoint}, {Key: "address", Value: d.Address}, {Key: "reason", Value: reason}, {Key: "gone", Value: absent},
	}})
}

// writeEndpointCommands writes queued commands until the connection's context ends.
func writeEndpointCommands(ctx context.Context, sock net.Conn, out <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case buf := <-out:
			_ = sock.SetWriteDeadline(time.Now().Add(endpointWriteTimeout))
			if _, err := sock.Write(buf); err != nil {
				// Closing the socket makes the reader fail, which reports the end.
				_ = sock.Close()
				return
			}
		}
	}
}

// sendToEndpoint queues a command. It does nothing if the connection has been
// closed.
func (g *Gateway) sendToEndpoint(id pool.ConnID, buf []byte, control bool) {
	c := g.endpointConns[id]
	if c == nil {
		return
	}
	c.controlInFlight = control
	select {
	case c.out <- buf:
	default:
		// The pool never sends this many commands at once, so the connection's state is
		// invalid.
		c.cancel()
	}
}

// closeEndpointConn ends a connection's tasks.
func (g *Gateway) closeEndpointConn(id pool.ConnID) {
	if c := g.endpointConns[id]; c != nil {
		delete(g.endpointConns, id)
		c.cancel()
	}
}

// decodeEndpointReply converts a reply to the event for a statement or for a control
// command.
func (g *Gateway) decodeEndpointReply(m endpointReply) proxy.Event {
	c := g.endpointConns[m.conn]
	if c == nil || !c.controlInFlight {
		return proxy.EndpointReplied{Conn: m.conn, Reply: m.reply}
	}
	st, known, err := g.settings.Codec.DecodeStatus(m.reply)
	if err != nil {
		g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "endpoint status cannot be decoded", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
	}
	return proxy.EndpointStatus{Conn: m.conn, Accepted: known, Status: st}
}
