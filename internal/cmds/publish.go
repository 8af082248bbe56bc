package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// outcomePollInterval is the time between attempts to determine the outcome of a
// publish.
const outcomePollInterval = 500 * time.Millisecond

// errNoCheckpoint indicates that the configuration can't be recovered from the
// log.
var errNoCheckpoint = errors.New("the log has neither all configuration records nor a checkpoint to start from")

// replayConfig replays the configuration stream up to and including the offset
// upTo, or to its end if upTo is 0.
func replayConfig(ctx context.Context, log plat.Log, upTo uint64) (*config.Fold, error) {
	fold := config.NewFold()
	for {
		page, err := log.Read(ctx, plat.StreamConfig, fold.Next, 0)
		if err != nil {
			return nil, err
		}
		end := page.Next
		if upTo != 0 {
			end = min(end, upTo+1)
		}
		if err := applyUntil(fold, page, end); err != nil {
			return nil, err
		}
		switch {
		case fold.Reached(end):
			return fold, nil
		case fold.Next >= end:
			return nil, errNoCheckpoint
		case len(page.Records) == 0:
			return nil, fmt.Errorf("the log has no records from %d to %d", fold.Next, end)
		}
	}
}

// applyUntil applies the records of a page before the offset end. It returns an error
// only for a format that this program doesn't know: a record that is refused for
// another reason has no effect.
func applyUntil(fold *config.Fold, page plat.Page, end uint64) error {
	fold.Skip(page.First)
	for _, r := range page.Records {
		if r.Offset >= end {
			break
		}
		if err := fold.Apply(r.Offset, r.Data); errors.Is(err, config.ErrFormat) {
			return err
		}
	}
	return nil
}

// publisher publishes configurations or merge patches.
type publisher struct {
	log   plat.Log
	patch bool
	// base is the offset of the configuration that the publish is based on, or
	// 0 for the current one.
	base uint64
	// wait is the timeout for determining the outcome.
	wait time.Duration
}

// publish appends a configuration or patch to the log and determines its outcome
// by its nonce. An append that returns an error is retried. This is safe because
// all copies have the same base, so at most one of them is accepted, and the
// first copy in the log determines the outcome.
func (p *publisher) publish(ctx context.Context, data []byte) (offset uint64, err error) {
	fold, err := replayConfig(ctx, p.log, 0)
	if err != nil {
		return 0, err
	}
	record, nonce, err := p.newRecord(fold, data)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()
	var lastErr error
	appended := false
	for ctx.Err() == nil {
		if !appended {
			_, lastErr = p.log.Append(ctx, plat.StreamConfig, record)
			appended = lastErr == nil
		}
		offset, found, err := findOutcome(ctx, p.log, fold, nonce)
		if found {
			return offset, err
		}
		lastErr = errors.Join(lastErr, err)
		select {
		case <-ctx.Done():
		case <-time.After(outcomePollInterval):
		}
	}
	return 0, unknownOutcomeError(nonce, lastErr)
}

// newRecord checks that the configuration that would result is valid, and returns
// the encoded record and its nonce.
func (p *publisher) newRecord(fold *config.Fold, data []byte) (record []byte, nonce string, err error) {
	if p.base != 0 && p.base != fold.Accepted {
		return nil, "", refusedError(fmt.Errorf("%w: base %d, current offset %d", config.ErrStale, p.base, fold.Accepted))
	}
	publish := &config.Publish{
		Base:  fold.Accepted,
		Nonce: uuid.NewString(),
	}
	if p.patch {
		publish.Patch = data
	} else {
		publish.Text = data
	}
	result, err := fold.Result(publish)
	if err != nil {
		return nil, "", err
	}
	if _, err := config.Parse(result); err != nil {
		return nil, "", err
	}
	publish.Sum = config.Sum(result)
	record, err = json.Marshal(config.Record{Publish: publish})
	return record, publish.Nonce, err
}

// errHasConfiguration indicates that the log still has a configuration and must
// not be restored.
var errHasConfiguration = errors.New("the log has a configuration; publish to change it")

// restoreConfig appends a checkpoint with the given configuration to a log that
// has neither all records nor a checkpoint. The configuration counts as accepted
// at the offset of the last record before the checkpoint, which can no longer be
// replayed.
func restoreConfig(ctx context.Context, log plat.Log, data []byte) (offset uint64, err error) {
	if _, err := config.Parse(data); err != nil {
		return 0, err
	}
	if _, err := replayConfig(ctx, log, 0); !errors.Is(err, errNoCheckpoint) {
		return 0, errors.Join(errHasConfiguration, err)
	}
	page, err := log.Read(ctx, plat.StreamConfig, 1, 0)
	if err != nil {
		return 0, err
	}
	lastOffset := page.Next - 1
	record, err := json.Marshal(config.Record{Checkpoint: &config.Checkpoint{
		UpTo:     lastOffset,
		Accepted: lastOffset,
		Text:     data,
	}})
	if err != nil {
		return 0, err
	}
	if _, err := log.Append(ctx, plat.StreamConfig, record); err != nil {
		return 0, unknownOutcomeError("of the restored configuration", err)
	}
	return lastOffset, nil
}
