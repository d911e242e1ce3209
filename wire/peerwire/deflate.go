package peerwire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"baobabfield.example/core/feed"
)

const (
	// deflateFrom is the size in bytes from which objects are compressed: a
	// configuration of thousands of routes goes to every host of a data centre, some
	// of them on links of 10 Mbit/s, and shrinks to a tenth.
	deflateFrom = 4 << 10
	// maxInflated bounds an object, in bytes; the store takes up to 1 MiB.
	maxInflated = 4 << 20
)

// deflater compresses objects; each version once, however many hosts ask for it.
type deflater struct{ newest map[objectKey]deflated }

type objectKey struct {
	kind feed.Kind
	name string
}

type deflated struct {
	revision uint64
	data     []byte
}

func newDeflater() deflater { return deflater{newest: map[objectKey]deflated{}} }

func (d *deflater) deflate(o *feed.Object) []byte {
	key := objectKey{kind: o.Kind, name: o.Name}
	if known, ok := d.newest[key]; ok && known.revision == o.Revision {
		return known.data
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic("peerwire: " + err.Error())
	}
	// A bytes.Buffer takes every write.
	_, _ = w.Write(o.Data)
	_ = w.Close()
	d.newest[key] = deflated{revision: o.Revision, data: buf.Bytes()}
	return buf.Bytes()
}

// inflate returns the data of an object called name.
func inflate(name string, compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxInflated+1))
	if err != nil {
		return nil, fmt.Errorf("object %q does not inflate: %w", name, err)
	}
	if len(data) > maxInflated {
		return nil, fmt.Errorf("object %q has more than %d bytes", name, maxInflated)
	}
	return data, nil
}
