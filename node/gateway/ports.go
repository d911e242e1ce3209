// Package gateway runs the tasks round a proxy machine: callers' connections,
// connections to endpoints, links to other hosts, the watches of the platform's
// store, logs and metrics. One task owns the machine; every other task owns one
// socket and talks to it by messages.
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

// Codec is the protocol that callers and endpoints speak.
type Codec interface {
	// ReadStartup reads the message that opens a caller's session.
	ReadStartup(r *bufio.Reader) (types.Database, error)
	// ReadQuery reads a caller's next statement; an error ends the session.
	ReadQuery(r *bufio.Reader) (pool.Query, error)
	AppendReady(buf []byte) []byte
	AppendReply(buf []byte, r statement.Reply) []byte
	// AppendClose encodes the error before a session is closed; nothing for OK.
	AppendClose(buf []byte, code statement.Code, text string) []byte

	AppendStartup(buf []byte, service types.Service, endpoint types.Endpoint) []byte
	// ReadStartupReply reads an endpoint's answer to a startup.
	ReadStartupReply(r *bufio.Reader) (statement.Code, error)
	AppendCommand(buf []byte, c pool.Command) []byte
	AppendControlCommand(buf []byte, op lead.Op, term types.Term) []byte
	// ReadReply reads an endpoint's whole answer.
	ReadReply(r *bufio.Reader) (statement.Reply, error)
	// DecodeStatus decodes the answer to an order; known is false for a refusal.
	DecodeStatus(r statement.Reply) (st statement.Status, known bool, err error)
}

// Store is the platform's store of objects, which keeps what must last.
type Store interface {
	// List returns all objects of a kind; they may be seconds old unless they have
	// to be current.
	List(ctx context.Context, k feed.Kind, current bool) (feed.Changes, error)
	// Watch returns the changes after a revision, or none after wait.
	Watch(ctx context.Context, k feed.Kind, since uint64, wait time.Duration) (feed.Changes, error)
	PutHost(ctx context.Context, h catalog.Host) error
	// Claim stores a record if it still has the revision that it names.
	Claim(ctx context.Context, l catalog.Leadership) (proxy.ClaimResult, error)
	// IsHistoryExpired reports whether a Watch needs a new List.
	IsHistoryExpired(err error) bool
}

// Promoter makes endpoints primaries.
type Promoter interface {
	Promote(ctx context.Context, holder types.Host, p proxy.Promote) (proxy.PromoteResult, error)
}
