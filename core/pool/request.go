// Package pool decides, at the owner of an endpoint, which statement runs next and on
// which connection.
//
// A Pool is a state machine. Its inputs are method calls that carry the time. Its
// outputs are effects, which TakeEffects returns. A connection runs one statement at a
// time, and an open transaction has exclusive use of its connection.
//
// A slot is the right to run one statement at the endpoint. A connection is trusted if
// it certainly leads to the instance that the owner has identified. Package admission is
// the queue of "baobabd serve", which leaves the connections to its caller.
package pool

import (
	"time"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// RequestID identifies a request at one owner.
type RequestID uint64

// TxID identifies a caller's transaction at one owner. Zero stands for a single
// statement.
type TxID uint64

// ConnID identifies a connection from this process to an endpoint.
type ConnID uint64

// internalQueryID is the query ID of statements that the proxy itself issues.
const internalQueryID = "-"

// Query is a statement with the ID that the caller assigned.
type Query struct {
	ID   string
	Stmt statement.Statement
}

// Request is one statement to run at the endpoint.
type Request struct {
	ID RequestID
	// Tx is the transaction of the statement; zero for none.
	Tx TxID
	// Workspace is that of the caller; empty for none. The request runs only on a connection that
	// was opened for it.
	Workspace types.Workspace
	// Begin opens the transaction. It is set on the first statement of the transaction.
	Begin *Query
	Query Query
	// MinPosition is the log position that a read or a transaction requires; zero for
	// none.
	MinPosition types.LogPoint
	// Variables are the session's variables, which are set while the statement runs.
	Variables statement.SessionVariables
	// Rank is the urgency. Zero is the most urgent. Ranks above 7 count as 7.
	Rank int
	// Retry is set if the proxy has sent the request to an owner before.
	Retry bool
	// Due is the time by which the reply meets the latency objective. A later reply has less
	// worth.
	Due types.Time
	// WayTime is the usual time from the frontend to the endpoint's owner and back; zero if
	// unknown.
	WayTime time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline types.Time
	// RequireTrusted restricts the request to connections for which Pool.IsTrusted
	// holds.
	RequireTrusted bool
}

// continuesTx reports whether the request belongs to a transaction that is already open
// at the endpoint. Such a request runs only on the connection of the transaction.
func (r *Request) continuesTx() bool { return r.Tx != 0 && r.Begin == nil }

// Result is the outcome of a request.
type Result struct {
	ID RequestID
	// MayHaveRun is false if the endpoint has certainly not run the statement. Without a
	// reply, true corresponds to types.OutcomeUnknown and false to types.OutcomeNotRun.
	MayHaveRun bool
	// Reason explains a missing reply. It is ReasonNone if there is a reply.
	Reason types.Reason
	// Reply is the endpoint's complete reply.
	Reply statement.Reply
	// TxOpen is set while the transaction holds its connection.
	TxOpen bool
	// QueueTime is the time in the queue, and ServiceTime the time at the endpoint.
	QueueTime, ServiceTime time.Duration
}

// Command is one statement or reset to send on a connection.
type Command struct {
	ID string
	// Stmt is the statement. A KindPrepare or KindExecute has the name that the pool gave to
	// its template on this connection.
	Stmt statement.Statement
	// MinPosition is the log position that the endpoint must have reached; zero for
	// none.
	MinPosition types.LogPoint
	// Reset clears the connection's variables and prepared statements; Stmt is then
	// unused.
	Reset bool
}

// Effect is an output of the pool: Dial, Send, Close or Result.
type Effect interface{ isEffect() }

// Dial requests a new connection for the statements of a workspace.
type Dial struct {
	Conn      ConnID
	Workspace types.Workspace
}

// Send requests that a command be written to a connection.
type Send struct {
	Conn    ConnID
	Command Command
}

// Close requests that a connection be closed. The endpoint rolls back its open
// transaction.
type Close struct {
	Conn  ConnID
	Cause CloseCause
}

// CloseCause is why a connection is closed.
type CloseCause uint8

const (
	// CauseNone is that of a connection that has failed or belongs to an ended transaction or pool.
	CauseNone CloseCause = iota
	// CauseEvicted means that an idle connection makes room for one of another workspace, or
	// exceeds the limit.
	CauseEvicted
	// CauseUnused means that the connection has been idle for long.
	CauseUnused
)

func (Dial) isEffect()   {}
func (Send) isEffect()   {}
func (Close) isEffect()  {}
func (Result) isEffect() {}
