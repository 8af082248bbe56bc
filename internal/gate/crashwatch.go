package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
)

const (
	// endingMemory is how long the end of an attempt without a whole response may turn out
	// to be one of an endpoint that has crashed.
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
	// withheld are the parts of requests that were at other endpoints as one ended.
	withheld []withheldPart
	// logged are the quarantines that were logged, with their ends, loggedSuspects the
	// suspicions.
	logged         map[poison.Part]time.Time
	loggedSuspects map[poison.Part]bool
	loggedRevision uint64
}

// ending is the end of an attempt after which the endpoint may have ended too.
type ending struct {
	at    time.Time
	parts []poison.Part
	// complete is true if the response was complete, unless its endpoint has cut it off, and
	// whole if its framing proves that it was. failed is true if it was a failure.
	complete, whole, failed bool
	// proves are the parts that a complete response proves to be sound once its endpoint has
	// gone on running.
	proves []poison.Part
	// suspects are the parts for which the request was on trial.
	suspects []poison.Part
	// broken is true if the endpoint is to be probed, as after an answer that was cut off,
	// false if it ended with its connection or without any event, as a complete one may,
	// or if its client or its deadline ended it.
	broken bool
	// probed is true if a probe couldn't tell whether the endpoint goes on running.
	probed bool
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

// prune forgets failures of requests that are no longer suspect.
func (w *crashWatch) prune(now time.Time) {
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

func (w *crashWatch) addEnding(run poison.Run, e ending) { w.endings[run] = append(w.endings[run], e) }

// markProbed marks the complete responses of a run as ones for which another probe is no use.
func (w *crashWatch) markProbed(run poison.Run) {
	endings := w.endings[run]
	for i := range endings {
		endings[i].probed = endings[i].complete
	}
}

func (w *crashWatch) keepEndings(run poison.Run, endings []ending) {
	if len(endings) == 0 {
		delete(w.endings, run)
		return
	}
	w.endings[run] = endings
}

// takeEndings removes the endings of a run that match and returns them.
func (w *crashWatch) takeEndings(run poison.Run, match func(*ending) bool) []ending {
	endings := w.endings[run]
	if !slices.ContainsFunc(endings, func(e ending) bool { return match(&e) }) {
		return nil
	}
	var taken, others []ending
	for _, e := range endings {
		if match(&e) {
			taken = append(taken, e)
		} else {
			others = append(others, e)
		}
	}
	w.keepEndings(run, others)
	return taken
}
