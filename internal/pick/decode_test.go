package pick

import (
	"testing"
	"time"
)

// Guards against taking a busy engine's slow decoding for the work of its requests: the estimate
// stays near the shorter times, and follows requests that have become shorter.
func TestDecodeTimeFollowsShorterTimesSooner(t *testing.T) {
	var d DecodeTime
	if d.EngineShare(64) != 0 {
		t.Error("a share without any observation")
	}
	for i := range 400 {
		observed := time.Second
		if i%2 == 0 {
			observed = 3 * time.Second
		}
		d.Observe(observed)
	}
	if share := d.EngineShare(1); share > 1500*time.Millisecond {
		t.Errorf("expected %v where half of the requests take 1 s and half 3 s, want at most 1.5 s", share)
	}
	for range 40 {
		d.Observe(500 * time.Millisecond)
	}
	if share := d.EngineShare(10); share > 60*time.Millisecond {
		t.Errorf("a share of %v at 10 slots after 40 requests of 500 ms, want about 50 ms", share)
	}
}
