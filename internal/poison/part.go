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

// maxRequests bounds the requests with one fingerprint that are counted in a crash.
const maxRequests = 8

// merge returns the parts of both lists in ascending order. A fingerprint is in it as often as
// in the list that has it more often, a part of a prompt once.
func merge(a, b []Part) []Part {
	a, b = sortedParts(a), sortedParts(b)
	var out []Part
	for len(a) > 0 || len(b) > 0 {
		p := first(a, b)
		inA, inB := count(a, p), count(b, p)
		out = append(out, slices.Repeat([]Part{p}, p.limit(max(inA, inB)))...)
		a, b = a[inA:], b[inB:]
	}
	return out
}

// limit returns how many of n equal parts are kept.
func (p Part) limit(n int) int {
	if p.isFingerprint() {
		return min(n, maxRequests)
	}
	return 1
}

func sortedParts(parts []Part) []Part {
	if slices.IsSorted(parts) {
		return parts
	}
	return slices.Sorted(slices.Values(parts))
}

// first returns the lowest part in two sorted lists, of which one isn't empty.
func first(a, b []Part) Part {
	if len(b) == 0 || len(a) > 0 && a[0] < b[0] {
		return a[0]
	}
	return b[0]
}

// count returns how often a part is at the beginning of a sorted list.
func count(parts []Part, p Part) int {
	n := 0
	for n < len(parts) && parts[n] == p {
		n++
	}
	return n
}

// distinct returns the parts of a list, each once, in ascending order.
func distinct(parts []Part) []Part { return slices.Compact(slices.Sorted(slices.Values(parts))) }
