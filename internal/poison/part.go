package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
)

// Part identifies a part of a prompt, wherever it stands in the prompt, or a whole
// request, whose part is its fingerprint.
type Part uint64

// NewPart returns the part with the given ID. It is a hash that callers can't choose
// to be that of another part.
func NewPart(id string) Part {
	sum := sha256.Sum256([]byte(id))
	return PartOfHash(binary.BigEndian.Uint64(sum[:]))
}

// PartOfHash returns the part whose ID has the given hash.
func PartOfHash(hash uint64) Part {
	p := Part(hash)
	if p.isFingerprint() {
		p &^= 1 << 63 // the tag is that of fingerprints
	}
	return p
}

// fingerprintTag marks the parts that stand for whole requests.
const fingerprintTag Part = 0xff << 56

// NewFingerprint returns the part that stands for a whole request: all requests of a
// customer with the same content have it, and no others.
func NewFingerprint(customer, content string) Part {
	sum := sha256.Sum256([]byte(customer + "\x00" + content))
	return Part(binary.BigEndian.Uint64(sum[:])) | fingerprintTag
}

func (p Part) isFingerprint() bool { return p&fingerprintTag == fingerprintTag }

// String returns the part as logs name it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// union returns the parts of both lists in ascending order.
func union(a, b []Part) []Part {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
