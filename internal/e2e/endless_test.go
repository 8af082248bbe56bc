package e2e

import (
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
)

// A plain service answers without end: the caller must get a failure soon, which doesn't
// say that the call has not run, and the next calls must be served.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	s := newPlainSystem(t, 1, 1)
	s.services[0].setFaults(t, fakes.Faults{Endless: true})
	began := time.Now()
	r := s.chargeVia(t, 0, "/charge", "endless", "")
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("answered after %v, want within 10 s", took)
	}
	if r.err == nil && (r.status != 502 || r.verdict == "not-run") {
		t.Errorf("status %d, verdict %q; want 502 that may have run or has", r.status, r.verdict)
	}
	s.services[0].setFaults(t, fakes.Faults{})
	eventually(t, "charges are served again", func() bool {
		return s.chargeVia(t, 0, "/charge", "after", "").status == 200
	})
}
