package platform

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/platform"
)

// handler implements the object API by messages to the store.
type handler struct {
	store *store
	token string
}

// answer is the result of a message to the store.
type answer[T any] struct {
	value T
	err   error
}

func call[T any](ctx context.Context, s *store, f func() (T, error)) (T, error) {
	a, err := ask(ctx, s, func() answer[T] {
		v, err := f()
		return answer[T]{v, err}
	})
	if err != nil {
		return a.value, err
	}
	return a.value, a.err
}

// GetObject reads an object.
func (h handler) GetObject(ctx context.Context, p api.GetObjectParams) (*api.Object, error) {
	return call(ctx, h.store, func() (*api.Object, error) {
		h.store.counts.Get++
		return h.store.readable().get(key{p.Kind, p.Name})
	})
}

// PutObject writes an object if it has the expected version.
func (h handler) PutObject(ctx context.Context, w *api.ObjectWrite, p api.PutObjectParams) (*api.Object, error) {
	return call(ctx, h.store, func() (*api.Object, error) {
		h.store.counts.Put++
		return h.store.put(key{p.Kind, p.Name}, p.IfVersion, w.Value, w.Deleted.Or(false))
	})
}

// DeleteObject replaces an object by a tombstone.
func (h handler) DeleteObject(ctx context.Context, p api.DeleteObjectParams) (*api.Object, error) {
	return call(ctx, h.store, func() (*api.Object, error) {
		h.store.counts.Delete++
		return h.store.put(key{p.Kind, p.Name}, p.IfVersion, []byte{}, true)
	})
}

// ListObjects lists the objects of some kinds.
func (h handler) ListObjects(ctx context.Context, p api.ListObjectsParams) (*api.ObjectList, error) {
	return call(ctx, h.store, func() (*api.ObjectList, error) {
		h.store.counts.List++
		return h.store.readable().list(p.Kind, 0), nil
	})
}

// ListHosts answers the lagging list of hosts.
func (h handler) ListHosts(ctx context.Context) (*api.HostList, error) {
	return call(ctx, h.store, func() (*api.HostList, error) {
		h.store.counts.Hosts++
		return h.store.hosts, nil
	})
}

// WatchObjects waits for a change.
func (h handler) WatchObjects(ctx context.Context, p api.WatchObjectsParams) (*api.ObjectList, error) {
	w := &watch{kinds: p.Kind, after: p.After, answer: make(chan *api.ObjectList, 1)}
	_, err := ask(ctx, h.store, func() bool {
		h.store.counts.Watch++
		h.store.startWatch(w)
		return true
	})
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(p.TimeoutMs.Or(0)) * time.Millisecond)
	defer timer.Stop()
	select {
	case list := <-w.answer:
		return list, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return call(context.WithoutCancel(ctx), h.store, func() (*api.ObjectList, error) {
		h.store.endWatch(w)
		select {
		case list := <-w.answer:
			return list, nil
		default:
			return &api.ObjectList{Objects: []api.Object{}, Version: max(p.After, h.store.objects.version)}, nil
		}
	})
}

// NewError converts an error to the API's answer.
func (h handler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{status: http.StatusInternalServerError, message: err.Error()}
	}
	answer := &api.ErrorStatusCode{StatusCode: f.status, Response: api.Error{Message: f.message}}
	if f.status == http.StatusConflict {
		answer.Response.Version = api.NewOptUint64(f.version)
	}
	return answer
}

// HandleBearerAuth checks the caller's token.
func (h handler) HandleBearerAuth(ctx context.Context, _ api.OperationName, t api.BearerAuth) (context.Context, error) {
	if subtle.ConstantTimeCompare([]byte(t.Token), []byte(h.token)) != 1 {
		return ctx, &failure{status: http.StatusUnauthorized, message: "the bearer token is wrong"}
	}
	return ctx, nil
}
