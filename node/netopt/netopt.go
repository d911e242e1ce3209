// Package netopt dials and listens on TCP with keepalives and a limit on the time that
// data stays unacknowledged. With these options, a connection fails when its peer has
// disappeared. All TCP connections of a host use it, except those of the admin API.
package netopt

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the idle time before the first keepalive probe.
	keepAliveIdle = 5 * time.Second
	// keepAliveInterval is the time between two keepalive probes.
	keepAliveInterval = 2 * time.Second
	// keepAliveCount is the number of unanswered probes after which a connection fails.
	keepAliveCount = 3
	// userTimeout is how long sent data may stay unacknowledged before a connection
	// fails.
	userTimeout = 10 * time.Second
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// Dial connects to a TCP address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// DialDiscarding is like Dial, but closing the connection discards the data that the peer has
// not received yet.
func DialDiscarding(ctx context.Context, address string) (net.Conn, error) {
	conn, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
	}
	return conn, nil
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return l.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Accepted sockets inherit it.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
