// Package secret authenticates messages with HMAC-SHA256 under a shared key.
package secret

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"sync"
)

// Key is a shared key. Its content is never printed. Keys are created by [New]; the
// zero value is not usable. A Key is safe for concurrent use.
type Key struct {
	// pool holds the HMAC states, of type hash.Hash.
	pool *sync.Pool
}

// New returns the key with the given content.
func New(content string) Key {
	material := []byte(content)
	return Key{pool: &sync.Pool{New: func() any { return hmac.New(sha256.New, material) }}}
}

// Sum returns the HMAC-SHA256 of the parts. Each part is prefixed with its length, so
// that two different lists of parts are never the same input.
func (k Key) Sum(parts ...string) [sha256.Size]byte {
	mac := k.pool.Get().(hash.Hash)
	defer k.pool.Put(mac)
	mac.Reset()
	var length [4]byte
	var buf [256]byte
	for _, part := range parts {
		n := len(part)
		length = [4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
		mac.Write(length[:])
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

// Sign returns the HMAC of the parts in unpadded URL-safe base64.
func (k Key) Sign(parts ...string) string {
	sum := k.Sum(parts...)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Verify reports whether proof is the result of Sign for the same key and parts.
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

// GoString hides the content of the key in %#v.
func (Key) GoString() string { return "secret.Key(hidden)" }
