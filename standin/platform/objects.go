package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
)

const (
	// MaxSpecBytes is the largest content of an object, in bytes.
	MaxSpecBytes = 1 << 20
	// maxPageObjects is the number of objects in an answer to a list.
	maxPageObjects = 500
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

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// changeEvent is one entry of the history.
type changeEvent struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// objects is the content of the store.
type objects struct {
	byKey    map[objectKey]Object
	revision uint64
	history  []changeEvent
	// compactedRevision is the revision up to which the history is gone.
	compactedRevision uint64
}

// newObjects returns an empty store; its revisions start above 0.
func newObjects() *objects { return &objects{byKey: map[objectKey]Object{}, revision: 1} }

// clone returns a copy that later writes do not change.
func (o *objects) clone() *objects {
	return &objects{byKey: maps.Clone(o.byKey), revision: o.revision}
}

// response is the response to a call: its status and its body as JSON.
type response struct {
	status int
	body   any
}

func (o *objects) get(k objectKey) response {
	object, ok := o.byKey[k]
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, body: object}
}

// list answers the objects of a kind whose names come after one.
func (o *objects) list(kind, after string) response {
	items := []Object{}
	for k, object := range o.byKey {
		if k.kind == kind && k.name > after {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	hasMore := len(items) > maxPageObjects
	if hasMore {
		items = items[:maxPageObjects]
	}
	return response{status: http.StatusOK, body: map[string]any{"items": items, "hasMore": hasMore, "asOf": o.revision}}
}

// changesSince answers the changes of a kind since a revision, and whether there are any.
func (o *objects) changesSince(kind string, since uint64) (response, bool) {
	if since < o.compactedRevision {
		return response{status: http.StatusGone}, true
	}
	events := []changeEvent{}
	for _, c := range o.history {
		if c.kind == kind && c.Object.Meta.Revision > since {
			events = append(events, c)
		}
	}
	return response{status: http.StatusOK, body: map[string]any{"events": events, "asOf": o.revision}}, len(events) > 0
}

// put stores an object. It must not exist where create is set, else it must; a
// revision other than 0 must be the object's.
func (o *objects) put(k objectKey, revision uint64, spec json.RawMessage, create bool) response {
	old, exists := o.byKey[k]
	switch {
	case len(spec) > MaxSpecBytes:
		return response{status: http.StatusRequestEntityTooLarge}
	case create && exists, exists && revision != 0 && revision != old.Meta.Revision:
		return response{status: http.StatusConflict, body: old}
	case !create && !exists:
		return response{status: http.StatusNotFound}
	case exists && string(spec) == string(old.Spec):
		// A write that changes nothing is no change.
		return response{status: http.StatusOK, body: old}
	}
	return response{status: http.StatusOK, body: o.overwrite(k, spec)}
}

// overwrite writes an object whatever is there.
func (o *objects) overwrite(k objectKey, spec json.RawMessage) Object {
	o.revision++
	object := Object{Meta: Meta{Name: k.name, Revision: o.revision}, Spec: spec}
	o.byKey[k] = object
	o.history = append(o.history, changeEvent{kind: k.kind, Object: object})
	return object
}

// remove deletes an object; a revision other than 0 must be the object's.
func (o *objects) remove(k objectKey, revision uint64) response {
	old, exists := o.byKey[k]
	switch {
	case !exists:
		return response{status: http.StatusNotFound}
	case revision != 0 && revision != old.Meta.Revision:
		return response{status: http.StatusConflict, body: old}
	}
	o.revision++
	delete(o.byKey, k)
	deletedObject := old
	deletedObject.Meta.Revision = o.revision
	o.history = append(o.history, changeEvent{kind: k.kind, Deleted: true, Object: deletedObject})
	return response{status: http.StatusOK, body: old}
}

// compact forgets the history.
func (o *objects) compact() { o.history, o.compactedRevision = nil, o.revision }
