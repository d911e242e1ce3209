package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/intake"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// Replies queued before a stop are written before the process exits, even if the
// writer goroutine runs late.
func TestFinalRepliesWrittenBeforeExit(t *testing.T) {
	is := is.New(t)
	gatewayEnd, callerEnd := net.Pipe()
	out := make(chan []byte, callerQueueLength)
	g := &Gateway{
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		callerConns: map[proxy.SessionID]callerConn{1: {out: out}}, activeWriters: 1,
		intake: intake.New(intake.Limits{}), settings: Settings{ReplyTimeout: time.Minute},
	}
	got := make(chan string, 1)
	go func() {
		buf, _ := io.ReadAll(callerEnd)
		got <- string(buf)
	}()
	go func() {
		time.Sleep(50 * time.Millisecond)
		g.writeCallerReplies(gatewayEnd, 1, out, nil, func() {})
		g.post(callerWriterDone{})
	}()
	g.sendToCaller(1, []byte("COMPLETE -\r\n"))
	g.awaitCallerWriters(context.Background())
	is.Equal(g.activeWriters, 0)
	is.Equal(<-got, "COMPLETE -\r\n")
}

// A caller that does not read is disconnected when its queue is full; the gateway's
// task does not block.
func TestNonReadingCallerDisconnected(t *testing.T) {
	is := is.New(t)
	g := &Gateway{
		callerConns: map[proxy.SessionID]callerConn{1: {out: make(chan []byte, callerQueueLength)}},
		intake:      intake.New(intake.Limits{}), logs: NewLogWriter(io.Discard),
	}
	for range callerQueueLength + 1 {
		g.sendToCaller(1, []byte("x"))
	}
	is.Equal(len(g.callerConns), 0)
}

// blockedWriter simulates standard output whose reader has stopped reading.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

// A task that logs does not block if the reader of standard output has stopped. Lines
// that do not fit into the queue are counted as dropped.
func TestLogEnqueueDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{unblock: make(chan struct{})}
	logs := NewLogWriter(w)
	ctx, cancel := context.WithCancel(context.Background())
	go logs.Run(ctx)
	began := time.Now()
	for range 20 * logQueueLength {
		logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: strings.Repeat("x", 100)})
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(droppedLines[proxy.Warn].Get() > 0)
	close(w.unblock)
	cancel()
	<-logs.Done()
}

// Queued lines are written as JSON when the context ends, up to the limit of their
// level.
func TestLogLinesStructuredAndRateLimited(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	logs := NewLogWriter(w, proxy.Field{Key: "host", Value: "h"})
	ctx, cancel := context.WithCancel(context.Background())
	for range 3 * debugLinesPerSecond {
		logs.Enqueue(proxy.Log{Level: proxy.Debug, Event: "request", Fields: []proxy.Field{{Key: "id", Value: "5c"}, {Key: "took", Value: time.Millisecond}}})
	}
	cancel()
	go func() {
		logs.Run(ctx)
		_ = w.Close()
	}()
	buf, err := io.ReadAll(r)
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(string(buf)), "\n")
	is.Equal(len(lines), debugLinesPerSecond)
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[0]), &line))
	is.Equal(line["msg"], "request")
	is.Equal(line["id"], "5c")
	is.Equal(line["host"], "h")
}

// Guards against log lines as long as the names that callers choose.
func TestLongFieldsAreShortened(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 1<<20)
	for _, value := range []any{long, types.Database(long)} {
		is.Equal(boundText(value), long[:maxFieldBytes]+"...")
	}
	for _, value := range []any{nil, 7, time.Second, types.Database("db"), []string{"a"}} {
		is.Equal(boundText(value), value)
	}
}

// Guards against a reply that is queued and one that is dropped when the memory for unread replies
// is used up: the largest user's connection is closed at once, and the others' stay.
func TestLargestUnreadRepliesAreClosed(t *testing.T) {
	is := is.New(t)
	g := &Gateway{
		callerConns: map[proxy.SessionID]callerConn{}, logs: NewLogWriter(io.Discard), stopped: make(chan struct{}),
		intake: intake.New(intake.Limits{ReplyBytes: 100, CallerReplyBytes: 10}),
	}
	aborted := map[proxy.SessionID]bool{}
	for id := range proxy.SessionID(3) {
		g.callerConns[id] = callerConn{out: make(chan []byte, callerQueueLength), abort: func() { aborted[id] = true }}
		g.intake.Open(intake.Caller(id))
	}
	g.sendToCaller(0, make([]byte, 40))
	g.sendToCaller(1, make([]byte, 50))
	g.sendToCaller(2, make([]byte, 20))
	g.applyIntakeDecisions()
	is.Equal(aborted, map[proxy.SessionID]bool{1: true})
	is.Equal(len(g.callerConns), 2)
	is.Equal(g.queuedEvents, []proxy.Event{proxy.CallerBlocked{Session: 0}, proxy.CallerBlocked{Session: 1}, proxy.CallerBlocked{Session: 2}})
}
