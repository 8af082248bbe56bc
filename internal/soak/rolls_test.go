package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/platform/fakes"
)

const (
	draftService = "drafting"
	draftRoute   = "draft"
	// Of a fleet of usualEntries, drafterCount engines serve drafts, and spareCount places
	// are kept for those that a roll starts. Larger fleets have more in proportion.
	drafterCount = 4
	spareCount   = 3
	// Loads of an engine of drafts last minDraftLoad to maxDraftLoad, by seed.
	minDraftLoad  = 300 * time.Millisecond
	maxDraftLoad  = 4 * time.Second
	draftInterval = 80 * time.Millisecond
	// firstOrderTime is the time in which an engine can be registered, report and be ordered to
	// load its first model.
	firstOrderTime = 700 * time.Millisecond
	// An engine of drafts reads a prompt in readTime, while it is slow in slowReadTime.
	readTime     = 60 * time.Millisecond
	slowReadTime = 500 * time.Millisecond
	// meanRollInterval is the mean time between two changes of these engines.
	meanRollInterval = 1300 * time.Millisecond
	// rollOverlap is how long the new engine and the old one of a roll serve together.
	rollOverlap = 500 * time.Millisecond
	// killSeriesTime is the time in which the leader and entries are killed in series,
	// at least minKillInterval apart.
	killSeriesTime  = 5 * time.Second
	minKillInterval = 500 * time.Millisecond
)

// releases are the versions to which the engines of drafts are rolled, one after the
// other.
var releases = []string{"v3", "v4", "v5", "v6", "v7", "v8", "v9"}

// scaled returns what a fleet has of something of which one of usualEntries has n.
func scaled(n int) int { return max(n**entryCount/usualEntries, 1) }

// addDrafters adds the engines of drafts, each with two models, and the spare places.
func (en *environment) addDrafters(t *testing.T) {
	drafters, spares := scaled(drafterCount), scaled(spareCount)
	for i := range drafters + spares {
		ep := newFakeEndpoint(t, en, draftService)
		ep.release, ep.version, ep.models = releases[0], releases[0], []string{"m0", "m1"}
		if i%2 == 1 {
			ep.models[1] = "m2"
		}
		ep.loadedAt = time.Time{}
		if i >= drafters {
			ep.spare.Store(true)
			ep.state = ""
			ep.proxy.setMode(refuseConns)
		}
		en.drafters = append(en.drafters, ep)
	}
}

// changeDrafters rolls the engines of drafts to newer versions, ends some of them,
// which come back empty, and slows some down, until ctx ends.
func (en *environment) changeDrafters(ctx context.Context, random *rand.Rand, t *testing.T) {
	for newest := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(meanRollInterval))):
		}
		ready := en.readyDrafters()
		if len(ready) == 0 {
			continue
		}
		ep := ready[random.IntN(len(ready))]
		duration := time.Duration(100+random.IntN(900)) * time.Millisecond
		change := random.IntN(8)
		switch {
		case change < 3:
			if en.roll(releases[newest], ready) {
				t.Logf("%v roll an engine to %s", time.Now().Format("05.000"), releases[newest])
			} else if newest+1 < len(releases) {
				newest++
			}
		case change < 6:
			release := []string{ep.currentVersion(), releases[newest]}[random.IntN(2)]
			ep.setRelease(release)
			ep.crash(duration)
			t.Logf("%v crash an engine of drafts for %v, then at %s", time.Now().Format("05.000"), duration, release)
		default:
			ep.mu.Lock()
			ep.slowUntil = time.Now().Add(3 * duration)
			ep.mu.Unlock()
			t.Logf("%v slow down an engine of drafts for %v", time.Now().Format("05.000"), 3*duration)
		}
	}
}

// readyDrafters returns the engines of drafts that are registered as ready. All of
// them can be reached.
func (en *environment) readyDrafters() []*fakeEndpoint {
	var ready []*fakeEndpoint
	for _, ep := range en.drafters {
		ep.mu.Lock()
		if ep.state == "ready" && ep.recordSequence > 0 {
			ready = append(ready, ep)
		}
		ep.mu.Unlock()
	}
	return ready
}

// roll starts an empty engine of a version in a spare place, if there is one, after
// which one of an older version drains and leaves. It reports false if all engines have
// the version.
func (en *environment) roll(release string, ready []*fakeEndpoint) bool {
	i := slices.IndexFunc(ready, func(ep *fakeEndpoint) bool { return ep.currentVersion() != release })
	if i < 0 {
		return false
	}
	for _, ep := range en.drafters {
		if ep.spare.CompareAndSwap(true, false) {
			ep.setRelease(release)
			ep.start(nil)
			ep.proxy.setMode(forwardAll)
			ep.publishRecord()
			ready[i].leave()
			return true
		}
	}
	if len(ready) > scaled(drafterCount) {
		ready[i].leave()
	}
	return true
}

// setRelease sets the version of the next starts.
func (ep *fakeEndpoint) setRelease(release string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.release = release
}

// leave drains the endpoint after rollOverlap and leaves its place spare, unless it
// ends before.
func (ep *fakeEndpoint) leave() {
	id := ep.currentID()
	time.AfterFunc(rollOverlap, func() {
		if ep.currentID() != id || !slices.Contains(ep.env.readyDrafters(), ep) {
			return
		}
		ep.announceDraining()
		time.AfterFunc(drainBound+rollOverlap, func() {
			ep.end(id)
			ep.proxy.setMode(refuseConns)
			ep.env.store.Put(fakes.TopicEndpoints, id, nil)
			ep.spare.Store(true)
		})
	})
}

// end ends an incarnation. It reports false if that has ended before.
func (ep *fakeEndpoint) end(id string) bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.id != id || ep.state == "" {
		return false
	}
	ep.state = ""
	return true
}

// readPrompt takes the time in which an engine of drafts reads a prompt, after those
// that came before.
func (ep *fakeEndpoint) readPrompt() {
	if ep.service != draftService {
		return
	}
	ep.reading.Lock()
	defer ep.reading.Unlock()
	ep.mu.Lock()
	duration := readTime
	if time.Now().Before(ep.slowUntil) {
		duration = slowReadTime
	}
	ep.mu.Unlock()
	time.Sleep(duration)
}

// killInSeries kills the leader and other entries for killSeriesTime.
func (en *environment) killInSeries(random *rand.Rand, t *testing.T) {
	end := time.Now().Add(killSeriesTime)
	for {
		pause := minKillInterval + time.Duration(random.IntN(2000))*time.Millisecond
		time.Sleep(min(pause, time.Until(end)))
		if time.Now().After(end) {
			return
		}
		e := en.entries[random.IntN(len(en.entries))]
		killLeader := random.IntN(2) == 0
		en.history.mu.Lock()
		leader := en.history.newestHolder
		en.history.mu.Unlock()
		for _, other := range en.entries {
			if killLeader && other.name == leader {
				e = other
			}
		}
		en.history.recordFault(e.name, time.Now().Add(restartDelay))
		e.signal(syscall.SIGKILL)
		t.Logf("%v kill %s, the newest leader was %s", time.Now().Format("05.000"), e.name, leader)
	}
}
