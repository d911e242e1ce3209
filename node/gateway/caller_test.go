package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

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
	g := &Gateway{
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}), logs: NewLogWriter(io.Discard),
		settings: Settings{Codec: lineCodec{}, MessageTimeout: time.Minute, ReplyTimeout: time.Minute},
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
