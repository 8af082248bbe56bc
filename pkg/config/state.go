package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// maxSteps bounds how many accepted publishes a fold remembers.
	maxSteps = 256
	// maxStepBytes bounds their size.
	maxStepBytes = 1 << 20
)

// step is an accepted publish.
type step struct {
	offset uint64
	sum    string
	text   json.RawMessage
	patch  json.RawMessage
}

func (s step) bytes() int { return len(s.text) + len(s.patch) }

// remember keeps the newest accepted publishes.
func (f *Fold) remember(s step) {
	f.steps = append(f.steps, s)
	total := 0
	for i := len(f.steps) - 1; i >= 0; i-- {
		total += f.steps[i].bytes()
		if i < len(f.steps)-1 && (total > maxStepBytes || len(f.steps)-i > maxSteps) {
			f.steps = append([]step{}, f.steps[i+1:]...)
			return
		}
	}
}

// acceptedAt returns the publish in force after an offset. known is false if
// the fold doesn't remember it.
func (f *Fold) acceptedAt(upTo uint64) (accepted uint64, sum string, known bool) {
	for i := len(f.steps) - 1; i >= 0; i-- {
		if f.steps[i].offset <= upTo {
			return f.steps[i].offset, f.steps[i].sum, true
		}
	}
	return 0, "", len(f.steps) == 0 && f.Accepted == 0
}

// Step is an accepted publish as one process passes it to another.
type Step struct {
	Offset uint64
	Text   json.RawMessage
	Patch  json.RawMessage
}

// State is the result of a fold as one process passes it to another: the
// steps lead from the configuration at Base to the one at Accepted.
type State struct {
	Base     uint64
	Accepted uint64
	// Next is the offset that the giver reads next.
	Next  uint64
	Sum   string
	Steps []Step
}

// Since returns what a process needs that runs the configuration accepted at
// an offset: the steps after it, or the whole text if that is shorter.
func (f *Fold) Since(have uint64) State {
	s := State{
		Base:     have,
		Accepted: f.Accepted,
		Next:     f.Next,
		Sum:      f.sum,
	}
	known, total := have == f.Accepted, 0
	for _, step := range f.steps {
		if step.offset > have && known {
			total += step.bytes()
			s.Steps = append(s.Steps, Step{
				Offset: step.offset,
				Text:   step.text,
				Patch:  step.patch,
			})
		}
		known = known || step.offset == have
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

// ErrState reports a state that can't be taken over.
var ErrState = errors.New("the peer's configuration can't be taken over")

// Adopt takes over the state of another process that has folded more of the
// stream. A state that knows no more than the fold changes nothing, so the
// version is never lowered and no peer overrules what the fold has read.
func (f *Fold) Adopt(s State) (changed bool, err error) {
	if s.Next <= f.Next && f.Whole() || s.Accepted < f.Accepted {
		return false, nil
	}
	if f.contradicts(s) {
		return false, fmt.Errorf("accepted %d by the peer, refused here: %w", s.Accepted, ErrState)
	}
	// Records that were dropped or have expired unread must be covered.
	if s.Next <= f.dropped || s.Next < f.gap {
		return false, nil
	}
	next := &Fold{
		Next:         s.Next,
		Accepted:     f.Accepted,
		Raw:          f.Raw,
		Text:         f.Text,
		Checkpointed: f.Checkpointed,
		sum:          f.sum,
		parsed:       f.parsed,
		steps:        f.steps,
	}
	if err := next.advance(s); err != nil {
		return false, err
	}
	for _, h := range f.held {
		if h.offset >= next.Next {
			_ = next.Apply(h.offset, h.data) // a refused record changes nothing
		}
	}
	changed = next.Accepted != f.Accepted
	*f = *next
	return changed, nil
}

// contradicts reports whether a state differs from what the fold has read.
func (f *Fold) contradicts(s State) bool {
	if s.Accepted == f.Accepted {
		return f.Accepted != 0 && s.Sum != f.sum
	}
	return f.Whole() && s.Accepted < f.Next
}

// advance goes through the steps of a state and checks the result.
func (f *Fold) advance(s State) error {
	if s.Accepted == f.Accepted {
		return nil
	}
	if s.Base != 0 && s.Base != f.Accepted || len(s.Steps) == 0 {
		return fmt.Errorf("steps from %d, in force %d: %w", s.Base, f.Accepted, ErrState)
	}
	raw := f.Raw
	steps := append([]step{}, f.steps...)
	for _, next := range s.Steps {
		var err error
		if raw, err = merge(raw, next.Text, next.Patch); err != nil {
			return errors.Join(ErrState, err)
		}
		steps = append(steps, step{
			offset: next.Offset,
			sum:    Sum(raw),
			text:   next.Text,
			patch:  next.Patch,
		})
	}
	if Sum(raw) != s.Sum || steps[len(steps)-1].offset != s.Accepted {
		return fmt.Errorf("sum of %d: %w", s.Accepted, ErrState)
	}
	if err := f.set(s.Accepted, raw); err != nil {
		return err
	}
	if s.Base != 0 {
		last := steps[len(steps)-1]
		f.steps = steps[:len(steps)-1]
		f.remember(last)
	}
	return nil
}
