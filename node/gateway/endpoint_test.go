package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
	"baobabfield.example/platform"
)

// A connection that an endpoint refuses because of its connection limit is reported as such: it
// must not count as a failed or absent endpoint.
func TestRefusalAtConnectionLimitIsReported(t *testing.T) {
	for reply, want := range map[string]proxy.EndpointDialFailed{
		"ERROR MAXCONN limit\r\n":    {Conn: 7, AtLimit: true},
		"ERROR WRONGNODE other\r\n":  {Conn: 7, Absent: true},
		"ERROR BUSY later\r\n":       {Conn: 7},
		"COMPLETE not a reply -\r\n": {Conn: 7},
	} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			sock, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(sock).ReadString('\n')
			_, _ = io.WriteString(sock, reply)
			_, _ = io.Copy(io.Discard, sock)
			_ = sock.Close()
		}()
		g := &Gateway{settings: Settings{Codec: platform.LineCodec{}}, logs: NewLogWriter(io.Discard), inbox: make(chan any, inboxSize), stopped: make(chan struct{})}
		sock, _, failed := g.connectEndpoint(context.Background(), proxy.EndpointDial{Conn: 7, Service: "s", Endpoint: "e", Address: ln.Addr().String()})
		is.True(sock == nil)
		is.Equal(failed, want)
		is.NoErr(ln.Close())
	}
}

// Guards against connections beyond the endpoint's limit: a dial that was given up kept its
// connection until the reply to the startup message was overdue, while others were opened.
func TestDialThatWasGivenUpIsClosedAtOnce(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	g := &Gateway{settings: Settings{Codec: platform.LineCodec{}}, logs: NewLogWriter(io.Discard), inbox: make(chan any, inboxSize), stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	go g.runEndpointConn(ctx, proxy.EndpointDial{Conn: 7, Service: "s", Endpoint: "e", Address: ln.Addr().String()}, nil)
	sock, err := ln.Accept()
	is.NoErr(err)
	defer func() { _ = sock.Close() }()
	r := bufio.NewReader(sock)
	_, err = r.ReadString('\n')
	is.NoErr(err)
	cancel()
	_ = sock.SetReadDeadline(time.Now().Add(dialTimeout / 2))
	_, err = r.ReadByte()
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}
