package config

// PeerBody is the content of a message between hosts: Push, Digest, Buckets,
// Versions, Fetch, FetchAll or Busy.
type PeerBody interface{ isPeerBody() }

// Push carries objects.
type Push struct{ Objects []Object }

// Digest is the hash of the sender's configuration.
type Digest struct {
	Hash uint64
	// Complete is set if the sender has the whole configuration.
	Complete bool
}

// Buckets holds the hashes of the sender's configuration by bucket.
type Buckets struct{ Hashes []uint64 }

// ObjectVersion is the version of one object.
type ObjectVersion struct {
	Key     Key
	Version Version
}

// Versions lists the versions of the objects of some buckets.
type Versions struct {
	// Buckets are the listed buckets.
	Buckets  []int
	Versions []ObjectVersion
}

// Fetch asks for the named objects.
type Fetch struct{ Keys []Key }

// FetchAll asks for the whole configuration. The answer is Pushes and a Digest at
// the end.
type FetchAll struct{}

// Busy answers a FetchAll that the sender cannot serve now.
type Busy struct{}

func (Push) isPeerBody()     {}
func (Digest) isPeerBody()   {}
func (Buckets) isPeerBody()  {}
func (Versions) isPeerBody() {}
func (Fetch) isPeerBody()    {}
func (FetchAll) isPeerBody() {}
func (Busy) isPeerBody()     {}
