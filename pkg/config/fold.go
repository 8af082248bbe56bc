package config

import (
	"encoding/json"
	"errors"
	"fmt"
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
	// Sum is the Sum of the text that the publisher worked out. A result with
	// another sum is refused, none is checked if it is empty.
	Sum string `json:"sum,omitempty"`
	// Nonce lets a publisher find its own record after a lost answer.
	Nonce string `json:"nonce"`
}

// Fold is the deterministic fold of the configuration stream. Offsets in the
// stream start at 1.
//
// A fold that starts at the first record follows publishes alone and only
// checks checkpoints. One that finds records expired before it has read them
// holds what is kept back until Reached finds a checkpoint to resume from.
type Fold struct {
	// Next is the offset of the next record to read.
	Next uint64
	// Accepted is the offset of the accepted publish, 0 for none.
	Accepted uint64
	// Raw is the accepted text in canonical form, Text the same decoded.
	Raw    json.RawMessage
	Config *Config
	// Checkpointed is the UpTo of the newest checkpoint that the fold has
	// found right, 0 for none.
	Checkpointed uint64

	sum     string
	parsed  *parsedConfig
	history []step
	// gapEnd is the oldest record kept when others had expired unread, 0 if the
	// fold has all records; held are the records read since.
	gapEnd   uint64
	buffered []bufferedRecord
	// unsupportedAt is the offset of a record in a format of a later release, 0 for
	// none; dropped is the last record that came after it.
	unsupportedAt uint64
	lastDropped   uint64
}

// bufferedRecord is a record that waits for a checkpoint.
type bufferedRecord struct {
	offset uint64
	data   []byte
}

// NewFold returns the fold of the empty stream.
func NewFold() *Fold { return &Fold{Next: 1} }

// Errors of the fold.
var (
	// ErrStale reports a publish whose base is not the accepted configuration.
	ErrStale = errors.New("base is not the configuration in force")
	// ErrSum reports a publish whose result is not what its publisher saw.
	ErrSum = errors.New("the result differs from the publisher's")
	// ErrRecord reports a record that is neither a publish nor a checkpoint.
	ErrRecord = errors.New("not a record of the configuration")
)

// Apply folds the record at an offset. It reports why a publish was refused;
// the fold goes on either way, but for ErrFormat: what a release can't judge
// stops its fold, since another release may accept it. Records before Next
// are ignored.
func (f *Fold) Apply(offset uint64, data []byte) error {
	switch {
	case offset < f.Next:
		return nil
	case f.unsupportedAt != 0:
		f.lastDropped = offset
		return fmt.Errorf("record %d: %w since record %d", offset, ErrFormat, f.unsupportedAt)
	case f.gapEnd != 0:
		f.buffered = append(f.buffered, bufferedRecord{
			offset: offset,
			data:   data,
		})
		f.Next = offset + 1
		return nil
	}
	return f.applyNext(offset, data)
}

// applyNext applies a record whose predecessors have all been applied.
func (f *Fold) applyNext(offset uint64, data []byte) error {
	r, err := decodeRecord(data)
	if err == nil {
		err = f.applyRecord(offset, r)
	}
	if errors.Is(err, ErrFormat) {
		f.unsupportedAt, f.lastDropped = offset, offset
		return fmt.Errorf("record %d: %w", offset, err)
	}
	f.Next = offset + 1
	if err != nil {
		return fmt.Errorf("record %d: %w", offset, err)
	}
	return nil
}

// decodeRecord reads a record.
func decodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Join(ErrRecord, err)
	}
	if (r.Publish == nil) == (r.Checkpoint == nil) {
		return r, ErrRecord
	}
	return r, nil
}

func (f *Fold) applyRecord(offset uint64, r Record) error {
	if r.Checkpoint != nil {
		return f.verifyCheckpoint(offset, r.Checkpoint)
	}
	return f.applyPublish(offset, r.Publish)
}

func (f *Fold) applyPublish(offset uint64, p *Publish) error {
	if p.Base != f.Accepted {
		return fmt.Errorf("base %d, in force %d: %w", p.Base, f.Accepted, ErrStale)
	}
	raw, doc, err := f.apply(p.Text, p.Patch)
	if err != nil {
		return err
	}
	sum := Sum(raw)
	if p.Sum != "" && p.Sum != sum {
		return ErrSum
	}
	next, err := parse(doc, f.parsed)
	if err != nil {
		return err
	}
	f.appendHistory(step{
		offset: offset,
		sum:    sum,
		text:   p.Text,
		patch:  p.Patch,
	})
	f.setAccepted(offset, raw, sum, next)
	return nil
}

// Result returns the text, in canonical form, that a publish leads to from the
// accepted one.
func (f *Fold) Result(p *Publish) (json.RawMessage, error) {
	raw, _, err := f.apply(p.Text, p.Patch)
	return raw, err
}

// apply returns the canonical text, and the same split, that a text or a patch
// leads to from the accepted text.
func (f *Fold) apply(text, patch json.RawMessage) (json.RawMessage, *document, error) {
	if len(patch) != 0 && len(text) == 0 && f.parsed != nil {
		if doc, ok := f.parsed.doc.applyItemPatch(patch); ok {
			raw, err := doc.marshal()
			return raw, doc, err
		}
	}
	raw, err := merge(f.Raw, text, patch)
	if err != nil {
		return nil, nil, err
	}
	doc, err := splitDocument(raw)
	return raw, doc, err
}

// setAccepted puts a text in force.
func (f *Fold) setAccepted(accepted uint64, raw json.RawMessage, sum string, p *parsedConfig) {
	f.Accepted, f.Raw, f.Config, f.sum, f.parsed = accepted, raw, p.config, sum, p
}

// Skip tells the fold the oldest record that the log still keeps. If records
// have expired unread, the fold needs a checkpoint.
func (f *Fold) Skip(first uint64) {
	if first <= f.Next || f.unsupportedAt != 0 {
		return
	}
	f.gapEnd, f.buffered = first, nil
	f.Next = first
}

// Reached reports whether the fold has the result of all records before next,
// the end of the log. Only then does it look for a checkpoint to resume from,
// so that it finds the newest.
func (f *Fold) Reached(next uint64) bool {
	if f.unsupportedAt != 0 || f.Next < next {
		return false
	}
	if f.gapEnd != 0 {
		f.resumeFromNewest()
	}
	return f.gapEnd == 0 && f.unsupportedAt == 0
}

// Whole reports whether the fold's configuration follows from all records
// before Next.
func (f *Fold) Whole() bool { return f.gapEnd == 0 && f.unsupportedAt == 0 }
