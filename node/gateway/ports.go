// Package gateway runs the tasks that do the input and output of a proxy machine:
// caller connections, endpoint connections, links to other hosts, watches of the
// platform's store, logs and metrics. One task owns the machine. Every other task
// owns one socket and exchanges messages with that task.
package gateway

import (
	"bufio"
	"context"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// Codec encodes and decodes the protocol that callers and endpoints use.
type Codec interface {
	// ReadStartup reads the message that opens a caller's session.
	ReadStartup(r *bufio.Reader) (types.Database, error)
	// ReadQuery reads a caller's next statement. An error ends the session.
	ReadQuery(r *bufio.Reader) (pool.Query, error)
	AppendReady(buf []byte) []byte
	AppendReply(buf []byte, r statement.Reply) []byte
	// AppendClose encodes the error that is sent before a session is closed. It appends
	// nothing if the code is OK.
	AppendClose(buf []byte, code statement.Code, text string) []byte

	AppendStartup(buf []byte, service types.Service, endpoint types.Endpoint) []byte
	// ReadStartupReply reads an endpoint's reply to a startup message.
	ReadStartupReply(r *bufio.Reader) (statement.Code, error)
	AppendCommand(buf []byte, c pool.Command) []byte
	AppendControlCommand(buf []byte, op lead.Op, term types.Term) []byte
	// ReadReply reads one complete reply of an endpoint.
	ReadReply(r *bufio.Reader) (statement.Reply, error)
	// DecodeStatus decodes the reply to a control command. known is false if the
	// endpoint refused the command.
	DecodeStatus(r statement.Reply) (st statement.ReplicationStatus, known bool, err error)
}

// Store is the platform's store of objects. Its objects are durable.
type Store interface {
	// List returns all objects of a kind. Unless current is set, the result may be
	// several seconds old.
	List(ctx context.Context, k feed.Kind, current bool) (feed.Changes, error)
	// Watch returns the changes after revision since. It returns no changes if none
	// occur within wait.
	Watch(ctx context.Context, k feed.Kind, since uint64, wait time.Duration) (feed.Changes, error)
	PutHost(ctx context.Context, h catalog.Host) error
	// Claim stores a leadership record if the stored record still has the revision that
	// l names.
	Claim(ctx context.Context, l catalog.Leadership) (proxy.ClaimResult, error)
	// IsHistoryExpired reports whether a Watch failed because its start revision is no
	// longer kept, so that a new List is needed.
	IsHistoryExpired(err error) bool
}

// Promoter promotes endpoints to primary.
type Promoter interface {
	Promote(ctx context.Context, holder types.Host, p proxy.Promote) (proxy.PromoteResult, error)
}
