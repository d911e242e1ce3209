package conf

import (
	"context"

	"github.com/pkg/errors"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// Errors that a Platform returns. After any other error of Put it is unknown
// whether the write took effect.
var (
	// ErrNotFound is returned if no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned if the object does not have the version that the write
	// expects.
	ErrConflict = errors.New("object has another version")
)

// Platform is the object API of the platform. All objects take their versions from
// one increasing sequence. A Platform is safe for concurrent use.
type Platform interface {
	// List returns all objects except plans, and the version up to which the list is
	// current. An object with a lower version that is not listed has been deleted.
	// The version is 0 if it is unknown, and no deletion is then inferred.
	List(ctx context.Context) ([]config.Object, config.Version, error)
	// Get returns an object of any kind, including tombstones, or ErrNotFound.
	Get(ctx context.Context, key config.Key) (config.Object, error)
	// Put performs a conditional update and returns the new version, or ErrConflict.
	// A write without a body stores a tombstone, which keeps the operation ids of the
	// key.
	Put(ctx context.Context, w config.Write) (config.Version, error)
	// Watch sends the changes after a version until ctx ends or the watch fails.
	// Deletions are sent as tombstones, and plans are omitted. The watch fails if the
	// platform stops responding or no longer has the changes after the version.
	Watch(ctx context.Context, after config.Version, out chan<- []config.Object) error
}

// Sender sends payloads to other hosts.
type Sender interface {
	// Send queues the payload, or drops it if the queue is full. It does not block.
	Send(host types.Host, payload []byte)
}
