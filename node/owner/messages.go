package owner

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
)

// requestConnection requests a connection from an endpoint task.
type requestConnection struct {
	id       types.RequestID
	rank     types.Rank
	feature  types.Feature
	job      types.Job
	deadline types.Time
	write    bool
	replyTo  chan connectionReply
}

// connectionReply is the reply to requestConnection: a connection, or the outcome of a
// refused request.
type connectionReply struct {
	conn *endpoint.Conn
	// checkBeforeUse is set for a connection that was idle for longer than
	// idleCheckAfter. It may have broken unnoticed.
	checkBeforeUse bool
	// primaryReplaced is closed when another endpoint becomes the primary. A write in
	// flight can then no longer be acknowledged.
	primaryReplaced <-chan struct{}
	outcome         types.Outcome
	levels          []admission.LevelNotice
}

// returnConnection returns a connection and ends its request.
type returnConnection struct {
	id          types.RequestID
	conn        *endpoint.Conn
	broken      bool
	succeeded   bool
	serviceTime time.Duration
}

// cancelRequest withdraws a request that has no connection yet.
type cancelRequest struct{ id types.RequestID }

// dialResult is the result of dialConnection.
type dialResult struct {
	conn *endpoint.Conn
	err  error
}

// primaryUpdate carries the current primary of the endpoint's database.
type primaryUpdate struct{ primary types.Endpoint }

// holdWrites starts or ends a hold of new writes.
type holdWrites struct{ hold bool }

// drainEndpoint makes the task refuse all new and queued requests.
type drainEndpoint struct{ reason types.Reason }

// reconfigure replaces the queue's configuration.
type reconfigure struct{ cfg admission.Config }

// statusRequest queries the state of the endpoint's queue and connections.
type statusRequest struct{ reply chan EndpointStatus }

// EndpointStatus is the state of an owned endpoint's queue and connections.
type EndpointStatus struct {
	Endpoint types.Endpoint
	Database types.Database
	// Slots is the number of statements that may run at a time.
	Slots           int
	SlotsInUse      int
	OpenConnections int
	// Draining is set if the task refuses new requests, because the endpoint or the host
	// is leaving or the host no longer owns the endpoint.
	Draining    bool
	QueueDepths []RankDepth
	// Levels are the notices that frontends currently receive.
	Levels []admission.LevelNotice
}

// RankDepth is the queue depth of a rank in requests.
type RankDepth struct {
	Rank  types.Rank
	Depth int
}
