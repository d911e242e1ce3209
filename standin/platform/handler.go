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

// maxBody bounds the body of a call, in bytes.
const maxBody = 2 * MaxValueSize

// objectCall is a decoded call of the store.
type objectCall struct {
	method string
	key    key
	// object and revision are those of a write.
	object   Object
	revision uint64
	// after continues a list; mayBeOld is set on reads that may be old.
	after    string
	mayBeOld bool
	// watches is set on a call that waits up to wait for changes after since.
	watches bool
	since   uint64
	wait    time.Duration
}

// decodeCall reads a call; it returns an error for one that the store does not know.
func decodeCall(r *http.Request) (objectCall, error) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	query := r.URL.Query()
	c := objectCall{
		method: r.Method, key: key{kind, name}, after: query.Get("after"),
		mayBeOld: query.Get("serializable") == "1", watches: query.Has("watch"),
	}
	if kind == "" || strings.Contains(name, "/") {
		return c, fmt.Errorf("path %q names no object", r.URL.Path)
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		return c, c.readObject(r.Body)
	}
	for _, number := range []struct {
		name string
		set  func(uint64)
	}{
		{"watch", func(n uint64) { c.since = n }},
		{"waitMs", func(n uint64) { c.wait = time.Duration(n) * time.Millisecond }},
		{"revision", func(n uint64) { c.revision = n }},
	} {
		if !query.Has(number.name) {
			continue
		}
		n, err := strconv.ParseUint(query.Get(number.name), 10, 64)
		if err != nil {
			return c, fmt.Errorf("parameter %q is %q, not a number", number.name, query.Get(number.name))
		}
		number.set(n)
	}
	return c, nil
}

// readObject decodes the object of a write.
func (c *objectCall) readObject(body io.Reader) error {
	buf, err := io.ReadAll(io.LimitReader(body, maxBody))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(buf, &c.object); err != nil {
		return fmt.Errorf("object %q of kind %q does not decode: %w", c.key.name, c.key.kind, err)
	}
	if c.key.name == "" {
		c.key.name = c.object.Meta.Name
	}
	c.revision = c.object.Meta.Revision
	return nil
}

// serveObjects answers a call of the store.
func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var a answer
	if c.watches {
		a, err = s.watch(r.Context(), c)
	} else {
		a, err = ask(r.Context(), s.store, func() answer { return s.store.call(c) })
	}
	if err != nil {
		// The caller has gone, or the stand-in ends.
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	if a.body != nil {
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

// call carries out a call that does not wait.
func (s *store) call(c objectCall) answer {
	switch c.method {
	case http.MethodGet:
		return s.read(c)
	case http.MethodPost:
		s.counts.Create++
	case http.MethodPut:
		s.counts.Replace++
	case http.MethodDelete:
		s.counts.Delete++
		a := s.objects.remove(c.key, c.revision)
		s.wakeWatches()
		return a
	default:
		return answer{status: http.StatusMethodNotAllowed}
	}
	a := s.objects.put(c.key, c.revision, c.object.Spec, c.method == http.MethodPost)
	s.wakeWatches()
	return a
}

func (s *store) read(c objectCall) answer {
	if c.key.name == "" {
		s.counts.List++
		return s.readable(c.mayBeOld).list(c.key.kind, c.after)
	}
	s.counts.Get++
	return s.readable(c.mayBeOld).get(c.key)
}

// watch waits for a change, and answers none after the call's time.
func (s *Server) watch(ctx context.Context, c objectCall) (answer, error) {
	w := &watch{kind: c.key.kind, since: c.since, reply: make(chan answer, 1)}
	s.change(func(st *store) {
		st.counts.Watch++
		st.startWatch(w)
	})
	timer := time.NewTimer(c.wait)
	defer timer.Stop()
	select {
	case a := <-w.reply:
		return a, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return ask(s.ctx, s.store, func() answer {
		s.store.endWatch(w)
		a, _ := s.store.objects.events(w.kind, w.since)
		return a
	})
}
