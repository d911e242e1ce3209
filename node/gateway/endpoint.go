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
	// dialTimeout bounds connecting to an endpoint and its first answer.
	dialTimeout = 2 * time.Second
	// endpointBuffer is the size in bytes of an endpoint's read buffer.
	endpointBuffer = 4 << 10
	// endpointQueue is the number of commands that wait to be written; the pool
	// sends one at a time.
	endpointQueue = 4
	// endpointWriteTimeout bounds the writing of one command.
	endpointWriteTimeout = 2 * time.Second
)

// endpointConn is the gateway's side of a connection to an endpoint.
type endpointConn struct {
	out    chan<- []byte
	cancel context.CancelFunc
	// order is set while the outstanding command is an order.
	order bool
}

// endpointReply is a whole answer, before it is known what it answers.
type endpointReply struct {
	conn  pool.ConnID
	reply statement.Reply
}

// dialEndpoint starts the task of a connection.
func (g *Gateway) dialEndpoint(ctx context.Context, d proxy.EndpointDial) {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan []byte, endpointQueue)
	g.conns[d.Conn] = &endpointConn{out: out, cancel: cancel}
	go g.runEndpoint(ctx, d, out)
}

// runEndpoint connects, and then reads answers until the connection ends.
func (g *Gateway) runEndpoint(ctx context.Context, d proxy.EndpointDial, out <-chan []byte) {
	sock, r, gone := g.openEndpoint(ctx, d)
	if sock == nil {
		g.post(proxy.EndpointRefused{Conn: d.Conn, Absent: gone})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = sock.Close() })
	defer stop()
	defer func() { _ = sock.Close() }()
	go writeEndpoint(ctx, sock, out)
	for {
		reply, err := g.set.Codec.ReadReply(r)
		if err != nil {
			if ctx.Err() == nil {
				g.logs.Line(proxy.Log{Level: proxy.Info, Event: "endpoint connection ended", Fields: []proxy.Field{
					{Key: "endpoint", Value: d.Endpoint}, {Key: "reason", Value: err.Error()},
				}})
			}
			g.post(proxy.EndpointDisconnected{Conn: d.Conn})
			return
		}
		g.post(endpointReply{conn: d.Conn, reply: reply})
	}
}

// openEndpoint connects to an endpoint and starts a session. Without a
// connection, gone tells that the endpoint certainly does not run there.
func (g *Gateway) openEndpoint(ctx context.Context, d proxy.EndpointDial) (sock net.Conn, r *bufio.Reader, gone bool) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	sock, err := netopt.Dial(dialCtx, d.Address)
	if err != nil {
		gone = errors.Is(err, syscall.ECONNREFUSED)
		g.dialFailed(d, err.Error(), gone)
		return nil, nil, gone
	}
	_ = sock.SetDeadline(time.Now().Add(dialTimeout))
	r = bufio.NewReaderSize(sock, endpointBuffer)
	if _, err = sock.Write(g.set.Codec.AppendStartup(nil, d.Service, d.Endpoint)); err == nil {
		code, readErr := g.set.Codec.ReadAccepted(r)
		if readErr == nil && code == statement.CodeOK {
			_ = sock.SetDeadline(time.Time{})
			g.post(proxy.EndpointConnected{Conn: d.Conn})
			return sock, r, false
		}
		err = readErr
		if err == nil {
			gone = code == statement.CodeWrongEndpoint
			err = errors.New("endpoint answers " + code.String())
		}
	}
	_ = sock.Close()
	g.dialFailed(d, err.Error(), gone)
	return nil, nil, gone
}

func (g *Gateway) dialFailed(d proxy.EndpointDial, reason string, gone bool) {
	g.logs.Line(proxy.Log{Level: proxy.Info, Event: "endpoint not connected", Fields: []proxy.Field{
		{Key: "endpoint", Value: d.Endpoint}, {Key: "address", Value: d.Address}, {Key: "reason", Value: reason}, {Key: "gone", Value: gone},
	}})
}

// writeEndpoint writes commands until the connection's context ends.
func writeEndpoint(ctx context.Context, sock net.Conn, out <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case buf := <-out:
			_ = sock.SetWriteDeadline(time.Now().Add(endpointWriteTimeout))
			if _, err := sock.Write(buf); err != nil {
				// The reader notices, and reports the end.
				_ = sock.Close()
				return
			}
		}
	}
}

// sendEndpoint queues a command.
func (g *Gateway) sendEndpoint(id pool.ConnID, buf []byte, order bool) {
	c := g.conns[id]
	if c == nil {
		return
	}
	c.order = order
	select {
	case c.out <- buf:
	default:
		// More commands than the pool may send: the connection cannot be trusted.
		c.cancel()
	}
}

// closeEndpoint ends a connection's tasks.
func (g *Gateway) closeEndpoint(id pool.ConnID) {
	if c := g.conns[id]; c != nil {
		delete(g.conns, id)
		c.cancel()
	}
}

// endpointReplied turns an answer into the event that it is.
func (g *Gateway) endpointReplied(m endpointReply) proxy.Event {
	c := g.conns[m.conn]
	if c == nil || !c.order {
		return proxy.EndpointReplied{Conn: m.conn, Reply: m.reply}
	}
	st, known, err := g.set.Codec.DecodeStatus(m.reply)
	if err != nil {
		g.logs.Line(proxy.Log{Level: proxy.Warn, Event: "endpoint status not usable", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
	}
	return proxy.EndpointStatus{Conn: m.conn, Accepted: known, Status: st}
}
