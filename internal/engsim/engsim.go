// Package engsim is a queueing model of a model engine over a virtual clock. It
// supports benchmarks of the policies that send work to engines.
package engsim

import (
	"slices"
	"time"
)

// Settings are the constants of an engine.
type Settings struct {
	// MaxSequences is how many sequences are in the batch at most.
	MaxSequences           int
	PrefillTokensPerSecond float64
	// MaxPrefillTokens bounds the prompt tokens of one step.
	MaxPrefillTokens int
	// StepTimePerModel is the fixed time of a step for each model that is active in
	// it, SequenceStep the time for each sequence.
	StepTimePerModel    time.Duration
	StepTimePerSequence time.Duration
	// CacheCapacityTokens is the memory for cached prefixes.
	CacheCapacityTokens int
	// OnFirstToken, if set, is told of each first token.
	OnFirstToken func(id int, at time.Time)
	// OnCacheChange, if set, is told of each prefix that is stored or evicted.
	OnCacheChange func(model, prefix string, stored bool)
}

// Default returns the settings of a middling accelerator.
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

// Request is one call.
type Request struct {
	ID           int
	Customer     string
	Model        string
	ArrivedAt    time.Time
	PromptTokens int
	OutputTokens int
	// Prefix names the first PrefixTokens of the prompt; "" is not cached.
	Prefix       string
	PrefixTokens int
}

// Result is a finished request.
type Result struct {
	Request
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	// CachedTokens is how many prompt tokens came from the cache.
	CachedTokens int
}

// TimeToFirstToken returns the time to the first token.
func (r *Result) TimeToFirstToken() time.Duration { return r.FirstTokenAt.Sub(r.ArrivedAt) }

// InterTokenLatency returns the mean time between tokens.
func (r *Result) InterTokenLatency() time.Duration {
	return r.LastTokenAt.Sub(r.FirstTokenAt) / time.Duration(max(1, r.OutputTokens-1))
}

// sequence is a request in the batch.
type sequence struct {
	Result
	prefillLeft int
	generated   int
}

// Engine batches continuously: each step prefills a chunk of the prompts and
// decodes one token for each sequence that is past its prompt.
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

// Waiting returns the number of requests outside of the batch.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Run steps to the time until and returns the requests that have finished.
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

// admit fills the batch.
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

// step runs one step of the batch.
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

// emit gives each ready sequence its next token and removes finished ones.
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
