package owner

import (
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
)

// submit asks for a connection to the endpoint.
type submit struct {
	id       types.RequestID
	rank     types.Rank
	feature  types.Feature
	job      types.Job
	deadline types.Time
	write    bool
	reply    chan grant
}

// grant hands a connection over, or refuses the request.
type grant struct {
	conn *endpoint.Conn
	// check asks for a check of the connection, which has been idle, before use.
	check bool
	// replaced closes when another endpoint has become the primary, so that a
	// write in flight can no longer be acknowledged.
	replaced <-chan struct{}
	outcome  types.Outcome
	levels   []admission.LevelNotice
}

// finish gives a connection back.
type finish struct {
	id      types.RequestID
	conn    *endpoint.Conn
	broken  bool
	ok      bool
	service time.Duration
}

// cancelRequest withdraws a request that has no grant yet.
type cancelRequest struct{ id types.RequestID }

// connected is the result of opening a connection.
type connected struct {
	conn *endpoint.Conn
	err  error
}

// primaryKnown tells the current primary of the endpoint's database.
type primaryKnown struct{ primary types.Endpoint }

// hold starts or ends the holding back of new writes.
type hold struct{ on bool }

// drainEndpoint refuses all new work from now on.
type drainEndpoint struct{ reason types.Reason }

// reconfigure replaces the queue's configuration.
type reconfigure struct{ cfg admission.Config }

// statusRequest asks for the endpoint's use.
type statusRequest struct{ reply chan Status }

// Status describes the use of an owned endpoint.
type Status struct {
	Endpoint   types.Endpoint
	Database   types.Database
	Slots      int
	SlotsInUse int
	Open       int
	Draining   bool
	Depth      []RankDepth
	Levels     []admission.LevelNotice
}

// RankDepth is the number of requests that wait in a rank.
type RankDepth struct {
	Rank  types.Rank
	Depth int
}
