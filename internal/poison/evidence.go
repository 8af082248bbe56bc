package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxEvidenceSuspects and maxEvidenceCrashes bound the suspects and the crashes in the
	// evidence of a log.
	maxEvidenceSuspects = 32
	maxEvidenceCrashes  = 64
)

// Evidence returns what the verdicts on parts that are not under quarantine rest on. It
// tells of no other parts. A log to which it is added, with the quarantines, comes to the
// same verdicts. If there is too much of it, it is that of the suspects in most
// crashes, and the newest crashes.
func (l *Log) Evidence(now time.Time) Changes {
	l.Assess(now)
	if len(l.verdicts.suspects) == 0 {
		return Changes{}
	}
	crashes := l.unexplainedCrashes()
	suspects := l.strongestSuspects(crashes)
	var out Changes
	for _, p := range suspects {
		if a := l.answers[p]; a != nil {
			out.Answers = append(out.Answers, Answer{
				Part: p,
				At:   a.at,
			})
		}
	}
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, Crash{
			Run:   c.Run,
			At:    c.At,
			Parts: common(c.Parts, suspects),
		})
	}
	out.Crashes = withSuspectsNearby(out.Crashes)
	out.Crashes = out.Crashes[max(len(out.Crashes)-maxEvidenceCrashes, 0):]
	return out
}

// maxRecentParts bounds the parts in the crashes that Recent returns.
const maxRecentParts = 2048

// Recent returns the newest crashes, oldest first, and the answers to requests with their
// parts, whatever the verdicts on these are.
func (l *Log) Recent() Changes {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *loggedCrash) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var out Changes
	var parts []Part
	for _, c := range crashes[:min(len(crashes), maxEvidenceCrashes)] {
		if len(parts)+len(c.Parts) > maxRecentParts {
			break
		}
		parts = append(parts, c.Parts...)
		out.Crashes = append(out.Crashes, Crash{
			Run:   c.Run,
			At:    c.At,
			Parts: c.Parts,
		})
	}
	slices.Reverse(out.Crashes)
	for _, p := range distinct(parts) {
		if a := l.answers[p]; a != nil {
			out.Answers = append(out.Answers, Answer{
				Part: p,
				At:   a.at,
			})
		}
	}
	return out
}

// strongestSuspects returns the suspects that were in most of the crashes.
func (l *Log) strongestSuspects(crashes []*loggedCrash) []Part {
	counts := make(map[Part]int)
	for _, c := range crashes {
		for _, p := range distinct(c.Parts) {
			if l.verdicts.suspects[p] {
				counts[p]++
			}
		}
	}
	out := make([]Part, 0, len(counts))
	for p := range counts {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Part) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	return out[:min(len(out), maxEvidenceSuspects)]
}

// common returns the parts that are in both lists.
func common(parts, wanted []Part) []Part {
	var out []Part
	for _, p := range parts {
		if slices.Contains(wanted, p) {
			out = append(out, p)
		}
	}
	return out
}

// withSuspectsNearby returns the crashes with parts, and those at about the same moment,
// which may show that all of them have another cause.
func withSuspectsNearby(crashes []Crash) []Crash {
	var out []Crash
	for _, c := range crashes {
		if slices.ContainsFunc(crashes, func(other Crash) bool {
			return len(other.Parts) > 0 && other.At.Sub(c.At).Abs() <= 2*episodeGap
		}) {
			out = append(out, c)
		}
	}
	return out
}

// AddEvidence adds the evidence of another log. The answers aren't told to other entries:
// what was read late would seem to be newer than it is, and so to follow a crash.
func (l *Log) AddEvidence(now time.Time, evidence Changes) {
	for _, remote := range evidence.Answers {
		if a := l.answer(remote.Part); remote.At.After(a.at) {
			a.at = remote.At
			a.sharedAt = remote.At
			l.stale = true
		}
	}
	l.Merge(now, Changes{Crashes: evidence.Crashes})
}
