package statement

import "baobabfield.example/core/types"

// Code is the result code of a reply.
type Code uint8

// The result codes.
const (
	// CodeOK means that the statement ran and the reply is complete.
	CodeOK Code = iota
	// CodeBusy means that no slot was free. The statement did not run.
	CodeBusy
	// CodeUnknownName means that the prepared statement does not exist. Nothing
	// ran.
	CodeUnknownName
	// CodeLagging means that the endpoint's log has not reached the requested
	// position. The statement did not run.
	CodeLagging
	// CodeReadOnly means that the endpoint is not the primary. The statement did
	// not run.
	CodeReadOnly
	// CodeFailed means that the statement ran and failed.
	CodeFailed
	// CodeTimedOut means that the statement ran and was aborted at its timeout.
	CodeTimedOut
	// CodeMalformed means that the endpoint could not parse the statement.
	CodeMalformed
	// CodeWrongEndpoint means that another instance listens at the address.
	CodeWrongEndpoint
	// CodeConnectionLimit means that the endpoint accepts no more connections.
	CodeConnectionLimit
	// CodeNoDatabase, CodeAborted and CodeInDoubt are codes of the proxy's own
	// replies. CodeNoDatabase means that the configuration has no such database.
	CodeNoDatabase
	// CodeAborted means that the transaction is rolled back.
	CodeAborted
	// CodeInDoubt means that the reply to a statement that can commit was lost, so
	// that the commit may or may not have happened.
	CodeInDoubt
	// CodeOther stands for every code that the protocol adapter does not know.
	CodeOther
	// CodeAuthFailed is a code of the proxy's own replies: the caller's key is not known.
	CodeAuthFailed
)

var codeNames = [...]string{
	"ok", "busy", "unknown name", "lagging", "read only", "failed", "timed out", "malformed",
	"wrong endpoint", "connection limit", "no database", "aborted", "in doubt", "other code", "authentication failed",
}

func (c Code) String() string { return codeNames[c] }

// Valid reports whether c is one of the declared codes.
func (c Code) Valid() bool { return c <= CodeAuthFailed }

// NotRun reports whether the code proves that the endpoint has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeUnknownName, CodeLagging, CodeReadOnly, CodeWrongEndpoint, CodeConnectionLimit, CodeMalformed:
		return true
	}
	return false
}

// TransactionState is the state of a session's transaction.
type TransactionState uint8

// The states of a transaction.
const (
	StateIdle TransactionState = iota
	StateInTransaction
	// StateFailed means that a statement of the transaction has failed. Only a
	// statement that ends the transaction is accepted.
	StateFailed
)

// Reply is the complete response to one statement.
type Reply struct {
	Code Code
	// Text is the endpoint's error text.
	Text string
	Rows []string
	// Signature proves which endpoint ran the statement. It is empty if none did.
	Signature string
	State     TransactionState
	// Position is the end of the endpoint's log, or zero if it is unknown.
	Position types.LogPoint
}

// ReplicationStatus is the replication status that an endpoint reports.
type ReplicationStatus struct {
	Primary bool
	Term    types.Term
	// Received is the end of the log that the endpoint has received.
	Received types.LogPoint
	// FencedTerm is the highest term for which the endpoint was paused or stepped
	// down.
	FencedTerm types.Term
	// Connections is the number of connections that the endpoint has from all callers, the one
	// that carries the report included; zero if it is unknown.
	Connections int
}
