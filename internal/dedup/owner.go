package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// NewKey returns the digest of a caller's key in the scope of a customer and a
// route. The key itself goes no further than the entry.
func NewKey(customer, route, key string) Key {
	var k Key
	copy(k[:], hashParts(customer, route, key))
	return k
}

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads what String wrote.
func ParseKey(text string) (k Key, ok bool) {
	raw, err := hex.DecodeString(text)
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

// hashParts hashes parts so that their borders count.
func hashParts(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // never fails
		_, _ = h.Write([]byte(part))                             // never fails
	}
	return h.Sum(nil)
}

// Owner returns the name that rendezvous hashing gives a key to, empty if there
// are no names.
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
