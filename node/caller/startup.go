package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"baobabfield.example/core/attributes"
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
	"baobabfield.example/node/router"
	"baobabfield.example/wire/pgwire"
	"baobabfield.example/wire/token"
)

// startup takes the startup message and its attributes; it reports whether the
// session goes on.
func (s *sessionTask) startup(ctx context.Context) bool {
	s.setConn(s.conn)
	_ = s.conn.SetDeadline(time.Now().Add(s.task.set.StartupTimeout))
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			if !isClosed(err) {
				s.fatal(pgwire.StateProtocolViolation, "startup message does not decode: "+err.Error())
			}
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if !s.startTLS(ctx) {
				return false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.task.post(cancelMessage{process: m.ProcessID, secret: secretBytes(m.SecretKey)})
			return false
		case *pgproto3.StartupMessage:
			return s.begin(ctx, m)
		default:
			s.fatal(pgwire.StateProtocolViolation, fmt.Sprintf("startup message %T is not supported", msg))
			return false
		}
	}
}

// isClosed reports whether the caller closed its connection without a message.
func isClosed(err error) bool {
	var netErr net.Error
	return errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "EOF") || errors.As(err, &netErr)
}

// setConn reads and writes over conn from now on.
func (s *sessionTask) setConn(conn net.Conn) {
	s.conn = conn
	s.w = bufio.NewWriterSize(conn, writeBufferSize)
	s.backend = pgproto3.NewBackend(conn, conn)
	s.backend.SetMaxBodyLen(pgwire.MaxBatchBytes)
}

// startTLS answers a request for TLS.
func (s *sessionTask) startTLS(ctx context.Context) bool {
	if s.task.set.TLS == nil {
		_, err := s.conn.Write([]byte{'N'})
		return err == nil
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	secure := tls.Server(s.conn, s.task.set.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		return false
	}
	s.setConn(secure)
	return true
}

// begin checks the startup parameters and completes the startup.
func (s *sessionTask) begin(ctx context.Context, m *pgproto3.StartupMessage) bool {
	s.database = types.Database(m.Parameters["database"])
	if s.database == "" {
		s.database = types.Database(m.Parameters["user"])
	}
	if err := s.task.router.Check(ctx, s.database, ""); err != nil {
		s.fatal(checkState(err), err.Error())
		return false
	}
	s.attrs.Rank = s.task.set.DefaultRank
	for name, value := range m.Parameters {
		if !attributes.IsAttribute(name) && !strings.HasPrefix(name, attributes.Prefix) {
			continue
		}
		if err := s.setAttribute(ctx, name, value); err != nil {
			s.fatal(checkState(err), err.Error())
			return false
		}
	}
	_ = s.conn.SetDeadline(time.Time{})
	return s.flush(s.welcome())
}

// welcome returns the messages that complete a startup.
func (s *sessionTask) welcome() []byte {
	buf, err := (&pgproto3.AuthenticationOk{}).Encode(nil)
	if err != nil {
		panic("authentication message does not encode: " + err.Error())
	}
	for _, p := range [][2]string{
		{"server_version", "15.0 (baobabfield)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{attributes.Session, s.tokenText()},
	} {
		buf = pgwire.AppendParameter(buf, p[0], p[1])
	}
	buf, err = (&pgproto3.BackendKeyData{ProcessID: s.key, SecretKey: s.secret}).Encode(buf)
	if err != nil {
		panic("key data message does not encode: " + err.Error())
	}
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// tokenText returns the session's token as text.
func (s *sessionTask) tokenText() string {
	return s.task.set.TokenKey.Encode(token.Points(s.token))
}

// checkState returns the SQLSTATE for a value that a caller gave.
func checkState(err error) string {
	var unknown *router.UnknownDatabaseError
	var starting *router.StartingError
	switch {
	case errors.As(err, &unknown):
		return pgwire.StateNoDatabase
	case errors.As(err, &starting):
		return pgwire.StateUnavailable
	}
	return pgwire.StateInvalidParameterValue
}

// setAttribute checks and sets one attribute.
func (s *sessionTask) setAttribute(ctx context.Context, name, value string) error {
	name = strings.ToLower(name)
	next := s.attrs
	if err := next.Set(name, value); err != nil {
		return err
	}
	switch name {
	case attributes.Rank:
		if err := s.task.router.Check(ctx, s.database, next.Rank); err != nil {
			return err
		}
	case attributes.Session:
		if err := s.setToken(value); err != nil {
			return err
		}
	}
	s.attrs = next
	return nil
}

// setToken takes the token of the session that the caller resumes.
func (s *sessionTask) setToken(text string) error {
	s.lostToken = text == unknownToken
	if s.lostToken || text == "" {
		return nil
	}
	points, err := s.task.set.TokenKey.Decode(text)
	if err != nil {
		return err
	}
	s.token = s.token.Merge(session.Token(points))
	return nil
}
