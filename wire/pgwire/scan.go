// Package pgwire encodes requests, answers and errors as PostgreSQL protocol
// version 3 messages, and splits streams of such messages.
package pgwire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Types of back-end messages that baobabfield looks at.
const (
	TypeReadyForQuery   = 'Z'
	TypeParameterStatus = 'S'
	TypeErrorResponse   = 'E'
	TypeParseComplete   = '1'
	TypeCloseComplete   = '3'
	TypeCopyIn          = 'G'
	TypeCopyOut         = 'H'
	TypeCopyBoth        = 'W'
)

// Transaction statuses in ReadyForQuery.
const (
	StatusIdle   = 'I'
	StatusInTx   = 'T'
	StatusFailed = 'E'
)

// HeaderSize is the size in bytes of a message's type and length.
const HeaderSize = 5

// MaxMessage is the largest message in bytes that is taken from an endpoint.
const MaxMessage = 16 << 20

// lengthSize is the size of the length field, which counts itself.
const lengthSize = 4

// Message is one raw message.
type Message struct {
	Type byte
	Body []byte
}

// ReadHeader reads a message's header and returns its type and body length.
func ReadHeader(r io.Reader) (kind byte, size int, err error) {
	var h [HeaderSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(h[1:])
	if n < lengthSize || n > MaxMessage {
		return 0, 0, fmt.Errorf("message %q has length %d, outside 4 to %d", h[0], n, MaxMessage)
	}
	return h[0], int(n) - lengthSize, nil
}

// AppendHeader appends the header of a message with a body of size bytes.
func AppendHeader(buf []byte, kind byte, size int) []byte {
	buf = append(buf, kind)
	return binary.BigEndian.AppendUint32(buf, uint32(size+lengthSize))
}

// SQLState returns the SQLSTATE of an ErrorResponse body, or "".
func SQLState(body []byte) string { return errorField(body, 'C') }

// ErrorMessage returns the message text of an ErrorResponse body, or "".
func ErrorMessage(body []byte) string { return errorField(body, 'M') }

// errorField returns one field of an ErrorResponse body.
func errorField(body []byte, want byte) string {
	for len(body) > 1 {
		field := body[0]
		value, rest, ok := cutString(body[1:])
		if !ok {
			return ""
		}
		if field == want {
			return value
		}
		body = rest
	}
	return ""
}

// ParameterStatus returns the name and value of a ParameterStatus body.
func ParameterStatus(body []byte) (name, value string, err error) {
	name, rest, ok := cutString(body)
	if !ok {
		return "", "", fmt.Errorf("parameter status %q has no name", body)
	}
	value, _, ok = cutString(rest)
	if !ok {
		return "", "", fmt.Errorf("parameter status %q has no value", name)
	}
	return name, value, nil
}

// cutString splits a zero-terminated string off b.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
