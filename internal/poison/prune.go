package poison

import (
	"maps"
	"time"
)

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
