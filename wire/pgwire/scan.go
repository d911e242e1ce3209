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

// HeaderBytes is the size in bytes of a message's type and length.
const HeaderBytes = 5

// MaxMessageBytes is the largest message in bytes that is taken from an endpoint.
const MaxMessageBytes = 16 << 20

// lengthBytes is the size of the length field, which counts itself.
const lengthBytes = 4

// Message is one raw message.
type Message struct {
	Type byte
	Body []byte
}

// ReadHeader reads a message's header and returns its type and body length.
func ReadHeader(r io.Reader) (kind byte, size int, err error) {
	var h [HeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(h[1:])
	if n < lengthBytes || n > MaxMessageBytes {
		return 0, 0, fmt.Errorf("message %q has length %d, outside 4 to %d", h[0], n, MaxMessageBytes)
	}
	return h[0], int(n) - lengthBytes, nil
}

// AppendHeader appends the header of a message with a body of size bytes.
func AppendHeader(buf []byte, kind byte, size int) []byte {
	buf = append(buf, kind)
	return binary.BigEndian.AppendUint32(buf, uint32(size+lengthBytes))
}

// ErrorSQLState returns the SQLSTATE of an ErrorResponse body, or "".
func ErrorSQLState(body []byte) string { return errorField(body, 'C') }

// ErrorMessage returns the message text of an ErrorResponse body, or "".
func ErrorMessage(body []byte) string { return errorField(body, 'M') }

// errorField returns one field of an ErrorResponse body.
func errorField(body []byte, code byte) string {
	for len(body) > 1 {
		field := body[0]
		value, rest, ok := cutCString(body[1:])
		if !ok {
			return ""
		}
		if field == code {
			return value
		}
		body = rest
	}
	return ""
}

// ParameterStatus returns the name and value of a ParameterStatus body.
func ParameterStatus(body []byte) (name, value string, err error) {
	name, rest, ok := cutCString(body)
	if !ok {
		return "", "", fmt.Errorf("parameter status %q has no name", body)
	}
	value, _, ok = cutCString(rest)
	if !ok {
		return "", "", fmt.Errorf("parameter status %q has no value", name)
	}
	return name, value, nil
}

// cutCString splits a zero-terminated string off b.
func cutCString(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
