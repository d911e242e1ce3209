package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes is the largest request body that is read.
const maxBodyBytes = 2 * MaxSpecBytes

// objectRequest is a decoded request to the object store.
type objectRequest struct {
	method string
	key    objectKey
	// object and expectedRevision are the arguments of a write or a deletion.
	object           Object
	expectedRevision uint64
	// afterName is the name after which a list continues. allowStale permits a
	// read to return an old state.
	afterName  string
	allowStale bool
	// isWatch is set on a request that waits at most waitLimit for changes after
	// sinceRevision.
	isWatch       bool
	sinceRevision uint64
	waitLimit     time.Duration
}

// decodeRequest decodes an HTTP request. It returns an error for a malformed one.
func decodeRequest(r *http.Request) (objectRequest, error) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	query := r.URL.Query()
	c := objectRequest{
		method: r.Method, key: objectKey{kind, name}, afterName: query.Get("after"),
		allowStale: query.Get("serializable") == "1", isWatch: query.Has("watch"),
	}
	if kind == "" || strings.Contains(name, "/") {
		return c, fmt.Errorf("path %q names no object", r.URL.Path)
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		return c, c.readObject(r.Body)
	}
	for _, parameter := range []struct {
		name string
		set  func(uint64)
	}{
		{"watch", func(n uint64) { c.sinceRevision = n }},
		{"waitMs", func(n uint64) { c.waitLimit = time.Duration(n) * time.Millisecond }},
		{"revision", func(n uint64) { c.expectedRevision = n }},
	} {
		if !query.Has(parameter.name) {
			continue
		}
		n, err := strconv.ParseUint(query.Get(parameter.name), 10, 64)
		if err != nil {
			return c, fmt.Errorf("parameter %q is %q, not a number", parameter.name, query.Get(parameter.name))
		}
		parameter.set(n)
	}
	return c, nil
}

// readObject decodes the object of a write from the request body.
func (c *objectRequest) readObject(body io.Reader) error {
	buf, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(buf, &c.object); err != nil {
		return fmt.Errorf("object %q of kind %q does not decode: %w", c.key.name, c.key.kind, err)
	}
	if c.key.name == "" {
		c.key.name = c.object.Meta.Name
	}
	c.expectedRevision = c.object.Meta.Revision
	return nil
}

// serveObjects handles a request to the object store.
func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request) {
	c, err := decodeRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var a response
	if c.isWatch {
		a, err = s.serveWatch(r.Context(), c)
	} else {
		a, err = runOnStore(r.Context(), s.store, func() response { return s.store.handle(c) })
	}
	if err != nil {
		// The client disconnected, or the stand-in was closed.
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	if a.body != nil {
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

// handle carries out a request other than a watch.
func (s *store) handle(c objectRequest) response {
	switch c.method {
	case http.MethodGet:
		return s.handleRead(c)
	case http.MethodPost:
		s.counts.Create++
	case http.MethodPut:
		s.counts.Replace++
	case http.MethodDelete:
		s.counts.Delete++
		a := s.objects.remove(c.key, c.expectedRevision)
		s.completeWatches()
		return a
	default:
		return response{status: http.StatusMethodNotAllowed}
	}
	a := s.objects.put(c.key, c.expectedRevision, c.object.Spec, c.method == http.MethodPost)
	s.completeWatches()
	return a
}

func (s *store) handleRead(c objectRequest) response {
	if c.key.name == "" {
		s.counts.List++
		return s.objectsForRead(c.allowStale).list(c.key.kind, c.afterName)
	}
	s.counts.Get++
	return s.objectsForRead(c.allowStale).get(c.key)
}

// serveWatch waits for a change of the watched kind. The response holds no events
// if none occurs within the request's wait limit.
func (s *Server) serveWatch(ctx context.Context, c objectRequest) (response, error) {
	w := &pendingWatch{kind: c.key.kind, sinceRevision: c.sinceRevision, reply: make(chan response, 1)}
	s.updateStore(func(st *store) {
		st.counts.Watch++
		st.addWatch(w)
	})
	timer := time.NewTimer(c.waitLimit)
	defer timer.Stop()
	select {
	case a := <-w.reply:
		return a, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return runOnStore(s.ctx, s.store, func() response {
		s.store.removeWatch(w)
		a, _ := s.store.objects.changesSince(w.kind, w.sinceRevision)
		return a
	})
}
