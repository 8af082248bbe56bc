package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Record is a record of the configuration stream in the log. Exactly one of its
// fields is set.
type Record struct {
	Publish    *Publish    `json:"publish,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Publish proposes a configuration. It is accepted if Base is the offset of the
// last accepted publish record and the resulting configuration is valid.
type Publish struct {
	// Base is the offset of the accepted publish record that this one builds
	// on, or 0 if there is none.
	Base uint64 `json:"base"`
	// Text replaces the whole document; Patch is an RFC 7386 merge patch to it.
	Text  json.RawMessage `json:"text,omitempty"`
	Patch json.RawMessage `json:"patch,omitempty"`
	// Sum is the digest, as returned by the function Sum, of the document that
	// the publisher computed. The record is rejected if the result has another
	// sum. An empty Sum is not checked.
	Sum string `json:"sum,omitempty"`
	// Nonce lets a publisher identify its own record if the response to its
	// append was lost.
	Nonce string `json:"nonce"`
}

// Fold computes the current configuration by applying the records of the
// configuration stream in order. The result is deterministic. Offsets in the
// stream start at 1.
//
// A fold that starts at the first record depends on publish records alone and
// only verifies checkpoints. A fold that finds that records expired before it
// read them buffers the remaining records until Reached finds a checkpoint to
// resume from.
type Fold struct {
	// Next is the offset of the next record to read.
	Next uint64
	// Accepted is the offset of the last accepted publish record, or 0 if there
	// is none.
	Accepted uint64
	// Raw is the accepted document in canonical form, and Config its decoded
	// form.
	Raw    json.RawMessage
	Config *Config
	// Checkpointed is the UpTo of the newest checkpoint that the fold has
	// verified, or 0 if there is none.
	Checkpointed uint64

	sum     string
	parsed  *parsedConfig
	history []step
	// gapEnd is the offset of the oldest retained record after records expired
	// unread, or 0 if the fold has all records. buffered holds the records read
	// since.
	gapEnd   uint64
	buffered []bufferedRecord
	// unsupportedAt is the offset of the first record in the format of a later
	// release, or 0 if there is none. lastDropped is the offset of the last
	// record, from that one on, that the fold was given but could not apply.
	unsupportedAt uint64
	lastDropped   uint64
}

// bufferedRecord is a record that can't be applied before a checkpoint is found.
type bufferedRecord struct {
	offset uint64
	data   []byte
}

// NewFold returns a Fold of the empty stream.
func NewFold() *Fold { return &Fold{Next: 1} }

// Errors that Fold.Apply returns. See also ErrCheckpoint and ErrFormat.
var (
	// ErrStale reports a publish record whose base is not the accepted
	// configuration.
	ErrStale = errors.New("base is not the current configuration")
	// ErrSum reports a publish record whose result differs from the document
	// that its publisher computed.
	ErrSum = errors.New("result does not match the publisher's sum")
	// ErrRecord reports a record that is malformed, or is not exactly one of a
	// publish record and a checkpoint.
	ErrRecord = errors.New("not a configuration record")
)

// Apply applies the record at an offset. The error says why the record was
// rejected; the fold continues after it. The exception is ErrFormat: a record
// that this release can't evaluate stops the fold, since another release may
// accept it. Records before Next are ignored.
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

// applyNext applies a record after all of its predecessors have been applied.
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

// applyBuffered applies the buffered records from Next on. It ignores errors, since a
// record that is rejected changes nothing, and one that this release can't evaluate
// stops the fold, as in Apply.
func (f *Fold) applyBuffered(records []bufferedRecord) {
	for _, b := range records {
		if b.offset >= f.Next {
			_ = f.Apply(b.offset, b.data)
		}
	}
}

// decodeRecord decodes a record and checks that exactly one of its fields is set.
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

// applyRecord applies a decoded record.
func (f *Fold) applyRecord(offset uint64, r Record) error {
	if r.Checkpoint != nil {
		return f.verifyCheckpoint(offset, r.Checkpoint)
	}
	return f.applyPublish(offset, r.Publish)
}

// applyPublish makes the result of a publish record the accepted configuration, unless
// the record is to be rejected.
func (f *Fold) applyPublish(offset uint64, p *Publish) error {
	if p.Base != f.Accepted {
		return fmt.Errorf("base %d, current %d: %w", p.Base, f.Accepted, ErrStale)
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

// Result returns the canonical document that results from applying a publish
// record to the accepted document.
func (f *Fold) Result(p *Publish) (json.RawMessage, error) {
	raw, _, err := f.apply(p.Text, p.Patch)
	return raw, err
}

// apply returns the canonical document, also in split form, that results from
// applying a text or a patch to the accepted document.
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

// setAccepted makes a document the accepted configuration.
func (f *Fold) setAccepted(accepted uint64, raw json.RawMessage, sum string, p *parsedConfig) {
	f.Accepted, f.Raw, f.Config, f.sum, f.parsed = accepted, raw, p.config, sum, p
}

// Skip informs the fold of the offset of the oldest record that the log still
// retains. If records have expired unread, the fold needs a checkpoint.
func (f *Fold) Skip(oldest uint64) {
	if oldest <= f.Next || f.unsupportedAt != 0 {
		return
	}
	f.gapEnd, f.buffered = oldest, nil
	f.Next = oldest
}

// Reached reports whether the fold reflects all records before next, the end of
// the log. A fold with a gap looks for a checkpoint to resume from only once it
// has read up to next, so that it finds the newest.
func (f *Fold) Reached(next uint64) bool {
	if f.unsupportedAt != 0 || f.Next < next {
		return false
	}
	if f.gapEnd != 0 {
		f.resumeFromNewest()
	}
	return f.gapEnd == 0 && f.unsupportedAt == 0
}

// Whole reports whether the fold's configuration reflects all records before
// Next.
func (f *Fold) Whole() bool { return f.gapEnd == 0 && f.unsupportedAt == 0 }
