// Package dedup runs each non-idempotent call at most once. A Table recognizes
// duplicate attempts that reach this process by their request IDs. It
// recognizes repeated idempotency keys through claims in the platform's log,
// which all agents share.
package dedup

import (
	"cmp"
	"time"
)

// Defaults for settings that are zero.
const (
	DefaultClaimWindow      = time.Hour
	DefaultOutcomeRetention = 10 * time.Minute
	DefaultClaimWait        = 2 * time.Second
	defaultAppendInterval   = 30 * time.Millisecond
	defaultMaxResponseBytes = 32 << 20
	defaultMaxRecords       = 200_000
	defaultMaxKeys          = 1_000_000
)

// Settings configures a Table. Fields that are zero take their defaults.
type Settings struct {
	Self    Process
	Service string
	// ClaimWindow is how long a key stays claimed after its newest claim.
	ClaimWindow time.Duration
	// OutcomeRetention is how long outcomes are kept.
	OutcomeRetention time.Duration
	// ClaimWait limits how long an attempt waits for its claim to be read back
	// from the log.
	ClaimWait time.Duration
	// AppendInterval is the minimum time between two appends to the log.
	AppendInterval time.Duration
	// MaxResponseBytes limits the total size of the stored response bodies.
	MaxResponseBytes int
	// MaxRecords limits the number of stored attempts.
	MaxRecords int
	// MaxKeys limits the number of claimed keys that are tracked.
	MaxKeys int
}

// Table holds the deduplication state of one agent process. It is not safe for
// concurrent use.
type Table struct {
	settings Settings
	claims   claimIndex
	writer   *claimWriter
	byID     map[attemptID]*attemptRecord
	byKey    map[Key]*attemptRecord
	byCallID map[uint64]*attemptRecord
	// waitingOn maps the call ID of a waiting attempt to the record it waits
	// for.
	waitingOn map[uint64]*attemptRecord
	// keyStarts holds the start times of keys for which a call may have run in
	// this process.
	keyStarts map[Key]time.Time
	// ended holds the records with an outcome, oldest first.
	ended []*attemptRecord
	// responseBytes is the total size of the stored response bodies.
	responseBytes int
	// lastSweepAt is the time of the last removal of expired keys.
	lastSweepAt time.Time
}

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	s.ClaimWindow = cmp.Or(s.ClaimWindow, DefaultClaimWindow)
	s.OutcomeRetention = cmp.Or(s.OutcomeRetention, DefaultOutcomeRetention)
	s.ClaimWait = cmp.Or(s.ClaimWait, DefaultClaimWait)
	s.AppendInterval = cmp.Or(s.AppendInterval, defaultAppendInterval)
	s.MaxResponseBytes = cmp.Or(s.MaxResponseBytes, defaultMaxResponseBytes)
	s.MaxRecords = cmp.Or(s.MaxRecords, defaultMaxRecords)
	s.MaxKeys = cmp.Or(s.MaxKeys, defaultMaxKeys)
	return s
}

// New returns an empty table.
func New(s Settings) *Table {
	s = s.withDefaults()
	return &Table{
		settings: s,
		claims: claimIndex{
			self:    s.Self,
			service: s.Service,
			window:  s.ClaimWindow,
			keys:    make(map[Key]keyClaim),
		},
		writer:    newClaimWriter(s.AppendInterval),
		byID:      make(map[attemptID]*attemptRecord),
		byKey:     make(map[Key]*attemptRecord),
		byCallID:  make(map[uint64]*attemptRecord),
		waitingOn: make(map[uint64]*attemptRecord),
		keyStarts: make(map[Key]time.Time),
	}
}

// SetAppendInterval sets the minimum time between two appends.
func (t *Table) SetAppendInterval(interval time.Duration) { t.writer.interval = interval }
