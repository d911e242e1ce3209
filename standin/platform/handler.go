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

const (
	// maxBodyBytes is the largest request body that is read.
	maxBodyBytes = 2 * MaxSpecBytes
	// eraHeader is the response header with the store's era.
	eraHeader = "Store-Era"
)

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
	req := objectRequest{
		method: r.Method, key: objectKey{kind, name}, afterName: query.Get("after"),
		allowStale: query.Get("serializable") == "1", isWatch: query.Has("watch"),
	}
	if kind == "" || strings.Contains(name, "/") {
		return req, fmt.Errorf("path %q names no object", r.URL.Path)
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		return req, req.readObject(r.Body)
	}
	for _, parameter := range []struct {
		name string
		set  func(uint64)
	}{
		{"watch", func(n uint64) { req.sinceRevision = n }},
		{"waitMs", func(n uint64) { req.waitLimit = time.Duration(n) * time.Millisecond }},
		{"revision", func(n uint64) { req.expectedRevision = n }},
	} {
		if !query.Has(parameter.name) {
			continue
		}
		n, err := strconv.ParseUint(query.Get(parameter.name), 10, 64)
		if err != nil {
			return req, fmt.Errorf("parameter %q is %q, not a number", parameter.name, query.Get(parameter.name))
		}
		parameter.set(n)
	}
	return req, nil
}

// readObject decodes the object of a write from the request body.
func (req *objectRequest) readObject(body io.Reader) error {
	buf, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(buf, &req.object); err != nil {
		return fmt.Errorf("object %q of kind %q does not decode: %w", req.key.name, req.key.kind, err)
	}
	if req.key.name == "" {
		req.key.name = req.object.Meta.Name
	}
	req.expectedRevision = req.object.Meta.Revision
	return nil
}

// serveObjects handles a request to the object store.
func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request) {
	req, err := decodeRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var resp response
	if req.isWatch {
		resp, err = s.serveWatch(r.Context(), req)
	} else {
		resp, err = runOnStore(r.Context(), s.store, func() response { return s.store.handle(req) })
	}
	if err != nil {
		// The client disconnected, or the stand-in was closed.
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatUint(resp.era, 10))
	w.WriteHeader(resp.status)
	if resp.body != nil {
		_ = json.NewEncoder(w).Encode(resp.body)
	}
}

// handle carries out a request other than a watch.
func (s *store) handle(req objectRequest) response {
	resp := s.handleInEra(req)
	resp.era = s.objects.era
	return resp
}

func (s *store) handleInEra(req objectRequest) response {
	switch req.method {
	case http.MethodGet:
		return s.handleRead(req)
	case http.MethodPost:
		s.counts.Create++
	case http.MethodPut:
		s.counts.Replace++
	case http.MethodDelete:
		s.counts.Delete++
		resp := s.objects.remove(req.key, req.expectedRevision)
		s.completeWatches()
		return resp
	default:
		return response{status: http.StatusMethodNotAllowed}
	}
	resp := s.objects.put(req.key, req.expectedRevision, req.object.Spec, req.method == http.MethodPost)
	s.completeWatches()
	return resp
}

func (s *store) handleRead(req objectRequest) response {
	if req.key.name == "" {
		s.counts.List++
		return s.objectsForRead(req.allowStale).list(req.key.kind, req.afterName)
	}
	s.counts.Get++
	return s.objectsForRead(req.allowStale).get(req.key)
}

// serveWatch waits for a change of the watched kind. The response holds no events
// if none occurs within the request's wait limit.
func (s *Server) serveWatch(ctx context.Context, req objectRequest) (response, error) {
	w := &pendingWatch{kind: req.key.kind, sinceRevision: req.sinceRevision, reply: make(chan response, 1)}
	s.updateStore(func(st *store) {
		st.counts.Watch++
		st.addWatch(w)
	})
	timer := time.NewTimer(req.waitLimit)
	defer timer.Stop()
	select {
	case resp := <-w.reply:
		return resp, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return runOnStore(s.ctx, s.store, func() response {
		s.store.removeWatch(w)
		return s.store.changesFor(w)
	})
}
