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
	// writeBufferBytes is the size of a session's write buffer.
	writeBufferBytes = 8 << 10
	// writeTimeout is how long a write may block before the caller is disconnected.
	writeTimeout = 60 * time.Second
	// cancelForwardTimeout bounds the forwarding of a cancel request.
	cancelForwardTimeout = 2 * time.Second
	// unknownToken is the session token that a caller sends if its own token is not
	// available. The primary then serves its reads.
	unknownToken = "unknown"
)

// sessionTask owns a caller's socket and session.
type sessionTask struct {
	listener  *Task
	processID uint32
	secret    []byte
	control   chan control

	conn       net.Conn
	w          *bufio.Writer
	backend    *pgproto3.Backend
	received   chan callerMessage
	decodeNext chan struct{}
	done       chan struct{}

	database types.Database
	attrs    attributes.Attributes
	token    session.Token
	// tokenUnknown is set if the caller has sent unknownToken.
	tokenUnknown   bool
	batcher        *pgwire.Batcher
	skippingToSync bool
	draining       bool

	stream   *mesh.Stream
	endpoint types.Endpoint
	// mayWrite is set if the open transaction may write.
	mayWrite bool
	// cancelled is set once a cancel request has been sent on the stream.
	cancelled bool
	requestID uint64
	outBuffer []byte
}

// callerMessage holds a message from the caller, or the error that ended the
// connection.
type callerMessage struct {
	msg pgproto3.FrontendMessage
	err error
}

func newSession(t *Task, conn net.Conn, processID uint32, h *sessionHandle) *sessionTask {
	return &sessionTask{
		listener:   t,
		processID:  processID,
		secret:     h.secret,
		control:    h.control,
		conn:       conn,
		received:   make(chan callerMessage),
		decodeNext: make(chan struct{}),
		done:       make(chan struct{}),
		token:      session.Token{},
		batcher:    pgwire.NewBatcher(),
	}
}

// run serves the caller until the session or the context ends.
func (s *sessionTask) run(ctx context.Context) {
	defer s.listener.post(sessionEnded{processID: s.processID})
	defer func() { _ = s.conn.Close() }()
	defer s.closeStream()
	defer close(s.done)
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if !s.handleStartup(ctx) {
		return
	}
	go s.readMessages()
	for s.serveNext(ctx) {
	}
}

// readMessages passes the caller's messages to the session one at a time, since the
// decoder reuses the memory of a message for the next one.
func (s *sessionTask) readMessages() {
	for {
		msg, err := s.backend.Receive()
		select {
		case s.received <- callerMessage{msg: msg, err: err}:
		case <-s.done:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-s.decodeNext:
		case <-s.done:
			return
		}
	}
}

// serveNext handles one message from the caller or the listener. It reports whether
// the session continues.
func (s *sessionTask) serveNext(ctx context.Context) bool {
	if s.draining && s.stream == nil {
		s.sendFatal(pgwire.SQLStateShutdown, "host is stopping")
		return false
	}
	select {
	case <-ctx.Done():
		s.sendFatal(pgwire.SQLStateShutdown, "host is stopping")
		return false
	case c := <-s.control:
		s.draining = s.draining || c == controlDrain
		return true
	case in := <-s.received:
		if in.err != nil {
			s.reportProtocolError(in.err)
			return false
		}
		keepOpen := s.handleMessage(ctx, in.msg)
		s.decodeNext <- struct{}{}
		return keepOpen
	}
}

// reportProtocolError sends an error for a message that exceeds the length limit.
// Other errors, such as a closed connection, are not reported to the caller.
func (s *sessionTask) reportProtocolError(err error) {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		s.sendFatal(pgwire.SQLStateTooLarge, fmt.Sprintf("not run: message of %d bytes exceeds the limit of %d bytes", tooLong.ActualBodyLen, tooLong.MaxExpectedBodyLen))
	}
}

// handleMessage handles one message of the caller. It reports whether the session
// continues.
func (s *sessionTask) handleMessage(ctx context.Context, msg pgproto3.FrontendMessage) bool {
	if _, ok := msg.(*pgproto3.Terminate); ok {
		return false
	}
	if s.skippingToSync {
		return s.skipToSync(msg)
	}
	complete, err := s.batcher.Add(msg)
	if err != nil {
		return s.rejectBatch(msg, err)
	}
	if !complete {
		return true
	}
	batch := s.batcher.Take()
	return s.runBatch(ctx, &batch)
}

// rejectBatch sends an error for an invalid batch. Unless the message is a simple
// query, all messages up to the next Sync are skipped.
func (s *sessionTask) rejectBatch(msg pgproto3.FrontendMessage, err error) bool {
	s.batcher.ResetBatch()
	state := pgwire.SQLStateProtocolViolation
	switch {
	case strings.Contains(err.Error(), "exceeds the limit"):
		state = pgwire.SQLStateTooLarge
	case strings.Contains(err.Error(), "is not supported"):
		state = pgwire.SQLStateNotSupported
	case strings.Contains(err.Error(), "does not exist"):
		state = "26000"
	}
	s.outBuffer = pgwire.AppendError(s.outBuffer[:0], "ERROR", state, "not run: "+err.Error())
	if _, simple := msg.(*pgproto3.Query); simple {
		s.outBuffer = pgwire.AppendReady(s.outBuffer, s.transactionStatus())
		return s.writeAndFlush(s.outBuffer)
	}
	s.skippingToSync = true
	return s.writeAndFlush(s.outBuffer)
}

// skipToSync discards a message that precedes the next Sync, and answers the Sync.
func (s *sessionTask) skipToSync(msg pgproto3.FrontendMessage) bool {
	if _, ok := msg.(*pgproto3.Sync); !ok {
		return true
	}
	s.skippingToSync = false
	return s.writeAndFlush(pgwire.AppendReady(s.outBuffer[:0], s.transactionStatus()))
}

// transactionStatus returns the transaction status between two batches.
func (s *sessionTask) transactionStatus() byte {
	if s.stream != nil {
		return pgwire.StatusInTx
	}
	return pgwire.StatusIdle
}

// writeBuffered writes to the caller's write buffer.
func (s *sessionTask) writeBuffered(buf []byte) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.w.Write(buf)
	return err
}

// writeAndFlush writes to the caller and flushes the buffer. It reports whether that
// succeeded.
func (s *sessionTask) writeAndFlush(buf []byte) bool {
	if s.writeBuffered(buf) != nil {
		return false
	}
	return s.w.Flush() == nil
}

// sendFatal sends the error that ends the connection.
func (s *sessionTask) sendFatal(state, text string) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = s.w.Write(pgwire.AppendError(nil, "FATAL", state, text))
	_ = s.w.Flush()
}

// closeStream closes the stream of the open transaction, which makes its owner roll
// it back.
func (s *sessionTask) closeStream() {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.clearStream()
}

// clearStream records that no transaction is open.
func (s *sessionTask) clearStream() {
	s.stream = nil
	s.batcher.ResetStream()
	s.listener.router.ReportFinished(s.endpoint)
}

// forwardCancel sends a cancel request to another host.
func (t *Task) forwardCancel(ctx context.Context, h types.Host, m cancelRequest) {
	ctx, stop := context.WithTimeout(ctx, cancelForwardTimeout)
	defer stop()
	f := &meshpb.Frame{Body: &meshpb.Frame_Cancel{Cancel: &meshpb.Cancel{Process: m.processID, Secret: m.secret}}}
	_ = t.mesh.Send(ctx, h, f)
}
