// Package proxy makes all decisions of one proxy host: how callers are answered, where their
// statements run, which endpoint is the primary of each service, and how the host starts and
// stops. It is a state machine without input or output: Machine.Step takes an event and the
// current time and returns effects.
//
// The machine runs in "baobabd platform". Its events are statements of callers, messages of
// other hosts, replies of endpoints and records of the platform's store. Its effects are
// replies, messages, commands to endpoints, conditional writes to the store and log lines.
//
// A request is a caller's statement at its frontend. An execution is the same statement at
// the owner of the endpoint that runs it. A peer is another host. The leadership record of a
// service, in the store, names the host that may replace the primary.
package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// SessionID identifies a caller's connection.
type SessionID uint64

// Event is an input of the Machine.
type Event interface{ isEvent() }

// CallerStarted reports a new caller and the database that it has selected.
type CallerStarted struct {
	Session  SessionID
	Database types.Database
	// Key is the caller's API key.
	Key string
}

// CallerQuery carries a caller's statement. A statement that cannot be decoded has Kind 0.
type CallerQuery struct {
	Session SessionID
	Query   pool.Query
}

// CallerBlocked reports that too many replies to a caller are not yet written. Its statements wait
// until CallerUnblocked.
type CallerBlocked struct{ Session SessionID }

// CallerUnblocked reports that a caller's replies have been written.
type CallerUnblocked struct{ Session SessionID }

// CallerDrained reports that no further statement of a caller arrives before a CallerResume.
type CallerDrained struct{ Session SessionID }

// CallerDisconnected reports that a caller's connection has ended.
type CallerDisconnected struct{ Session SessionID }

// PeerMessage carries a message from another host.
type PeerMessage struct {
	From types.Host
	// Link is the link that it arrived on, as in PeerInboundClosed.
	Link    LinkID
	Message Message
}

// LinkID identifies a link that another host has opened to this host; 0 stands for a link that
// this host has opened.
type LinkID uint64

// PeerDisconnected reports that the connection to another host has broken or could not be
// opened.
type PeerDisconnected struct{ Host types.Host }

// PeerInboundClosed reports that another host has closed the connection that it had opened to
// this host, so that it no longer reads the replies to requests sent on it.
type PeerInboundClosed struct {
	Host types.Host
	Link LinkID
}

// EndpointConnected reports that a connection to an endpoint is ready.
type EndpointConnected struct{ Conn pool.ConnID }

// EndpointDialFailed reports that a connection could not be opened. Absent is set if nothing
// listens at the address or another instance listens there, AtLimit if the endpoint accepts no
// more connections. Otherwise the endpoint may be unreachable or overloaded.
type EndpointDialFailed struct {
	Conn    pool.ConnID
	Absent  bool
	AtLimit bool
}

// EndpointReplied carries the reply to the outstanding command of a connection.
type EndpointReplied struct {
	Conn  pool.ConnID
	Reply statement.Reply
}

// EndpointStatus carries the reply to the outstanding command of a control connection.
// Accepted is false if the endpoint refused the command; Status is then not set.
type EndpointStatus struct {
	Conn     pool.ConnID
	Accepted bool
	Status   statement.ReplicationStatus
}

// EndpointDisconnected reports that a connection to an endpoint has ended.
type EndpointDisconnected struct{ Conn pool.ConnID }

// StoreChanges carries objects received from the platform's store.
type StoreChanges struct{ Changes feed.Changes }

// ClaimResult carries the store's reply to a conditional update of a service's leadership
// record. Stored is set if the update was applied; otherwise Current is the record in the
// store if CurrentKnown is set.
type ClaimResult struct {
	Service types.Service
	// WriteID is that of the update.
	WriteID      uint64
	Stored       bool
	CurrentKnown bool
	Current      catalog.Leadership
}

// PromoteResult carries the platform's reply to a promotion request.
type PromoteResult struct {
	Service types.Service
	// Endpoint, FencingToken and Request are those of the Promote.
	Endpoint     types.Endpoint
	FencingToken uint64
	Request      uint64
	Outcome      lead.PromotionOutcome
}

// Stop begins a planned stop of the host, which must end within Grace.
type Stop struct{ Grace time.Duration }

// Tick reports that the time returned by Machine.NextWake has come.
type Tick struct{}

func (CallerStarted) isEvent()        {}
func (CallerQuery) isEvent()          {}
func (CallerBlocked) isEvent()        {}
func (CallerUnblocked) isEvent()      {}
func (CallerDrained) isEvent()        {}
func (CallerDisconnected) isEvent()   {}
func (PeerMessage) isEvent()          {}
func (PeerDisconnected) isEvent()     {}
func (PeerInboundClosed) isEvent()    {}
func (EndpointConnected) isEvent()    {}
func (EndpointDialFailed) isEvent()   {}
func (EndpointReplied) isEvent()      {}
func (EndpointStatus) isEvent()       {}
func (EndpointDisconnected) isEvent() {}
func (StoreChanges) isEvent()         {}
func (ClaimResult) isEvent()          {}
func (PromoteResult) isEvent()        {}
func (Stop) isEvent()                 {}
func (Tick) isEvent()                 {}
