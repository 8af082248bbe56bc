package entry

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

const (
	// checkpointJitterDivisor divides the retention to give the window over
	// which the entries spread their checkpoints, so that one of them writes
	// first and the others need not write.
	checkpointJitterDivisor = 4
	// checkpointRetryDivisor divides the retention to give the time after
	// which a checkpoint that has not been read back is written again.
	checkpointRetryDivisor = 16
	// maxCorrectionDelay bounds the random delay with which an entry corrects
	// an invalid checkpoint.
	maxCorrectionDelay = 2 * time.Second
)

// checkpointScheduler decides when to write a checkpoint, so that the retained
// log always contains one from which a new process can start.
type checkpointScheduler struct {
	retention   time.Duration
	rng         *rand.Rand
	jitter      time.Duration
	nextAttempt time.Time
	// uncovered are the records after the upTo offset of the newest checkpoint.
	// A new process needs them from the first one on.
	uncovered []recordTime
	// invalidOffset is the offset of an invalid checkpoint that no valid one
	// follows yet, 0 if there is none. It is corrected at correctAt.
	invalidOffset uint64
	correctAt     time.Time
}

// recordTime is the offset of a record and the time at which the log accepted
// it.
type recordTime struct {
	offset uint64
	time   time.Time
}

func newCheckpointScheduler(retention time.Duration, seed uint64) *checkpointScheduler {
	scheduler := &checkpointScheduler{
		retention: retention,
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
	scheduler.drawJitter()
	return scheduler
}

// drawJitter draws the random delay of the next checkpoint.
func (c *checkpointScheduler) drawJitter() {
	if limit := int64(c.retention / checkpointJitterDivisor); limit > 0 {
		c.jitter = time.Duration(c.rng.Int64N(limit))
	}
}

// observe adds a record of the log to the uncovered ones, unless it was already
// observed.
func (c *checkpointScheduler) observe(record plat.Record) {
	if c.retention == 0 {
		return
	}
	if n := len(c.uncovered); n > 0 && c.uncovered[n-1].offset >= record.Offset {
		return
	}
	c.uncovered = append(c.uncovered, recordTime{
		offset: record.Offset,
		time:   record.Time,
	})
}

// markInvalid schedules a correction of an invalid checkpoint. A new process
// starts from the newest checkpoint, so a valid one has to follow.
func (c *checkpointScheduler) markInvalid(now time.Time, offset uint64) {
	if c.retention == 0 {
		return
	}
	c.invalidOffset = offset
	c.correctAt = now.Add(time.Duration(c.rng.Int64N(int64(maxCorrectionDelay))))
}

// markCheckpointed discards the records up to the offset that the newest
// checkpoint covers.
func (c *checkpointScheduler) markCheckpointed(checkpointed uint64) {
	if checkpointed >= c.invalidOffset {
		c.invalidOffset = 0
	}
	covered := 0
	for covered < len(c.uncovered) && c.uncovered[covered].offset <= checkpointed {
		covered++
	}
	if covered > 0 {
		c.uncovered = append([]recordTime{}, c.uncovered[covered:]...)
		c.drawJitter()
	}
}

// nextCheckpoint returns the checkpoint to append, if one is due: when half of
// the retention plus the jitter has passed since the oldest uncovered record,
// or when an invalid checkpoint has to be corrected.
func (c *checkpointScheduler) nextCheckpoint(now time.Time, fold *config.Fold) (AppendRecord, bool) {
	if c.retention == 0 || len(c.uncovered) == 0 || !fold.Whole() || now.Before(c.nextAttempt) {
		return AppendRecord{}, false
	}
	ageReached := now.Sub(c.uncovered[0].time) >= c.retention/2+c.jitter
	correctionDue := c.invalidOffset != 0 && !now.Before(c.correctAt)
	if !ageReached && !correctionDue {
		return AppendRecord{}, false
	}
	data, err := json.Marshal(fold.Checkpoint())
	if err != nil {
		return AppendRecord{}, false
	}
	c.nextAttempt = now.Add(c.retention / checkpointRetryDivisor)
	return AppendRecord{
		Tag:    "checkpoint",
		Stream: plat.StreamConfig,
		Data:   data,
	}, true
}
