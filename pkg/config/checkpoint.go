package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Checkpoint holds the result of the fold up to an offset, so that a newly
// started process does not need the earlier records.
type Checkpoint struct {
	UpTo     uint64          `json:"upTo"`
	Accepted uint64          `json:"accepted"`
	Text     json.RawMessage `json:"text,omitempty"`
}

// ErrCheckpoint reports a checkpoint that contradicts the records before it.
var ErrCheckpoint = errors.New("checkpoint does not match the records")

// Checkpoint returns a record that replaces all records before Next.
func (f *Fold) Checkpoint() Record {
	return Record{Checkpoint: &Checkpoint{
		UpTo:     f.Next - 1,
		Accepted: f.Accepted,
		Text:     f.Raw,
	}}
}

// verifyCheckpoint compares a checkpoint with the fold's own history. It never
// changes the configuration: a fold that has read the records needs no
// checkpoint.
func (f *Fold) verifyCheckpoint(offset uint64, c *Checkpoint) error {
	if c.UpTo >= offset || c.Accepted > c.UpTo {
		return fmt.Errorf("up to %d: %w", c.UpTo, ErrCheckpoint)
	}
	accepted, sum, known := f.acceptedAt(c.UpTo)
	if !known {
		return nil
	}
	if c.Accepted != accepted {
		return fmt.Errorf("up to %d: accepted %d, was %d: %w", c.UpTo, c.Accepted, accepted, ErrCheckpoint)
	}
	if accepted != 0 && !hasSum(c.Text, sum) {
		return fmt.Errorf("up to %d: document differs: %w", c.UpTo, ErrCheckpoint)
	}
	f.Checkpointed = max(f.Checkpointed, c.UpTo)
	return nil
}

// hasSum reports whether the canonical form of a document has the given sum.
func hasSum(data json.RawMessage, sum string) bool {
	raw, err := canonical(data)
	return err == nil && Sum(raw) == sum
}

// resumeFromNewest resumes from the newest checkpoint that is consistent with
// the buffered records, and applies the records after it. If there is none, the
// gap remains.
func (f *Fold) resumeFromNewest() {
	for _, b := range slices.Backward(f.buffered) {
		r, err := decodeRecord(b.data)
		if err != nil || r.Checkpoint == nil || !f.canResumeFrom(b.offset, r.Checkpoint) {
			continue
		}
		if f.resumeFrom(r.Checkpoint) {
			return
		}
	}
}

// canResumeFrom reports whether the fold can resume from a checkpoint: all
// records after the checkpoint's UpTo are retained, its accepted offset is not
// lower than the fold's, and the publish record that it names, if retained, can
// produce its document.
func (f *Fold) canResumeFrom(offset uint64, c *Checkpoint) bool {
	if c.UpTo >= offset || c.Accepted > c.UpTo || c.UpTo+1 < f.gapEnd || c.Accepted < f.Accepted {
		return false
	}
	if c.Accepted == f.Accepted && f.Accepted != 0 {
		return hasSum(c.Text, f.sum)
	}
	for _, b := range f.buffered {
		if b.offset == c.Accepted {
			return mayProduce(b.data, c.Text)
		}
	}
	return true
}

// mayProduce reports whether a publish record may have resulted in a document.
// A patch without a sum can't be ruled out, since its base is unknown.
func mayProduce(record []byte, result json.RawMessage) bool {
	r, err := decodeRecord(record)
	if err != nil || r.Publish == nil {
		return false
	}
	raw, err := canonical(result)
	if err != nil {
		return false
	}
	if r.Publish.Sum != "" && r.Publish.Sum != Sum(raw) {
		return false
	}
	if len(r.Publish.Patch) != 0 {
		return true
	}
	published, err := canonical(r.Publish.Text)
	return err == nil && string(published) == string(raw)
}

// resumeFrom resumes from a checkpoint and reports whether it did. It changes
// nothing if the document is invalid or the result would lower the accepted
// offset.
func (f *Fold) resumeFrom(c *Checkpoint) bool {
	next := &Fold{Next: c.UpTo + 1}
	if c.Accepted != 0 && next.resetTo(c.Accepted, c.Text) != nil {
		return false
	}
	next.applyBuffered(f.buffered)
	if next.Accepted < f.Accepted {
		return false
	}
	next.Checkpointed = max(next.Checkpointed, c.UpTo)
	*f = *next
	return true
}

// resetTo makes a document the configuration accepted at an offset and discards
// the earlier history.
func (f *Fold) resetTo(accepted uint64, data json.RawMessage) error {
	raw, err := canonical(data)
	if err != nil {
		return err
	}
	doc, err := splitDocument(raw)
	if err != nil {
		return err
	}
	p, err := parse(doc, f.parsed)
	if err != nil {
		return err
	}
	f.setAccepted(accepted, raw, Sum(raw), p)
	f.history = []step{{
		offset: accepted,
		sum:    f.sum,
		text:   raw,
	}}
	return nil
}
