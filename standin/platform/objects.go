package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	api "baobabfield.example/api/platform"
)

// MaxValueSize is the largest value of an object, in bytes.
const MaxValueSize = 1 << 20

// key identifies an object.
type key struct{ kind, name string }

// objects is the content of the store.
type objects struct {
	byKey   map[key]api.Object
	version uint64
}

func newObjects() *objects { return &objects{byKey: map[key]api.Object{}} }

// clone returns a copy that later writes do not change.
func (o *objects) clone() *objects {
	c := newObjects()
	c.version = o.version
	for k, v := range o.byKey {
		c.byKey[k] = v
	}
	return c
}

func (o *objects) get(k key) (*api.Object, error) {
	object, ok := o.byKey[k]
	if !ok {
		return nil, &failure{status: http.StatusNotFound, message: fmt.Sprintf("object %q of kind %q does not exist", k.name, k.kind)}
	}
	return &object, nil
}

// put writes an object if it has the expected version.
func (o *objects) put(k key, ifVersion uint64, value []byte, deleted bool) (*api.Object, error) {
	if len(value) > MaxValueSize {
		return nil, &failure{
			status:  http.StatusRequestEntityTooLarge,
			message: fmt.Sprintf("value of object %q has %d bytes, at most %d are allowed", k.name, len(value), MaxValueSize),
		}
	}
	if actual := o.byKey[k].Version; actual != ifVersion {
		return nil, &failure{
			status: http.StatusConflict, version: actual,
			message: fmt.Sprintf("object %q of kind %q has version %d, not %d", k.name, k.kind, actual, ifVersion),
		}
	}
	o.version++
	object := api.Object{Kind: k.kind, Name: k.name, Version: o.version, Deleted: deleted, Value: value}
	o.byKey[k] = object
	return &object, nil
}

// list returns the objects of some kinds that changed after a version.
func (o *objects) list(kinds []string, after uint64) *api.ObjectList {
	list := &api.ObjectList{Objects: []api.Object{}, Version: o.version}
	for k, object := range o.byKey {
		if object.Version > after && slices.Contains(kinds, k.kind) {
			list.Objects = append(list.Objects, object)
		}
	}
	slices.SortFunc(list.Objects, compareVersions)
	return list
}

func compareVersions(a, b api.Object) int {
	if a.Version == b.Version {
		return strings.Compare(a.Name, b.Name)
	}
	if a.Version < b.Version {
		return -1
	}
	return 1
}

// failure is an error of a call with its HTTP status.
type failure struct {
	status  int
	message string
	version uint64
}

func (f *failure) Error() string { return f.message }
