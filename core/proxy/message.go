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

// ExecRequest asks an endpoint's owner to run a statement.
type ExecRequest struct {
	ID       RequestID
	Service  types.Service
	Endpoint types.Endpoint
	// Primary asks for the endpoint in its role as the primary.
	Primary bool
	Tx      TxID
	Begin   *pool.Query
	Query   pool.Query
	Values  statement.Values
	Rank    int
	// DueIn and DeadlineIn are the times left to the objective and to the limit.
	DueIn, DeadlineIn time.Duration
	// MaxAge is the accepted age of the data, where Primary is not set.
	MaxAge time.Duration
	// After is the session's own last commit; zero for none.
	After types.LogPoint
}

// ExecResult ends an Exec.
type ExecResult struct {
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

// PositionRequest asks the owner of a service's primary for its newest position.
type PositionRequest struct {
	// Seq tells the asker's questions apart.
	Seq      uint64
	Service  types.Service
	Endpoint types.Endpoint
}

// PositionResponse answers AskPosition: Point was the primary's newest position at a
// moment at most Age before the answer.
type PositionResponse struct {
	// Seq is that of the question.
	Seq      uint64
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
	// IsReply is set on an answer to another digest, which gets none itself.
	IsReply bool
	// JustRead is a kind that the sender has just read from the store; empty for none.
	JustRead feed.Kind
	// ReadFailed is a kind that the sender could not read just now; empty for none.
	ReadFailed feed.Kind
}

// ChangesRequest asks for the objects that have changed since the revisions.
type ChangesRequest struct{ Since []Revision }

// ChangesResponse answers AskChanges.
type ChangesResponse struct{ Kinds []feed.Changes }

// ReachabilityRequest asks whether the receiver can use an endpoint as the primary.
type ReachabilityRequest struct {
	Service  types.Service
	Endpoint types.Endpoint
}

// ReachabilityResponse answers AskReach.
type ReachabilityResponse struct {
	Service  types.Service
	Endpoint types.Endpoint
	// Primary is set where the endpoint answered as a primary.
	Primary bool
}

func (Hello) isMessage()                {}
func (ExecRequest) isMessage()          {}
func (ExecResult) isMessage()           {}
func (EndTx) isMessage()                {}
func (PositionRequest) isMessage()      {}
func (PositionResponse) isMessage()     {}
func (Ping) isMessage()                 {}
func (Pong) isMessage()                 {}
func (Leaving) isMessage()              {}
func (Digest) isMessage()               {}
func (ChangesRequest) isMessage()       {}
func (ChangesResponse) isMessage()      {}
func (ReachabilityRequest) isMessage()  {}
func (ReachabilityResponse) isMessage() {}
