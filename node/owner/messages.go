package owner

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
)

// requestConnection asks for a connection to the endpoint.
type requestConnection struct {
	id       types.RequestID
	rank     types.Rank
	feature  types.Feature
	job      types.Job
	deadline types.Time
	write    bool
	replyTo  chan connectionReply
}

// connectionReply hands a connection over, or refuses the request.
type connectionReply struct {
	conn *endpoint.Conn
	// checkBeforeUse asks for a checkBeforeUse of the connection, which has been idle, before use.
	checkBeforeUse bool
	// primaryReplaced closes when another endpoint has become the primary, so that a
	// write in flight can no longer be acknowledged.
	primaryReplaced <-chan struct{}
	outcome         types.Outcome
	levels          []admission.LevelNotice
}

// returnConnection gives a connection back.
type returnConnection struct {
	id          types.RequestID
	conn        *endpoint.Conn
	broken      bool
	succeeded   bool
	serviceTime time.Duration
}

// cancelRequest withdraws a request that has no grant yet.
type cancelRequest struct{ id types.RequestID }

// dialResult is the result of opening a connection.
type dialResult struct {
	conn *endpoint.Conn
	err  error
}

// primaryUpdate tells the current primary of the endpoint's database.
type primaryUpdate struct{ primary types.Endpoint }

// holdWrites starts or ends the holding back of new writes.
type holdWrites struct{ hold bool }

// drainEndpoint refuses all new work from now on.
type drainEndpoint struct{ reason types.Reason }

// reconfigure replaces the queue's configuration.
type reconfigure struct{ cfg admission.Config }

// statusRequest asks for the endpoint's use.
type statusRequest struct{ reply chan EndpointStatus }

// EndpointStatus describes the use of an owned endpoint.
type EndpointStatus struct {
	Endpoint        types.Endpoint
	Database        types.Database
	Slots           int
	SlotsInUse      int
	OpenConnections int
	Draining        bool
	QueueDepths     []RankDepth
	Levels          []admission.LevelNotice
}

// RankDepth is the number of requests that wait in a rank.
type RankDepth struct {
	Rank  types.Rank
	Depth int
}
