package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

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

func (s *store) serveObjects(w http.ResponseWriter, r *http.Request) {
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
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
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
