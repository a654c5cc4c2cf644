// Package secret proves a shared key without sending it.
package secret

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"sync"
)

// Key is a shared key. It never appears in text.
type Key struct {
	pool *sync.Pool
}

// New returns the key with the given content.
func New(content string) Key {
	material := []byte(content)
	return Key{pool: &sync.Pool{New: func() any { return hmac.New(sha256.New, material) }}}
}

// Sum returns the HMAC-SHA256 of the parts, each of which is framed by its
// length.
func (k Key) Sum(parts ...string) [sha256.Size]byte {
	mac := k.pool.Get().(hash.Hash)
	defer k.pool.Put(mac)
	mac.Reset()
	var frame [4]byte
	var buf [256]byte
	for _, part := range parts {
		n := len(part)
		frame = [4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
		mac.Write(frame[:])
		for len(part) > 0 {
			m := copy(buf[:], part)
			mac.Write(buf[:m])
			part = part[m:]
		}
	}
	var sum [sha256.Size]byte
	mac.Sum(sum[:0])
	return sum
}

// Sign returns the proof of the parts as text.
func (k Key) Sign(parts ...string) string {
	sum := k.Sum(parts...)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Verify says whether proof is that of the parts.
func (k Key) Verify(proof string, parts ...string) bool {
	var given [sha256.Size]byte
	if base64.RawURLEncoding.DecodedLen(len(proof)) != len(given) {
		return false
	}
	if _, err := base64.RawURLEncoding.Decode(given[:], []byte(proof)); err != nil {
		return false
	}
	sum := k.Sum(parts...)
	return hmac.Equal(given[:], sum[:])
}

func (Key) String() string { return "hidden" }

// GoString hides the key from %#v.
func (Key) GoString() string { return "secret.Key(hidden)" }
