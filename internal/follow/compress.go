package follow

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"lavenderdeal/io/platform"
)

var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return w
}}

// compress packs a head or a chunk for another node.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// decompress unpacks what another node sent, up to the size that the platform
// keeps.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	unpacked, err := io.ReadAll(io.LimitReader(r, platform.MaxValue+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(unpacked) > platform.MaxValue {
		return nil, errors.New("unpack: longer than the platform keeps")
	}
	return unpacked, nil
}

// packedChunks keeps chunks as they are sent, since a node that serves a herd
// sends the same ones often. Lock order: mu is the only lock.
type packedChunks struct {
	mu     sync.Mutex
	byHash map[string][]byte
}

// get returns a chunk as it is sent. The node holds a number of chunks; the
// packed ones are dropped when there are more than twice as many.
func (p *packedChunks) get(hash string, data []byte, held int) ([]byte, error) {
	p.mu.Lock()
	packed, ok := p.byHash[hash]
	p.mu.Unlock()
	if ok {
		return packed, nil
	}
	packed, err := compress(data)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byHash == nil || len(p.byHash) >= 2*held {
		p.byHash = make(map[string][]byte)
	}
	p.byHash[hash] = packed
	return packed, nil
}
