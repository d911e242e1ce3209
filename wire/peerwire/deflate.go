package peerwire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"baobabfield.example/core/feed"
)

const (
	// minCompressedBytes is the size in bytes from which objects are compressed: a
	// configuration of thousands of routes goes to every host of a data centre, some
	// of them on links of 10 Mbit/s, and shrinks to a tenth.
	minCompressedBytes = 4 << 10
	// maxDecompressedBytes bounds an object, in bytes; the store takes up to 1 MiB.
	maxDecompressedBytes = 4 << 20
)

// compressionCache compresses objects; each version once, however many hosts ask for it.
type compressionCache struct {
	versions map[objectKey]compressedVersion
}

type objectKey struct {
	kind feed.Kind
	name string
}

type compressedVersion struct {
	revision uint64
	data     []byte
}

func newCompressionCache() compressionCache {
	return compressionCache{versions: map[objectKey]compressedVersion{}}
}

func (d *compressionCache) compress(o *feed.Object) []byte {
	key := objectKey{kind: o.Kind, name: o.Name}
	if cached, ok := d.versions[key]; ok && cached.revision == o.Revision {
		return cached.data
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic("peerwire: " + err.Error())
	}
	// A bytes.Buffer takes every write.
	_, _ = w.Write(o.Data)
	_ = w.Close()
	d.versions[key] = compressedVersion{revision: o.Revision, data: buf.Bytes()}
	return buf.Bytes()
}

// decompress returns the data of an object called name.
func decompress(name string, compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("object %q does not inflate: %w", name, err)
	}
	if len(data) > maxDecompressedBytes {
		return nil, fmt.Errorf("object %q has more than %d bytes", name, maxDecompressedBytes)
	}
	return data, nil
}
