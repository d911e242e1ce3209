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

// refusal sends raw bytes to a host and returns the error that comes back.
func (f *fixture) refusal(raw []byte) *pgproto3.ErrorResponse {
	f.t.Helper()
	is := is.New(f.t)
	conn, err := net.Dial("tcp", f.Host(f.hosts()[0]).CallerAddress())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(raw)
	is.NoErr(err)
	front := pgproto3.NewFrontend(conn, conn)
	for {
		msg, err := front.Receive()
		if err != nil {
			is.Equal(err, io.ErrUnexpectedEOF)
			return nil
		}
		if refused, ok := msg.(*pgproto3.ErrorResponse); ok {
			return refused
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

func TestBadStartupsAreRefusedAndNameTheValue(t *testing.T) {
	f := start(t)
	db := string(f.group.Database)
	tests := []struct {
		name, state, names string
		parameters         map[string]string
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
		refused := f.refusal(startupBytes(tt.parameters))
		is.True(refused != nil) // refused with an error
		is.Equal(refused.Code, tt.state)
		is.True(strings.Contains(refused.Message, tt.names))
	}
}

func TestMalformedAndOversizedMessagesHarmNobodyElse(t *testing.T) {
	is := is.New(t)
	f := start(t)
	other := f.connect(f.hosts()[0])
	f.exec(other, "INSERT INTO rounds VALUES (1, 'before')")

	is.True(f.refusal([]byte{0, 0, 0, 9, 1, 2, 3, 4, 5}) != nil) // unknown protocol version
	big := startupBytes(map[string]string{"user": "app", "database": string(f.group.Database)})
	big = append(big, 'Q')
	big = binary.BigEndian.AppendUint32(big, 100<<20)
	refused := f.refusal(big)
	is.True(refused != nil)
	is.Equal(refused.Code, "54000")

	f.exec(other, "INSERT INTO rounds VALUES (2, 'after')")
	is.Equal(len(f.ids(f.primary())), 2)
}

func TestSettingsThatWouldStayOnSharedConnectionsAreRefused(t *testing.T) {
	is := is.New(t)
	f := start(t)
	conn := f.connect(f.hosts()[0])
	_, err := conn.Exec(f.ctx, "SET search_path = 'elsewhere'")
	is.Equal(state(err), "0A000")
	_, err = conn.Exec(f.ctx, "SET baobab.rank = 'royal'")
	is.Equal(state(err), "22023")
	f.exec(conn, "SET baobab.rank = 'urgent'")
	var rank string
	is.NoErr(conn.QueryRow(f.ctx, "SHOW baobab.rank").Scan(&rank))
	is.Equal(rank, "urgent")
}
