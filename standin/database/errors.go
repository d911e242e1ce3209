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
	stateWrongTerm        = "BB001"
	stateReadOnly         = "25006"
	stateAborted          = "25P02"
	stateActiveTx         = "25001"
	stateTooMany          = "53300"
	stateSyntax           = "42601"
	stateUndefinedTable   = "42P01"
	stateUndefinedColumn  = "42703"
	stateDuplicateTable   = "42P07"
	stateUnique           = "23505"
	stateNotNull          = "23502"
	stateForeignKey       = "23503"
	stateCheck            = "23514"
	stateCanceled         = "57014"
	stateIdleTx           = "25P03"
	stateNoDatabase       = "3D000"
	stateProtocol         = "08P01"
	stateUndefinedPrepare = "26000"
	stateUndefinedPortal  = "34000"
	stateInvalidParameter = "22023"
	stateSystem           = "58000"
	stateInternal         = "XX000"
)

// Error is an error response with its SQLSTATE.
type Error struct {
	State      string
	Message    string
	Constraint string
}

func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.State + ")" }

var (
	// errRefused means that a new connection must be closed without a response.
	errRefused = errors.New("an injected fault refuses the connection")
	// errNoAnswer means that a new connection must stay open without a response.
	errNoAnswer = errors.New("an injected fault holds the connection")
)

var errReadOnly = &Error{State: stateReadOnly, Message: "cannot execute a writing statement on a replica"}

func errWrongTerm(expected, actual types.Term) *Error {
	return &Error{
		State:   stateWrongTerm,
		Message: "expected term " + formatTerm(expected) + " but the endpoint's term is " + formatTerm(actual),
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
	return &Error{State: stateInternal, Message: err.Error()}
}

func fromSQLite(err *sqlite.Error) *Error {
	message := err.Error()
	switch err.Code() {
	case sqlitelib.SQLITE_CONSTRAINT_PRIMARYKEY:
		return &Error{State: stateUnique, Message: message, Constraint: constraintName(message, "_pkey", false)}
	case sqlitelib.SQLITE_CONSTRAINT_UNIQUE:
		return &Error{State: stateUnique, Message: message, Constraint: constraintName(message, "_key", true)}
	case sqlitelib.SQLITE_CONSTRAINT_NOTNULL:
		return &Error{State: stateNotNull, Message: message}
	case sqlitelib.SQLITE_CONSTRAINT_FOREIGNKEY:
		return &Error{State: stateForeignKey, Message: message}
	case sqlitelib.SQLITE_CONSTRAINT_CHECK:
		return &Error{State: stateCheck, Message: message}
	case sqlitelib.SQLITE_INTERRUPT:
		return &Error{State: stateCanceled, Message: "canceling statement due to user request"}
	}
	return &Error{State: sqlStateOfMessage(message), Message: message}
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
		{"no such table", stateUndefinedTable},
		{"no such column", stateUndefinedColumn},
		{"already exists", stateDuplicateTable},
		{"syntax error", stateSyntax},
		{"incomplete input", stateSyntax},
		{"attempt to write a readonly database", stateReadOnly},
		{"interrupted", stateCanceled},
	} {
		if strings.Contains(message, known.part) {
			return known.state
		}
	}
	return stateInternal
}

func (e *Error) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.State,
		Message: e.Message, ConstraintName: e.Constraint,
	}
}
