package poison

import (
	"slices"
	"time"
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

// Revision returns the number of the last change that other entries need.
func (l *Log) Revision() uint64 { return l.revision }

func (l *Log) nextRevision() uint64 {
	l.revision++
	l.stale = true
	return l.revision
}

// shareAll marks the newest answers with the given parts for the other entries where
// they need them.
func (l *Log) shareAll(parts []Part) {
	for _, p := range parts {
		l.share(p)
	}
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
