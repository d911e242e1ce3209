package membership

import "baobabfield.example/core/types"

// Body is the content of a message between hosts: Ping, Ack, PingReq, Digest,
// Buckets, Summaries or Members.
type Body interface{ isBody() }

// Ping requests an Ack with the same sequence number.
type Ping struct {
	Seq     uint64
	Updates []Member
}

// Ack is the response to a Ping or a PingReq.
type Ack struct {
	Seq     uint64
	Updates []Member
}

// PingReq requests that the receiver ping the target and forward its Ack.
type PingReq struct {
	Seq    uint64
	Target types.Host
	// Address is the target's gossip address.
	Address string
	Updates []Member
}

// Digest summarises the members that the sender knows in each data centre.
type Digest struct{ DataCentres []DataCentreDigest }

// DataCentreDigest is the hash of the members of one data centre.
type DataCentreDigest struct {
	DataCentre types.DataCentre
	Hash       uint64
}

// Buckets refines the digests of the data centres that differ.
type Buckets struct{ DataCentres []BucketDigest }

// BucketDigest holds the hashes of the members of a data centre by bucket; the
// number of buckets is a power of two.
type BucketDigest struct {
	DataCentre types.DataCentre
	Hashes     []uint32
}

// Summaries lists the members of some buckets of a data centre by their hashes. The
// receiver sends those that the sender lacks.
type Summaries struct {
	DataCentre types.DataCentre
	// Count is the number of buckets into which the data centre is divided.
	Count   int
	Buckets []BucketSummary
	// IsResponse is set in the response to a Summaries message. A response causes no
	// further Summaries.
	IsResponse bool
}

// BucketSummary holds the hashes of the members of one bucket.
type BucketSummary struct {
	Bucket int
	Hashes []uint32
}

// Members carries members that the receiver lacks.
type Members struct{ Members []Member }

func (Ping) isBody()      {}
func (Ack) isBody()       {}
func (PingReq) isBody()   {}
func (Digest) isBody()    {}
func (Buckets) isBody()   {}
func (Summaries) isBody() {}
func (Members) isBody()   {}
