// Package token encodes session tokens as text that a caller takes from one host to
// another. The text is base64url of a version byte, the log points in protobuf and a
// message authentication code, which prevents callers from forging tokens.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"google.golang.org/protobuf/proto"

	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
)

const (
	// MaxBytes is the longest encoded token that Decode accepts.
	MaxBytes = 4096

	// formatVersion is the first byte of a token before the base64url encoding.
	formatVersion = 1
	// macBytes is the length of the truncated message authentication code.
	macBytes = 16
)

// Key is the key of the message authentication code. All hosts have the same one.
type Key []byte

// Points holds for each database the log point that the session's reads must include.
type Points map[types.Database]types.LogPoint

// Encode returns the text of a token that holds the log points.
func (k Key) Encode(points Points) string {
	msg := &meshpb.SessionToken{Databases: make(map[string]*meshpb.LogPoint, len(points))}
	for db, p := range points {
		msg.Databases[string(db)] = &meshpb.LogPoint{Term: uint64(p.Term), Position: uint64(p.Position)}
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		panic(fmt.Sprintf("token: encode session token: %v", err))
	}
	buf := append([]byte{formatVersion}, body...)
	buf = append(buf, k.mac(buf)...)
	return base64.RawURLEncoding.EncodeToString(buf)
}

// Decode returns the log points of a token. It fails if the text is not a token that was
// encoded with the key.
func (k Key) Decode(text string) (Points, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("session token of %d bytes exceeds the limit of %d bytes", len(text), MaxBytes)
	}
	buf, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("session token %q is not base64url", abbreviate(text))
	}
	if len(buf) < 1+macBytes {
		return nil, fmt.Errorf("session token %q is too short", abbreviate(text))
	}
	if buf[0] != formatVersion {
		return nil, fmt.Errorf("session token %q has version %d, not %d", abbreviate(text), buf[0], formatVersion)
	}
	signed, mac := buf[:len(buf)-macBytes], buf[len(buf)-macBytes:]
	if !hmac.Equal(mac, k.mac(signed)) {
		return nil, fmt.Errorf("session token %q does not match the hosts' key", abbreviate(text))
	}
	msg := &meshpb.SessionToken{}
	if err := proto.Unmarshal(signed[1:], msg); err != nil {
		return nil, fmt.Errorf("session token %q does not decode: %w", abbreviate(text), err)
	}
	points := make(Points, len(msg.GetDatabases()))
	for db, p := range msg.GetDatabases() {
		points[types.Database(db)] = types.LogPoint{
			Term:     types.Term(p.GetTerm()),
			Position: types.Position(p.GetPosition()),
		}
	}
	return points, nil
}

// mac returns the truncated HMAC-SHA256 of buf.
func (k Key) mac(buf []byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write(buf)
	return h.Sum(nil)[:macBytes]
}

// abbreviate shortens a token for an error message.
func abbreviate(text string) string {
	const maxShown = 24
	if len(text) <= maxShown {
		return text
	}
	return text[:maxShown] + "..."
}
