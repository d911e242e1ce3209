package feed_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/types"
)

func object(name string, revision types.Revision) feed.Object {
	return feed.Object{Kind: "k", Name: name, Revision: revision, Data: []byte(name)}
}

func deletedObject(name string, revision types.Revision) feed.Object {
	return feed.Object{Kind: "k", Name: name, Revision: revision, Deleted: true}
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	is := is.New(t)
	m := feed.New()
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 5, Objects: []feed.Object{object("a", 5)}})), 1)
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 9, Objects: []feed.Object{object("a", 4)}})), 0)
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 9, Objects: []feed.Object{object("a", 5)}})), 0)
	is.Equal(m.AsOf("k"), types.Revision(9))
}

func TestFullListDeletesUnlistedObjects(t *testing.T) {
	is := is.New(t)
	m := feed.New()
	m.Apply(feed.Changes{Kind: "k", AsOf: 6, Objects: []feed.Object{object("a", 5), object("b", 6)}})
	// A full list older than b's revision does not delete b.
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 5, Full: true, Objects: []feed.Object{object("a", 5)}})), 0)
	updated := m.Apply(feed.Changes{Kind: "k", AsOf: 8, Full: true, Objects: []feed.Object{object("a", 5)}})
	is.Equal(len(updated), 1)
	is.True(updated[0].Deleted)
	is.Equal(updated[0].Name, "b")
}

// A mirror that applies another mirror's Since has all changes, deletions included.
func TestMirrorsSynchronizeThroughSince(t *testing.T) {
	is := is.New(t)
	m, other := feed.New(), feed.New()
	m.Apply(feed.Changes{Kind: "k", AsOf: 6, Objects: []feed.Object{object("a", 5), object("b", 6)}})
	other.Apply(m.Since("k", 0))
	m.Apply(feed.Changes{Kind: "k", AsOf: 9, Objects: []feed.Object{deletedObject("a", 8), object("c", 9)}})
	updated := other.Apply(m.Since("k", 6))
	is.Equal(len(updated), 2)
	is.Equal(updated[0].Name, "a")
	is.True(updated[0].Deleted)
	is.Equal(other.AsOf("k"), types.Revision(9))
	is.Equal(len(other.Apply(m.Since("k", 0))), 0)
}

func TestDeletedObjectStaysDeleted(t *testing.T) {
	is := is.New(t)
	m := feed.New()
	m.Apply(feed.Changes{Kind: "k", AsOf: 8, Objects: []feed.Object{object("a", 5)}})
	m.Apply(feed.Changes{Kind: "k", AsOf: 8, Objects: []feed.Object{deletedObject("a", 8)}})
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 8, Objects: []feed.Object{object("a", 7)}})), 0)
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 10, Objects: []feed.Object{object("a", 10)}})), 1)
}

// After a restore the store's numbers are lower than the known ones, and may be the same.
func TestListOfRestoredStoreReplacesObjects(t *testing.T) {
	is := is.New(t)
	m, other := feed.New(), feed.New()
	first, second := types.EraStart(1), types.EraStart(2)
	known := feed.Changes{Kind: "k", AsOf: first + 9, Full: true, Objects: []feed.Object{object("a", first+8), object("b", first+9)}}
	m.Apply(known)
	other.Apply(known)
	other.Apply(feed.Changes{Kind: "k", AsOf: first + 10, Objects: []feed.Object{object("lost", first+10)}})
	// Changes alone do not tell which objects the restored store lacks.
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: second + 7, Objects: []feed.Object{object("a", second+7)}})), 0)
	is.Equal(m.AsOf("k"), first+9)

	updated := m.Apply(feed.Changes{Kind: "k", AsOf: second + 7, Full: true, Objects: []feed.Object{object("a", second+7)}})
	is.Equal(len(updated), 2)
	is.Equal(updated[0].Name, "a")
	is.True(updated[1].Deleted)
	// A list that was read before the restore arrives late.
	is.Equal(len(m.Apply(known)), 0)

	// A host that has not noticed the restore learns also that an object is gone which this
	// mirror has never had.
	other.Apply(m.Since("k", first+10))
	is.Equal(other.AsOf("k"), second+7)
	is.Equal(len(other.Since("k", 0).Objects), 1)
}
