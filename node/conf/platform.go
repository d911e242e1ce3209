package conf

import (
	"context"

	"github.com/pkg/errors"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// Errors that a Platform returns. Any other error of Put means that the write may
// or may not have taken effect.
var (
	// ErrNotFound: there is no object with the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object has another version than the write expects.
	ErrConflict = errors.New("object has another version")
)

// Platform is the object API of the platform. Versions come from one increasing
// sequence for all objects. Several goroutines use it at a time.
type Platform interface {
	// List returns all objects but plans, and the version up to which the list is
	// current: an object with a lower version that it lacks has been deleted. The
	// version is 0 if it is not known; no deletion is then inferred.
	List(ctx context.Context) ([]config.Object, config.Version, error)
	// Get returns an object of any kind, also a tombstone, or ErrNotFound.
	Get(ctx context.Context, key config.Key) (config.Object, error)
	// Put performs a conditional update and returns the new version, or ErrConflict.
	// A write without a body stores a tombstone, which keeps the key's operations.
	Put(ctx context.Context, w config.Write) (config.Version, error)
	// Watch sends the changes after a version, deletions as tombstones, plans left
	// out, until the context ends or the watch fails. It fails when the platform
	// stays silent, and when it no longer knows the changes after the version.
	Watch(ctx context.Context, after config.Version, out chan<- []config.Object) error
}

// Sender sends payloads to other hosts. Send does not block: it drops the payload if
// it cannot take it.
type Sender interface {
	Send(host types.Host, payload []byte)
}
