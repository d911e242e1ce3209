package mesh

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
	"baobabfield.example/wire/frame"
	"baobabfield.example/wire/meshpb"
)

const (
	// streamReadBufferBytes is the size of a stream's read buffer in bytes.
	streamReadBufferBytes = 4 << 10
	// frameSendTimeout bounds the sending of one frame to a peer that takes none.
	frameSendTimeout = 10 * time.Second
)

// Stream carries frames of one conversation between two hosts. One task owns
// it; a reader passes the incoming frames to that task.
type Stream struct {
	// Peer is the host at the other end.
	Peer   types.Host
	conn   net.Conn
	frames chan *meshpb.Frame
	closed chan struct{}
	// connEnded closes when the connection has connEnded.
	connEnded  chan struct{}
	sendBuffer []byte
}

// newStream starts the reader of a connection.
func newStream(peer types.Host, conn net.Conn) *Stream {
	s := &Stream{
		Peer:      peer,
		conn:      conn,
		frames:    make(chan *meshpb.Frame),
		closed:    make(chan struct{}),
		connEnded: make(chan struct{}),
	}
	go s.readFrames()
	return s
}

// readFrames passes frames on until the connection ends or the owner closes the stream.
func (s *Stream) readFrames() {
	defer close(s.frames)
	defer close(s.connEnded)
	r := bufio.NewReaderSize(s.conn, streamReadBufferBytes)
	for {
		f, err := frame.Read(r)
		if err != nil {
			return
		}
		select {
		case s.frames <- f:
		case <-s.closed:
			return
		}
	}
}

// isUsable reports whether the connection has not ended.
func (s *Stream) isUsable() bool {
	select {
	case <-s.connEnded:
		return false
	case <-s.closed:
		return false
	default:
		return true
	}
}

// Frames returns the incoming frames; it is closed when the stream ends.
func (s *Stream) Frames() <-chan *meshpb.Frame { return s.frames }

// Ended returns a channel that closes when the connection has ended.
func (s *Stream) Ended() <-chan struct{} { return s.connEnded }

// Send writes one frame.
func (s *Stream) Send(f *meshpb.Frame) error {
	buf, err := frame.Append(s.sendBuffer[:0], f)
	if err != nil {
		return err
	}
	s.sendBuffer = buf
	_ = s.conn.SetWriteDeadline(time.Now().Add(frameSendTimeout))
	_, err = s.conn.Write(buf)
	return errors.Wrapf(err, "send to host %q", s.Peer)
}

// Close ends the stream in both directions.
func (s *Stream) Close() {
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	_ = s.conn.Close()
}
