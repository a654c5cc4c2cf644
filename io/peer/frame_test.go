package peer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzReadFrame checks that malformed frames of a peer neither crash the node nor exceed
// the limit, and that every message that was read can be written and read again.
func FuzzReadFrame(f *testing.F) {
	for _, text := range []string{"", "{}", strings.Repeat("a", 2*minCompressLen)} {
		var frame bytes.Buffer
		if _, err := writeFrame(&frame, []byte(text)); err != nil {
			f.Fatal(err)
		}
		f.Add(frame.Bytes())
	}
	f.Add([]byte{0x80, 0, 0, 4, 1, 2, 3, 4})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 16
		message, n, err := readFrame(bytes.NewReader(data), limit)
		if n > len(data) || len(message) > limit {
			t.Fatalf("%d bytes read of %d, message of %d", n, len(data), len(message))
		}
		if err != nil {
			return
		}
		var again bytes.Buffer
		if _, err := writeFrame(&again, message); err != nil {
			t.Fatal(err)
		}
		assertRead(t, again.Bytes(), message)
	})
}

// TestFrameLimits checks that a long message is an error. A peer could otherwise use up
// the memory with a small compressed one.
func TestFrameLimits(t *testing.T) {
	t.Run("a compressed message that expands beyond the limit", func(t *testing.T) {
		var frame bytes.Buffer
		if _, err := writeFrame(&frame, make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := readFrame(&frame, 1<<16); !errors.Is(err, errTooLong) {
			t.Fatalf("error %v, want errTooLong", err)
		}
	})
	t.Run("a message beyond the longest", func(t *testing.T) {
		if _, err := writeFrame(&bytes.Buffer{}, make([]byte, maxMessage+1)); !errors.Is(err, errTooLong) {
			t.Fatalf("error %v, want errTooLong", err)
		}
	})
}

func assertRead(t *testing.T, frame, want []byte) {
	t.Helper()
	message, n, err := readFrame(bytes.NewReader(frame), maxMessage)
	if err != nil || n != len(frame) || !bytes.Equal(message, want) {
		t.Fatalf("read %d of %d bytes, message of %d, want %d, %v", n, len(frame), len(message), len(want), err)
	}
}
