package proxy

import (
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/limits"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// RequestID identifies an attempt of a request at its frontend, the host that the caller is
// connected to. No two processes of a host use the same one.
type RequestID uint64

// TxID identifies a transaction at its frontend, as RequestID does a request.
type TxID uint64

// Message is a message between hosts: Hello, ExecRequest, ExecResult, EndTx, PositionRequest,
// PositionResponse, Ping, Pong, ReopenLink, OutstandingRequests, RequestsNotReceived, Leaving,
// Digest, ChangesRequest, ChangesResponse, ReachabilityRequest, ReachabilityResponse,
// ReleasePrimary, MissingEndpointsRequest, MissingEndpointsResponse, LimitReport or LimitGrant.
type Message interface{ isMessage() }

// Hello introduces the sender. It is the first message on every link, since the sender's
// record may not yet have reached the store or the receiver.
type Hello struct {
	DataCentre types.DataCentre
	// MeshAddress is the address at which the sender accepts messages.
	MeshAddress string
	// StartedUnixMs is the sender's start time in milliseconds since the Unix epoch. It
	// identifies the incarnation of the sender.
	StartedUnixMs int64
	// CPUMillicores is the CPU capacity of the sender in thousandths of a core; 0 if unknown.
	CPUMillicores int
	// AuthorityRules is that of catalog.Host.
	AuthorityRules int
	// WorkspaceRules is that of catalog.Host.
	WorkspaceRules int
}

// ExecRequest asks the owner of an endpoint to run a statement.
type ExecRequest struct {
	ID       RequestID
	Service  types.Service
	Endpoint types.Endpoint
	// RequirePrimary is set if the endpoint must run the statement as the primary of its
	// service.
	RequirePrimary bool
	Tx             TxID
	Begin          *pool.Query
	Query          pool.Query
	Variables      statement.SessionVariables
	// Rank is the urgency, as in pool.Request.
	Rank int
	// Workspace is that of the caller; empty for none. Public is set if the route needs no key.
	Workspace types.Workspace
	Public    bool
	// DueIn is the remaining time until the latency objective, DeadlineIn that until the
	// timeout.
	DueIn, DeadlineIn time.Duration
	// Retry is set if the frontend has sent the statement to an owner before.
	Retry bool
	// WayTime is the usual time of messages from the frontend to the owner and back; zero if
	// unknown.
	WayTime time.Duration
	// MaxStaleness is the accepted staleness of the data if RequirePrimary is not set.
	MaxStaleness time.Duration
	// After is the position of the session's own last commit; zero if it has none.
	After types.LogPoint
}

// ExecResult is the reply to an ExecRequest.
type ExecResult struct {
	ID RequestID
	// MayHaveRun is false only if the statement has certainly not run, as in pool.Result.
	MayHaveRun bool
	// Reason says why there is no reply; ReasonNone if Reply is set.
	Reason types.Reason
	Reply  statement.Reply
	// TxOpen is set while the owner holds a connection for the transaction.
	TxOpen bool
	// Load is the number of requests waiting or running at the endpoint.
	Load int
	// QueueTime is the time in the queue, ServiceTime the time at the endpoint.
	QueueTime, ServiceTime time.Duration
	// RetryAfter is when the caller should return, with ReasonLimited.
	RetryAfter time.Duration
}

// EndTx requests that the owner end a transaction that its frontend no longer uses.
type EndTx struct{ Tx TxID }

// PositionRequest asks the owner of a service's primary for the primary's newest log position.
type PositionRequest struct {
	// Seq is repeated in the response and identifies the request.
	Seq      uint64
	Service  types.Service
	Endpoint types.Endpoint
}

// PositionResponse is the reply to a PositionRequest. Point was the newest position of the
// primary at some time at most Age before the response was sent.
type PositionResponse struct {
	// Seq is that of the request.
	Seq      uint64
	Service  types.Service
	Endpoint types.Endpoint
	Known    bool
	Point    types.LogPoint
	Age      time.Duration
}

// Ping asks the receiver for a Pong to test whether it is alive.
type Ping struct{}

// Pong is the reply to Ping.
type Pong struct{}

// ReopenLink asks the receiver to open a new link to the sender, which has received nothing on the
// present one for some time. The sender has replaced its own link.
type ReopenLink struct{}

// Leaving announces that the sender accepts no new work.
type Leaving struct{}

// Revision is the newest known revision of a kind of object.
type Revision struct {
	Kind     feed.Kind
	Revision types.Revision
}

// Digest advertises the newest revisions that the sender knows.
type Digest struct {
	Revisions []Revision
	// NoReply is set on the reply to another digest and on notifications; the receiver does
	// not reply to them.
	NoReply bool
	// JustRead is a kind that the sender has just read from the store; empty for none.
	JustRead feed.Kind
	// ReadFailed is a kind that the sender has just failed to read from the store; empty for
	// none.
	ReadFailed feed.Kind
}

// ChangesRequest asks for the objects that have changed since the given revisions.
type ChangesRequest struct{ Since []Revision }

// ChangesResponse is the reply to a ChangesRequest.
type ChangesResponse struct{ Kinds []feed.Changes }

// ReachabilityRequest asks whether the receiver can reach an endpoint as the primary.
type ReachabilityRequest struct {
	// Seq is repeated in the response and identifies the request.
	Seq      uint64
	Service  types.Service
	Endpoint types.Endpoint
}

// ReachabilityResponse is the reply to a ReachabilityRequest.
type ReachabilityResponse struct {
	// Seq is that of the request; 0 if the sender is of a build that does not repeat it.
	Seq      uint64
	Service  types.Service
	Endpoint types.Endpoint
	// IsPrimary is set if the endpoint reported to the sender that it is a primary.
	IsPrimary bool
}

// LimitReport reports a host's demand for workspaces with a limit to their allocator.
type LimitReport limits.Report

// LimitGrant is the reply to a LimitReport.
type LimitGrant limits.Grants

func (Hello) isMessage()                {}
func (ExecRequest) isMessage()          {}
func (ExecResult) isMessage()           {}
func (EndTx) isMessage()                {}
func (PositionRequest) isMessage()      {}
func (PositionResponse) isMessage()     {}
func (Ping) isMessage()                 {}
func (Pong) isMessage()                 {}
func (ReopenLink) isMessage()           {}
func (Leaving) isMessage()              {}
func (Digest) isMessage()               {}
func (ChangesRequest) isMessage()       {}
func (ChangesResponse) isMessage()      {}
func (ReachabilityRequest) isMessage()  {}
func (ReachabilityResponse) isMessage() {}
func (LimitReport) isMessage()          {}
func (LimitGrant) isMessage()           {}
