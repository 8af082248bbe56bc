package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Checkpoint repeats the result of the fold up to an offset, so that a fresh
// process needs none of the records before it.
type Checkpoint struct {
	UpTo     uint64          `json:"upTo"`
	Accepted uint64          `json:"accepted"`
	Text     json.RawMessage `json:"text,omitempty"`
}

// ErrCheckpoint reports a checkpoint that doesn't follow from the records.
var ErrCheckpoint = errors.New("checkpoint does not follow from the records")

// Checkpoint returns the record that stands for all records before Next.
func (f *Fold) Checkpoint() Record {
	return Record{Checkpoint: &Checkpoint{
		UpTo:     f.Next - 1,
		Accepted: f.Accepted,
		Text:     f.Raw,
	}}
}

// verifyCheckpoint compares a checkpoint with the fold's own history. It never changes
// the configuration: a fold that has seen the records needs no checkpoint.
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
		return fmt.Errorf("up to %d: another text: %w", c.UpTo, ErrCheckpoint)
	}
	f.Checkpointed = max(f.Checkpointed, c.UpTo)
	return nil
}

// hasSum reports whether a text has a sum.
func hasSum(text json.RawMessage, sum string) bool {
	raw, err := canonical(text)
	return err == nil && Sum(raw) == sum
}

// resumeFromNewest takes the configuration of the newest checkpoint that agrees with the
// records kept, and folds the records after it. Without one the gap stays.
func (f *Fold) resumeFromNewest() {
	for _, h := range slices.Backward(f.buffered) {
		r, err := decodeRecord(h.data)
		if err != nil || r.Checkpoint == nil || !f.canResumeFrom(h.offset, r.Checkpoint) {
			continue
		}
		if f.resumeFrom(r.Checkpoint) {
			return
		}
	}
}

// canResumeFrom reports whether a checkpoint can be resumed from: all records
// after it are kept, it doesn't lower the version, and the publish that it
// names, if kept, leads to its text.
func (f *Fold) canResumeFrom(offset uint64, c *Checkpoint) bool {
	if c.UpTo >= offset || c.Accepted > c.UpTo || c.UpTo+1 < f.gapEnd || c.Accepted < f.Accepted {
		return false
	}
	if c.Accepted == f.Accepted && f.Accepted != 0 {
		return hasSum(c.Text, f.sum)
	}
	for _, h := range f.buffered {
		if h.offset == c.Accepted {
			return mayProduce(h.data, c.Text)
		}
	}
	return true
}

// mayProduce reports whether a publish may have led to a text.
func mayProduce(data []byte, text json.RawMessage) bool {
	r, err := decodeRecord(data)
	if err != nil || r.Publish == nil {
		return false
	}
	raw, err := canonical(text)
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

// resumeFrom resumes from a checkpoint. It changes nothing if the text is not
// valid.
func (f *Fold) resumeFrom(c *Checkpoint) bool {
	next := &Fold{Next: c.UpTo + 1}
	if c.Accepted != 0 && next.resetTo(c.Accepted, c.Text) != nil {
		return false
	}
	for _, h := range f.buffered {
		if h.offset >= next.Next {
			_ = next.Apply(h.offset, h.data) // a refused record changes nothing
		}
	}
	if next.Accepted < f.Accepted {
		return false
	}
	next.Checkpointed = max(next.Checkpointed, c.UpTo)
	*f = *next
	return true
}

// resetTo puts a text in force as the publish at an offset.
func (f *Fold) resetTo(accepted uint64, text json.RawMessage) error {
	raw, err := canonical(text)
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
