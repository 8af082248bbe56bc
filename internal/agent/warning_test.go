package agent

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
)

// Guards against skipping records of the log without a line in the process log.
func TestSkippedRecordsAreLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, stream := range []string{plat.StreamFleet, plat.StreamClaims} {
		core := newTestCore(1)
		core.guard = quota.NewGuard(1)
		effects := core.Apply(now, LogRead{
			Stream: stream,
			Page: plat.Page{
				First: 1,
				Next:  2,
				Records: []plat.Record{{
					Offset: 1,
					Time:   now,
					Data:   json.RawMessage("{"),
				}},
			},
		})
		if warning, ok := findEffect[LogWarning](effects); !ok || warning.Err == nil {
			t.Errorf("stream %s: effects = %v, want a warning with an error", stream, effects)
		}
	}
}

// Guards against an unload that ends in a refusal without a line in the process log.
func TestRefusedUnloadIsLogged(t *testing.T) {
	effects := newTestCore(1).placementEffects(0, []place.Action{place.ReportRefusal{
		Artifact: place.Artifact{Model: "big", Version: "1"},
		Err:      place.ErrNotSynced,
	}})
	if warning, ok := findEffect[LogWarning](effects); !ok || !errors.Is(warning.Err, place.ErrNotSynced) {
		t.Errorf("effects = %v, want a warning with %q", effects, place.ErrNotSynced)
	}
}
