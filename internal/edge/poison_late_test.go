package edge

import (
	"io"
	"net/http"
	"testing"
	"time"

	"dogwoodfold/platform"
)

// lateCrashDelay is the time between the whole answer to the bad request and the crash.
const lateCrashDelay = 40 * time.Millisecond

// answerThenCrash answers the bad request as a whole and crashes the endpoint later.
func (f *shopFleet) answerThenCrash(e *crashingEndpoint, id string, w http.ResponseWriter) {
	w.Header().Set(platform.HeaderServerStamp, "stamp-"+id)
	_, _ = io.WriteString(w, "answer")
	time.AfterFunc(lateCrashDelay, func() {
		f.recordCrash()
		e.crash(id)
	})
}

// Guards against BUDGET by a request whose endpoint ends just after it has answered it as a
// whole: the answer is no proof that the request is sound.
func TestRequestThatCrashesEndpointsAfterItsAnswerIsQuarantined(t *testing.T) {
	t.Parallel()
	for name, entries := range map[string]int{"one entry": 1, "three entries": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newShopFleet(t, entries)
			f.onBad = f.answerThenCrash
			checkCrashingRequest(f)
		})
	}
}
