package feed_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/feed"
)

func object(name string, revision uint64) feed.Object {
	return feed.Object{Kind: "k", Name: name, Revision: revision, Data: []byte(name)}
}

func deletedObject(name string, revision uint64) feed.Object {
	return feed.Object{Kind: "k", Name: name, Revision: revision, Deleted: true}
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	is := is.New(t)
	m := feed.New()
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 5, Objects: []feed.Object{object("a", 5)}})), 1)
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 9, Objects: []feed.Object{object("a", 4)}})), 0)
	is.Equal(len(m.Apply(feed.Changes{Kind: "k", AsOf: 9, Objects: []feed.Object{object("a", 5)}})), 0)
	is.Equal(m.AsOf("k"), uint64(9))
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
	is.Equal(other.AsOf("k"), uint64(9))
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
