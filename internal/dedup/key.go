package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key is the digest of an idempotency key and its scope.
type Key [16]byte

// RequestDigest is the digest of a request's contents. It detects the reuse of
// an idempotency key for a different request.
type RequestDigest uint64

// NewKey returns the digest of a caller's idempotency key in the scope of a
// customer and a route. Only the digest leaves the entry, never the key itself.
func NewKey(customer, route, key string) Key {
	var k Key
	copy(k[:], hashParts(customer, route, key))
	return k
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey parses the format written by String.
func ParseKey(s string) (k Key, ok bool) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(k) {
		return k, false
	}
	copy(k[:], raw)
	return k, true
}

// NewRequestDigest returns the digest of the parts of a request.
func NewRequestDigest(parts ...string) RequestDigest {
	return RequestDigest(binary.BigEndian.Uint64(hashParts(parts...)))
}

// hashParts hashes the parts with their lengths, so that moving a byte from one
// part to the next changes the hash.
func hashParts(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // never fails
		_, _ = h.Write([]byte(part))                             // never fails
	}
	return h.Sum(nil)
}

// Owner returns the candidate that rendezvous hashing selects for a key, or the
// empty string if there are no candidates.
func Owner(key Key, candidates []string) string {
	var owner string
	var highest uint64
	for _, name := range candidates {
		score := binary.BigEndian.Uint64(hashParts(string(key[:]), name))
		if owner == "" || score > highest {
			owner, highest = name, score
		}
	}
	return owner
}
