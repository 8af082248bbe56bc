package quota

import (
	"encoding/json"
	"fmt"
	"maps"

	"dogwoodfold/internal/plat"
)

// logRecord is the JSON form of this package's records in the log. Other
// records of the same stream have none of its fields.
type logRecord struct {
	Claim *claimRecord `json:"shareClaim,omitempty"`
	View  *viewRecord  `json:"shareView,omitempty"`
}

// claimRecord makes an entry the coordinator; the record's offset is its term.
type claimRecord struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// viewRecord lists the incarnations whose shares a later coordinator counts.
type viewRecord struct {
	Term     uint64            `json:"term"`
	Sequence uint64            `json:"sequence"`
	Members  map[string]uint64 `json:"members"`
	// Seen is the last offset of the stream that the writer had read.
	Seen uint64 `json:"seen"`
}

// LogState is the state that results from applying the claims and views in the
// log. All readers of the same records reach the same state.
type LogState struct {
	// Term is the highest term known. Host and Incarnation made the last claim
	// that was read.
	Term        uint64
	Host        string
	Incarnation uint64
	// firstTerm reports whether the log, read from its first record on, held no
	// valid view before the last claim.
	firstTerm bool
	// previousMembers are the members of the last valid view before the last
	// claim.
	previousMembers map[string]uint64
	// lastView is the last valid view, nil if none was read.
	lastView *viewRecord
	// firstOffset is the oldest offset available when reading began, or began
	// anew after records had expired unread. nextOffset is the next one to
	// read.
	firstOffset, nextOffset uint64
	// caughtUp reports whether the stream has been read to its end once.
	caughtUp bool
}

// RecordError reports records of the stream that can't be decoded and were skipped.
type RecordError struct {
	// Offset is the offset of the first such record of a page, Count their number.
	Offset uint64
	Count  int
	// Err is why the first one can't be decoded.
	Err error
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("quota: %d records skipped, the first at offset %d: %v", e.Count, e.Offset, e.Err)
}

// Unwrap returns why the first record can't be decoded.
func (e *RecordError) Unwrap() error { return e.Err }

// Apply applies a page of the stream. It skips records that can't be decoded and
// returns a RecordError about them, nil if there are none.
func (s *LogState) Apply(page plat.Page) *RecordError {
	if s.firstOffset == 0 {
		s.firstOffset = page.First
	}
	if page.First > s.nextOffset && s.nextOffset > 0 {
		s.firstOffset = page.First // records expired before they were read
		s.lastView = nil
	}
	s.nextOffset = max(s.nextOffset, page.First)
	var skipped *RecordError
	for _, r := range page.Records {
		if r.Offset < s.nextOffset {
			continue
		}
		s.nextOffset = r.Offset + 1
		var rec logRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			skipped = skipped.add(r.Offset, err)
			continue
		}
		s.applyRecord(r.Offset, rec)
	}
	s.caughtUp = s.caughtUp || s.nextOffset >= page.Next
	return skipped
}

// add returns the error with one more record counted. e may be nil.
func (e *RecordError) add(offset uint64, err error) *RecordError {
	if e == nil {
		e = &RecordError{
			Offset: offset,
			Err:    err,
		}
	}
	e.Count++
	return e
}

// applyRecord applies a record, which may be neither a claim nor a view.
func (s *LogState) applyRecord(offset uint64, r logRecord) {
	if r.Claim != nil {
		s.applyClaim(offset, r.Claim)
	}
	if r.View != nil && s.validView(r.View) {
		s.lastView = r.View
		s.Term = r.View.Term
	}
}

// applyClaim begins the term of a claim.
func (s *LogState) applyClaim(offset uint64, claim *claimRecord) {
	s.firstTerm = s.lastView == nil && s.firstOffset == 1
	s.previousMembers = nil
	if s.lastView != nil {
		s.previousMembers = maps.Clone(s.lastView.Members)
	}
	s.Term, s.Host, s.Incarnation = offset, claim.Host, claim.Incarnation
}

// validView reports whether a view is valid: no higher term was claimed before
// it, and no later view of its term was read. If claims may have expired
// unread, the writer of the view must have read all expired records.
func (s *LogState) validView(v *viewRecord) bool {
	if v.Term == s.Term {
		return s.lastView == nil || s.lastView.Term < v.Term || v.Sequence >= s.lastView.Sequence
	}
	return v.Term > s.Term && v.Term < s.firstOffset && v.Seen+1 >= s.firstOffset
}
