// Package poison finds the parts of prompts, and the requests, that crash the endpoints
// which answer them. It weighs the crashes and the answers that all entries have
// observed, so that the crash of an endpoint for another reason puts nothing under
// quarantine.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Part identifies a part of a prompt, wherever it stands in the prompt, or a whole
// request, whose part is its fingerprint.
type Part uint64

// NewPart returns the part with the given ID. It is a hash that callers can't choose
// to be that of another part.
func NewPart(id string) Part {
	sum := sha256.Sum256([]byte(id))
	return PartOfHash(binary.BigEndian.Uint64(sum[:]))
}

// PartOfHash returns the part whose ID has the given hash.
func PartOfHash(hash uint64) Part {
	p := Part(hash)
	if p.isFingerprint() {
		p &^= 1 << 63 // the tag is that of fingerprints
	}
	return p
}

// fingerprintTag marks the parts that stand for whole requests.
const fingerprintTag Part = 0xff << 56

// NewFingerprint returns the part that stands for a whole request: all requests of a
// customer with the same content have it, and no others.
func NewFingerprint(customer, content string) Part {
	sum := sha256.Sum256([]byte(customer + "\x00" + content))
	return Part(binary.BigEndian.Uint64(sum[:])) | fingerprintTag
}

func (p Part) isFingerprint() bool { return p&fingerprintTag == fingerprintTag }

// String returns the part as logs name it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Run is one incarnation of an engine.
type Run struct {
	Engine      string
	Incarnation int64
}

// Crash is the unexpected end of an engine's run.
type Crash struct {
	Run
	At time.Time
	// Parts are those of the requests that the engine had begun to answer, in
	// ascending order.
	Parts []Part
	// EndedAt is when the run was proved to be over, zero if it was only found not to
	// answer, as when one entry can't reach it.
	EndedAt time.Time
}

// Answer says that an engine has answered a request with a part.
type Answer struct {
	Part Part
	At   time.Time
}

// Quarantine keeps requests with a part from all engines until a point in time. After
// that the part is tried with one request at a time, and a further crash begins a
// longer quarantine.
type Quarantine struct {
	Part     Part
	Until    time.Time
	Duration time.Duration
}

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

// Changes are crashes, answers and quarantines that another entry has to know.
type Changes struct {
	Crashes     []Crash
	Answers     []Answer
	Quarantines []Quarantine
}

// Empty reports whether there is nothing to tell.
func (c Changes) Empty() bool {
	return len(c.Crashes) == 0 && len(c.Answers) == 0 && len(c.Quarantines) == 0
}

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

func (r *recentAnswers) add(now time.Time, p Part) {
	if r.newer == nil || len(r.newer) >= maxRecent {
		r.older = r.newer
		r.newer = make(map[Part]time.Time)
	}
	r.newer[p] = now
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

// Revision returns the number of the last change that other entries need.
func (l *Log) Revision() uint64 { return l.revision }

func (l *Log) nextRevision() uint64 {
	l.revision++
	l.stale = true
	return l.revision
}

// EndTime returns when a run was proved to be over, if it was.
func (l *Log) EndTime(run Run) (at time.Time, known bool) {
	crash := l.crashes[run]
	if crash == nil || crash.EndedAt.IsZero() {
		return time.Time{}, false
	}
	return crash.EndedAt, true
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
	parts := union(known.Parts, crash.Parts)
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

// shareAll marks the newest answers with the given parts for the other entries where
// they need them.
func (l *Log) shareAll(parts []Part) {
	for _, p := range parts {
		l.share(p)
	}
}

// AddAnswer records that an engine has answered a request with the given parts.
func (l *Log) AddAnswer(now time.Time, parts []Part) {
	for _, p := range parts {
		if p.isFingerprint() && !l.watches(p) {
			l.recent.add(now, p)
			continue
		}
		l.answer(p).at = now
	}
	l.shareAll(parts)
	l.prune(now)
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

// share marks the newest answer with a part for the other entries if it is the first
// one that they learn of, or the first one after a crash.
func (l *Log) share(p Part) {
	a := l.answers[p]
	crashedAt, crashed := l.lastCrash[p]
	if a == nil || !crashed && l.quarantines[p] == nil {
		return
	}
	if a.sharedAt.IsZero() || a.sharedAt.Before(crashedAt) && a.at.After(crashedAt) || l.quarantines[p] != nil {
		if a.at.Equal(a.sharedAt) {
			return
		}
		a.sharedAt = a.at
		a.revision = l.nextRevision()
		a.own = true
	}
}

// Since returns the changes after the given revision.
func (l *Log) Since(revision uint64) Changes {
	out := l.observations(revision, false)
	for _, q := range l.quarantines {
		if q.revision > revision {
			out.Quarantines = append(out.Quarantines, q.Quarantine)
		}
	}
	return out
}

// OwnSince returns the crashes and answers after the given revision that this entry has
// observed itself. It is meant for entries that tell each other without a leader, and
// conclude by themselves which parts to put under quarantine.
func (l *Log) OwnSince(revision uint64) Changes { return l.observations(revision, true) }

func (l *Log) observations(revision uint64, ownOnly bool) Changes {
	var out Changes
	if revision == l.revision {
		return out
	}
	for _, c := range l.crashes {
		if c.revision > revision && (c.own || !ownOnly) {
			out.Crashes = append(out.Crashes, c.Crash)
		}
	}
	for p, a := range l.answers {
		if a.revision > revision && (a.own || !ownOnly) {
			out.Answers = append(out.Answers, Answer{
				Part: p,
				At:   a.sharedAt,
			})
		}
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return out
}

// Merge adds what another entry knows, and returns the number of the last change that
// the other one need not be told of. Later ones are answers that this entry has seen to
// prompts of the crashes.
func (l *Log) Merge(now time.Time, changes Changes) (known uint64) {
	l.prune(now)
	for _, a := range changes.Answers {
		l.mergeAnswer(a)
	}
	for _, c := range changes.Crashes {
		l.addCrash(now, c, false)
	}
	for _, q := range changes.Quarantines {
		l.AddQuarantine(now, q)
	}
	known = l.revision
	for _, c := range changes.Crashes {
		l.shareAll(c.Parts)
	}
	return known
}

func (l *Log) mergeAnswer(remote Answer) {
	a := l.answer(remote.Part)
	if !remote.At.After(a.sharedAt) {
		return
	}
	a.sharedAt = remote.At
	if remote.At.After(a.at) {
		a.at = remote.At
	}
	a.revision = l.nextRevision()
	a.own = false
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

// prune forgets, from time to time, what no longer counts.
func (l *Log) prune(now time.Time) {
	if now.Before(l.pruneAt) && len(l.answers) <= l.pruneAbove {
		return
	}
	l.pruneAt = now.Add(pruneInterval)
	before := len(l.crashes)
	maps.DeleteFunc(l.crashes, func(_ Run, c *loggedCrash) bool { return now.Sub(c.At) > memory })
	maps.DeleteFunc(l.lastCrash, func(_ Part, at time.Time) bool { return now.Sub(at) > memory })
	maps.DeleteFunc(l.repeated, func(p Part, _ bool) bool { return l.lastCrash[p].IsZero() })
	maps.DeleteFunc(l.quarantines, func(_ Part, q *loggedQuarantine) bool { return now.Sub(q.Until) > quarantineMemory })
	l.stale = l.stale || len(l.crashes) != before
	l.pruneAnswers(now)
}

// pruneAnswers forgets the oldest answers, except for those to parts that are in the kept
// crashes: they are proof. However many these are, the next pass comes only after as many
// new ones.
func (l *Log) pruneAnswers(now time.Time) {
	since := l.crashesKeptSince()
	for age := memory; age >= time.Second; age /= 2 {
		maps.DeleteFunc(l.answers, func(p Part, a *loggedAnswer) bool {
			crashedAt, crashed := l.lastCrash[p]
			proof := crashed && !crashedAt.Before(since)
			return now.Sub(a.at) > memory || !proof && now.Sub(a.at) > age
		})
		if len(l.answers) <= maxAnswers/2 {
			break
		}
	}
	l.pruneAbove = max(maxAnswers, 2*len(l.answers))
}

// crashesKeptSince returns the time of the oldest crash of a full log, zero if none was
// dropped.
func (l *Log) crashesKeptSince() time.Time {
	var since time.Time
	if len(l.crashes) < maxCrashes {
		return since
	}
	for _, c := range l.crashes {
		if since.IsZero() || c.At.Before(since) {
			since = c.At
		}
	}
	return since
}

func (l *Log) dropOldestCrash() {
	if len(l.crashes) <= maxCrashes {
		return
	}
	var oldest *loggedCrash
	for _, c := range l.crashes {
		if oldest == nil || c.At.Before(oldest.At) {
			oldest = c
		}
	}
	delete(l.crashes, oldest.Run)
}

// union returns the parts of both lists in ascending order.
func union(a, b []Part) []Part {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
