package proxy

import (
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// RequestID identifies a request at the host that a caller is connected to.
type RequestID uint64

// TxID identifies a transaction at the host that its caller is connected to.
type TxID uint64

// Message is what hosts send each other: Hello, Exec, Done, EndTx, AskPosition,
// Position, Ping, Pong, Leaving, Digest, AskChanges, Changes, AskReach or Reach.
type Message interface{ isMessage() }

// Hello introduces the sender; it goes first on every link, since its record may
// not have reached the store or the receiver yet.
type Hello struct {
	DataCentre types.DataCentre
	// MeshAddress is where the sender takes messages.
	MeshAddress string
	// Started tells apart the incarnations of the sender.
	Started int64
	// Power is the sender's processor in thousandths of a core; 0 where unknown.
	Power int
}

// Exec asks an endpoint's owner to run a statement.
type Exec struct {
	ID       RequestID
	Service  types.Service
	Endpoint types.Endpoint
	// Primary asks for the endpoint in its role as the primary.
	Primary bool
	Tx      TxID
	Begin   *pool.Query
	Query   pool.Query
	Values  statement.SessionVariables
	Rank    int
	// DueIn and DeadlineIn are the times left to the objective and to the limit.
	DueIn, DeadlineIn time.Duration
	// MaxAge is the accepted age of the data, where Primary is not set.
	MaxAge time.Duration
	// After is the session's own last commit; zero for none.
	After types.LogPoint
}

// Done ends an Exec.
type Done struct {
	ID RequestID
	// Ran is false where the statement has certainly not run.
	Ran bool
	// Reason says why there is no reply; ReasonNone where there is one.
	Reason types.Reason
	Reply  statement.Reply
	// TxOpen is set while the owner holds the transaction's connection.
	TxOpen bool
	// Load is the number of requests that wait or run at the endpoint.
	Load int
	// Waited and Served are the times in the queue and at the endpoint.
	Waited, Served time.Duration
}

// EndTx tells an owner that a transaction's caller has gone.
type EndTx struct{ Tx TxID }

// AskPosition asks the owner of a service's primary for its newest position.
type AskPosition struct {
	// Number tells the asker's questions apart.
	Number   uint64
	Service  types.Service
	Endpoint types.Endpoint
}

// Position answers AskPosition: Point was the primary's newest position at a
// moment at most Age before the answer.
type Position struct {
	// Number is that of the question.
	Number   uint64
	Service  types.Service
	Endpoint types.Endpoint
	Known    bool
	Point    types.LogPoint
	Age      time.Duration
}

// Ping asks for a sign of life.
type Ping struct{}

// Pong answers Ping.
type Pong struct{}

// Leaving tells that the sender takes no new work.
type Leaving struct{}

// Revision is the newest known revision of a kind of object.
type Revision struct {
	Kind     feed.Kind
	Revision uint64
}

// Digest tells which versions of the platform's objects the sender knows.
type Digest struct {
	Revisions []Revision
	// Answer is set on an answer to another digest, which gets none itself.
	Answer bool
	// Fresh is a kind that the sender has just read from the store; empty for none.
	Fresh feed.Kind
	// Tried is a kind that the sender could not read just now; empty for none.
	Tried feed.Kind
}

// AskChanges asks for the objects that have changed since the revisions.
type AskChanges struct{ Since []Revision }

// Changes answers AskChanges.
type Changes struct{ Kinds []feed.Changes }

// AskReach asks whether the receiver can use an endpoint as the primary.
type AskReach struct {
	Service  types.Service
	Endpoint types.Endpoint
}

// Reach answers AskReach.
type Reach struct {
	Service  types.Service
	Endpoint types.Endpoint
	// Primary is set where the endpoint answered as a primary.
	Primary bool
}

func (Hello) isMessage()       {}
func (Exec) isMessage()        {}
func (Done) isMessage()        {}
func (EndTx) isMessage()       {}
func (AskPosition) isMessage() {}
func (Position) isMessage()    {}
func (Ping) isMessage()        {}
func (Pong) isMessage()        {}
func (Leaving) isMessage()     {}
func (Digest) isMessage()      {}
func (AskChanges) isMessage()  {}
func (Changes) isMessage()     {}
func (AskReach) isMessage()    {}
func (Reach) isMessage()       {}
