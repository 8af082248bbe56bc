package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodfold/platform"
)

const (
	kioskService = "kiosk"
	kioskCount   = 3
	calmCustomer = "calm"
	// calmKey is never revoked.
	calmKey = calmCustomer + "-1"
	// crasherBody is the body of the request that crashes endpoints. It comes with
	// steadyKey and without an own path.
	crasherBody = "crasher"
	// The request begins to come within faultDuration, and ends crasherMinTime after
	// that began or up to crasherExtraTime later.
	crasherMinTime   = faultDuration + longPartition + recoveryTime*2/3
	crasherExtraTime = 6 * time.Second
	// From storeContactTime after crash number crasherCrashes on, it may reach endpoints
	// at most maxCrasherLater times.
	crasherCrashes  = 3
	maxCrasherLater = 3
	// From settleTime after that crash on, each kind of sound request must succeed at
	// least minSoundShare times as often as other plain requests, if minSound were sent.
	settleTime    = 5 * time.Second
	minSoundShare = 0.5
	minSound      = 10
	// otherSound are the sound requests that share nothing, fresh stands for what is new
	// in each request.
	otherSound = "other"
	fresh      = "fresh"
)

// soundRequests are the kinds of sound requests to the service of the crashing one, by
// what they share with it or with each other.
var soundRequests = []clientRequest{
	{sound: "path-key", key: steadyKey, body: fresh},
	{sound: "path-body", key: calmKey, body: crasherBody},
	{sound: "key-body", path: fresh, key: steadyKey, body: crasherBody},
	{sound: "repeated", path: "y", key: steadyKey, body: "repeated"},
	{sound: otherSound, path: fresh, key: calmKey, body: fresh},
}

// startCrasher starts the request that crashes endpoints, on an idempotent route or on
// another one, and the sound requests beside it.
func (en *environment) startCrasher(ctx context.Context, group *sync.WaitGroup, seed uint64, t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 12))
	kind := []string{"read", "read", "buy"}[random.IntN(3)]
	begin := time.Duration(random.Int64N(int64(faultDuration)))
	end := time.Now().Add(crasherMinTime + time.Duration(random.Int64N(int64(crasherExtraTime))))
	en.crashesAfterAnswer = random.IntN(2) == 0
	t.Logf("%v a request to %s crashes endpoints, after its answer: %t, from in %v on",
		time.Now().Format("05.000"), kind, en.crashesAfterAnswer, begin)
	for n, sound := range soundRequests {
		random := rand.New(rand.NewPCG(seed, uint64(200+n)))
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				sent := sound
				sent.kind, sent.id = kind, fmt.Sprintf("%s-%d", sound.sound, i)
				sent.path = strings.Replace(sent.path, fresh, fmt.Sprint(i), 1)
				sent.body = strings.Replace(sent.body, fresh, fmt.Sprint(i), 1)
				en.sendPlain(ctx, random, &sent)
				time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
			}
		})
	}
	group.Go(func() {
		time.Sleep(begin)
		for i := 0; ctx.Err() == nil && time.Now().Before(end); i++ {
			sent := &clientRequest{id: fmt.Sprintf("crasher-%d", i), kind: kind, key: steadyKey, body: crasherBody}
			draws := rand.New(rand.NewPCG(seed, uint64(1000+i)))
			group.Go(func() { en.sendPlain(ctx, draws, sent) })
			time.Sleep(time.Duration(150+random.IntN(200)) * time.Millisecond)
		}
	})
}

// sendPlain sends a request to an entry drawn anew.
func (en *environment) sendPlain(ctx context.Context, random *rand.Rand, sent *clientRequest) {
	sent.at = time.Now()
	en.history.recordRequest(sent)
	status, _ := en.sendRequest(ctx, http.DefaultClient, en.entries[random.IntN(len(en.entries))].frontAddress, sent)
	en.history.recordStatus(sent, status)
}

// crashOnRequest crashes the endpoint if the request is the one that does, before or after it
// has answered. It reports whether it has answered.
func (ep *fakeEndpoint) crashOnRequest(w http.ResponseWriter, r *http.Request, id string) (answered bool) {
	customer := r.Header.Get(platform.HeaderCustomer)
	if ep.service != kioskService || customer != steadyCustomer || !strings.HasSuffix(r.URL.Path, "/x") {
		return false
	}
	if body, err := io.ReadAll(r.Body); err != nil || string(body) != crasherBody {
		return false
	}
	h, now := ep.env.history, time.Now()
	h.recordExecution(execution{
		id: r.Header.Get(platform.HeaderRequestID), customer: customer, key: r.Header.Get(platform.HeaderAPIKey), at: now, endpoint: id,
	})
	h.mu.Lock()
	h.crasherArrivals = append(h.crasherArrivals, poisonedExecution{at: now, inContact: now.After(h.stableFrom)})
	h.mu.Unlock()
	time.Sleep(time.Duration(20+rand.IntN(100)) * time.Millisecond)
	if ep.env.crashesAfterAnswer {
		requestID := r.Header.Get(platform.HeaderRequestID)
		w.Header().Set(platform.HeaderServerStamp, "stamp-"+requestID)
		_, _ = io.WriteString(w, "ran "+requestID)
		time.AfterFunc(time.Duration(20+rand.IntN(180))*time.Millisecond, func() { ep.crashByRequest(id) })
		return true
	}
	ep.crashByRequest(id)
	panic(http.ErrAbortHandler)
}

// crashByRequest crashes an incarnation of the endpoint, unless it has ended.
func (ep *fakeEndpoint) crashByRequest(id string) {
	if !ep.end(id) {
		return
	}
	ep.crash(time.Duration(300+rand.IntN(2700)) * time.Millisecond)
	h := ep.env.history
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crasherCrashes = append(h.crasherCrashes, time.Now())
}

// checkCrasher checks that the request that crashes endpoints is kept from them, and
// that sound requests sent until a time aren't.
func (h *history) checkCrasher(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	crashes := h.crasherCrashes[:min(len(h.crasherCrashes), crasherCrashes)]
	if len(crashes) == 0 {
		h.addViolationLocked("FAULT: the request that crashes endpoints reached none")
		return
	}
	newest := crashes[len(crashes)-1]
	later := 0
	for _, a := range h.crasherArrivals {
		if a.inContact && a.at.Sub(newest) > storeContactTime {
			later++
		}
	}
	if len(crashes) == crasherCrashes && later > maxCrasherLater {
		h.addViolationLocked("BUDGET: a request reached endpoints %d times later than %v after crash %d of %d",
			later, storeContactTime, crasherCrashes, len(h.crasherCrashes))
	}
	from := newest.Add(settleTime)
	if h.stableFrom.After(from) {
		from = h.stableFrom
	}
	shares := h.soundShares(from, until)
	other := shares[otherSound].ratio()
	for name, s := range shares {
		if s.tried >= minSound && s.ratio() < minSoundShare*other {
			h.addViolationLocked("BUDGET: %v sound requests (%s) succeeded while %v other plain ones did", s, name, shares[otherSound])
		}
	}
}

// soundShares returns the shares of the sound requests sent in a time span that
// succeeded, by kind. The plain requests of other services count as other ones.
func (h *history) soundShares(from, until time.Time) map[string]share {
	shares := make(map[string]share)
	for _, req := range h.requests {
		name := req.sound
		if slices.Contains([]string{"charge", "look"}, req.kind) && customerOf(req.key) == "big" && h.revoked[req.key].IsZero() {
			name = otherSound
		}
		if name == "" || req.at.Before(from) || req.at.After(until) {
			continue
		}
		s := shares[name]
		s.tried++
		if req.status == http.StatusOK {
			s.good++
		}
		shares[name] = s
	}
	return shares
}
