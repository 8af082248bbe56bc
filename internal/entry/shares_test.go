package entry

import (
	"encoding/json"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

// Guards against skipping records of the shares without a line in the process log.
func TestSkippedShareRecordsAreLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	core := NewCore(CoreSettings{Host: "entry", Incarnation: 1, Seed: 1})
	effects := core.Apply(now, LogRead{
		Stream: plat.StreamFleet,
		Page: plat.Page{
			First:   1,
			Next:    2,
			Records: []plat.Record{{Offset: 1, Data: json.RawMessage("{")}},
		},
	})
	for _, effect := range effects {
		if warning, ok := effect.(LogWarning); ok && warning.Err != nil {
			return
		}
	}
	t.Errorf("effects = %v, want a warning with an error", effects)
}
