package dedup

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"dogwoodfold/internal/plat"
)

// Key is the digest of an idempotency key within its scope.
type Key [16]byte

// RequestDigest is the digest of what a call asks for.
type RequestDigest uint64

// Process is an agent process.
type Process struct {
	Host        string
	Incarnation uint64
}

// keyClaim is what the log says of a key.
type keyClaim struct {
	holder Process
	digest RequestDigest
	// lastClaimedAt is the log's time of the newest claim of the key.
	lastClaimedAt time.Time
	// readAt is when that claim was read.
	readAt time.Time
	// sentAt is when this process sentAt the claim that it holds the key by, zero
	// if that is not known.
	sentAt time.Time
}

// claimIndex folds the stream of claimIndex. The first claim of a key holds it; the
// key is free again once no process has claimed it for a whole window of the
// log's time. That rule depends on the log only, so all processes agree.
type claimIndex struct {
	self          Process
	service       string
	window        time.Duration
	keys          map[Key]keyClaim
	latestLogTime time.Time
}

// maxClaimsPerRecord bounds one append.
const maxClaimsPerRecord = 1000

// encodedClaimSize is the length of a claim in a record: key and body.
const encodedClaimSize = len(Key{}) + 8

// claimRecord is a record of the stream of claims.
type claimRecord struct {
	Service     string `json:"service"`
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	// Claims holds key and body digests, one after the other, in base64.
	Claims string `json:"claims"`
}

// claim is one key and the body that it came with.
type claim struct {
	key    Key
	digest RequestDigest
}

// errMalformedClaims reports a malformed record.
var errMalformedClaims = errors.New("dedup: malformed record of claims")

// encodeClaims returns the record for a batch of claims.
func encodeClaims(service string, process Process, batch []claim) ([]byte, error) {
	raw := make([]byte, 0, len(batch)*encodedClaimSize)
	for _, c := range batch {
		raw = append(raw, c.key[:]...)
		raw = binary.BigEndian.AppendUint64(raw, uint64(c.digest))
	}
	return json.Marshal(claimRecord{
		Service:     service,
		Host:        process.Host,
		Incarnation: process.Incarnation,
		Claims:      base64.RawStdEncoding.EncodeToString(raw),
	})
}

// decodeClaims reads a record.
func decodeClaims(data []byte) (record claimRecord, batch []claim, err error) {
	if err := json.Unmarshal(data, &record); err != nil {
		return record, nil, err
	}
	raw, err := base64.RawStdEncoding.DecodeString(record.Claims)
	if err != nil {
		return record, nil, err
	}
	if len(raw)%encodedClaimSize != 0 || record.Incarnation == 0 {
		return record, nil, errMalformedClaims
	}
	for ; len(raw) > 0; raw = raw[encodedClaimSize:] {
		c := claim{digest: RequestDigest(binary.BigEndian.Uint64(raw[len(Key{}):]))}
		copy(c.key[:], raw)
		batch = append(batch, c)
	}
	return record, batch, nil
}

// apply folds one record and returns the keys that this process claimed in it.
func (c *claimIndex) apply(now time.Time, r plat.Record, sentAt func(Key) time.Time) (ownKeys []Key, err error) {
	if r.Time.After(c.latestLogTime) {
		c.latestLogTime = r.Time
	}
	record, batch, err := decodeClaims(r.Data)
	if err != nil || record.Service != c.service {
		return nil, err
	}
	holder := Process{
		Host:        record.Host,
		Incarnation: record.Incarnation,
	}
	for _, cl := range batch {
		kc, found := c.keys[cl.key]
		if !found || r.Time.Sub(kc.lastClaimedAt) >= c.window {
			kc = keyClaim{
				holder: holder,
				digest: cl.digest,
			}
		}
		if r.Time.After(kc.lastClaimedAt) {
			kc.lastClaimedAt = r.Time
		}
		kc.readAt = now
		if holder == c.self {
			ownKeys = append(ownKeys, cl.key)
			kc.sentAt = sentAt(cl.key)
		}
		c.keys[cl.key] = kc
	}
	return ownKeys, nil
}

// lookup returns the hold of a key unless its window has passed.
func (c *claimIndex) lookup(now time.Time, key Key) (keyClaim, bool) {
	kc, found := c.keys[key]
	if found && now.Sub(kc.readAt) >= c.window {
		return keyClaim{}, false // the log decides once more
	}
	return kc, found
}

// mayRun reports whether this process may run a key by the claim that it has.
// Half of the window stays for the run.
func (c *claimIndex) mayRun(now time.Time, key Key) bool {
	kc, found := c.lookup(now, key)
	return found && kc.holder == c.self && !kc.sentAt.IsZero() && now.Sub(kc.sentAt) < c.window/2
}

// removeExpired forgets the keys that no claim can meet within their window any more.
func (c *claimIndex) removeExpired() {
	for key, kc := range c.keys {
		if c.latestLogTime.Sub(kc.lastClaimedAt) >= c.window {
			delete(c.keys, key)
		}
	}
}
