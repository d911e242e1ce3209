package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
)

const (
	// MaxSpecBytes is the largest spec of an object.
	MaxSpecBytes = 1 << 20
	// maxPageObjects is the largest number of objects in one response to a list request.
	maxPageObjects = 500
)

// Meta is the part of an object that the store maintains.
type Meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Deleting bool   `json:"deleting"`
}

// Object is one stored object.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// changeEvent is one entry of the change history.
type changeEvent struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// objects holds the current objects and the history of their changes.
type objects struct {
	byKey    map[objectKey]Object
	revision uint64
	history  []changeEvent
	// compactedRevision is the revision up to which the history has been discarded.
	compactedRevision uint64
	// era counts how often the objects were restored from a copy.
	era uint64
}

// newObjects returns a set without objects, with a revision above 0, in the first era.
func newObjects() *objects { return &objects{byKey: map[objectKey]Object{}, revision: 1, era: 1} }

// clone returns a copy of the current objects, without their history.
func (o *objects) clone() *objects {
	return &objects{byKey: maps.Clone(o.byKey), revision: o.revision, compactedRevision: o.revision, era: o.era}
}

// response is an HTTP status and a body that is written as JSON. era is the store's era at
// the time of the response.
type response struct {
	status int
	body   any
	era    uint64
}

func (o *objects) get(k objectKey) response {
	object, ok := o.byKey[k]
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, body: object}
}

// list returns one page of the objects of a kind whose names sort after a name.
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

// changesSince returns the changes of a kind after a revision, and whether there are
// any. If part of that history was compacted, or the revision does not exist, the status
// is 410 and the second result is true.
func (o *objects) changesSince(kind string, since uint64) (response, bool) {
	if since < o.compactedRevision || since > o.revision {
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

// put creates an object if create is set, and otherwise replaces an existing one. A
// revision other than 0 must equal the object's current revision.
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
		// A write of the same spec does not create a revision.
		return response{status: http.StatusOK, body: old}
	}
	return response{status: http.StatusOK, body: o.overwrite(k, spec)}
}

// overwrite stores an object without any condition.
func (o *objects) overwrite(k objectKey, spec json.RawMessage) Object {
	o.revision++
	object := Object{Meta: Meta{Name: k.name, Revision: o.revision}, Spec: spec}
	o.byKey[k] = object
	o.history = append(o.history, changeEvent{kind: k.kind, Object: object})
	return object
}

// remove deletes an object. A revision other than 0 must equal the object's current
// revision.
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

// compact discards the history.
func (o *objects) compact() { o.history, o.compactedRevision = nil, o.revision }
