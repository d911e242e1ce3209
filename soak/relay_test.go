package soak

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// relayMode determines what a relay does with the data of its connections.
type relayMode int

const (
	modeForward relayMode = iota
	// modeDelay forwards data after relayDelay.
	modeDelay
	// modeDiscardAll reads and discards the data of both directions.
	modeDiscardAll
	// modeDiscardReplies forwards data to the target and discards the target's replies.
	modeDiscardReplies
)

// relayDelay is the delay of each read block in modeDelay.
const relayDelay = 30 * time.Millisecond

// relay forwards TCP connections to one target address. The goroutine of run owns its
// state; the others send it messages.
type relay struct {
	listener      net.Listener
	target        string
	modeQueries   chan chan relayMode
	modeChanges   chan relayMode
	resetRequests chan struct{}
	// silenceRequests make the relay discard all further data of the open connections,
	// without closing them. New connections are served.
	silenceRequests chan struct{}
	newConns        chan relayedConn
}

// relayedConn is a connection with a client and the one to the target. silenced is closed
// once their data is discarded.
type relayedConn struct {
	client, server net.Conn
	silenced       chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		listener: l, target: target, modeQueries: make(chan chan relayMode), modeChanges: make(chan relayMode),
		resetRequests: make(chan struct{}), silenceRequests: make(chan struct{}), newConns: make(chan relayedConn),
	}
	done := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); close(done) })
	go r.run(done)
	go r.acceptConns()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// run owns the mode and the open connections until done is closed.
func (r *relay) run(done <-chan struct{}) {
	mode := modeForward
	// silentConns are the silenced ones among openConns, which are at its start.
	var openConns []relayedConn
	silentConns := 0
	resetConns := func() {
		for _, c := range openConns {
			reset(c.client)
			reset(c.server)
		}
		openConns, silentConns = nil, 0
	}
	for {
		select {
		case <-done:
			resetConns()
			return
		case mode = <-r.modeChanges:
		case reply := <-r.modeQueries:
			reply <- mode
		case <-r.resetRequests:
			resetConns()
		case <-r.silenceRequests:
			for _, c := range openConns[silentConns:] {
				close(c.silenced)
			}
			silentConns = len(openConns)
		case c := <-r.newConns:
			openConns = append(openConns, c)
		}
	}
}

// reset closes a connection without delivering what it still holds.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// currentMode returns the mode, or modeDiscardAll if run does not take the query
// within 1 s.
func (r *relay) currentMode() relayMode {
	reply := make(chan relayMode, 1)
	select {
	case r.modeQueries <- reply:
		return <-reply
	case <-time.After(time.Second):
		return modeDiscardAll
	}
}

func (r *relay) acceptConns() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(client)
	}
}

// serveConn connects to the target and forwards both directions. It resets the
// client's connection if the target does not accept one.
func (r *relay) serveConn(client net.Conn) {
	server, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	c := relayedConn{client: client, server: server, silenced: make(chan struct{})}
	select {
	case r.newConns <- c:
	case <-time.After(time.Second):
	}
	go r.forward(server, client, false, c.silenced)
	r.forward(client, server, true, c.silenced)
}

// forward copies one direction of a connection as the mode allows. Data that arrives in
// a discarding mode, or once the connection is silenced, is never delivered.
func (r *relay) forward(to, from net.Conn, fromTarget bool, silenced <-chan struct{}) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	incomplete := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-silenced:
			incomplete = true
		default:
		}
		switch r.currentMode() {
		case modeDelay:
			time.Sleep(relayDelay)
		case modeDiscardAll:
			incomplete = true
		case modeDiscardReplies:
			incomplete = incomplete || fromTarget
		}
		// A stream with discarded data forwards nothing more, also in later modes.
		if incomplete {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
