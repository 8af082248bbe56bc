package dedup

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"dogwoodfold/internal/plat"
)

// Process identifies one run of an agent on a host.
type Process struct {
	Host        string
	Incarnation uint64
}

// keyClaim is the state of a key according to the claim log.
type keyClaim struct {
	// holder is the process that holds the key.
	holder Process
	digest RequestDigest
	// lastClaimedAt is the log time of the newest claim of the key, by any
	// process.
	lastClaimedAt time.Time
	// readAt is the local time at which that claim was read.
	readAt time.Time
	// sentAt is the time at which this process first sent the claim with which
	// it holds the key, or zero if unknown.
	sentAt time.Time
}

// claimIndex is the state computed from the stream of claims. The first claim
// of a key holds it. The key becomes free when no process has claimed it for a
// full window of log time. The rule depends only on the log, so all processes
// agree on the holder.
type claimIndex struct {
	self    Process
	service string
	window  time.Duration
	keys    map[Key]keyClaim
	// latestLogTime is the newest record time read from the log.
	latestLogTime time.Time
}

// maxClaimsPerRecord limits the size of one append.
const maxClaimsPerRecord = 1000

// encodedClaimSize is the encoded length in bytes of a claim: the key and the
// request digest.
const encodedClaimSize = len(Key{}) + 8

// claimRecord is the JSON encoding of a record in the stream of claims.
type claimRecord struct {
	Service     string `json:"service"`
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	// Claims holds the concatenated encoded claims in unpadded base64.
	Claims string `json:"claims"`
}

// claim is a claim of one key for the request it came with.
type claim struct {
	key    Key
	digest RequestDigest
}

var errMalformedClaims = errors.New("dedup: malformed claim record")

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

// decodeClaims parses a record and the claims in it.
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

// apply processes one record of the log and returns the keys that this process
// claimed in it. sentAt returns the time at which this process first sent its
// claim of a key.
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
		kc := c.claimAt(r.Time, cl, holder)
		kc.readAt = now
		if holder == c.self {
			ownKeys = append(ownKeys, cl.key)
			kc.sentAt = sentAt(cl.key)
		}
		c.keys[cl.key] = kc
	}
	return ownKeys, nil
}

// claimAt returns the state of a key after a claim at the given log time. The
// claimant becomes the holder if the key is free.
func (c *claimIndex) claimAt(logTime time.Time, cl claim, claimant Process) keyClaim {
	kc, found := c.keys[cl.key]
	if !found || logTime.Sub(kc.lastClaimedAt) >= c.window {
		kc = keyClaim{
			holder: claimant,
			digest: cl.digest,
		}
	}
	if logTime.After(kc.lastClaimedAt) {
		kc.lastClaimedAt = logTime
	}
	return kc
}

// lookup returns the claim of a key, unless a full window has passed since the
// claim was read.
func (c *claimIndex) lookup(now time.Time, key Key) (keyClaim, bool) {
	kc, found := c.keys[key]
	if found && now.Sub(kc.readAt) >= c.window {
		return keyClaim{}, false // the key may be free; a new claim decides who holds it
	}
	return kc, found
}

// mayRun reports whether this process may run a call with the key under the
// claim that it holds. The claim must have been sent less than half a window
// ago, which leaves the other half of the window for the run.
func (c *claimIndex) mayRun(now time.Time, key Key) bool {
	kc, found := c.lookup(now, key)
	return found && kc.holder == c.self && !kc.sentAt.IsZero() && now.Sub(kc.sentAt) < c.window/2
}

// removeExpired removes the keys whose window has passed in log time. A later
// claim finds them free.
func (c *claimIndex) removeExpired() {
	for key, kc := range c.keys {
		if c.latestLogTime.Sub(kc.lastClaimedAt) >= c.window {
			delete(c.keys, key)
		}
	}
}
