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
	// maxMessage is the maximum length of a message in bytes. Transfers of chunks stay
	// below it.
	maxMessage = 4 << 20
	// minCompressLen is the minimum length in bytes of a message that is compressed.
	minCompressLen = 1 << 10
	// compressedBit is set in the length of a frame whose message is compressed.
	compressedBit = 1 << 31
	// frameHeaderLen is the length of a frame's header in bytes.
	frameHeaderLen = 4
)

var errTooLong = errors.New("message exceeds the maximum length")

var compressors = sync.Pool{New: func() any {
	// NewWriter fails only if the level is invalid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// writeFrame writes the length of a message and the message, and returns the number of
// bytes written.
func writeFrame(w io.Writer, data []byte) (int, error) {
	if len(data) > maxMessage {
		return 0, errTooLong
	}
	header := uint32(len(data))
	if len(data) >= minCompressLen {
		if compressed := compress(data); len(compressed) < len(data) {
			data = compressed
			header = uint32(len(compressed)) | compressedBit
		}
	}
	frame := make([]byte, frameHeaderLen, frameHeaderLen+len(data))
	binary.BigEndian.PutUint32(frame, header)
	return w.Write(append(frame, data...))
}

// readFrame reads a message of at most limit bytes. It returns the message and the
// number of bytes read.
func readFrame(r io.Reader, limit uint32) ([]byte, int, error) {
	var header [frameHeaderLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	isCompressed := n&compressedBit != 0
	n &^= compressedBit
	if n > limit {
		return nil, frameHeaderLen, errTooLong
	}
	// The buffer grows as data arrives, so that a frame cannot allocate memory by its
	// length alone.
	var buffer bytes.Buffer
	read, err := io.CopyN(&buffer, r, int64(n))
	size := frameHeaderLen + int(read)
	if err != nil {
		return nil, size, errors.Wrap(err, "read message")
	}
	if !isCompressed {
		return buffer.Bytes(), size, nil
	}
	data, err := decompress(&buffer, limit)
	return data, size, err
}

func compress(data []byte) []byte {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var compressed bytes.Buffer
	w.Reset(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return compressed.Bytes()
}

func decompress(compressed io.Reader, limit uint32) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	if len(data) > int(limit) {
		return nil, errTooLong
	}
	return data, nil
}
