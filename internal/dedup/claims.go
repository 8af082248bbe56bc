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

// Body is the digest of what a call asks for.
type Body uint64

// Holder is an agent process.
type Holder struct {
	Host        string
	Incarnation uint64
}

// hold is what the log says of a key.
type hold struct {
	holder Holder
	body   Body
	// last is the log's time of the newest claim of the key.
	last time.Time
	// heard is when that claim was read.
	heard time.Time
	// sent is when this process sent the claim that it holds the key by, zero
	// if that is not known.
	sent time.Time
}

// claims folds the stream of claims. The first claim of a key holds it; the
// key is free again once no process has claimed it for a whole window of the
// log's time. That rule depends on the log only, so all processes agree.
type claims struct {
	self    Holder
	service string
	window  time.Duration
	holds   map[Key]hold
	logTime time.Time
}

// maxClaimsInRecord bounds one append.
const maxClaimsInRecord = 1000

// claimSize is the length of a claim in a record: key and body.
const claimSize = len(Key{}) + 8

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
	key  Key
	body Body
}

// errClaims reports a malformed record.
var errClaims = errors.New("dedup: malformed record of claims")

// encodeClaims returns the record for a batch of claims.
func encodeClaims(service string, self Holder, batch []claim) ([]byte, error) {
	raw := make([]byte, 0, len(batch)*claimSize)
	for _, c := range batch {
		raw = append(raw, c.key[:]...)
		raw = binary.BigEndian.AppendUint64(raw, uint64(c.body))
	}
	return json.Marshal(claimRecord{
		Service:     service,
		Host:        self.Host,
		Incarnation: self.Incarnation,
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
	if len(raw)%claimSize != 0 || record.Incarnation == 0 {
		return record, nil, errClaims
	}
	for ; len(raw) > 0; raw = raw[claimSize:] {
		c := claim{body: Body(binary.BigEndian.Uint64(raw[len(Key{}):]))}
		copy(c.key[:], raw)
		batch = append(batch, c)
	}
	return record, batch, nil
}

// read folds one record and returns the keys that this process claimed in it.
func (c *claims) read(now time.Time, r plat.Record, sent func(Key) time.Time) (own []Key, err error) {
	if r.Time.After(c.logTime) {
		c.logTime = r.Time
	}
	record, batch, err := decodeClaims(r.Data)
	if err != nil || record.Service != c.service {
		return nil, err
	}
	holder := Holder{
		Host:        record.Host,
		Incarnation: record.Incarnation,
	}
	for _, one := range batch {
		h, held := c.holds[one.key]
		if !held || r.Time.Sub(h.last) >= c.window {
			h = hold{
				holder: holder,
				body:   one.body,
			}
		}
		if r.Time.After(h.last) {
			h.last = r.Time
		}
		h.heard = now
		if holder == c.self {
			own = append(own, one.key)
			h.sent = sent(one.key)
		}
		c.holds[one.key] = h
	}
	return own, nil
}

// get returns the hold of a key unless its window has passed.
func (c *claims) get(now time.Time, key Key) (hold, bool) {
	h, held := c.holds[key]
	if held && now.Sub(h.heard) >= c.window {
		return hold{}, false // the log decides once more
	}
	return h, held
}

// usable reports whether this process may run a key by the claim that it has.
// Half of the window stays for the run.
func (c *claims) usable(now time.Time, key Key) bool {
	h, held := c.get(now, key)
	return held && h.holder == c.self && !h.sent.IsZero() && now.Sub(h.sent) < c.window/2
}

// expire forgets the keys that no claim can meet within their window any more.
func (c *claims) expire() {
	for key, h := range c.holds {
		if c.logTime.Sub(h.last) >= c.window {
			delete(c.holds, key)
		}
	}
}
