package database

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"modernc.org/sqlite"
	sqlitelib "modernc.org/sqlite/lib"

	"baobabfield.example/core/types"
)

// SQLSTATE codes in the instance's error responses.
const (
	sqlStateWrongTerm                = "BB001"
	sqlStateReadOnly                 = "25006"
	sqlStateInFailedTransaction      = "25P02"
	sqlStateActiveTransaction        = "25001"
	sqlStateTooManyConnections       = "53300"
	sqlStateSyntaxError              = "42601"
	sqlStateUndefinedTable           = "42P01"
	sqlStateUndefinedColumn          = "42703"
	sqlStateDuplicateTable           = "42P07"
	sqlStateUniqueViolation          = "23505"
	sqlStateNotNullViolation         = "23502"
	sqlStateForeignKeyViolation      = "23503"
	sqlStateCheckViolation           = "23514"
	sqlStateQueryCanceled            = "57014"
	sqlStateIdleInTransactionTimeout = "25P03"
	sqlStateUndefinedDatabase        = "3D000"
	sqlStateProtocolViolation        = "08P01"
	sqlStateUndefinedStatement       = "26000"
	sqlStateUndefinedPortal          = "34000"
	sqlStateInvalidParameterValue    = "22023"
	sqlStateSystemError              = "58000"
	sqlStateInternalError            = "XX000"
)

// Error is an error response with its SQLSTATE.
type Error struct {
	SQLState   string
	Message    string
	Constraint string
}

func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.SQLState + ")" }

var (
	// errConnectionRefused means that a new connection must be closed without a response.
	errConnectionRefused = errors.New("an injected fault refuses the connection")
	// errConnectionHeld means that a new connection must stay open without a response.
	errConnectionHeld = errors.New("an injected fault holds the connection")
)

var errReadOnly = &Error{SQLState: sqlStateReadOnly, Message: "cannot execute a writing statement on a replica"}

func errWrongTerm(expected, actual types.Term) *Error {
	return &Error{
		SQLState: sqlStateWrongTerm,
		Message:  "expected term " + formatTerm(expected) + " but the endpoint's term is " + formatTerm(actual),
	}
}

// toError converts any error to an Error with an SQLSTATE.
func toError(err error) *Error {
	var databaseErr *Error
	if errors.As(err, &databaseErr) {
		return databaseErr
	}
	var sqliteErr *sqlite.Error
	if errors.As(err, &sqliteErr) {
		return fromSQLite(sqliteErr)
	}
	return &Error{SQLState: sqlStateInternalError, Message: err.Error()}
}

func fromSQLite(err *sqlite.Error) *Error {
	message := err.Error()
	switch err.Code() {
	case sqlitelib.SQLITE_CONSTRAINT_PRIMARYKEY:
		return &Error{SQLState: sqlStateUniqueViolation, Message: message, Constraint: constraintName(message, "_pkey", false)}
	case sqlitelib.SQLITE_CONSTRAINT_UNIQUE:
		return &Error{SQLState: sqlStateUniqueViolation, Message: message, Constraint: constraintName(message, "_key", true)}
	case sqlitelib.SQLITE_CONSTRAINT_NOTNULL:
		return &Error{SQLState: sqlStateNotNullViolation, Message: message}
	case sqlitelib.SQLITE_CONSTRAINT_FOREIGNKEY:
		return &Error{SQLState: sqlStateForeignKeyViolation, Message: message}
	case sqlitelib.SQLITE_CONSTRAINT_CHECK:
		return &Error{SQLState: sqlStateCheckViolation, Message: message}
	case sqlitelib.SQLITE_INTERRUPT:
		return &Error{SQLState: sqlStateQueryCanceled, Message: "canceling statement due to user request"}
	}
	return &Error{SQLState: sqlStateOfMessage(message), Message: message}
}

// constraintName returns the default name of a constraint in PostgreSQL, derived from
// an SQLite message such as "UNIQUE constraint failed: t.a, t.b (2067)".
func constraintName(message, suffix string, columns bool) string {
	list := message[strings.LastIndex(message, ": ")+1:]
	list, _, _ = strings.Cut(strings.TrimSpace(list), " (")
	var name string
	for _, item := range strings.Split(list, ", ") {
		table, column, _ := strings.Cut(item, ".")
		if name == "" {
			name = table
		}
		if columns {
			name += "_" + column
		}
	}
	return name + suffix
}

func sqlStateOfMessage(message string) string {
	for _, known := range []struct{ part, state string }{
		{"no such table", sqlStateUndefinedTable},
		{"no such column", sqlStateUndefinedColumn},
		{"already exists", sqlStateDuplicateTable},
		{"syntax error", sqlStateSyntaxError},
		{"incomplete input", sqlStateSyntaxError},
		{"attempt to write a readonly database", sqlStateReadOnly},
		{"interrupted", sqlStateQueryCanceled},
	} {
		if strings.Contains(message, known.part) {
			return known.state
		}
	}
	return sqlStateInternalError
}

func (e *Error) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.SQLState,
		Message: e.Message, ConstraintName: e.Constraint,
	}
}
