package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is the time that the store takes for an answer.
const answerTime = 4 * time.Millisecond

// object is one object of the platform's store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one entry of the store's history.
type event struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is a stand-in for the platform's store. It answers at once and loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	promote  func(service, id string) int
	listener net.Listener
	rec      *record
	// down is set while the store does not answer.
	down bool
}

func startStore(rec *record, promote func(service, id string) int) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{}), promote: promote, listener: l, rec: rec}
	mux := http.NewServeMux()
	mux.HandleFunc("/objects/", s.serveObjects)
	mux.HandleFunc("POST /failover", s.serveFailover)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) serveFailover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	code := s.promote(body.Service, body.ID)
	s.rec.add("platform: failover service=%s id=%s holder=%s token=%s answered %d", body.Service, body.ID,
		r.Header.Get("Baobabfield-Lease-Holder"), r.Header.Get("Baobabfield-Fencing-Token"), code)
	w.WriteHeader(code)
}

// put stores an object for the operator or an instance and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, known := s.objects[kind][name]; known && string(o.Spec) == string(text) {
		return o.Meta.Revision // a write that changes nothing is no change
	}
	return s.write(kind, name, text).Meta.Revision
}

// write stores an object. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	if !known {
		o.Meta.Created = s.revision
	}
	s.objects[kind][name] = o
	s.note(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// isDown reports whether the store does not answer.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown begins or ends an outage: calls get no answer, and nothing is done.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.rec.add("platform: store down: %v", down)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entry of an instance after three intervals of silence.
func (s *store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects["servers"][id]
	if !ok {
		return
	}
	delete(s.objects["servers"], id)
	s.revision++
	s.note(event{kind: "servers", revision: s.revision, Deleted: true, Object: o})
	s.rec.add("platform: the entry of %s has expired", id)
}

// hang waits until the caller gives up if the store is down, and reports whether it was.
func (s *store) hang(r *http.Request) bool {
	if !s.isDown() {
		return false
	}
	<-r.Context().Done()
	return true
}

func (s *store) serveObjects(w http.ResponseWriter, r *http.Request) {
	// The context of a call ends with its connection only once its body is read.
	body, err := io.ReadAll(r.Body)
	if err != nil || s.hang(r) {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(answerTime)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch r.Method {
	case http.MethodGet:
		switch {
		case name != "":
			s.get(w, kind, name)
		case r.URL.Query().Has("watch"):
			s.watch(w, r, kind)
		default:
			s.list(w, kind, r.URL.Query().Get("after"))
		}
	case http.MethodPost, http.MethodPut:
		s.replace(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || last {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) replace(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case exists && string(old.Spec) == string(o.Spec):
		answer(w, http.StatusOK, old)
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}
