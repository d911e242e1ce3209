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

// Effect is an output of the machine.
type Effect interface{ isEffect() }

// CallerReady accepts a caller's session.
type CallerReady struct{ Session SessionID }

// CallerReply answers a caller's outstanding statement.
type CallerReply struct {
	Session SessionID
	Reply   statement.Reply
}

// CallerClose closes a caller's connection, after an error where Code is not OK.
type CallerClose struct {
	Session SessionID
	Code    statement.Code
	Text    string
}

// PeerSend sends a message to another host.
type PeerSend struct {
	Host    types.Host
	Address string
	Message Message
}

// PeerClose closes the connections to a host that gives no sign of life.
type PeerClose struct{ Host types.Host }

// EndpointDial opens a connection to an endpoint.
type EndpointDial struct {
	Conn     pool.ConnID
	Service  types.Service
	Endpoint types.Endpoint
	Address  string
}

// EndpointSend sends a command on a connection.
type EndpointSend struct {
	Conn    pool.ConnID
	Command pool.Command
}

// EndpointControlCommand sends an order on a control connection.
type EndpointControlCommand struct {
	Conn pool.ConnID
	Op   lead.Op
	Term types.Term
}

// EndpointClose closes a connection to an endpoint.
type EndpointClose struct{ Conn pool.ConnID }

// Claim stores a service's record if it still has the revision that Record
// names, 0 for one that does not exist.
type Claim struct{ Record catalog.Leadership }

// Promote asks the platform to make an endpoint the primary of its service.
type Promote struct {
	Service  types.Service
	Endpoint types.Endpoint
	Token    uint64
}

// AnnounceLeaving stores that the host leaves.
type AnnounceLeaving struct{}

// Exit ends the process; nothing is outstanding any more.
type Exit struct{}

// Field is a named part of a log line.
type Field struct {
	Key   string
	Value any
}

// Level says how important a log line is.
type Level uint8

// The levels; under load, lines of lower levels are dropped first.
const (
	Debug Level = iota
	Info
	Warn
)

// Log writes a line about a decision.
type Log struct {
	Level  Level
	Event  string
	Fields []Field
}

// Metric adds to a counter, or a sample to a histogram where Sample is set.
type Metric struct {
	Name   string
	Sample time.Duration
}

func (CallerReady) isEffect()            {}
func (CallerReply) isEffect()            {}
func (CallerClose) isEffect()            {}
func (PeerSend) isEffect()               {}
func (PeerClose) isEffect()              {}
func (EndpointDial) isEffect()           {}
func (EndpointSend) isEffect()           {}
func (EndpointControlCommand) isEffect() {}
func (EndpointClose) isEffect()          {}
func (Claim) isEffect()                  {}
func (Promote) isEffect()                {}
func (AnnounceLeaving) isEffect()        {}
func (Exit) isEffect()                   {}
func (Log) isEffect()                    {}
func (Metric) isEffect()                 {}

// Decoder turns an object of the platform's store into a change of the catalog.
// Decode reports an error for an object that cannot be used.
type Decoder interface {
	Decode(o feed.Object) (Change, error)
}

// Change is a decoded object; one field is set.
type Change struct {
	Config     *catalog.Config
	Endpoint   *catalog.Endpoint
	Host       *catalog.Host
	Leadership *catalog.Leadership
}

// The kinds of object that the proxy follows.
const (
	KindConfig     feed.Kind = "config"
	KindEndpoints  feed.Kind = "endpoints"
	KindHosts      feed.Kind = "hosts"
	KindLeadership feed.Kind = "leadership"
)

// Kinds lists them.
var Kinds = []feed.Kind{KindConfig, KindEndpoints, KindHosts, KindLeadership}
