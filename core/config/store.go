package config

import (
	"cmp"
	"slices"

	"baobabfield.example/core/random"
)

const (
	// maxTombstones bounds the number of tombstones. Beyond it the oldest ones are
	// removed. A deleted object whose tombstone is removed can return from a host
	// that has missed the deletion.
	maxTombstones = 20000
	// bucketCount is the number of hash buckets with which hosts compare their
	// configurations.
	bucketCount = 64
)

// Store holds the latest known version of each object, including tombstones.
type Store struct {
	// objects is ordered by key. It is copied before a change if a snapshot shares
	// it.
	objects        []Object
	isShared       bool
	tombstoneCount int
	hash           uint64
	complete       bool
	// view caches the view of the latest snapshot. It is nil after a change.
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

// Apply stores the object if its version is higher than the known one, and reports
// whether it did. It ignores plans, which hosts do not hold.
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

// addToTotals adds an object to the hash and to the number of tombstones.
func (s *Store) addToTotals(o Object) {
	s.hash ^= versionHash(o.Key, o.Version)
	if o.Deleted() {
		s.tombstoneCount++
	}
}

// removeFromTotals removes an object from the hash and from the number of
// tombstones.
func (s *Store) removeFromTotals(o Object) {
	s.hash ^= versionHash(o.Key, o.Version)
	if o.Deleted() {
		s.tombstoneCount--
	}
}

// copyIfShared prepares a change: it copies the objects if a snapshot shares them
// and drops the cached view.
func (s *Store) copyIfShared() {
	s.view = nil
	if s.isShared {
		s.objects = slices.Clone(s.objects)
		s.isShared = false
	}
}

// limitTombstones removes the oldest tombstone if there are more than maxTombstones.
func (s *Store) limitTombstones() {
	if s.tombstoneCount <= maxTombstones {
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

// ApplyFullList applies a full list of the platform's objects at a version, and
// returns the objects that changed. It replaces stored objects of a lower version
// that the list lacks by tombstones, since the platform has deleted them.
func (s *Store) ApplyFullList(list []Object, version Version) []Object {
	var changed []Object
	listed := map[Key]bool{}
	for _, o := range list {
		listed[o.Key] = true
		if s.Apply(o) {
			changed = append(changed, o)
		}
	}
	for _, o := range slices.Clone(s.objects) {
		if listed[o.Key] || o.Deleted() || o.Version >= version {
			continue
		}
		tombstone := Object{Key: o.Key, Version: version}
		if s.Apply(tombstone) {
			changed = append(changed, tombstone)
		}
	}
	return changed
}

// Digest returns a hash of the keys and versions of all objects.
func (s *Store) Digest() uint64 { return s.hash }

func versionHash(k Key, v Version) uint64 {
	return random.Hash(uint64(v)<<8|uint64(k.Kind), k.Name)
}

func bucketOf(k Key) int {
	return int(random.Hash(uint64(k.Kind), k.Name) % bucketCount)
}

// bucketHashes returns the hash of the keys and versions in each bucket.
func (s *Store) bucketHashes() []uint64 {
	hashes := make([]uint64, bucketCount)
	for _, o := range s.objects {
		hashes[bucketOf(o.Key)] ^= versionHash(o.Key, o.Version)
	}
	return hashes
}

// objectsInBuckets returns the objects and tombstones of the given buckets.
func (s *Store) objectsInBuckets(buckets []int) []Object {
	var out []Object
	for _, o := range s.objects {
		if slices.Contains(buckets, bucketOf(o.Key)) {
			out = append(out, o)
		}
	}
	return out
}

// object returns the object or the tombstone with the key.
func (s *Store) object(k Key) (Object, bool) {
	i, found := findObject(s.objects, k)
	if !found {
		return Object{}, false
	}
	return s.objects[i], true
}
