package config

import (
	"cmp"
	"slices"

	"baobabfield.example/core/random"
)

const (
	// maxTombstones bounds the deletions remembered. Beyond it the oldest are
	// forgotten, and an object that some host has kept since then could return.
	maxTombstones = 20000
	// bucketCount is the number of buckets in the comparison of configurations.
	bucketCount = 64
)

// Store holds the newest known version of each object, tombstones included.
type Store struct {
	// objects are in order of their keys. They are copied before a change if a
	// snapshot shares them.
	objects    []Object
	shared     bool
	tombstones int
	hash       uint64
	complete   bool
	// view is the snapshot of the objects, nil if it must be made again.
	view *view
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func findObject(objects []Object, k Key) (int, bool) {
	return slices.BinarySearchFunc(objects, k, func(o Object, k Key) int { return compareKeys(o.Key, k) })
}

// Apply takes the object if its version is higher than the known one, and
// reports whether it did. It refuses plans, which hosts do not hold.
func (s *Store) Apply(o Object) bool {
	if o.Version == 0 || o.Key.Kind == KindPlan {
		return false
	}
	i, found := findObject(s.objects, o.Key)
	if found && o.Version <= s.objects[i].Version {
		return false
	}
	s.copyIfShared()
	if found {
		s.removeFromTotals(s.objects[i])
		s.objects[i] = o
	} else {
		s.objects = slices.Insert(s.objects, i, o)
	}
	s.addToTotals(o)
	s.limitTombstones()
	return true
}

func (s *Store) addToTotals(o Object) {
	s.hash ^= versionHash(o.Key, o.Version)
	if o.Deleted() {
		s.tombstones++
	}
}

func (s *Store) removeFromTotals(o Object) {
	s.hash ^= versionHash(o.Key, o.Version)
	if o.Deleted() {
		s.tombstones--
	}
}

// copyIfShared makes the objects the store's copyIfShared before a change.
func (s *Store) copyIfShared() {
	s.view = nil
	if s.shared {
		s.objects = slices.Clone(s.objects)
		s.shared = false
	}
}

// limitTombstones forgets the oldest tombstone if there are too many.
func (s *Store) limitTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	oldest := -1
	for i, o := range s.objects {
		if o.Deleted() && (oldest < 0 || o.Version < s.objects[oldest].Version) {
			oldest = i
		}
	}
	s.removeFromTotals(s.objects[oldest])
	s.objects = slices.Delete(s.objects, oldest, oldest+1)
}

// ApplyFullList takes a whole list of the platform's objects that is current up to a
// revision, and returns the objects that changed. Objects up to that revision that
// the list lacks have been deleted.
func (s *Store) ApplyFullList(list []Object, revision Version) []Object {
	var changed []Object
	listed := map[Key]bool{}
	for _, o := range list {
		listed[o.Key] = true
		if s.Apply(o) {
			changed = append(changed, o)
		}
	}
	for _, o := range slices.Clone(s.objects) {
		if listed[o.Key] || o.Deleted() || o.Version >= revision {
			continue
		}
		tombstone := Object{Key: o.Key, Version: revision}
		if s.Apply(tombstone) {
			changed = append(changed, tombstone)
		}
	}
	return changed
}

// Digest returns a hash of the keys and versions of all objects.
func (s *Store) Digest() uint64 { return s.hash }

// versionHash hashes a key and a version.
func versionHash(k Key, v Version) uint64 {
	return random.Hash(uint64(v)<<8|uint64(k.Kind), k.Name)
}

// bucketOf returns the bucket of a key.
func bucketOf(k Key) int {
	return int(random.Hash(uint64(k.Kind), k.Name) % bucketCount)
}

// bucketHashes returns the hash of each bucket.
func (s *Store) bucketHashes() []uint64 {
	hashes := make([]uint64, bucketCount)
	for _, o := range s.objects {
		hashes[bucketOf(o.Key)] ^= versionHash(o.Key, o.Version)
	}
	return hashes
}

// objectsInBuckets returns the objects of some buckets.
func (s *Store) objectsInBuckets(buckets []int) []Object {
	var out []Object
	for _, o := range s.objects {
		if slices.Contains(buckets, bucketOf(o.Key)) {
			out = append(out, o)
		}
	}
	return out
}

// object returns an object or a tombstone.
func (s *Store) object(k Key) (Object, bool) {
	i, found := findObject(s.objects, k)
	if !found {
		return Object{}, false
	}
	return s.objects[i], true
}
