package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxMessage is the longest message in bytes; a transfer of chunks stays
	// below it.
	maxMessage = 4 << 20
	// compressFrom is the length in bytes from which a message is compressed.
	compressFrom = 1 << 10
	// compressedBit marks a compressed message in the length of its frame.
	compressedBit = 1 << 31
	frameHead     = 4
)

var errTooLong = errors.New("message is too long")

var compressors = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// writeFrame writes a message behind its length and returns the bytes written.
func writeFrame(w io.Writer, data []byte) (int, error) {
	if len(data) > maxMessage {
		return 0, errTooLong
	}
	head := uint32(len(data))
	if len(data) >= compressFrom {
		if packed := compress(data); len(packed) < len(data) {
			data = packed
			head = uint32(len(packed)) | compressedBit
		}
	}
	frame := make([]byte, frameHead, frameHead+len(data))
	binary.BigEndian.PutUint32(frame, head)
	return w.Write(append(frame, data...))
}

// readFrame reads a message of at most limit bytes, and returns it with the
// bytes read.
func readFrame(r io.Reader, limit uint32) ([]byte, int, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	isCompressed := n&compressedBit != 0
	n &^= compressedBit
	if n > limit {
		return nil, frameHead, errTooLong
	}
	// The buffer grows with what arrives: a length alone claims no memory.
	var buffer bytes.Buffer
	read, err := io.CopyN(&buffer, r, int64(n))
	size := frameHead + int(read)
	if err != nil {
		return nil, size, errors.Wrap(err, "message is cut short")
	}
	if !isCompressed {
		return buffer.Bytes(), size, nil
	}
	data, err := expand(&buffer, limit)
	return data, size, err
}

func compress(data []byte) []byte {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return packed.Bytes()
}

func expand(packed io.Reader, limit uint32) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(packed), int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed message")
	}
	if len(data) > int(limit) {
		return nil, errTooLong
	}
	return data, nil
}
