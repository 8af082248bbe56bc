package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	steadyCustomer = "steady"
	// steadyKey is never revoked.
	steadyKey = steadyCustomer + "-1"
	// draftClientCount is the number of clients that ask a fleet of usualEntries for drafts.
	draftClientCount = 16
	// One in leaverOdds drafts is left by its client, which resumes it at once elsewhere.
	leaverOdds = 8
	// draftPeriod is the time between two new streams of a client, so that a refused
	// one counts no more often than one that lasts.
	draftPeriod = eventsPerStream * draftInterval
	// abandonTime is the time within which a client must get an event of a stream.
	abandonTime = 2 * time.Second
	// Of minResumed or more streams that are resumed, the share that goes on must be at
	// least minResumedShare of the share of new streams that begin.
	minResumed      = 12
	minResumedShare = 0.5
)

// share counts what was tried and what of it went well, and lists the requests that
// didn't.
type share struct {
	good, tried int
	failed      []string
}

func (s share) String() string { return fmt.Sprintf("%d of %d", s.good, s.tried) }

func (s share) ratio() float64 { return float64(s.good) / float64(max(s.tried, 1)) }

// startDrafts starts the changes of the engines of drafts and their clients.
func (en *environment) startDrafts(ctx context.Context, group *sync.WaitGroup, seed uint64, t *testing.T) {
	group.Go(func() { en.changeDrafters(ctx, rand.New(rand.NewPCG(seed, 11)), t) })
	for n := range scaled(draftClientCount) {
		group.Go(func() { en.runDraftClient(ctx, n, rand.New(rand.NewPCG(seed, uint64(100+n)))) })
	}
}

// runDraftClient asks for streams at entries drawn anew, and resumes those that break
// off, until ctx ends.
func (en *environment) runDraftClient(ctx context.Context, number int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("d%d-%d", number, i)
		sent := &clientRequest{
			id: id, kind: draftRoute, key: steadyKey, at: time.Now(), model: []string{"m0", "m0", "m1", "m2"}[random.IntN(4)],
			prompt: fmt.Sprintf("system:10,topic%d:10,%s:5", random.IntN(promptTopics), id), stream: &clientStream{firstRequest: id},
			last: true,
		}
		if random.IntN(leaverOdds) == 0 {
			sent.stream.leaveAfter = 2 + random.IntN(eventsPerStream-2)
		}
		en.history.recordRequest(sent)
		status, err := en.sendStream(ctx, client, en.entries[random.IntN(len(en.entries))], sent)
		en.history.recordStatus(sent, status)
		if err != nil && sent.stream.lastEvent > 0 {
			en.resumeStream(ctx, client, sent, random)
		}
		pause := time.Duration(20+random.IntN(80)) * time.Millisecond
		time.Sleep(max(pause, time.Until(sent.at.Add(draftPeriod))))
	}
}

// sendStream sends a request for a stream to an entry. It counts, by their last request, the
// new and the resumed streams of drafts that are sent to hosts in contact, while two engines of the
// stream's version serve and one of them had time to load a model, for a new one while two
// engines of any version serve.
func (en *environment) sendStream(ctx context.Context, client *http.Client, e *entry, sent *clientRequest) (int, error) {
	resumed := sent.stream.lastEvent > 0
	counted := sent.kind == draftRoute && en.canServe(sent.stream) && en.history.inContact(e.name)
	engines := ""
	if counted && resumed {
		engines = en.describeDrafters(sent)
	}
	status, err := en.sendRequest(ctx, client, e.frontAddress, sent)
	if sent.firstEventAt.IsZero() && status == http.StatusOK && err == nil {
		sent.firstEventAt = time.Now() // the client had all events before
	}
	good := !sent.firstEventAt.IsZero() && sent.firstEventAt.Sub(sent.at) < abandonTime
	if counted && (good || sent.last) && ctx.Err() == nil && en.history.inContact(e.name) {
		en.history.recordStream(sent.id, resumed, good)
		if resumed && !good {
			en.t.Logf("%v %s at %s, of %s at %v, sent when the engines were%s, got %d %v, retry after %v",
				time.Now().Format("05.000"), sent.id, e.name, sent.model, sent.stream.versions, engines, status, err, sent.retryAfter)
		}
	}
	return status, err
}

// describeDrafters returns the versions, models and loads of the engines that serve drafts,
// those of other versions than a stream's without their models.
func (en *environment) describeDrafters(sent *clientRequest) string {
	var out strings.Builder
	for _, ep := range en.readyDrafters() {
		ep.mu.Lock()
		fmt.Fprintf(&out, " %s", ep.version)
		if ep.version == sent.stream.versions[0] {
			fmt.Fprintf(&out, "[%s %v loading:%t slow:%t]", ep.id, ep.models, ep.loading, time.Now().Before(ep.slowUntil))
		}
		ep.mu.Unlock()
	}
	return out.String()
}

// canServe reports whether two engines of the stream's version serve, of which one has been
// there for long enough to have loaded a model. A new stream needs two engines of any version.
func (en *environment) canServe(stream *clientStream) bool {
	counts, loaded := make(map[string]int), make(map[string]bool)
	for _, ep := range en.readyDrafters() {
		version := ep.currentVersion()
		if stream.lastEvent > 0 && version != stream.versions[0] {
			continue
		}
		counts[version]++
		loaded[version] = loaded[version] || ep.hadTimeToLoad()
		if counts[version] > 1 && (stream.lastEvent == 0 || loaded[version]) {
			return true
		}
	}
	return false
}

// hadTimeToLoad reports whether an engine of drafts can have loaded a model.
func (ep *fakeEndpoint) hadTimeToLoad() bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return time.Now().After(ep.loadedAt)
}

// inContact reports whether a host and the store have been without a fault for
// storeContactTime.
func (h *history) inContact(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.recoveredAt[host]) > storeContactTime && time.Since(h.recoveredAt[""]) > storeContactTime
}

func (h *history) recordStream(id string, resumed, good bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &h.newStreams
	if resumed {
		s = &h.resumedStreams
	}
	s.tried++
	if good {
		s.good++
	} else {
		s.failed = append(s.failed, id)
	}
}

// checkLost checks that streams which clients resume go on about as often as new ones
// begin.
func (h *history) checkLost() {
	if h.resumedStreams.tried >= minResumed && h.resumedStreams.ratio() < minResumedShare*h.newStreams.ratio() {
		h.addViolationLocked("LOST: %v resumed streams went on while %v new ones began, not %v",
			h.resumedStreams, h.newStreams, h.resumedStreams.failed)
	}
}
