// Package netopt sets the options of every TCP socket: keepalives and a bound
// on unacknowledged data, so that a connection whose other end is gone fails.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the idle time before the first keepalive probe.
	keepAliveIdle = 5 * time.Second
	// keepAliveInterval is the time between keepalive probes.
	keepAliveInterval = 2 * time.Second
	// keepAliveCount is the number of unanswered probes that ends a connection.
	keepAliveCount = 3
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 10 * time.Second
)

// keepAlive is the keepalive configuration of every socket.
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

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return l.Listen(ctx, "tcp", address)
}

// setUserTimeout sets the user timeout; accepted sockets inherit it.
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
