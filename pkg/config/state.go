package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// maxHistorySteps bounds the number of accepted publish records that a fold
	// remembers.
	maxHistorySteps = 256
	// maxHistoryBytes bounds their total size.
	maxHistoryBytes = 1 << 20
)

// step is an accepted publish record with the sum of its result.
type step struct {
	offset uint64
	sum    string
	text   json.RawMessage
	patch  json.RawMessage
}

// size returns the number of bytes that the step counts against maxHistoryBytes.
func (s step) size() int { return len(s.text) + len(s.patch) }

// appendHistory adds a step and discards the oldest ones beyond the bounds. The
// newest step is always kept.
func (f *Fold) appendHistory(s step) {
	f.history = append(f.history, s)
	total := 0
	for i := len(f.history) - 1; i >= 0; i-- {
		total += f.history[i].size()
		if i < len(f.history)-1 && (total > maxHistoryBytes || len(f.history)-i > maxHistorySteps) {
			f.history = append([]step{}, f.history[i+1:]...)
			return
		}
	}
}

// acceptedAt returns the offset and sum of the configuration that was accepted
// as of an offset. known is false if the fold no longer remembers it.
func (f *Fold) acceptedAt(upTo uint64) (accepted uint64, sum string, known bool) {
	for i := len(f.history) - 1; i >= 0; i-- {
		if f.history[i].offset <= upTo {
			return f.history[i].offset, f.history[i].sum, true
		}
	}
	return 0, "", len(f.history) == 0 && f.Accepted == 0
}

// Step is an accepted publish record as sent from one process to another.
type Step struct {
	Offset uint64
	Text   json.RawMessage
	Patch  json.RawMessage
}

// State is the result of a fold as sent from one process to another. Applying
// Steps to the configuration accepted at Base gives the one accepted at
// Accepted. If Base is 0, the first step holds the whole document.
type State struct {
	Base     uint64
	Accepted uint64
	// Next is the offset that the sender reads next.
	Next  uint64
	Sum   string
	Steps []Step
}

// Since returns the state for a process that has the configuration accepted at
// offset base: the steps after it, or the whole document if that is shorter or
// the fold does not remember base.
func (f *Fold) Since(base uint64) State {
	s := State{
		Base:     base,
		Accepted: f.Accepted,
		Next:     f.Next,
		Sum:      f.sum,
	}
	known, total := base == f.Accepted, 0
	for _, step := range f.history {
		if step.offset > base && known {
			total += step.size()
			s.Steps = append(s.Steps, Step{
				Offset: step.offset,
				Text:   step.text,
				Patch:  step.patch,
			})
		}
		known = known || step.offset == base
	}
	if known && total <= len(f.Raw) {
		return s
	}
	s.Base = 0
	s.Steps = []Step{{
		Offset: f.Accepted,
		Text:   f.Raw,
	}}
	return s
}

// ErrState reports a state that can't be adopted.
var ErrState = errors.New("can't adopt the peer's configuration")

// Adopt replaces the fold's state by that of a process that has applied more of
// the stream. A state that is not ahead of the fold changes nothing, so the
// accepted offset never decreases, and a peer can't override the records that
// the fold has read itself. changed reports whether the accepted offset changed.
func (f *Fold) Adopt(s State) (changed bool, err error) {
	if s.Next <= f.Next && f.Whole() || s.Accepted < f.Accepted {
		return false, nil
	}
	if f.conflictsWith(s) {
		return false, fmt.Errorf("peer accepted %d, which was rejected here: %w", s.Accepted, ErrState)
	}
	// The state must cover the records that were dropped or expired unread.
	if s.Next <= f.lastDropped || s.Next < f.gapEnd {
		return false, nil
	}
	next := &Fold{
		Next:         s.Next,
		Accepted:     f.Accepted,
		Raw:          f.Raw,
		Config:       f.Config,
		Checkpointed: f.Checkpointed,
		sum:          f.sum,
		parsed:       f.parsed,
		history:      f.history,
	}
	if err := next.applySteps(s); err != nil {
		return false, err
	}
	next.applyBuffered(f.buffered)
	changed = next.Accepted != f.Accepted
	*f = *next
	return changed, nil
}

// conflictsWith reports whether a state contradicts the records that the fold
// has read.
func (f *Fold) conflictsWith(s State) bool {
	if s.Accepted == f.Accepted {
		return f.Accepted != 0 && s.Sum != f.sum
	}
	return f.Whole() && s.Accepted < f.Next
}

// applySteps applies the steps of a state and checks the sum of the result.
func (f *Fold) applySteps(s State) error {
	if s.Accepted == f.Accepted {
		return nil
	}
	if s.Base != 0 && s.Base != f.Accepted || len(s.Steps) == 0 {
		return fmt.Errorf("steps from %d, current %d: %w", s.Base, f.Accepted, ErrState)
	}
	raw, history, err := f.mergeSteps(s.Steps)
	if err != nil {
		return err
	}
	if Sum(raw) != s.Sum || history[len(history)-1].offset != s.Accepted {
		return fmt.Errorf("sum or offset mismatch at %d: %w", s.Accepted, ErrState)
	}
	if err := f.resetTo(s.Accepted, raw); err != nil {
		return err
	}
	if s.Base != 0 {
		last := history[len(history)-1]
		f.history = history[:len(history)-1]
		f.appendHistory(last)
	}
	return nil
}

// mergeSteps applies steps to the accepted document. It returns the resulting document,
// and a copy of the history with the steps at its end.
func (f *Fold) mergeSteps(steps []Step) (raw json.RawMessage, history []step, err error) {
	raw = f.Raw
	history = append([]step{}, f.history...)
	for _, next := range steps {
		if raw, err = merge(raw, next.Text, next.Patch); err != nil {
			return nil, nil, errors.Join(ErrState, err)
		}
		history = append(history, step{
			offset: next.Offset,
			sum:    Sum(raw),
			text:   next.Text,
			patch:  next.Patch,
		})
	}
	return raw, history, nil
}
