package config

// PeerBody is the content of a message between hosts: Push, Digest, Buckets,
// Versions, Fetch, FetchAll or Busy.
type PeerBody interface{ isPeerBody() }

// Push contains objects and tombstones.
type Push struct{ Objects []Object }

// Digest is the hash of the sender's configuration.
type Digest struct {
	Hash uint64
	// Complete is set if the sender has the complete configuration.
	Complete bool
}

// Buckets contains the hash of each bucket of the sender's configuration.
type Buckets struct{ Hashes []uint64 }

// ObjectVersion is the version of one object.
type ObjectVersion struct {
	Key     Key
	Version Version
}

// Versions lists the versions of the sender's objects in some buckets.
type Versions struct {
	// Buckets lists the numbers of these buckets.
	Buckets  []int
	Versions []ObjectVersion
}

// Fetch requests the objects with the given keys.
type Fetch struct{ Keys []Key }

// FetchAll requests the complete configuration. The response is one or more Push
// messages followed by a Digest.
type FetchAll struct{}

// Busy is the response to a FetchAll that the sender cannot serve now.
type Busy struct{}

func (Push) isPeerBody()     {}
func (Digest) isPeerBody()   {}
func (Buckets) isPeerBody()  {}
func (Versions) isPeerBody() {}
func (Fetch) isPeerBody()    {}
func (FetchAll) isPeerBody() {}
func (Busy) isPeerBody()     {}
