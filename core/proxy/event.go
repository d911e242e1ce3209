// Package proxy decides everything that one host of the proxy does: what
// callers are answered, where their statements run, who leads, and how the host
// starts and stops. It is a state machine: Step takes an event with the time
// and returns effects, and nothing else goes in or out.
package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// SessionID identifies a caller's connection.
type SessionID uint64

// Event is an input of the machine.
type Event interface{ isEvent() }

// CallerStarted brings a caller's choice of database.
type CallerStarted struct {
	Session  SessionID
	Database types.Database
}

// CallerQuery brings a caller's statement. A statement that cannot be decoded has
// Kind 0.
type CallerQuery struct {
	Session SessionID
	Query   pool.Query
}

// CallerGone tells that a caller's connection has ended.
type CallerGone struct{ Session SessionID }

// PeerMessage brings a message of another host.
type PeerMessage struct {
	From    types.Host
	Message Message
}

// PeerLost tells that the connection to another host has broken or could not be
// opened.
type PeerLost struct{ Host types.Host }

// PeerClosed tells that another host has closed its own connection to this one:
// what it had asked for on it has no reader any more.
type PeerClosed struct{ Host types.Host }

// EndpointConnected tells that a connection to an endpoint is ready.
type EndpointConnected struct{ Conn pool.ConnID }

// EndpointRefused tells that a connection could not be opened. Gone is set where
// nothing listens at the address, or another instance does.
type EndpointRefused struct {
	Conn pool.ConnID
	Gone bool
}

// EndpointReplied brings the answer to the outstanding command of a connection.
type EndpointReplied struct {
	Conn  pool.ConnID
	Reply statement.Reply
}

// EndpointStatus brings the answer to the outstanding order of a control
// connection; Known is false where the endpoint refused it.
type EndpointStatus struct {
	Conn   pool.ConnID
	Known  bool
	Status statement.ReplicationStatus
}

// EndpointBroken tells that a connection to an endpoint has ended.
type EndpointBroken struct{ Conn pool.ConnID }

// StoreChanges brings what the platform's store has told, decoded where the
// object is valid.
type StoreChanges struct{ Changes feed.Changes }

// ClaimAnswered brings the store's answer to a conditional update of a service's
// record. Won is set if it was stored; otherwise Current is the record as it is,
// if Known.
type ClaimAnswered struct {
	Service types.Service
	Won     bool
	Known   bool
	Current catalog.Leadership
}

// PromoteAnswered brings the platform's answer to a promotion.
type PromoteAnswered struct {
	Service types.Service
	// Accepted is set if the platform makes the endpoint the primary; NotRunning
	// if it says that the endpoint does not run.
	Accepted, NotRunning bool
}

// Stop begins the planned stop of the host, which has to end within Grace.
type Stop struct{ Grace time.Duration }

// Tick tells that the time asked for has come.
type Tick struct{}

func (CallerStarted) isEvent()     {}
func (CallerQuery) isEvent()       {}
func (CallerGone) isEvent()        {}
func (PeerMessage) isEvent()       {}
func (PeerLost) isEvent()          {}
func (PeerClosed) isEvent()        {}
func (EndpointConnected) isEvent() {}
func (EndpointRefused) isEvent()   {}
func (EndpointReplied) isEvent()   {}
func (EndpointStatus) isEvent()    {}
func (EndpointBroken) isEvent()    {}
func (StoreChanges) isEvent()      {}
func (ClaimAnswered) isEvent()     {}
func (PromoteAnswered) isEvent()   {}
func (Stop) isEvent()              {}
func (Tick) isEvent()              {}
