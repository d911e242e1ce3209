package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"baobabfield.example/wire/meshpb"
)

func sampleFrame() *meshpb.Frame {
	return &meshpb.Frame{Body: &meshpb.Frame_Open{Open: &meshpb.Open{RequestId: 7, Database: "ramp-logs-1", Batch: &meshpb.Batch{Messages: []byte("x")}}}}
}

func TestFramesRoundTrip(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	is.NoErr(Write(&buf, sampleFrame()))
	is.NoErr(Write(&buf, sampleFrame()))
	for range 2 {
		f, err := Read(&buf)
		is.NoErr(err)
		is.True(proto.Equal(f, sampleFrame()))
	}
	_, err := Read(&buf)
	is.Equal(err, io.EOF)
}

func TestOversizedFrameIsRefused(t *testing.T) {
	is := is.New(t)
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], MaxBytes+1)
	_, err := Read(bytes.NewReader(header[:]))
	is.True(err != nil)
	big := &meshpb.Frame{Body: &meshpb.Frame_Answer{Answer: &meshpb.Answer{Messages: make([]byte, MaxBytes+1)}}}
	is.True(Write(io.Discard, big) != nil)
}

func FuzzDecode(f *testing.F) {
	buf, err := Append(nil, sampleFrame())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(buf[headerBytes:])
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, body []byte) {
		frame, err := Decode(body)
		if err != nil {
			return
		}
		again, err := Append(nil, frame)
		if err != nil {
			t.Fatalf("decoded frame does not encode: %v", err)
		}
		if _, err := Read(bytes.NewReader(again)); err != nil {
			t.Fatalf("encoded frame does not decode: %v", err)
		}
	})
}
