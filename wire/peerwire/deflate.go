package peerwire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/types"
)

const (
	// minCompressedBytes is the size from which objects are compressed. A configuration
	// of thousands of routes is sent to every host of a data centre, in part over links
	// of 10 Mbit/s; compression reduces it to a tenth.
	minCompressedBytes = 4 << 10
	// maxDecompressedBytes is the largest object that a host accepts. The store accepts
	// objects of up to 1 MiB.
	maxDecompressedBytes = 4 << 20
)

// compressionCache compresses objects and keeps the compressed form of the latest version
// of each. A version that several hosts request is thus compressed once.
type compressionCache struct {
	versions map[objectKey]compressedVersion
}

type objectKey struct {
	kind feed.Kind
	name string
}

type compressedVersion struct {
	revision types.Revision
	data     []byte
}

func newCompressionCache() compressionCache {
	return compressionCache{versions: map[objectKey]compressedVersion{}}
}

func (c *compressionCache) compress(o *feed.Object) []byte {
	key := objectKey{kind: o.Kind, name: o.Name}
	if cached, ok := c.versions[key]; ok && cached.revision == o.Revision {
		return cached.data
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic("peerwire: " + err.Error())
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(o.Data)
	_ = w.Close()
	c.versions[key] = compressedVersion{revision: o.Revision, data: buf.Bytes()}
	return buf.Bytes()
}

// decompress returns the decompressed data of an object. The name is used in errors only.
func decompress(name string, compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress object %q: %w", name, err)
	}
	if len(data) > maxDecompressedBytes {
		return nil, fmt.Errorf("decompressed object %q exceeds the limit of %d bytes", name, maxDecompressedBytes)
	}
	return data, nil
}
