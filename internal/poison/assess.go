package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// episodeGap is the time between two crashes from which they count as separate
	// episodes: engines that end at the same moment may have a common cause.
	episodeGap = 250 * time.Millisecond
	// A part without any answer is tried with one request at a time after
	// suspectEpisodes episodes or suspectCrashes crashes, and is put under quarantine
	// after quarantineEpisodes episodes.
	suspectEpisodes    = 2
	suspectCrashes     = 5
	quarantineEpisodes = 3
	// An episode has another cause than a part if at least minOtherCrashes engines
	// crashed without it, and otherCrashRatio times as many as with it. Crashes with
	// another part that would be put under quarantine for its crashes don't count: that
	// part may be their cause.
	minOtherCrashes = 2
	otherCrashRatio = 2
	// Those are the numbers of episodes for a part with answers before the crashes.
	provenSuspectEpisodes    = 3
	provenQuarantineEpisodes = 5
	// Those are the numbers of crashes for fingerprints. A request that is sent on to
	// the next engine at once crashes several in one episode, so that crashes count, of
	// all episodes that have no other cause; a quarantine also needs several episodes.
	fingerprintSuspectCrashes     = 2
	fingerprintQuarantineCrashes  = 4
	fingerprintQuarantineEpisodes = 2
	// Up to maxConfinedEpisodes episodes a suspect fingerprint with answers before the
	// crashes is confined to one endpoint, and tried with one request at a time after that.
	maxConfinedEpisodes = 2
	// settleTime is how long after a crash all entries that had requests under way at
	// the engine have told of them. Until then a fingerprint that seems to explain the
	// crash is only kept waiting.
	settleTime = 400 * time.Millisecond
	// A first quarantine after fewer than strongEpisodes episodes lasts for
	// shortQuarantine, so that a part that is not to blame is soon tried again.
	strongEpisodes  = 5
	shortQuarantine = 20 * time.Second
	// longQuarantine is the duration of other first quarantines and of the second
	// one, maxQuarantine that of the longest.
	longQuarantine = 10 * time.Minute
	maxQuarantine  = 24 * time.Hour
)

// Verdict says how a request may be handled.
type Verdict int

// Verdicts on requests.
const (
	// Clear requests may be sent.
	Clear Verdict = iota
	// Trial requests may be sent only if no other one with their suspect parts is
	// on its way.
	Trial
	// Quarantined requests may not be sent.
	Quarantined
)

// verdicts are the conclusions from a log.
type verdicts struct {
	// suspects may be tried with one request at a time.
	suspects map[Part]bool
	// groups holds the parts that explain the same crashes. Requests with all parts
	// of a group are under quarantine, those with some of them may be tried.
	groups map[Part][]Part
	// rivals holds the same for all suspects, each one's own part included.
	rivals map[Part][]Part
	// bases holds what the suspicions rest on.
	bases map[Part]Basis
	// settling holds the fingerprints that are kept waiting, and until when.
	settling map[Part]time.Time
}

// Suspects returns the parts that are tried with one request at a time.
func (l *Log) Suspects() map[Part]bool { return l.verdicts.suspects }

// Basis is what the suspicion of a part rests on.
type Basis struct {
	// Crashes is the number of crashes with the part since its last answer that have no other
	// cause, Weight their sum, weighed by how rarely the part comes, and Episodes the
	// number of moments at which they were.
	Crashes, Episodes int
	Weight            float64
	// Answered is true if there was an answer before them.
	Answered bool
	// Confined is true if one endpoint may get such requests without trials.
	Confined bool
}

// String returns the basis as logs name it.
func (b Basis) String() string {
	return fmt.Sprintf("crashes %d, weight %.2f, episodes %d, answered before %t, confined %t",
		b.Crashes, b.Weight, b.Episodes, b.Answered, b.Confined)
}

// BasisOf returns what the suspicion of a part rests on.
func (l *Log) BasisOf(p Part) Basis { return l.verdicts.bases[p] }

// Rivals returns the suspects, among them the part itself, that explain the same crashes
// as a suspect part. Only trials that exclude each other tell them apart.
func (l *Log) Rivals(p Part) []Part { return l.verdicts.rivals[p] }

// Judgment is the verdict on a request.
type Judgment struct {
	Verdict Verdict
	// Suspects are the parts for which the request is on trial.
	Suspects []Part
	// Confined is true if such requests may go to one endpoint, the same for all, beside
	// each other: identical ones were answered before.
	Confined bool
	// Until is the end of the quarantine of the request.
	Until time.Time
}

// Judge returns the verdict on a request with the given parts.
func (l *Log) Judge(now time.Time, parts []Part) Judgment {
	if len(parts) == 0 || len(l.crashes) == 0 && len(l.quarantines) == 0 {
		return Judgment{}
	}
	l.Assess(now)
	var out Judgment
	for _, p := range parts {
		if until := l.quarantinedUntil(now, p, parts); now.Before(until) {
			return Judgment{
				Verdict: Quarantined,
				Until:   until,
			}
		}
		if l.quarantines[p] != nil || l.verdicts.suspects[p] {
			out.Confined = l.verdicts.bases[p].Confined && (out.Confined || len(out.Suspects) == 0)
			out.Verdict = Trial
			out.Suspects = append(out.Suspects, p)
		}
	}
	return out
}

// quarantinedUntil returns the end of the quarantine of a part of a request with the
// given parts, zero if there is none.
func (l *Log) quarantinedUntil(now time.Time, p Part, parts []Part) time.Time {
	if q := l.quarantines[p]; q != nil && now.Before(q.Until) {
		return q.Until
	}
	if until := l.verdicts.settling[p]; now.Before(until) {
		return until
	}
	if group := l.verdicts.groups[p]; len(group) > 1 && containsAll(parts, group) {
		return l.lastCrash[p].Add(longQuarantine)
	}
	return time.Time{}
}

// ResolvedSince reports whether a request with the part was answered, or an engine
// that answered one crashed, after a point in time.
func (l *Log) ResolvedSince(p Part, at time.Time) bool {
	if a := l.answers[p]; a != nil && a.at.After(at) {
		return true
	}
	return l.lastCrash[p].After(at)
}

// Assess updates the verdicts. The part whose crashes weigh most explains them, so
// that they say nothing of the parts beside it; then the next part is looked for among
// the other crashes, and fingerprints among those that no part of a prompt explains.
func (l *Log) Assess(now time.Time) {
	l.renewQuarantines()
	if !l.stale && !l.settled(now) {
		return
	}
	l.stale = false
	l.verdicts = verdicts{
		suspects: make(map[Part]bool),
		groups:   make(map[Part][]Part),
		rivals:   make(map[Part][]Part),
		bases:    make(map[Part]Basis),
		settling: make(map[Part]time.Time),
	}
	unexplained := l.judgeParts(now, l.unexplainedCrashes(), false)
	l.judgeParts(now, unexplained, true)
}

// settled reports whether a fingerprint is no longer to be kept waiting.
func (l *Log) settled(now time.Time) bool {
	for _, until := range l.verdicts.settling {
		if !now.Before(until) {
			return true
		}
	}
	return false
}

// judgeParts sets the verdicts on parts of prompts, or on fingerprints, and returns the
// crashes that they don't explain.
func (l *Log) judgeParts(now time.Time, crashes []*loggedCrash, fingerprints bool) []*loggedCrash {
	unexplained := l.candidates(crashes, fingerprints)
	for {
		tallies := tallyCrashes(unexplained)
		first := slices.IndexFunc(tallies, (*tally).suspect)
		if first < 0 {
			return loggedCrashes(unexplained)
		}
		best := tallies[first]
		l.judgeGroup(now, best, rivalGroup(tallies, best))
		unexplained = without(unexplained, best.crashes)
	}
}

// judgeGroup sets the verdicts on the part that explains most crashes and its rivals.
func (l *Log) judgeGroup(now time.Time, best *tally, group []Part) {
	for _, p := range group {
		l.verdicts.suspects[p] = true
		l.verdicts.rivals[p] = group
		l.verdicts.bases[p] = best.basis()
		if best.condemned() {
			l.verdicts.groups[p] = group
		}
	}
	if best.condemned() && len(group) == 1 {
		if settled := best.crashes[len(best.crashes)-1].At.Add(settleTime); best.part.isFingerprint() && now.Before(settled) {
			l.verdicts.settling[best.part] = settled
			return
		}
		duration := longQuarantine
		if best.episodes < strongEpisodes {
			duration = shortQuarantine
		}
		l.impose(now, best.part, duration)
	}
}

// rivalGroup returns a part and its rivals.
func rivalGroup(tallies []*tally, best *tally) []Part {
	var out []Part
	for _, t := range tallies {
		if t.rivals(best) {
			out = append(out, t.part)
		}
	}
	slices.Sort(out)
	return out
}

// renewQuarantines prolongs the quarantines of parts that have crashed an engine after
// their end, and lifts those of parts that were answered since they began.
func (l *Log) renewQuarantines() {
	for p, q := range l.quarantines {
		began := q.Until.Add(-q.Duration)
		if a := l.answers[p]; a != nil && a.at.After(began) && !l.lastCrash[p].After(a.at) {
			delete(l.quarantines, p)
			l.nextRevision()
			continue
		}
		if crashedAt := l.lastCrash[p]; crashedAt.After(q.Until) {
			l.impose(crashedAt, p, min(max(2*q.Duration, longQuarantine), maxQuarantine))
		}
	}
}

func (l *Log) impose(now time.Time, p Part, duration time.Duration) {
	known := l.quarantines[p]
	if known != nil && now.Before(known.Until) {
		return
	}
	l.revision++
	l.quarantines[p] = &loggedQuarantine{
		Quarantine: Quarantine{
			Part:     p,
			Until:    now.Add(duration),
			Duration: duration,
		},
		revision: l.revision,
	}
}

// unexplainedCrashes returns the crashes without a part under quarantine, oldest
// first.
func (l *Log) unexplainedCrashes() []*loggedCrash {
	out := make([]*loggedCrash, 0, len(l.crashes))
	for _, c := range l.crashes {
		if !slices.ContainsFunc(c.Parts, func(p Part) bool { return l.quarantines[p] != nil }) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *loggedCrash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func containsAll(parts, group []Part) bool {
	for _, p := range group {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}
