// Package pool decides, at the owner of an endpoint, which statement runs next
// and on which connection.
//
// A Pool is a state machine: inputs are method calls with the time, outputs are
// collected as effects. One statement occupies a connection at a time; an open
// transaction keeps its connection to itself.
package pool

import (
	"time"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// RequestID identifies a request at one owner.
type RequestID uint64

// TxID identifies a caller's transaction at one owner; 0 for a single statement.
type TxID uint64

// ConnID identifies a connection of the process to an endpoint.
type ConnID uint64

// ownID is the query id of statements that the proxy issues itself.
const ownID = "-"

// Query is a statement with the id that the caller gave it.
type Query struct {
	ID   string
	Stmt statement.Statement
}

// Request is one statement that is to run at the endpoint.
type Request struct {
	ID RequestID
	// Tx is the transaction that the statement belongs to.
	Tx TxID
	// Begin opens the transaction; it is set on the transaction's first statement.
	Begin *Query
	Query Query
	// After is the log position that a read or a transaction needs; zero for none.
	After types.LogPoint
	// Values are the session's values, in force while the statement runs.
	Values statement.SessionVariables
	// Rank is the urgency; 0 goes first.
	Rank int
	// Due ends the objective; later answers are worth less.
	Due types.Time
	// Deadline is when the caller stops waiting.
	Deadline types.Time
	// Trusted asks for a connection that Trust vouches for.
	Trusted bool
}

// continues reports whether the request belongs to a transaction that is open at the
// endpoint; it runs on that transaction's connection alone.
func (r *Request) continues() bool { return r.Tx != 0 && r.Begin == nil }

// Result is the end of a request.
type Result struct {
	ID RequestID
	// Ran is false where the endpoint has certainly not run the statement.
	Ran bool
	// Reason says why there is no reply; ReasonNone where there is one.
	Reason types.Reason
	// Reply is the endpoint's whole answer.
	Reply statement.Reply
	// TxOpen is set while the transaction keeps its connection.
	TxOpen bool
	// Waited is the time in the queue, Served that at the endpoint.
	Waited, Served time.Duration
}

// Command is one query to send on a connection.
type Command struct {
	ID string
	// Stmt is the statement; for an Execute its Name is the shared one.
	Stmt  statement.Statement
	After types.LogPoint
	// Reset clears the connection's values and prepared statements instead.
	Reset bool
}

// Effect is an output of the pool: Dial, Send, Close or Result.
type Effect interface{ isEffect() }

// Dial opens a connection.
type Dial struct{ Conn ConnID }

// Send writes a command.
type Send struct {
	Conn    ConnID
	Command Command
}

// Close closes a connection; the endpoint rolls back what is open on it.
type Close struct{ Conn ConnID }

func (Dial) isEffect()   {}
func (Send) isEffect()   {}
func (Close) isEffect()  {}
func (Result) isEffect() {}
