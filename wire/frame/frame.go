// Package frame reads and writes the frames on the streams between hosts. A frame is the
// length of the body in 4 bytes, big-endian, and a meshpb.Frame in protobuf as the body.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"baobabfield.example/wire/meshpb"
)

// MaxBytes is the largest encoded frame, without its length prefix.
const MaxBytes = 2 << 20

// ErrNotEncodable is returned for a frame of which nothing was written, since it cannot be
// encoded or exceeds MaxBytes.
var ErrNotEncodable = errors.New("frame cannot be encoded")

// headerBytes is the size of the length prefix.
const headerBytes = 4

// Append appends the length prefix and the encoded frame to buf. Its errors are ErrNotEncodable.
func Append(buf []byte, f *meshpb.Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, f)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotEncodable, err)
	}
	size := len(buf) - start - headerBytes
	if size > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes exceed the limit of %d bytes", ErrNotEncodable, size, MaxBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// Write writes one frame in a single call of w.Write.
func Write(w io.Writer, f *meshpb.Frame) error {
	buf, err := Append(nil, f)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return errors.Wrap(err, "write frame")
}

// Read reads one frame. It returns io.EOF if the stream ends before the first byte of a
// frame.
func Read(r io.Reader) (*meshpb.Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, errors.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxBytes {
		return nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, MaxBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read frame body")
	}
	return Decode(body)
}

// Decode decodes a frame without its length prefix and checks that it has a body.
func Decode(body []byte) (*meshpb.Frame, error) {
	f := &meshpb.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	if f.GetBody() == nil {
		return nil, errors.New("frame has no body")
	}
	return f, nil
}
