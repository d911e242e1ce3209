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
	// streamReadBufferBytes is the size of a stream's read buffer.
	streamReadBufferBytes = 4 << 10
	// frameSendTimeout is the limit for sending one frame.
	frameSendTimeout = 10 * time.Second
)

// Stream carries frames between two hosts, for one exchange at a time. One task owns it. A
// reader goroutine passes the incoming frames to that task.
type Stream struct {
	// Peer is the host at the other end.
	Peer   types.Host
	conn   net.Conn
	frames chan *meshpb.Frame
	// closed is closed by Close.
	closed chan struct{}
	// connEnded is closed when no more frames can be read from the connection.
	connEnded  chan struct{}
	sendBuffer []byte
}

// newStream returns a stream on a connection and starts its reader.
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

// readFrames sends incoming frames to the frames channel until the connection ends or the
// owner closes the stream.
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

// isUsable reports whether the stream is open at both ends.
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

// Frames returns the channel of incoming frames. It is closed when the stream ends.
func (s *Stream) Frames() <-chan *meshpb.Frame { return s.frames }

// Ended returns a channel that is closed when the connection has ended.
func (s *Stream) Ended() <-chan struct{} { return s.connEnded }

// Send sends one frame. Only the owner of the stream may call it.
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

// Close closes the stream in both directions.
func (s *Stream) Close() {
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	_ = s.conn.Close()
}
