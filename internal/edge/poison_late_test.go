package edge

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"dogwoodfold/platform"
)

// answerThenCrash returns a function that answers the bad request as a whole and crashes the
// endpoint after a delay.
func (f *shopFleet) answerThenCrash(delay time.Duration) func(*crashingEndpoint, string, http.ResponseWriter) {
	return func(e *crashingEndpoint, id string, w http.ResponseWriter) {
		w.Header().Set(platform.HeaderServerStamp, "stamp-"+id)
		_, _ = io.WriteString(w, "answer")
		time.AfterFunc(delay, func() {
			f.recordCrash()
			e.crash(id)
		})
	}
}

// Guards against BUDGET by a request whose endpoint ends just after it has answered it as a
// whole: the answer is no proof that the request is sound.
func TestRequestThatCrashesEndpointsAfterItsAnswerIsQuarantined(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		entries int
		delay   time.Duration
	}{{1, 40 * time.Millisecond}, {3, 40 * time.Millisecond}, {3, 800 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.entries, " entries, ", c.delay), func(t *testing.T) {
			t.Parallel()
			f := newShopFleet(t, c.entries)
			f.onBad = f.answerThenCrash(c.delay)
			checkCrashingRequest(f)
		})
	}
}
