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

// handleStartup handles the messages up to the startup message. It reports whether
// the session continues.
func (s *sessionTask) handleStartup(ctx context.Context) bool {
	s.setConn(s.conn)
	_ = s.conn.SetDeadline(time.Now().Add(s.listener.settings.StartupTimeout))
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			if !isConnectionError(err) {
				s.sendFatal(pgwire.SQLStateProtocolViolation, "startup message does not decode: "+err.Error())
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
			s.listener.post(cancelRequest{processID: m.ProcessID, secret: normalizeSecret(m.SecretKey)})
			return false
		case *pgproto3.StartupMessage:
			return s.completeStartup(ctx, m)
		default:
			s.sendFatal(pgwire.SQLStateProtocolViolation, fmt.Sprintf("startup message %T is not supported", msg))
			return false
		}
	}
}

// isConnectionError reports whether err is due to the connection rather than to a
// malformed message.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "EOF") || errors.As(err, &netErr)
}

// setConn sets the connection that the session reads from and writes to.
func (s *sessionTask) setConn(conn net.Conn) {
	s.conn = conn
	s.w = bufio.NewWriterSize(conn, writeBufferBytes)
	s.backend = pgproto3.NewBackend(conn, conn)
	s.backend.SetMaxBodyLen(pgwire.MaxBatchBytes)
}

// startTLS answers a request for TLS. It reports whether the startup continues.
func (s *sessionTask) startTLS(ctx context.Context) bool {
	if s.listener.settings.TLS == nil {
		_, err := s.conn.Write([]byte{'N'})
		return err == nil
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	secure := tls.Server(s.conn, s.listener.settings.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		return false
	}
	s.setConn(secure)
	return true
}

// completeStartup validates the startup parameters and sends the reply to the
// startup message.
func (s *sessionTask) completeStartup(ctx context.Context, m *pgproto3.StartupMessage) bool {
	s.database = types.Database(m.Parameters["database"])
	if s.database == "" {
		s.database = types.Database(m.Parameters["user"])
	}
	if err := s.listener.router.ValidateNames(ctx, s.database, ""); err != nil {
		s.sendFatal(sqlState(err), err.Error())
		return false
	}
	s.attrs.Rank = s.listener.settings.DefaultRank
	for name, value := range m.Parameters {
		if !attributes.IsAttribute(name) && !strings.HasPrefix(name, attributes.Prefix) {
			continue
		}
		if err := s.setAttribute(ctx, name, value); err != nil {
			s.sendFatal(sqlState(err), err.Error())
			return false
		}
	}
	_ = s.conn.SetDeadline(time.Time{})
	return s.writeAndFlush(s.encodeStartupReply())
}

// encodeStartupReply encodes the messages that complete a startup.
func (s *sessionTask) encodeStartupReply() []byte {
	buf, err := (&pgproto3.AuthenticationOk{}).Encode(nil)
	if err != nil {
		panic("caller: encoding AuthenticationOk failed: " + err.Error())
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
	buf, err = (&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secret}).Encode(buf)
	if err != nil {
		panic("caller: encoding BackendKeyData failed: " + err.Error())
	}
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// tokenText returns the encoded session token.
func (s *sessionTask) tokenText() string {
	return s.listener.settings.TokenKey.Encode(token.Points(s.token))
}

// sqlState returns the SQLSTATE of an error in a value that the caller supplied.
func sqlState(err error) string {
	var unknown *router.UnknownDatabaseError
	var starting *router.StartingError
	switch {
	case errors.As(err, &unknown):
		return pgwire.SQLStateNoDatabase
	case errors.As(err, &starting):
		return pgwire.SQLStateUnavailable
	}
	return pgwire.SQLStateInvalidParameterValue
}

// setAttribute validates and sets one attribute of the session.
func (s *sessionTask) setAttribute(ctx context.Context, name, value string) error {
	name = strings.ToLower(name)
	next := s.attrs
	if err := next.Set(name, value); err != nil {
		return err
	}
	switch name {
	case attributes.Rank:
		if err := s.listener.router.ValidateNames(ctx, s.database, next.Rank); err != nil {
			return err
		}
	case attributes.Session:
		if err := s.mergeToken(value); err != nil {
			return err
		}
	}
	s.attrs = next
	return nil
}

// mergeToken merges the session token that the caller supplied into the session's
// token.
func (s *sessionTask) mergeToken(text string) error {
	s.tokenUnknown = text == unknownToken
	if s.tokenUnknown || text == "" {
		return nil
	}
	points, err := s.listener.settings.TokenKey.Decode(text)
	if err != nil {
		return err
	}
	s.token = s.token.Merge(session.Token(points))
	return nil
}
