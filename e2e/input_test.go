package e2e

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// errorReply sends raw bytes to a host and returns its error message, or nil if the host
// closes the connection without one.
func (f *fixture) errorReply(raw []byte) *pgproto3.ErrorResponse {
	f.t.Helper()
	is := is.New(f.t)
	conn, err := net.Dial("tcp", f.Host(f.hostIDs()[0]).CallerAddress())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(raw)
	is.NoErr(err)
	client := pgproto3.NewFrontend(conn, conn)
	for {
		msg, err := client.Receive()
		if err != nil {
			is.Equal(err, io.ErrUnexpectedEOF)
			return nil
		}
		if reply, ok := msg.(*pgproto3.ErrorResponse); ok {
			return reply
		}
	}
}

// startupBytes encodes a startup message with the parameters.
func startupBytes(parameters map[string]string) []byte {
	msg := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
	buf, err := msg.Encode(nil)
	if err != nil {
		panic(err)
	}
	return buf
}

// TestInvalidStartupIsRefusedNamingTheValue checks that each refusal has its SQLSTATE and
// a message that contains the offending value or the failed check.
func TestInvalidStartupIsRefusedNamingTheValue(t *testing.T) {
	f := startSandbox(t)
	db := string(f.group.Database)
	tests := []struct {
		name, sqlState, wantText string
		parameters               map[string]string
	}{
		{"unknown database", "3D000", `"nowhere"`, map[string]string{"user": "app", "database": "nowhere"}},
		{"unknown rank", "22023", `"royal"`, map[string]string{"user": "app", "database": db, "baobab.rank": "royal"}},
		{"garbled token", "22023", `"not!a!token"`, map[string]string{"user": "app", "database": db, "baobab.session": "not!a!token"}},
		{"forged token", "22023", "does not match", map[string]string{"user": "app", "database": db, "baobab.session": "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAA"}},
		{"bad age", "22023", `"soon"`, map[string]string{"user": "app", "database": db, "baobab.max_age": "soon"}},
		{"unknown attribute", "22023", `"baobab.colour"`, map[string]string{"user": "app", "database": db, "baobab.colour": "red"}},
	}
	for _, tt := range tests {
		is := is.New(t)
		reply := f.errorReply(startupBytes(tt.parameters))
		is.True(reply != nil) // the host replies with an error before it closes the connection
		is.Equal(reply.Code, tt.sqlState)
		is.True(strings.Contains(reply.Message, tt.wantText))
	}
}

// TestMalformedAndOversizedMessagesLeaveOtherSessionsIntact guards the host against
// callers that send an unknown protocol version or announce a message of 100 MiB.
func TestMalformedAndOversizedMessagesLeaveOtherSessionsIntact(t *testing.T) {
	is := is.New(t)
	f := startSandbox(t)
	other := f.connect(f.hostIDs()[0])
	f.mustExec(other, "INSERT INTO rounds VALUES (1, 'before')")

	is.True(f.errorReply([]byte{0, 0, 0, 9, 1, 2, 3, 4, 5}) != nil) // unknown protocol version
	oversized := startupBytes(map[string]string{"user": "app", "database": string(f.group.Database)})
	oversized = append(oversized, 'Q')
	oversized = binary.BigEndian.AppendUint32(oversized, 100<<20)
	reply := f.errorReply(oversized)
	is.True(reply != nil)
	is.Equal(reply.Code, "54000")

	f.mustExec(other, "INSERT INTO rounds VALUES (2, 'after')")
	is.Equal(len(f.rowCounts(f.primary())), 2)
}

// TestSettingsThatPersistOnSharedConnectionsAreRefused guards against a SET that another
// session would inherit through a pooled connection. Valid settings of the proxy itself
// are accepted.
func TestSettingsThatPersistOnSharedConnectionsAreRefused(t *testing.T) {
	is := is.New(t)
	f := startSandbox(t)
	conn := f.connect(f.hostIDs()[0])
	_, err := conn.Exec(f.ctx, "SET search_path = 'elsewhere'")
	is.Equal(sqlState(err), "0A000")
	_, err = conn.Exec(f.ctx, "SET baobab.rank = 'royal'")
	is.Equal(sqlState(err), "22023")
	f.mustExec(conn, "SET baobab.rank = 'urgent'")
	var rank string
	is.NoErr(conn.QueryRow(f.ctx, "SHOW baobab.rank").Scan(&rank))
	is.Equal(rank, "urgent")
}
