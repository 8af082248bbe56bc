package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// maxNamings is how often endpoints name a limit in a run.
	maxNamings = 3
	// limitWindow is the time over which a limit must be kept, from storeContactTime
	// after it was first named on.
	limitWindow = 4 * time.Second
	// A window may hold limitToleranceRatio times what the limit allows, and
	// limitTolerance requests more.
	limitToleranceRatio = 1.5
	limitTolerance      = 5
)

// limitedArrival is a request that reached an endpoint which names a limit.
type limitedArrival struct {
	at    time.Time
	limit float64
	// stableFrom is the time since which all hosts were in contact with the store.
	stableFrom time.Time
}

// injectLimits makes endpoints name a limit for some seconds. Its draws are its own, so
// that the faults of a seed stay.
func (en *environment) injectLimits(ctx context.Context, random *rand.Rand, t *testing.T) {
	for range 1 + random.IntN(maxNamings) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.Int64N(int64(faultDuration / maxNamings)))):
		}
		ep := en.endpoints[random.IntN(len(en.endpoints))]
		limit := 1 + float64(random.IntN(60))/10
		duration := time.Duration(7+random.IntN(9)) * time.Second
		id := ep.currentID()
		ep.setLimit(id, limit)
		t.Logf("%v %s names a limit of %.1f for %v", time.Now().Format("05.000"), ep.service, limit, duration)
		time.AfterFunc(duration, func() { ep.setLimit(id, 0) })
	}
}

// limitDuringRecovery makes an endpoint of each service name a limit that is far below
// what comes, while no fault excuses what goes beyond it.
func (en *environment) limitDuringRecovery(random *rand.Rand, t *testing.T) {
	for _, ep := range []*fakeEndpoint{en.endpoints[random.IntN(2)], en.endpoints[2+random.IntN(3)]} {
		limit := 1 + float64(random.IntN(30))/10
		ep.setLimit(ep.currentID(), limit)
		t.Logf("%v %s names a limit of %.1f during the recovery", time.Now().Format("05.000"), ep.service, limit)
	}
}

// setLimit sets the limit that a run of an endpoint names.
func (ep *fakeEndpoint) setLimit(id string, limit float64) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.id == id {
		ep.limit = limit
	}
}

func (h *history) recordLimited(endpoint string, limit float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limited[endpoint] = append(h.limited[endpoint], limitedArrival{at: time.Now(), limit: limit, stableFrom: h.stableFrom})
}

// checkLimits checks that endpoints got no more requests than they had named, as long as
// all hosts were in contact with the store. A limit that changes begins anew.
func (h *history) checkLimits() {
	for endpoint, arrivals := range h.limited {
		named, first := 0, 0
		for i, a := range arrivals {
			if a.limit != arrivals[named].limit || i > 0 && a.at.Sub(arrivals[i-1].at) > limitWindow {
				named, first = i, i
			}
			for a.at.Sub(arrivals[first].at) >= limitWindow {
				first++
			}
			from := arrivals[named].at.Add(storeContactTime)
			for first < i && (arrivals[first].at.Before(from) || arrivals[first].at.Before(a.stableFrom)) {
				first++
			}
			if allowed := limitToleranceRatio*a.limit*limitWindow.Seconds() + limitTolerance; float64(i-first+1) > allowed {
				h.addViolationLocked("LIMIT: %s got %d requests in %v with a limit of %.1f a second", endpoint, i-first+1, limitWindow, a.limit)
				break
			}
		}
	}
}
