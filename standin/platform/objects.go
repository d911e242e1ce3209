package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
)

const (
	// MaxValueSize is the largest content of an object, in bytes.
	MaxValueSize = 1 << 20
	// maxPage is the number of objects in an answer to a list.
	maxPage = 500
)

// Meta is what the store itself keeps of an object.
type Meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Deleting bool   `json:"deleting"`
}

// Object is one object of the store.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// key identifies an object.
type key struct{ kind, name string }

// change is one entry of the history.
type change struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// objects is the content of the store.
type objects struct {
	byKey    map[key]Object
	revision uint64
	history  []change
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
}

// newObjects returns an empty store; its revisions start above 0.
func newObjects() *objects { return &objects{byKey: map[key]Object{}, revision: 1} }

// clone returns a copy that later writes do not change.
func (o *objects) clone() *objects {
	return &objects{byKey: maps.Clone(o.byKey), revision: o.revision}
}

// answer is the response to a call: its status and its body as JSON.
type answer struct {
	status int
	body   any
}

func (o *objects) get(k key) answer {
	object, ok := o.byKey[k]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, body: object}
}

// list answers the objects of a kind whose names come after one.
func (o *objects) list(kind, after string) answer {
	items := []Object{}
	for k, object := range o.byKey {
		if k.kind == kind && k.name > after {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	return answer{status: http.StatusOK, body: map[string]any{"items": items, "hasMore": more, "asOf": o.revision}}
}

// events answers the changes of a kind since a revision, and whether there are any.
func (o *objects) events(kind string, since uint64) (answer, bool) {
	if since < o.forgotten {
		return answer{status: http.StatusGone}, true
	}
	events := []change{}
	for _, c := range o.history {
		if c.kind == kind && c.Object.Meta.Revision > since {
			events = append(events, c)
		}
	}
	return answer{status: http.StatusOK, body: map[string]any{"events": events, "asOf": o.revision}}, len(events) > 0
}

// put stores an object. It must not exist where create is set, else it must; a
// revision other than 0 must be the object's.
func (o *objects) put(k key, revision uint64, spec json.RawMessage, create bool) answer {
	old, exists := o.byKey[k]
	switch {
	case len(spec) > MaxValueSize:
		return answer{status: http.StatusRequestEntityTooLarge}
	case create && exists, exists && revision != 0 && revision != old.Meta.Revision:
		return answer{status: http.StatusConflict, body: old}
	case !create && !exists:
		return answer{status: http.StatusNotFound}
	case exists && string(spec) == string(old.Spec):
		// A write that changes nothing is no change.
		return answer{status: http.StatusOK, body: old}
	}
	return answer{status: http.StatusOK, body: o.store(k, spec)}
}

// store writes an object whatever is there.
func (o *objects) store(k key, spec json.RawMessage) Object {
	o.revision++
	object := Object{Meta: Meta{Name: k.name, Revision: o.revision}, Spec: spec}
	o.byKey[k] = object
	o.history = append(o.history, change{kind: k.kind, Object: object})
	return object
}

// remove deletes an object; a revision other than 0 must be the object's.
func (o *objects) remove(k key, revision uint64) answer {
	old, exists := o.byKey[k]
	switch {
	case !exists:
		return answer{status: http.StatusNotFound}
	case revision != 0 && revision != old.Meta.Revision:
		return answer{status: http.StatusConflict, body: old}
	}
	o.revision++
	delete(o.byKey, k)
	gone := old
	gone.Meta.Revision = o.revision
	o.history = append(o.history, change{kind: k.kind, Deleted: true, Object: gone})
	return answer{status: http.StatusOK, body: old}
}

// compact forgets the history.
func (o *objects) compact() { o.history, o.forgotten = nil, o.revision }
