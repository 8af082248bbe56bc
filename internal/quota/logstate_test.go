package quota

import (
	"encoding/json"
	"testing"

	"dogwoodfold/internal/plat"
)

// mixedPage is a page with a claim among records that can't be decoded.
func mixedPage() plat.Page {
	page := plat.Page{First: 1, Next: 5}
	for i, data := range []string{
		`{"other":true}`,
		`{"shareClaim":"a"}`,
		`{"shareClaim":{"host":"b","incarnation":2}}`,
		`{`,
	} {
		page.Records = append(page.Records, plat.Record{
			Offset: uint64(i) + 1,
			Data:   json.RawMessage(data),
		})
	}
	return page
}

// Guards against skipping records without a trace, and against taking records of other
// packages for such records.
func TestSkippedRecordsAreReported(t *testing.T) {
	var log LogState
	skipped := log.Apply(mixedPage())
	if skipped == nil || skipped.Offset != 2 || skipped.Count != 2 || skipped.Unwrap() == nil {
		t.Errorf("skipped = %v, want 2 records, the first at offset 2", skipped)
	}
	if log.Term != 3 || log.Host != "b" {
		t.Errorf("term %d of %q, want the claim at offset 3 of b", log.Term, log.Host)
	}
	if again := log.Apply(mixedPage()); again != nil {
		t.Errorf("the same page again: %v, want no report", again)
	}
}
