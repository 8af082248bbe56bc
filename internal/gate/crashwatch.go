package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
)

const (
	// endingMemory is how long an answer that was cut off may turn out to be one of
	// an engine that has crashed.
	endingMemory = 3 * time.Second
	// provingFailures is the number of endpoints that must have failed a suspect request,
	// with no crash since the first of them, before it counts as answered: one endpoint
	// may fail requests before they run.
	provingFailures = 2
)

// crashWatch holds what an entry knows of crashes of endpoints.
type crashWatch struct {
	log *poison.Log
	// endings are answers that ended as if their endpoint had crashed, by endpoint.
	endings map[poison.Run][]ending
	// probes are the endpoints that are being probed, and since when.
	probes map[poison.Run]time.Time
	// trials are requests with suspect parts that this entry has let through to see whether
	// they crash an endpoint, by part.
	trials map[poison.Part]trial
	// endedTrials are the suspect parts of requests that ended without showing
	// anything, of which the entry that grants trials must be told.
	endedTrials []poison.Part
	// failures are those of suspect requests to plain endpoints, by fingerprint.
	failures map[poison.Part]*failureRecord
	// logged are the quarantines that were logged, with their ends.
	logged         map[poison.Part]time.Time
	loggedRevision uint64
}

// ending is the end of an answer without proof that the endpoint goes on running.
type ending struct {
	at    time.Time
	parts []poison.Part
	// fingerprint is that of a request to a plain endpoint whose answer was complete,
	// if the endpoint goes on running.
	fingerprint poison.Part
	// failed is true if that answer was a failure.
	failed bool
	// suspects are the parts for which the request was on trial.
	suspects []poison.Part
	// broken is true if the endpoint is to be probed, as after an answer that was cut off,
	// false if it ended with its connection or without any event, as a complete one may,
	// or if its client or its deadline ended it.
	broken bool
}

// failureRecord holds the endpoints that have failed a suspect request and not crashed.
type failureRecord struct {
	since time.Time
	runs  map[poison.Run]bool
}

func newCrashWatch() crashWatch {
	return crashWatch{
		log:      poison.NewLog(),
		endings:  make(map[poison.Run][]ending),
		probes:   make(map[poison.Run]time.Time),
		trials:   make(map[poison.Part]trial),
		failures: make(map[poison.Part]*failureRecord),
	}
}

// prune forgets endings that are too old to be those of a crash, and failures of requests
// that are no longer suspect.
func (w *crashWatch) prune(now time.Time) {
	for run, endings := range w.endings {
		if _, probing := w.probes[run]; !probing {
			w.keepEndings(run, slices.DeleteFunc(endings, func(e ending) bool { return w.expire(now, run, e) }))
		}
	}
	maps.DeleteFunc(w.failures, func(p poison.Part, _ *failureRecord) bool { return !w.isSuspect(now, p) })
}

func (w *crashWatch) isSuspect(now time.Time, p poison.Part) bool {
	return w.log.Judge(now, []poison.Part{p}).Verdict != poison.Clear
}

// addFailure records that an endpoint has failed a request to it and goes on running. It
// reports whether that proves, with earlier failures, that the request is sound.
func (w *crashWatch) addFailure(now time.Time, run poison.Run, fingerprint poison.Part) (proves bool) {
	if !w.isSuspect(now, fingerprint) {
		return false
	}
	record := w.failures[fingerprint]
	if record == nil || w.log.ResolvedSince(fingerprint, record.since) {
		record = &failureRecord{
			since: now,
			runs:  make(map[poison.Run]bool),
		}
		w.failures[fingerprint] = record
	}
	record.runs[run] = true
	if len(record.runs) < provingFailures {
		return false
	}
	delete(w.failures, fingerprint)
	w.log.AddAnswer(now, []poison.Part{fingerprint})
	return true
}

// expire reports whether an ending is too old to be that of a crash. An answer that was
// complete if its endpoint goes on running then counts as one.
func (w *crashWatch) expire(now time.Time, run poison.Run, e ending) bool {
	if now.Sub(e.at) <= endingMemory {
		return false
	}
	switch {
	case e.fingerprint == 0:
	case e.failed:
		w.addFailure(now, run, e.fingerprint)
	default:
		w.log.AddAnswer(now, []poison.Part{e.fingerprint})
	}
	return true
}

func (w *crashWatch) addEnding(run poison.Run, e ending) { w.endings[run] = append(w.endings[run], e) }

func (w *crashWatch) keepEndings(run poison.Run, endings []ending) {
	if len(endings) == 0 {
		delete(w.endings, run)
		return
	}
	w.endings[run] = endings
}
