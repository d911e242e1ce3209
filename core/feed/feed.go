// Package feed mirrors the platform's stored objects by revision, for "baobabd
// platform". Its inputs are lists and changes, read from the store or received from the
// mirror of another host. Its outputs are the objects that a change has updated and the
// changes after a revision, so that a host that cannot reach the store follows it
// through another host. The mirror does not decode the objects. Package catalog holds
// them in decoded form.
package feed

import (
	"sort"

	"baobabfield.example/core/types"
)

// Kind names a kind of object, for instance the hosts.
type Kind string

// Object is one version of an object. The store's revision grows with every change of
// any object, and with every restore of the store, so that of two versions the one with the
// greater revision is newer.
type Object struct {
	Kind     Kind
	Name     string
	Revision types.Revision
	Deleted  bool
	// Data is the encoded object, which this package does not decode.
	Data []byte
}

// Changes are the versions after a revision, up to and including AsOf.
type Changes struct {
	Kind Kind
	AsOf types.Revision
	// Full marks a list of all objects. Objects that are not in it do not exist.
	Full    bool
	Objects []Object
}

// maxTombstones is the number of deleted objects that are kept for each kind.
const maxTombstones = 4096

// Mirror holds the newest known version of each object. A single task owns it.
type Mirror struct{ kinds map[Kind]*kindMirror }

type kindMirror struct {
	asOf    types.Revision
	objects map[string]Object
	// newest is the greatest revision of an object, deleted ones included.
	newest types.Revision
	// tombstonesSince is the revision after which every deletion has a tombstone.
	tombstonesSince types.Revision
	// tombstoneCount is the number of deleted objects in the map.
	tombstoneCount int
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{kinds: map[Kind]*kindMirror{}} }

func (m *Mirror) ensureKind(k Kind) *kindMirror {
	km := m.kinds[k]
	if km == nil {
		km = &kindMirror{objects: map[string]Object{}}
		m.kinds[k] = km
	}
	return km
}

// Apply stores changes and returns the objects that were updated, in the order of
// their revisions. Changes of an earlier era than the known one are ignored. So are changes of
// a later era that are not a full list, since they lack the objects that the restored store
// does not have.
func (m *Mirror) Apply(changes Changes) []Object {
	km := m.ensureKind(changes.Kind)
	if km.asOf != 0 && (changes.AsOf.Era() < km.asOf.Era() || (changes.AsOf.Era() > km.asOf.Era() && !changes.Full)) {
		return nil
	}
	var updated []Object
	listed := map[string]bool{}
	for _, o := range changes.Objects {
		o.Kind = changes.Kind
		listed[o.Name] = true
		if km.storeIfNewer(o) {
			updated = append(updated, o)
		}
	}
	if changes.Full {
		updated = append(updated, km.deleteUnlisted(changes, listed)...)
	}
	km.asOf = max(km.asOf, changes.AsOf)
	km.pruneTombstones()
	sort.Slice(updated, func(i, j int) bool { return precedes(&updated[i], &updated[j]) })
	return updated
}

// storeIfNewer stores a version unless a newer one is known. It reports whether that
// is a change to an object, as opposed to the deletion of an object that is unknown or
// already deleted.
func (km *kindMirror) storeIfNewer(o Object) bool {
	old, known := km.objects[o.Name]
	if known && old.Revision >= o.Revision {
		return false
	}
	if !known && o.Deleted && o.Revision <= km.tombstonesSince {
		return false
	}
	if known && old.Deleted {
		km.tombstoneCount--
	}
	if o.Deleted {
		km.tombstoneCount++
	}
	km.store(o)
	return !o.Deleted || (known && !old.Deleted)
}

func (km *kindMirror) store(o Object) {
	km.objects[o.Name] = o
	km.newest = max(km.newest, o.Revision)
}

// deleteUnlisted deletes the objects that a full list does not contain.
func (km *kindMirror) deleteUnlisted(c Changes, listed map[string]bool) []Object {
	var out []Object
	for name, old := range km.objects {
		if listed[name] || old.Deleted || old.Revision > c.AsOf {
			continue
		}
		tombstone := Object{Kind: c.Kind, Name: name, Revision: c.AsOf, Deleted: true}
		km.store(tombstone)
		km.tombstoneCount++
		out = append(out, tombstone)
	}
	return out
}

// pruneTombstones removes all tombstones if there are more than maxTombstones.
func (km *kindMirror) pruneTombstones() {
	if km.tombstoneCount <= maxTombstones {
		return
	}
	for name, o := range km.objects {
		if o.Deleted {
			delete(km.objects, name)
		}
	}
	km.tombstoneCount = 0
	km.tombstonesSince = km.asOf
}

// AsOf returns the revision up to which a kind is known; 0 for none.
func (m *Mirror) AsOf(kind Kind) types.Revision { return m.ensureKind(kind).asOf }

// Newest returns the greatest revision of an object of a kind, deleted ones included. Two hosts
// that know the same deletion from different lists have different revisions for it.
func (m *Mirror) Newest(kind Kind) types.Revision { return m.ensureKind(kind).newest }

// Since returns the changes after a revision, for another host's mirror. They are a full list
// if the revision is of an earlier era.
func (m *Mirror) Since(kind Kind, revision types.Revision) Changes {
	km := m.ensureKind(kind)
	out := Changes{Kind: kind, AsOf: km.asOf}
	out.Full = revision == 0 || revision < km.tombstonesSince || revision.Era() < km.asOf.Era()
	for _, o := range km.objects {
		included := o.Revision > revision
		if out.Full {
			included = !o.Deleted
		}
		if included {
			out.Objects = append(out.Objects, o)
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return precedes(&out.Objects[i], &out.Objects[j]) })
	return out
}

// precedes reports whether a comes before b in order of revision. Objects that a full
// list has deleted have the same revision, and are ordered by name.
func precedes(a, b *Object) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Name < b.Name
}
