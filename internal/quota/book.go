package quota

import (
	"encoding/json"
	"maps"

	"dogwoodfold/internal/plat"
)

// logRecord is what the system keeps in the log about rates. Other records of the
// same stream have none of its fields.
type logRecord struct {
	Claim *claimRecord `json:"shareClaim,omitempty"`
	View  *viewRecord  `json:"shareView,omitempty"`
}

// claimRecord makes an entry coordinator; the record's offset is its term.
type claimRecord struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// viewRecord lists the incarnations whose shares a later coordinator counts.
type viewRecord struct {
	Term     uint64            `json:"term"`
	Sequence uint64            `json:"sequence"`
	Members  map[string]uint64 `json:"members"`
	// Seen is the offset up to which the writer had read the stream.
	Seen uint64 `json:"seen"`
}

// LogState folds the log's records of claims and views. Every reader of the same
// records comes to the same result.
type LogState struct {
	// Term is the highest term claimed, by Host and Incarnation.
	Term        uint64
	Host        string
	Incarnation uint64
	// firstTerm says that no view was valid before the claim, in a log from its
	// first record on.
	firstTerm bool
	// previousMembers are the members of the last valid view before the claim.
	previousMembers map[string]uint64
	// lastView is the lastView valid view, nil if none was read.
	lastView *viewRecord
	// firstOffset is the oldest offset when reading began, nextOffset the one to come.
	firstOffset, nextOffset uint64
	// caughtUp says that the stream was read to its end once.
	caughtUp bool
}

// Apply takes over a page of the stream.
func (b *LogState) Apply(page plat.Page) {
	if b.firstOffset == 0 {
		b.firstOffset = page.First
	}
	if page.First > b.nextOffset && b.nextOffset > 0 {
		b.firstOffset = page.First // records were lost unread
		b.lastView = nil
	}
	b.nextOffset = max(b.nextOffset, page.First)
	for _, r := range page.Records {
		if r.Offset < b.nextOffset {
			continue
		}
		b.nextOffset = r.Offset + 1
		var rec logRecord
		if json.Unmarshal(r.Data, &rec) == nil {
			b.applyRecord(r.Offset, rec)
		}
	}
	b.caughtUp = b.caughtUp || b.nextOffset >= page.Next
}

func (b *LogState) applyRecord(offset uint64, r logRecord) {
	if r.Claim != nil {
		b.applyClaim(offset, r.Claim)
	}
	if r.View != nil && b.validView(r.View) {
		b.lastView = r.View
		b.Term = r.View.Term
	}
}

func (b *LogState) applyClaim(offset uint64, claim *claimRecord) {
	b.firstTerm = b.lastView == nil && b.firstOffset == 1
	b.previousMembers = nil
	if b.lastView != nil {
		b.previousMembers = maps.Clone(b.lastView.Members)
	}
	b.Term, b.Host, b.Incarnation = offset, claim.Host, claim.Incarnation
}

// validView reports whether no higher term was claimed before a view. If claims
// may have expired unread, the writer must have read all that have.
func (b *LogState) validView(v *viewRecord) bool {
	if v.Term == b.Term {
		return b.lastView == nil || b.lastView.Term < v.Term || v.Sequence >= b.lastView.Sequence
	}
	return v.Term > b.Term && v.Term < b.firstOffset && v.Seen+1 >= b.firstOffset
}
