package types

import "fmt"

// Revision identifies a state of the platform's store. The store numbers its changes in
// ascending order. After it was restored from an older copy, an era begins in which it assigns
// numbers again. Of two revisions the one of the later era is greater, and within an era the one
// with the greater number. Zero means that no state is known.
type Revision uint64

// revisionNumberBits is the size of the number. The bits above it hold the era.
const revisionNumberBits = 40

// NewRevision returns the revision of a change. It returns an error if the era or the number is
// out of range.
func NewRevision(era, number uint64) (Revision, error) {
	r := Revision(era<<revisionNumberBits | number&(1<<revisionNumberBits-1))
	if r.Era() != era || r.Number() != number {
		return 0, fmt.Errorf("revision %d of era %d is out of range", number, era)
	}
	return r, nil
}

// Era returns the era, which rises with each restore of the store.
func (r Revision) Era() uint64 { return uint64(r >> revisionNumberBits) }

// Number returns the store's number of the change, for calls to the store.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionNumberBits - 1) }

// EraStart returns the revision before the first change of an era.
func EraStart(era uint64) Revision { return Revision(era << revisionNumberBits) }

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }
