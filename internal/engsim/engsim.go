// Package engsim simulates a model-serving engine as a queueing model on a
// virtual clock. Benchmarks use it to compare policies for dispatching requests
// to engines.
package engsim

import (
	"slices"
	"time"
)

// Settings are the parameters of an engine.
type Settings struct {
	// MaxSequences is the maximum number of sequences in the batch.
	MaxSequences           int
	PrefillTokensPerSecond float64
	// MaxPrefillTokens is the maximum number of prompt tokens prefilled in
	// one step.
	MaxPrefillTokens int
	// StepTimePerModel is the fixed time that a step takes for each model that
	// is active in it, and StepTimePerSequence the time that it takes for each
	// sequence that is past its prompt.
	StepTimePerModel    time.Duration
	StepTimePerSequence time.Duration
	// CacheCapacityTokens is the capacity of the prefix cache in tokens.
	CacheCapacityTokens int
	// OnFirstToken, if not nil, is called for the first token of each request.
	OnFirstToken func(id int, at time.Time)
	// OnCacheChange, if not nil, is called for each prefix that is stored in
	// the cache or evicted from it.
	OnCacheChange func(model, prefix string, stored bool)
}

// Default returns the settings of a mid-range accelerator.
func Default() Settings {
	return Settings{
		MaxSequences:           64,
		PrefillTokensPerSecond: 20_000,
		MaxPrefillTokens:       256,
		StepTimePerModel:       6 * time.Millisecond,
		StepTimePerSequence:    400 * time.Microsecond,
		CacheCapacityTokens:    200_000,
	}
}

// Request is one inference request.
type Request struct {
	ID           int
	Customer     string
	Model        string
	ArrivedAt    time.Time
	PromptTokens int
	OutputTokens int
	// Prefix identifies the first PrefixTokens tokens of the prompt. If it is
	// empty, the prompt is not cached.
	Prefix       string
	PrefixTokens int
}

// Result is a finished request.
type Result struct {
	Request
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	// CachedTokens is the number of prompt tokens that came from the cache.
	CachedTokens int
}

// TimeToFirstToken returns the time from arrival to the first token.
func (r *Result) TimeToFirstToken() time.Duration { return r.FirstTokenAt.Sub(r.ArrivedAt) }

// InterTokenLatency returns the mean time between output tokens.
func (r *Result) InterTokenLatency() time.Duration {
	return r.LastTokenAt.Sub(r.FirstTokenAt) / time.Duration(max(1, r.OutputTokens-1))
}

// sequence is a request in the batch.
type sequence struct {
	Result
	prefillLeft int
	generated   int
}

// Engine simulates continuous batching: each step prefills a chunk of the prompts
// and decodes one token for each sequence that is past its prompt.
type Engine struct {
	settings Settings
	now      time.Time
	waiting  []Request
	running  []*sequence
	cache    cache
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{
		settings: s,
		cache:    newCache(s),
	}
}

// Submit queues a request.
func (e *Engine) Submit(r Request) { e.waiting = append(e.waiting, r) }

// Running returns the number of sequences in the batch.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of queued requests that are not in the batch.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Run simulates steps until the given time and returns the requests that have
// finished. The last step may end after that time.
func (e *Engine) Run(until time.Time) []Result {
	var results []Result
	for e.now.Before(until) {
		e.admit()
		if len(e.running) == 0 {
			e.now = until
			break
		}
		results = append(results, e.step()...)
	}
	return results
}

// admit moves waiting requests into the batch up to its capacity.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxSequences {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		s := &sequence{Result: Result{Request: r}}
		s.CachedTokens = e.cache.lookup(r)
		s.prefillLeft = max(1, r.PromptTokens-s.CachedTokens)
		e.running = append(e.running, s)
	}
}

// step simulates one step of the batch and returns the requests that have
// finished.
func (e *Engine) step() []Result {
	prefillBudget := e.settings.MaxPrefillTokens
	models := make(map[string]bool)
	var elapsed time.Duration
	var ready []*sequence
	for _, s := range e.running {
		models[s.Model] = true
		if s.prefillLeft > 0 {
			n := min(prefillBudget, s.prefillLeft)
			prefillBudget -= n
			s.prefillLeft -= n
			elapsed += time.Duration(float64(n) / e.settings.PrefillTokensPerSecond * float64(time.Second))
		} else {
			elapsed += e.settings.StepTimePerSequence
		}
		if s.prefillLeft == 0 {
			ready = append(ready, s)
		}
	}
	e.now = e.now.Add(elapsed + time.Duration(len(models))*e.settings.StepTimePerModel)
	return e.emit(ready)
}

// emit adds one token to each ready sequence, and removes and returns the
// sequences that have finished.
func (e *Engine) emit(ready []*sequence) []Result {
	var results []Result
	for _, s := range ready {
		s.generated++
		if s.generated == 1 {
			s.FirstTokenAt = e.now
			if e.settings.OnFirstToken != nil {
				e.settings.OnFirstToken(s.ID, e.now)
			}
		}
		s.LastTokenAt = e.now
		if s.generated >= s.OutputTokens {
			results = append(results, s.Result)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.generated >= max(1, s.OutputTokens) })
	return results
}
