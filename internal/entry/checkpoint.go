package entry

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

const (
	// checkpointJitterDivisor spreads the entries' checkpoints over a part of the
	// retention, so that one of them is first and the others need none.
	checkpointJitterDivisor = 4
	// checkpointRetryDivisor is the part of the retention after which a checkpoint
	// that was not read back is written again.
	checkpointRetryDivisor = 16
	// maxCorrectionDelay spreads the entries' answers to a wrong checkpoint.
	maxCorrectionDelay = 2 * time.Second
)

// checkpointScheduler decides when a checkpoint has to be written so that a fresh
// process always finds one in what the log keeps.
type checkpointScheduler struct {
	retention   time.Duration
	rng         *rand.Rand
	jitter      time.Duration
	nextAttempt time.Time
	// uncovered are the records after the newest checkpoint's upTo; a fresh
	// process needs the first of them.
	uncovered []recordTime
	// invalidOffset is the offset of a invalidOffset checkpoint that no right one follows yet,
	// 0 for none; it is answered at answerAt.
	invalidOffset uint64
	correctAt     time.Time
}

// recordTime is when the log took a record.
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

// drawJitter draws the next delay.
func (c *checkpointScheduler) drawJitter() {
	if limit := int64(c.retention / checkpointJitterDivisor); limit > 0 {
		c.jitter = time.Duration(c.rng.Int64N(limit))
	}
}

// observe notes a record of the log.
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

// markInvalid notes a wrong checkpoint. A fresh process starts from the newest one,
// so a right one has to follow.
func (c *checkpointScheduler) markInvalid(now time.Time, offset uint64) {
	if c.retention == 0 {
		return
	}
	c.invalidOffset = offset
	c.correctAt = now.Add(time.Duration(c.rng.Int64N(int64(maxCorrectionDelay))))
}

// markCheckpointed forgets the records that a checkpoint stands for.
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

// nextCheckpoint returns the append of a checkpoint when half of the retention of the
// oldest record that is needed, and the jitter, have passed, or when a wrong
// checkpoint has to be answered.
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
