// Package engsim is a queueing model of a model engine over a virtual clock. It
// supports benchmarks of the policies that send work to engines.
package engsim

import (
	"slices"
	"time"
)

// Settings are the constants of an engine.
type Settings struct {
	// Slots is how many sequences are in the batch at most.
	Slots            int
	PrefillPerSecond float64
	// ChunkTokens bounds the prompt tokens of one step.
	ChunkTokens int
	// ModelStep is the fixed time of a step for each model that is active in
	// it, SequenceStep the time for each sequence.
	ModelStep    time.Duration
	SequenceStep time.Duration
	// CacheTokens is the memory for cached prefixes.
	CacheTokens int
	// First, if set, is told of each first token.
	First func(id int, at time.Time)
	// Cached, if set, is told of each prefix that is stored or evicted.
	Cached func(model, prefix string, stored bool)
}

// Default returns the settings of a middling accelerator.
func Default() Settings {
	return Settings{
		Slots:            64,
		PrefillPerSecond: 20_000,
		ChunkTokens:      256,
		ModelStep:        6 * time.Millisecond,
		SequenceStep:     400 * time.Microsecond,
		CacheTokens:      200_000,
	}
}

// Request is one call.
type Request struct {
	ID       int
	Customer string
	Model    string
	Arrived  time.Time
	Prompt   int
	Output   int
	// Prefix names the first PrefixTokens of the prompt; "" is not cached.
	Prefix       string
	PrefixTokens int
}

// Result is a finished request.
type Result struct {
	Request
	First time.Time
	Last  time.Time
	// Cached is how many prompt tokens came from the cache.
	Cached int
}

// FirstToken returns the time to the first token.
func (r *Result) FirstToken() time.Duration { return r.First.Sub(r.Arrived) }

// BetweenTokens returns the mean time between tokens.
func (r *Result) BetweenTokens() time.Duration {
	return r.Last.Sub(r.First) / time.Duration(max(1, r.Output-1))
}

// sequence is a request in the batch.
type sequence struct {
	Result
	prefill int
	tokens  int
}

// Engine batches continuously: each step prefills a chunk of the prompts and
// decodes one token for each sequence that is past its prompt.
type Engine struct {
	settings Settings
	clock    time.Time
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
	for e.clock.Before(until) {
		e.admit()
		if len(e.running) == 0 {
			e.clock = until
			break
		}
		results = append(results, e.step()...)
	}
	return results
}

// admit fills the batch.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		s := &sequence{Result: Result{Request: r}}
		s.Cached = e.cache.hit(r)
		s.prefill = max(1, r.Prompt-s.Cached)
		e.running = append(e.running, s)
	}
}

// step runs one step of the batch.
func (e *Engine) step() []Result {
	chunk := e.settings.ChunkTokens
	models := make(map[string]bool)
	var took time.Duration
	var ready []*sequence
	for _, s := range e.running {
		models[s.Model] = true
		if s.prefill > 0 {
			n := min(chunk, s.prefill)
			chunk -= n
			s.prefill -= n
			took += time.Duration(float64(n) / e.settings.PrefillPerSecond * float64(time.Second))
		} else {
			took += e.settings.SequenceStep
		}
		if s.prefill == 0 {
			ready = append(ready, s)
		}
	}
	e.clock = e.clock.Add(took + time.Duration(len(models))*e.settings.ModelStep)
	return e.emit(ready)
}

// emit gives each ready sequence its next token and removes finished ones.
func (e *Engine) emit(ready []*sequence) []Result {
	var results []Result
	for _, s := range ready {
		s.tokens++
		if s.tokens == 1 {
			s.First = e.clock
			if e.settings.First != nil {
				e.settings.First(s.ID, e.clock)
			}
		}
		s.Last = e.clock
		if s.tokens >= s.Output {
			results = append(results, s.Result)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.tokens >= max(1, s.Output) })
	return results
}
