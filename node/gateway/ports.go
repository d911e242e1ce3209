// Package gateway runs the tasks of "baobabd platform", round the state machine of
// core/proxy. One task owns the machine and its timer. It passes the messages of the other
// tasks to the machine as events and performs the effects without blocking.
//
// The other tasks own the input and output. Each caller connection, endpoint connection
// and link to another host has tasks that read and write its socket or stream. Further
// tasks watch the platform's store, serve HTTP and write the log.
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

// Codec encodes and decodes the protocol that callers and endpoints use. The methods named
// Append return buf with the encoded message appended. Several tasks use a Codec
// concurrently.
type Codec interface {
	// ReadStartup reads the message that opens a caller's session: its database and the
	// caller's key. An error does not contain the key.
	ReadStartup(r *bufio.Reader) (db types.Database, key string, err error)
	// ReadQuery reads a caller's next statement. An error ends the session, and does not contain
	// the message. It is io.EOF if the caller has ended the session.
	ReadQuery(r *bufio.Reader) (pool.Query, error)
	// AppendReady encodes the message that accepts a caller's session.
	AppendReady(buf []byte) []byte
	// AppendReply encodes the reply to a caller's statement.
	AppendReply(buf []byte, r statement.Reply) []byte
	// AppendClose encodes the error that is sent before a session is closed. It appends
	// nothing if the code is OK.
	AppendClose(buf []byte, code statement.Code, text string) []byte

	// AppendStartup encodes the message that opens a session at an endpoint, for a workspace
	// if it is not empty.
	AppendStartup(buf []byte, service types.Service, endpoint types.Endpoint, workspace types.Workspace) []byte
	// ReadStartupReply reads an endpoint's reply to a startup message. The code is OK if
	// the endpoint accepts the session.
	ReadStartupReply(r *bufio.Reader) (statement.Code, error)
	// AppendCommand encodes a statement or a reset for an endpoint.
	AppendCommand(buf []byte, c pool.Command) []byte
	// AppendControlCommand encodes a status query or a command of a campaign.
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
	// occur within wait. Changes of another era than that of since count as expired history.
	Watch(ctx context.Context, k feed.Kind, since types.Revision, wait time.Duration) (feed.Changes, error)
	// PutHost creates or replaces a host's record.
	PutHost(ctx context.Context, h catalog.Host) error
	// Claim stores a leadership record if the stored record still has the revision that
	// l names, and reports whether it was stored in the era of that revision. The record selects the host that may promote endpoints of a service. It is
	// not the authority under which the owner uses the primary.
	Claim(ctx context.Context, l catalog.Leadership) (proxy.ClaimResult, error)
	// IsHistoryExpired reports whether a Watch failed because its start revision is no
	// longer kept, so that a new List is needed.
	IsHistoryExpired(err error) bool
}

// Promoter promotes endpoints to primary.
type Promoter interface {
	// Promote promotes an endpoint on behalf of the holder of its service's leadership
	// record. It returns an error if the platform does not respond or rejects the request.
	// A request that is given up does not reach the platform later.
	Promote(ctx context.Context, holder types.Host, p proxy.Promote) (lead.PromotionOutcome, error)
}
