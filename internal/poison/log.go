package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// memory is how long crashes and answers count.
	memory = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept, maxAnswers the answers to parts that
	// are in none of them.
	maxCrashes = 256
	maxAnswers = 8192
	// quarantineMemory is how long a quarantine that has ended is remembered.
	quarantineMemory = 24 * time.Hour
	pruneInterval    = time.Minute
	// maxRecent bounds the fingerprints in one generation of recent answers.
	maxRecent = 8192
)

// Log is what one entry knows of crashes and answers in the whole fleet. Entries
// exchange what they learn with Since and Merge; the order doesn't matter, and
// repeats change nothing.
type Log struct {
	crashes     map[Run]*loggedCrash
	answers     map[Part]*loggedAnswer
	quarantines map[Part]*loggedQuarantine
	// recent are the answers to fingerprints that were in no crash.
	recent recentAnswers
	// lastCrash is the time of the newest crash with a part.
	lastCrash map[Part]time.Time
	// repeated holds the parts that were in several crashes.
	repeated map[Part]bool
	// revision is the number of the last change that other entries need.
	revision uint64
	// pruneAt and pruneAbove are the time and the number of answers of the next pass that
	// forgets what no longer counts.
	pruneAt    time.Time
	pruneAbove int
	// stale is true if verdicts no longer match the log.
	stale    bool
	verdicts verdicts
}

// The logged items have the revision of their last change. own is true if this entry
// has observed it itself.
type loggedCrash struct {
	Crash
	revision uint64
	own      bool
}

// loggedAnswer is the newest answer to a request with a part. Only answers that
// change a verdict are shared with other entries.
type loggedAnswer struct {
	at       time.Time
	sharedAt time.Time
	revision uint64
	own      bool
}

type loggedQuarantine struct {
	Quarantine
	revision uint64
}

// recentAnswers holds the newest answers by fingerprint. Most requests are unlike all
// others, so it forgets the older generation whenever the newer one is full.
type recentAnswers struct {
	newer, older map[Part]time.Time
}

func (r *recentAnswers) add(at time.Time, p Part) {
	if known, ok := r.newer[p]; ok && known.After(at) {
		return
	}
	if r.newer == nil || len(r.newer) >= maxRecent {
		r.older = r.newer
		r.newer = make(map[Part]time.Time)
	}
	r.newer[p] = at
}

// answeredAt returns the time of the newest answer to a fingerprint that is known.
func (r *recentAnswers) answeredAt(p Part) (time.Time, bool) {
	if at, known := r.newer[p]; known {
		return at, true
	}
	at, known := r.older[p]
	return at, known
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		crashes:     make(map[Run]*loggedCrash),
		answers:     make(map[Part]*loggedAnswer),
		quarantines: make(map[Part]*loggedQuarantine),
		lastCrash:   make(map[Part]time.Time),
		repeated:    make(map[Part]bool),
		pruneAbove:  maxAnswers,
	}
}

// EndTime returns when a run was proved to be over, if it was.
func (l *Log) EndTime(run Run) (at time.Time, known bool) {
	crash := l.crashes[run]
	if crash == nil || crash.EndedAt.IsZero() {
		return time.Time{}, false
	}
	return crash.EndedAt, true
}

// CrashedSince reports whether a run is known to have crashed at a point in time or later.
func (l *Log) CrashedSince(run Run, at time.Time) bool {
	crash := l.crashes[run]
	return crash != nil && !crash.At.Before(at)
}

// AnsweredSince reports whether a request with a fingerprint was answered, after a point in
// time, by an engine that has gone on running.
func (l *Log) AnsweredSince(fingerprint Part, at time.Time) bool {
	if a := l.answers[fingerprint]; a != nil && a.at.After(at) {
		return true
	}
	answeredAt, known := l.recent.answeredAt(fingerprint)
	return known && answeredAt.After(at)
}

// AddCrash adds a crash, or its parts to what is known of it.
func (l *Log) AddCrash(now time.Time, crash Crash) {
	l.prune(now)
	l.addCrash(now, crash, true)
	l.shareAll(crash.Parts)
}

func (l *Log) addCrash(now time.Time, crash Crash, own bool) {
	if now.Sub(crash.At) > memory {
		return
	}
	known := l.crashes[crash.Run]
	isNew := known == nil
	if isNew {
		known = &loggedCrash{Crash: Crash{
			Run: crash.Run,
			At:  crash.At,
		}}
		l.crashes[crash.Run] = known
	}
	parts := merge(known.Parts, crash.Parts)
	provesEnd := crash.EndedAt.Sub(known.EndedAt) > sameEnd
	if !isNew && !provesEnd && len(parts) == len(known.Parts) {
		return
	}
	if provesEnd {
		known.EndedAt = crash.EndedAt
	}
	for _, p := range crash.Parts {
		if _, crashed := l.lastCrash[p]; crashed && !slices.Contains(known.Parts, p) {
			l.repeated[p] = true
		}
	}
	known.Parts = parts
	known.revision = l.nextRevision()
	known.own = known.own || own
	l.recallAnswers(now, crash.Parts)
	for _, p := range crash.Parts {
		if known.At.After(l.lastCrash[p]) {
			l.lastCrash[p] = known.At
		}
	}
	l.dropOldestCrash()
}

// recallAnswers moves the recent answers to fingerprints that were in a crash to those
// that are kept and shared.
func (l *Log) recallAnswers(now time.Time, parts []Part) {
	for _, p := range parts {
		if !p.isFingerprint() {
			continue
		}
		at, known := l.recent.answeredAt(p)
		if known && now.Sub(at) <= memory && (l.answers[p] == nil || at.After(l.answers[p].at)) {
			l.answer(p).at = at
		}
	}
}

// AddAnswer records that an engine has answered a request with the given parts at the given
// time, which may be past.
func (l *Log) AddAnswer(at time.Time, parts []Part) {
	for _, p := range parts {
		if p.isFingerprint() && !l.watches(p) {
			l.recent.add(at, p)
			continue
		}
		if a := l.answer(p); at.After(a.at) {
			a.at = at
		}
	}
	l.shareAll(parts)
	l.prune(at)
}

// watches reports whether answers to a fingerprint change what is known of it.
func (l *Log) watches(p Part) bool {
	_, crashed := l.lastCrash[p]
	return crashed || l.answers[p] != nil || l.quarantines[p] != nil
}

func (l *Log) answer(p Part) *loggedAnswer {
	a := l.answers[p]
	if a == nil {
		a = &loggedAnswer{}
		l.answers[p] = a
	}
	return a
}

// AddQuarantine adds a quarantine that another entry has imposed, unless the part was
// answered since or a longer one is known.
func (l *Log) AddQuarantine(now time.Time, q Quarantine) {
	l.recallAnswers(now, []Part{q.Part})
	known := l.quarantines[q.Part]
	if known != nil && !q.Until.After(known.Until) || now.Sub(q.Until) > quarantineMemory {
		return
	}
	if a := l.answers[q.Part]; a != nil && a.at.After(q.Until.Add(-q.Duration)) {
		return
	}
	if known != nil && q.Duration == known.Duration && q.Until.Sub(known.Until) < sameQuarantine {
		return // the same one, with the error of its age
	}
	l.quarantines[q.Part] = &loggedQuarantine{
		Quarantine: q,
		revision:   l.nextRevision(),
	}
}

// sameEnd is the difference up to which two ends of a run are the same one, told with the
// error of its age and the delay of the news. A run that is still registered later is
// proved to be over again.
const sameEnd = 3 * time.Second

// sameQuarantine is the difference up to which two ends are those of one quarantine.
const sameQuarantine = 30 * time.Second

// Quarantines returns all quarantines, in the order of their parts.
func (l *Log) Quarantines() []Quarantine {
	out := make([]Quarantine, 0, len(l.quarantines))
	for _, p := range slices.Sorted(maps.Keys(l.quarantines)) {
		out = append(out, l.quarantines[p].Quarantine)
	}
	return out
}
