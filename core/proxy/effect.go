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

// Effect is an output of the Machine.
type Effect interface{ isEffect() }

// CallerReady accepts a caller's session.
type CallerReady struct{ Session SessionID }

// CallerReply answers a caller's outstanding statement.
type CallerReply struct {
	Session SessionID
	Reply   statement.Reply
}

// CallerClose closes a caller's connection. If Code is not OK, the error is sent first.
type CallerClose struct {
	Session SessionID
	Code    statement.Code
	Text    string
}

// CallerDrain stops reading a caller's statements. CallerDrained follows once every statement
// that has been read is on its way to the machine.
type CallerDrain struct{ Session SessionID }

// CallerResume reads a drained caller's statements again.
type CallerResume struct{ Session SessionID }

// PeerSend sends a message to another host.
type PeerSend struct {
	Host    types.Host
	Address string
	Message Message
}

// PeerReopen opens a new link to a host for the messages that follow. The old one is not written to
// any more, but still read for some time.
type PeerReopen struct{ Host types.Host }

// PeerClose closes the connections to a host that does not respond.
type PeerClose struct{ Host types.Host }

// EndpointDial opens a connection to an endpoint.
type EndpointDial struct {
	Conn     pool.ConnID
	Service  types.Service
	Endpoint types.Endpoint
	Address  string
	// Workspace is the one whose statements the connection will run; empty for none.
	Workspace types.Workspace
}

// EndpointSend sends a command on a connection.
type EndpointSend struct {
	Conn    pool.ConnID
	Command pool.Command
}

// EndpointControlCommand sends a command on a control connection.
type EndpointControlCommand struct {
	Conn pool.ConnID
	Op   lead.Op
	Term types.Term
}

// EndpointClose closes a connection to an endpoint.
type EndpointClose struct{ Conn pool.ConnID }

// Claim stores a service's leadership record if the stored record still has Record.Revision; a
// revision without a number means that no record exists. A record that was stored in another era
// is not reported as stored.
type Claim struct{ Record catalog.Leadership }

// Promote requests that the platform make an endpoint the primary of its service.
// FencingToken is that of the campaign, and Request the number of the request in it.
type Promote struct {
	Service      types.Service
	Endpoint     types.Endpoint
	FencingToken uint64
	Request      uint64
}

// StoreHostRecord writes this host's record to the store, as leaving or not.
type StoreHostRecord struct{ Leaving bool }

// Exit ends the process.
type Exit struct{}

// Field is a key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// Level is the severity of a log line.
type Level uint8

// The levels, in ascending order. Under load, lines of lower levels are dropped first.
const (
	Debug Level = iota
	Info
	Warn
)

// Log writes a log line.
type Log struct {
	Level Level
	// Event is the message of the line. It is unrelated to the type Event.
	Event  string
	Fields []Field
}

// Metric increments a counter, or adds Sample to a histogram if Sample is not zero.
type Metric struct {
	Name   string
	Sample time.Duration
}

func (CallerReady) isEffect()            {}
func (CallerReply) isEffect()            {}
func (CallerClose) isEffect()            {}
func (CallerDrain) isEffect()            {}
func (CallerResume) isEffect()           {}
func (PeerSend) isEffect()               {}
func (PeerReopen) isEffect()             {}
func (PeerClose) isEffect()              {}
func (EndpointDial) isEffect()           {}
func (EndpointSend) isEffect()           {}
func (EndpointControlCommand) isEffect() {}
func (EndpointClose) isEffect()          {}
func (Claim) isEffect()                  {}
func (Promote) isEffect()                {}
func (StoreHostRecord) isEffect()        {}
func (Exit) isEffect()                   {}
func (Log) isEffect()                    {}
func (Metric) isEffect()                 {}

// Decoder converts an object of the platform's store to a change of the catalog. Decode
// returns an error if the object is invalid.
type Decoder interface {
	Decode(o feed.Object) (Change, error)
}

// Change is a decoded object. Exactly one field is set.
type Change struct {
	Config     *catalog.Config
	Endpoint   *catalog.Endpoint
	Host       *catalog.Host
	Leadership *catalog.Leadership
}

// The kinds of objects that the proxy reads from the store.
const (
	KindConfig     feed.Kind = "config"
	KindEndpoints  feed.Kind = "endpoints"
	KindHosts      feed.Kind = "hosts"
	KindLeadership feed.Kind = "leadership"
)

// Kinds lists all kinds of objects.
var Kinds = []feed.Kind{KindConfig, KindEndpoints, KindHosts, KindLeadership}
