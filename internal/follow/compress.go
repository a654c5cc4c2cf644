package follow

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"lavenderdeal/io/platform"
)

var deflateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return w
}}

// compress compresses a head or a chunk for another node.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// decompress decompresses data from another node, up to the size of the largest
// value that the platform stores.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	decompressed, err := io.ReadAll(io.LimitReader(r, platform.MaxValue+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(decompressed) > platform.MaxValue {
		return nil, errors.New("unpack: the decompressed data is longer than the largest value that the platform stores")
	}
	return decompressed, nil
}

// compressedChunks caches compressed chunks, since a node sends the same ones
// many times when many nodes start at once. Lock order: mu is the only lock.
type compressedChunks struct {
	mu     sync.Mutex
	byHash map[string][]byte
}

// get returns a chunk in compressed form. The cache is emptied when it has twice as
// many entries as the node holds chunks, which is the argument held.
func (c *compressedChunks) get(hash string, data []byte, held int) ([]byte, error) {
	c.mu.Lock()
	compressed, ok := c.byHash[hash]
	c.mu.Unlock()
	if ok {
		return compressed, nil
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byHash == nil || len(c.byHash) >= 2*held {
		c.byHash = make(map[string][]byte)
	}
	c.byHash[hash] = compressed
	return compressed, nil
}
