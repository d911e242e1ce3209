// Package pgwire encodes requests, answers and errors as messages of the PostgreSQL
// protocol, version 3, and splits streams of such messages. Front-end messages are sent by
// callers, back-end messages by endpoints. These are the protocol's terms: the frontend of
// a request, elsewhere in this project, is a host.
package pgwire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Types of the back-end messages that the proxy handles. It passes on all others.
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

// HeaderBytes is the size of the header of a message: its type and length.
const HeaderBytes = 5

// MaxMessageBytes is the largest message that is accepted from an endpoint, without its
// type byte.
const MaxMessageBytes = 16 << 20

// lengthBytes is the size of the length field. A message's length includes this field.
const lengthBytes = 4

// Message is a message whose body is not decoded.
type Message struct {
	Type byte
	Body []byte
}

// ReadHeader reads the header of a message and returns its type and the size of its body.
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

// ErrorSQLState returns the SQLSTATE in the body of an ErrorResponse, or "".
func ErrorSQLState(body []byte) string { return errorField(body, 'C') }

// ErrorMessage returns the message text in the body of an ErrorResponse, or "".
func ErrorMessage(body []byte) string { return errorField(body, 'M') }

// errorField returns the field with the code in the body of an ErrorResponse, or "".
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

// ParameterStatus returns the name and value in the body of a ParameterStatus.
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

// cutCString returns the zero-terminated string at the start of b and the bytes after it.
// ok is false if b has no terminator.
func cutCString(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
