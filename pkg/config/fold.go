package config

import (
	"encoding/json"
	"errors"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Record is one record of the configuration stream in the log.
type Record struct {
	Publish    *Publish    `json:"publish,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Publish proposes a configuration. It is accepted if Base is the offset of
// the one accepted so far and the result is valid.
type Publish struct {
	// Base is the offset of the accepted publish that this one builds on, 0
	// for none.
	Base uint64 `json:"base"`
	// Text replaces the whole text; Patch is an RFC 7386 merge patch to it.
	Text  json.RawMessage `json:"text,omitempty"`
	Patch json.RawMessage `json:"patch,omitempty"`
	// Nonce lets a publisher find its own record after a lost answer.
	Nonce string `json:"nonce"`
}

// Checkpoint repeats the result of the fold up to an offset, so that a fresh
// process needs none of the records before it.
type Checkpoint struct {
	UpTo     uint64          `json:"upTo"`
	Accepted uint64          `json:"accepted"`
	Text     json.RawMessage `json:"text"`
}

// Fold is the deterministic fold of the configuration stream. Offsets in the
// stream start at 1.
type Fold struct {
	// Next is the offset of the next record to read.
	Next uint64
	// Accepted is the offset of the accepted publish, 0 for none.
	Accepted uint64
	// Raw is the accepted text as published, Text the same decoded.
	Raw  json.RawMessage
	Text *Text
}

// NewFold returns the fold of the empty stream.
func NewFold() *Fold { return &Fold{Next: 1} }

// ErrStale reports a publish whose base is not the accepted configuration.
var ErrStale = errors.New("base is not the configuration in force")

// Apply folds the record at an offset. It reports why a publish was refused;
// the fold goes on either way. Records before Next are ignored.
func (f *Fold) Apply(offset uint64, data []byte) error {
	if offset < f.Next {
		return nil
	}
	f.Next = offset + 1
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("record %d: %w", offset, err)
	}
	switch {
	case r.Publish != nil:
		return f.publish(offset, r.Publish)
	case r.Checkpoint != nil:
		return f.checkpoint(r.Checkpoint)
	default:
		return fmt.Errorf("record %d: neither publish nor checkpoint", offset)
	}
}

func (f *Fold) publish(offset uint64, p *Publish) error {
	if p.Base != f.Accepted {
		return fmt.Errorf("record %d: base %d, in force %d: %w", offset, p.Base, f.Accepted, ErrStale)
	}
	raw, err := f.Result(p)
	if err != nil {
		return fmt.Errorf("record %d: %w", offset, err)
	}
	text, err := Parse(raw)
	if err != nil {
		return fmt.Errorf("record %d: %w", offset, err)
	}
	f.Accepted, f.Raw, f.Text = offset, raw, text
	return nil
}

// Result returns the text that a publish leads to from the accepted one.
func (f *Fold) Result(p *Publish) (json.RawMessage, error) {
	if len(p.Patch) == 0 {
		return p.Text, nil
	}
	if len(p.Text) != 0 {
		return nil, errors.New("publish has both a text and a patch")
	}
	base := f.Raw
	if len(base) == 0 {
		base = json.RawMessage("{}")
	}
	return jsonpatch.MergePatch(base, p.Patch)
}

// checkpoint takes over a later state; an earlier one is a duplicate.
func (f *Fold) checkpoint(c *Checkpoint) error {
	if c.Accepted <= f.Accepted {
		return nil
	}
	text, err := Parse(c.Text)
	if err != nil {
		return fmt.Errorf("checkpoint up to %d: %w", c.UpTo, err)
	}
	f.Accepted, f.Raw, f.Text = c.Accepted, c.Text, text
	return nil
}
