package entry

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

const (
	// checkpointSpread spreads the entries' checkpoints over a part of the
	// retention, so that one of them is first and the others need none.
	checkpointSpread = 4
	// checkpointRetry is the part of the retention after which a checkpoint
	// that was not read back is written again.
	checkpointRetry = 16
	// answerSpread spreads the entries' answers to a wrong checkpoint.
	answerSpread = 2 * time.Second
)

// checkpoints decides when a checkpoint has to be written so that a fresh
// process always finds one in what the log keeps.
type checkpoints struct {
	retention time.Duration
	random    *rand.Rand
	jitter    time.Duration
	notBefore time.Time
	// pending are the records after the newest checkpoint's upTo; a fresh
	// process needs the first of them.
	pending []recordTime
	// wrong is the offset of a wrong checkpoint that no right one follows yet,
	// 0 for none; it is answered at answerAt.
	wrong    uint64
	answerAt time.Time
}

// recordTime is when the log took a record.
type recordTime struct {
	offset uint64
	time   time.Time
}

func newCheckpoints(retention time.Duration, seed uint64) *checkpoints {
	c := &checkpoints{
		retention: retention,
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
	c.spread()
	return c
}

// spread draws the next delay.
func (c *checkpoints) spread() {
	if most := int64(c.retention / checkpointSpread); most > 0 {
		c.jitter = time.Duration(c.random.Int64N(most))
	}
}

// read notes a record of the log.
func (c *checkpoints) read(r plat.Record) {
	if c.retention == 0 {
		return
	}
	if n := len(c.pending); n > 0 && c.pending[n-1].offset >= r.Offset {
		return
	}
	c.pending = append(c.pending, recordTime{
		offset: r.Offset,
		time:   r.Time,
	})
}

// refute notes a wrong checkpoint. A fresh process starts from the newest one,
// so a right one has to follow.
func (c *checkpoints) refute(now time.Time, offset uint64) {
	if c.retention == 0 {
		return
	}
	c.wrong = offset
	c.answerAt = now.Add(time.Duration(c.random.Int64N(int64(answerSpread))))
}

// reached forgets the records that a checkpoint stands for.
func (c *checkpoints) reached(checkpointed uint64) {
	if checkpointed >= c.wrong {
		c.wrong = 0
	}
	n := 0
	for n < len(c.pending) && c.pending[n].offset <= checkpointed {
		n++
	}
	if n > 0 {
		c.pending = append([]recordTime{}, c.pending[n:]...)
		c.spread()
	}
}

// due returns the append of a checkpoint when half of the retention of the
// oldest record that is needed, and the jitter, have passed, or when a wrong
// checkpoint has to be answered.
func (c *checkpoints) due(now time.Time, f *config.Fold) (Append, bool) {
	if c.retention == 0 || len(c.pending) == 0 || !f.Whole() || now.Before(c.notBefore) {
		return Append{}, false
	}
	old := now.Sub(c.pending[0].time) >= c.retention/2+c.jitter
	answer := c.wrong != 0 && !now.Before(c.answerAt)
	if !old && !answer {
		return Append{}, false
	}
	data, err := json.Marshal(f.Checkpoint())
	if err != nil {
		return Append{}, false
	}
	c.notBefore = now.Add(c.retention / checkpointRetry)
	return Append{
		Tag:    "checkpoint",
		Stream: plat.StreamConfig,
		Data:   data,
	}, true
}
