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
	g := &Gateway{inbox: make(chan any, inboxSize), stopped: make(chan struct{}), settings: Settings{Codec: lineCodec{}}, logs: NewLogWriter(io.Discard)}
	gatewayEnd, callerEnd := net.Pipe()
	out, drain, resume := make(chan []byte, callerQueueLength), make(chan struct{}, 1), make(chan struct{}, 1)
	writerDone := make(chan struct{})
	go func() {
		writeCallerReplies(gatewayEnd, out, drain)
		close(writerDone)
	}()
	go g.readCallerMessages(gatewayEnd, 1, resume, writerDone)
	f := &callerFixture{t: t, inbox: g.inbox, conn: callerConn{out: out, drain: drain, resume: resume}, caller: callerEnd}
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
		if got != want {
			f.t.Fatalf("message is %+v, want %+v", got, want)
		}
	case <-time.After(5 * time.Second):
		f.t.Fatalf("no message within 5 s, want %+v", want)
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
	f.expect(proxy.CallerDisconnected{Session: 1})
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
	f.expect(proxy.CallerDisconnected{Session: 1})
}
