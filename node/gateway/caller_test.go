package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/intake"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// lineCodec decodes lines: the first one is the database, each further one a query's id.
type lineCodec struct{ Codec }

func (lineCodec) ReadStartup(r *bufio.Reader) (types.Database, string, error) {
	line, err := r.ReadString('\n')
	return types.Database(line), "", err
}

func (lineCodec) ReadQuery(r *bufio.Reader) (pool.Query, error) {
	line, err := r.ReadString('\n')
	return pool.Query{ID: line}, err
}

// callerFixture is a caller connection without a gateway's task.
type callerFixture struct {
	t      *testing.T
	inbox  chan any
	conn   callerConn
	caller net.Conn
}

func newCallerFixture(t *testing.T) *callerFixture {
	t.Helper()
	return startCallerFixture(t, time.Minute)
}

// startCallerFixture starts a caller with a time limit for messages and replies.
func startCallerFixture(t *testing.T, timeout time.Duration) *callerFixture {
	t.Helper()
	g := &Gateway{
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}), logs: NewLogWriter(io.Discard),
		settings: Settings{Codec: lineCodec{}, MessageTimeout: timeout, ReplyTimeout: timeout},
	}
	gatewayEnd, callerEnd := net.Pipe()
	g.startCaller(t.Context(), gatewayEnd, 1, func() {})
	accepted := (<-g.inbox).(callerAccepted)
	f := &callerFixture{t: t, inbox: g.inbox, conn: accepted.conn, caller: callerEnd}
	f.write("db\n")
	f.expect(proxy.CallerStarted{Session: 1, Database: "db\n"})
	return f
}

func (f *callerFixture) write(text string) {
	f.t.Helper()
	_ = f.caller.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(f.caller, text); err != nil {
		f.t.Fatal(err)
	}
}

// expect waits for the next message of the connection's tasks.
func (f *callerFixture) expect(want any) {
	f.t.Helper()
	select {
	case got := <-f.inbox:
		if s, ok := got.(callerStatement); ok {
			got = proxy.CallerQuery{Session: s.session, Query: s.query}
		}
		if got != want {
			f.t.Fatalf("message is %+v, want %+v", got, want)
		}
	case <-time.After(5 * time.Second):
		f.t.Fatalf("no message within 5 s, want %+v", want)
	}
}

// expectAll waits for messages of the connection's tasks in any order.
func (f *callerFixture) expectAll(want ...any) {
	f.t.Helper()
	got := map[any]bool{}
	for range want {
		select {
		case msg := <-f.inbox:
			got[msg] = true
		case <-time.After(5 * time.Second):
			f.t.Fatalf("messages are %+v after 5 s, want %+v", got, want)
		}
	}
	for _, msg := range want {
		if !got[msg] {
			f.t.Fatalf("messages are %+v, want %+v", got, want)
		}
	}
}

func query(id string) proxy.CallerQuery {
	return proxy.CallerQuery{Session: 1, Query: pool.Query{ID: id}}
}

// Every message that was read, also in part, before the drain arrives before CallerDrained, and
// reading goes on after a resume.
func TestDrainLosesNoMessage(t *testing.T) {
	f := newCallerFixture(t)
	f.write("one\ntwo\nthr")
	f.expect(query("one\n"))
	f.expect(query("two\n"))
	signalCaller(f.conn.drain)
	f.write("ee\n")
	f.expect(query("three\n"))
	f.expect(proxy.CallerDrained{Session: 1})
	signalCaller(f.conn.resume)
	for i := range 3 {
		id := fmt.Sprintf("%d\n", i)
		f.write(id)
		f.expect(query(id))
	}
	signalCaller(f.conn.drain)
	f.expect(proxy.CallerDrained{Session: 1})
	close(f.conn.out)
	f.expectAll(callerWriterDone{session: 1}, proxy.CallerDisconnected{Session: 1})
}

// A drain of an idle connection takes effect at once, and the last reply is still written.
func TestIdleConnectionIsDrainedAndClosed(t *testing.T) {
	is := is.New(t)
	f := newCallerFixture(t)
	signalCaller(f.conn.drain)
	f.expect(proxy.CallerDrained{Session: 1})
	f.conn.out <- []byte("bye")
	close(f.conn.out)
	buf, err := io.ReadAll(f.caller)
	is.NoErr(err)
	is.Equal(string(buf), "bye")
	f.expectAll(callerWrote{session: 1, bytes: 3}, callerWriterDone{session: 1}, proxy.CallerDisconnected{Session: 1})
}

// newTimedFixture returns a caller whose messages and replies have to end within a short time.
func newTimedFixture(t *testing.T) *callerFixture {
	t.Helper()
	return startCallerFixture(t, 20*time.Millisecond)
}

// Guards against large messages that are read before there is memory for them, and against a drain
// that interrupts the wait.
func TestLargeMessageWaitsForMemory(t *testing.T) {
	f := newCallerFixture(t)
	text := strings.Repeat("x", 3*callerReadBufferBytes) + "\n"
	go func() { _, _ = io.WriteString(f.caller, text) }()
	f.expect(callerReserves{session: 1, bytes: largestMessageBytes})
	signalCaller(f.conn.drain)
	select {
	case msg := <-f.inbox:
		t.Fatalf("message is %+v before memory is granted", msg)
	case <-time.After(50 * time.Millisecond):
	}
	signalCaller(f.conn.granted)
	f.expect(query(text))
	f.expect(callerReserves{session: 1, bytes: intake.OrdinaryBytes})
	signalCaller(f.conn.granted)
	f.expect(proxy.CallerDrained{Session: 1})
}

// Guards against a reader that waits for memory for ever although its connection is closed.
func TestWaitForMemoryEndsWithConnection(t *testing.T) {
	f := newCallerFixture(t)
	go func() { _, _ = io.WriteString(f.caller, strings.Repeat("x", 3*callerReadBufferBytes)) }()
	f.expect(callerReserves{session: 1, bytes: largestMessageBytes})
	close(f.conn.out)
	f.expectAll(callerWriterDone{session: 1}, proxy.CallerDisconnected{Session: 1})
}

// Guards against small statements sent ahead without an end.
func TestStatementsSentAheadWaitForMemory(t *testing.T) {
	f := newCallerFixture(t)
	n := intake.OrdinaryBytes / (intake.StatementOverheadBytes + len("q\n"))
	go func() { _, _ = io.WriteString(f.caller, strings.Repeat("q\n", 100)) }()
	for range n + 1 {
		f.expect(query("q\n"))
	}
	f.expect(callerReserves{session: 1, bytes: intake.OrdinaryBytes})
	signalCaller(f.conn.granted)
	f.expect(query("q\n"))
}

// Guards against callers that never finish a message, and against a time that each byte renews.
func TestUnfinishedMessageClosesCaller(t *testing.T) {
	f := newTimedFixture(t)
	go func() {
		for {
			if _, err := io.WriteString(f.caller, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	f.expect(proxy.CallerDisconnected{Session: 1})
}

// Guards against a time limit that ends sessions which are idle between two messages.
func TestIdleCallerIsNotClosed(t *testing.T) {
	f := newTimedFixture(t)
	f.write("one\n")
	f.expect(query("one\n"))
	time.Sleep(100 * time.Millisecond)
	f.write("two\n")
	f.expect(query("two\n"))
}

// Guards against replies that are kept for a caller which reads a byte now and then.
func TestUnreadReplyClosesCaller(t *testing.T) {
	f := newTimedFixture(t)
	f.conn.out <- make([]byte, 1<<20)
	go func() {
		for {
			if _, err := f.caller.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	f.expect(proxy.CallerDisconnected{Session: 1})
	close(f.conn.out)
	f.expect(callerWriterDone{session: 1})
}

// Guards against a connection that is never removed: a write fails while the reader waits for memory
// that is only freed once the unread replies have been written.
func TestWaitForMemoryEndsWithFailedWrite(t *testing.T) {
	f := newTimedFixture(t)
	go func() { _, _ = io.WriteString(f.caller, strings.Repeat("x", 3*callerReadBufferBytes)) }()
	f.expect(callerReserves{session: 1, bytes: largestMessageBytes})
	f.conn.out <- []byte("unread")
	f.expect(proxy.CallerDisconnected{Session: 1})
}

// Guards against a drained connection that is not removed when a write fails: its session waits for
// the unread replies before it runs the statements that it has received.
func TestDrainedConnectionEndsWithFailedWrite(t *testing.T) {
	f := newTimedFixture(t)
	signalCaller(f.conn.drain)
	f.expect(proxy.CallerDrained{Session: 1})
	f.conn.out <- []byte("unread")
	f.expect(proxy.CallerDisconnected{Session: 1})
}

// failingListener fails the first calls of Accept.
type failingListener struct {
	net.Listener
	failures int
	conns    chan net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Guards against a host that accepts no callers any more after a lack of descriptors.
func TestAcceptingGoesOnAfterFailure(t *testing.T) {
	g := &Gateway{
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}), logs: NewLogWriter(io.Discard),
		settings: Settings{Codec: lineCodec{}, MaxCallers: 1, MessageTimeout: time.Minute, ReplyTimeout: time.Minute},
	}
	l := &failingListener{failures: 2, conns: make(chan net.Conn, 1)}
	gatewayEnd, _ := net.Pipe()
	l.conns <- gatewayEnd
	close(l.conns)
	done := make(chan struct{})
	go func() {
		g.acceptCallers(t.Context(), l)
		close(done)
	}()
	select {
	case msg := <-g.inbox:
		if _, ok := msg.(callerAccepted); !ok {
			t.Fatalf("message is %+v, want callerAccepted", msg)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no caller was accepted within 5 s")
	}
	<-done
}
