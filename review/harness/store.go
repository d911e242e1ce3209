package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectMeta is the part of an object that the store maintains.
type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is a stored object.
type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object.
type event struct {
	kind string
	// at is the store's revision of the change.
	at      uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's object store. It has no faults.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// startStore serves the store and, for other paths, the fallback.
func startStore(ctx context.Context, fallback http.Handler) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.serveList)
	mux.HandleFunc("POST /objects/{kind}", s.serveWrite)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.serveDelete)
	mux.Handle("/", fallback)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put stores a value without a condition.
func (s *store) put(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Meta: objectMeta{Name: name}, Spec: spec})
}

// write stores a version of an object, unless nothing changes. The caller holds the mutex.
func (s *store) write(kind string, o object) object {
	old, exists := s.objects[kind][o.Meta.Name]
	if exists && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, s.revision
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.publish(event{kind: kind, Object: o})
	return o
}

func (s *store) publish(e event) {
	e.at = s.revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func (s *store) serveGet(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		reply(rw, http.StatusNotFound, nil)
		return
	}
	reply(rw, http.StatusOK, o)
}

// serveWrite creates (POST) or replaces (PUT) an object.
func (s *store) serveWrite(rw http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	if name := r.PathValue("name"); name != "" {
		o.Meta.Name = name
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Meta.Name]
	switch {
	case r.Method == http.MethodPut && !exists:
		reply(rw, http.StatusNotFound, nil)
	case r.Method == http.MethodPost && exists, exists && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		reply(rw, http.StatusConflict, old)
	default:
		reply(rw, http.StatusOK, s.write(kind, o))
	}
}

func (s *store) serveDelete(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.remove(r.PathValue("kind"), r.PathValue("name")) {
		reply(rw, http.StatusNotFound, nil)
		return
	}
	reply(rw, http.StatusOK, nil)
}

// remove deletes an object. The caller holds the mutex.
func (s *store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(event{kind: kind, Object: o, Deleted: true})
	return true
}

// serveList lists the objects of a kind, or waits for their changes.
func (s *store) serveList(rw http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(rw, r, kind, since, time.Duration(wait)*time.Millisecond)
		return
	}
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > query.Get("after") {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(rw, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": revision})
}

func (s *store) serveWatch(rw http.ResponseWriter, r *http.Request, kind string, since uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(rw, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
