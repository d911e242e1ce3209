package statement

import "baobabfield.example/core/types"

// Code says how an endpoint answered.
type Code uint8

// The codes of answers.
const (
	// CodeOK: the statement ran and the answer is whole.
	CodeOK Code = iota
	// CodeBusy: no slot was free; the statement did not run.
	CodeBusy
	// CodeUnknownName: the prepared statement does not exist; nothing ran.
	CodeUnknownName
	// CodeLagging: the endpoint's log lacks the position asked for; nothing ran.
	CodeLagging
	// CodeReadOnly: the endpoint is not the primary; nothing ran.
	CodeReadOnly
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimedOut: the statement ran and was stopped.
	CodeTimedOut
	// CodeMalformed: the endpoint could not make sense of the statement.
	CodeMalformed
	// CodeWrongEndpoint: another instance listens at the address.
	CodeWrongEndpoint
	// CodeConnectionLimit: the endpoint accepts no more connections.
	CodeConnectionLimit
	// CodeNoDatabase, Aborted and InDoubt are answers of the proxy itself.
	CodeNoDatabase
	CodeAborted
	CodeInDoubt
	// CodeOther is a code that the adapter does not know.
	CodeOther
)

var codeNames = [...]string{
	"ok", "busy", "unknown name", "lagging", "read only", "failed", "timed out", "malformed",
	"wrong endpoint", "connection limit", "no database", "aborted", "in doubt", "other code",
}

// String returns the code's name.
func (c Code) String() string { return codeNames[c] }

// Valid reports whether c is one of the declared codes.
func (c Code) Valid() bool { return c <= CodeOther }

// NotRun reports whether an endpoint that answers with the code has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeUnknownName, CodeLagging, CodeReadOnly, CodeWrongEndpoint, CodeConnectionLimit, CodeMalformed:
		return true
	}
	return false
}

// TransactionState is that of a session's transaction.
type TransactionState uint8

// The states.
const (
	StateIdle TransactionState = iota
	StateInTransaction
	// StateFailed: only its end is accepted.
	StateFailed
)

// Reply is the whole answer to one statement.
type Reply struct {
	Code Code
	// Text is the endpoint's error text.
	Text string
	Rows []string
	// Signature proves which endpoint ran the statement; empty where none did.
	Signature string
	State     TransactionState
	// Position is the end of the endpoint's log; zero where unknown.
	Position types.LogPoint
}

// ReplicationStatus is an endpoint's report about itself.
type ReplicationStatus struct {
	Primary bool
	Term    types.Term
	// Received is the end of the log that the endpoint holds.
	Received types.LogPoint
	// FencedTerm is the highest term that the endpoint was paused or stepped down for.
	FencedTerm types.Term
}
