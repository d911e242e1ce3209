package soak

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// relayMode says what a relay does with connections.
type relayMode int

const (
	modeForward relayMode = iota
	// modeDelay delays every piece of data.
	modeDelay
	// modeDiscardAll takes data and passes none on, in either direction.
	modeDiscardAll
	// modeDiscardReplies passes data on to the target and none back.
	modeDiscardReplies
)

// relayDelay is the delay of a slow relay.
const relayDelay = 30 * time.Millisecond

// relay stands before one address.
type relay struct {
	listener      net.Listener
	target        string
	modeQueries   chan chan relayMode
	modeChanges   chan relayMode
	resetRequests chan struct{}
	newConns      chan net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		listener: l, target: target, modeQueries: make(chan chan relayMode), modeChanges: make(chan relayMode),
		resetRequests: make(chan struct{}), newConns: make(chan net.Conn),
	}
	done := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); close(done) })
	go r.run(done)
	go r.acceptConns()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// run owns the mode and the open connections.
func (r *relay) run(done <-chan struct{}) {
	mode := modeForward
	var openConns []net.Conn
	resetConns := func() {
		for _, c := range openConns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		openConns = nil
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
		case c := <-r.newConns:
			openConns = append(openConns, c)
		}
	}
}

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

func (r *relay) serveConn(client net.Conn) {
	server, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", r.target)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	for _, c := range []net.Conn{client, server} {
		select {
		case r.newConns <- c:
		case <-time.After(time.Second):
		}
	}
	go r.forward(server, client, false)
	r.forward(client, server, true)
}

// forward passes data on as the mode allows; what a silent relay takes is gone.
func (r *relay) forward(to, from net.Conn, fromTarget bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	incomplete := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch r.currentMode() {
		case modeDelay:
			time.Sleep(relayDelay)
		case modeDiscardAll:
			incomplete = true
		case modeDiscardReplies:
			incomplete = incomplete || fromTarget
		}
		// A stream that has lost a part stays silent.
		if incomplete {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
