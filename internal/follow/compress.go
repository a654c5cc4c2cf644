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
		return nil, errors.New("unpack: longer than the largest value that the platform stores")
	}
	return decompressed, nil
}

// compressedChunks caches compressed chunks, since a node sends the same ones
// many times when many nodes start at once. Lock order: mu is the only lock.
type compressedChunks struct {
	mu     sync.Mutex
	byHash map[string][]byte
}

// get returns a chunk in compressed form. The cache is emptied when it has
// twice as many entries as the node holds chunks.
func (p *compressedChunks) get(hash string, data []byte, held int) ([]byte, error) {
	p.mu.Lock()
	compressed, ok := p.byHash[hash]
	p.mu.Unlock()
	if ok {
		return compressed, nil
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byHash == nil || len(p.byHash) >= 2*held {
		p.byHash = make(map[string][]byte)
	}
	p.byHash[hash] = compressed
	return compressed, nil
}
