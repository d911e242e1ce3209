package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"baobabfield.example/core/attributes"
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/pgwire"
)

const (
	// writeBufferSize is the size of a session's write buffer in bytes.
	writeBufferSize = 8 << 10
	// writeTimeout is how long a caller may take no data before it is cut off.
	writeTimeout = 60 * time.Second
	// cancelTimeout bounds the forwarding of a cancel request.
	cancelTimeout = 2 * time.Second
	// unknownToken as a session token says that the caller has lost its token;
	// its reads go to the primary.
	unknownToken = "unknown"
)

// sessionTask owns a caller's socket and its session.
type sessionTask struct {
	task    *Task
	key     uint32
	secret  []byte
	control chan control

	conn    net.Conn
	w       *bufio.Writer
	backend *pgproto3.Backend
	in      chan inbound
	next    chan struct{}
	done    chan struct{}

	database  types.Database
	attrs     attributes.Attributes
	token     session.Token
	lostToken bool
	batcher   *pgwire.Batcher
	skipping  bool
	draining  bool

	stream   *mesh.Stream
	endpoint types.Endpoint
	// write is set while the open transaction may write.
	write bool
	// cancelled is set once the statement on the stream has been cancelled.
	cancelled bool
	nextID    uint64
	out       []byte
}

// inbound is a message from the caller, or the end of the connection.
type inbound struct {
	msg pgproto3.FrontendMessage
	err error
}

func newSession(t *Task, conn net.Conn, key uint32, h *sessionHandle) *sessionTask {
	return &sessionTask{
		task:    t,
		key:     key,
		secret:  h.secret,
		control: h.control,
		conn:    conn,
		in:      make(chan inbound),
		next:    make(chan struct{}),
		done:    make(chan struct{}),
		token:   session.Token{},
		batcher: pgwire.NewBatcher(),
	}
}

// run serves the caller until it leaves or the context ends.
func (s *sessionTask) run(ctx context.Context) {
	defer s.task.post(ended{key: s.key})
	defer func() { _ = s.conn.Close() }()
	defer s.closeStream()
	defer close(s.done)
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if !s.startup(ctx) {
		return
	}
	go s.read()
	for s.serve(ctx) {
	}
}

// read passes the caller's messages on, one at a time, since the decoder
// reuses a message's memory for the next one.
func (s *sessionTask) read() {
	for {
		msg, err := s.backend.Receive()
		select {
		case s.in <- inbound{msg: msg, err: err}:
		case <-s.done:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-s.next:
		case <-s.done:
			return
		}
	}
}

// serve handles one message; it reports whether the session goes on.
func (s *sessionTask) serve(ctx context.Context) bool {
	if s.draining && s.stream == nil {
		s.fatal(pgwire.StateShutdown, "host is stopping")
		return false
	}
	select {
	case <-ctx.Done():
		s.fatal(pgwire.StateShutdown, "host is stopping")
		return false
	case c := <-s.control:
		s.draining = s.draining || c == controlDrain
		return true
	case in := <-s.in:
		if in.err != nil {
			s.protocolError(in.err)
			return false
		}
		goOn := s.message(ctx, in.msg)
		s.next <- struct{}{}
		return goOn
	}
}

// protocolError tells a caller whose message cannot be decoded; a caller that
// has closed its connection gets nothing.
func (s *sessionTask) protocolError(err error) {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		s.fatal(pgwire.StateTooLarge, fmt.Sprintf("not run: message of %d bytes exceeds the limit of %d bytes", tooLong.ActualBodyLen, tooLong.MaxExpectedBodyLen))
	}
}

// message handles one front-end message.
func (s *sessionTask) message(ctx context.Context, msg pgproto3.FrontendMessage) bool {
	if _, ok := msg.(*pgproto3.Terminate); ok {
		return false
	}
	if s.skipping {
		return s.skip(msg)
	}
	complete, err := s.batcher.Add(msg)
	if err != nil {
		return s.refuseBatch(msg, err)
	}
	if !complete {
		return true
	}
	batch := s.batcher.Take()
	return s.runBatch(ctx, &batch)
}

// refuseBatch answers a batch that cannot be taken; the rest up to Sync is skipped.
func (s *sessionTask) refuseBatch(msg pgproto3.FrontendMessage, err error) bool {
	s.batcher.ResetBatch()
	state := pgwire.StateProtocolViolation
	switch {
	case strings.Contains(err.Error(), "exceeds the limit"):
		state = pgwire.StateTooLarge
	case strings.Contains(err.Error(), "is not supported"):
		state = pgwire.StateNotSupported
	case strings.Contains(err.Error(), "does not exist"):
		state = "26000"
	}
	s.out = pgwire.AppendError(s.out[:0], "ERROR", state, "not run: "+err.Error())
	if _, simple := msg.(*pgproto3.Query); simple {
		s.out = pgwire.AppendReady(s.out, s.status())
		return s.flush(s.out)
	}
	s.skipping = true
	return s.flush(s.out)
}

// skip drops messages up to Sync, which is answered.
func (s *sessionTask) skip(msg pgproto3.FrontendMessage) bool {
	if _, ok := msg.(*pgproto3.Sync); !ok {
		return true
	}
	s.skipping = false
	return s.flush(pgwire.AppendReady(s.out[:0], s.status()))
}

// status returns the transaction status between batches.
func (s *sessionTask) status() byte {
	if s.stream != nil {
		return pgwire.StatusInTx
	}
	return pgwire.StatusIdle
}

// send writes to the caller's buffer.
func (s *sessionTask) send(buf []byte) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.w.Write(buf)
	return err
}

// flush writes to the caller; it reports whether the caller is still there.
func (s *sessionTask) flush(buf []byte) bool {
	if s.send(buf) != nil {
		return false
	}
	return s.w.Flush() == nil
}

// fatal tells the caller why its connection ends.
func (s *sessionTask) fatal(state, text string) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = s.w.Write(pgwire.AppendError(nil, "FATAL", state, text))
	_ = s.w.Flush()
}

// closeStream ends the open transaction; its owner rolls it back.
func (s *sessionTask) closeStream() {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.forgetStream()
}

// forgetStream notes that no transaction is open.
func (s *sessionTask) forgetStream() {
	s.stream = nil
	s.batcher.ResetStream()
	s.task.router.Finished(s.endpoint)
}

// forwardCancel sends a cancel request to the host that serves the session.
func (t *Task) forwardCancel(ctx context.Context, h types.Host, m cancelMessage) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	f := &meshpb.Frame{Body: &meshpb.Frame_Cancel{Cancel: &meshpb.Cancel{Process: m.process, Secret: m.secret}}}
	_ = t.mesh.Send(ctx, h, f)
}
