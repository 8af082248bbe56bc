package quota

import (
	"encoding/json"
	"maps"

	"dogwoodfold/internal/plat"
)

// record is what the system keeps in the log about rates. Other records of the
// same stream have none of its fields.
type record struct {
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

// Book folds the log's records of claims and views. Every reader of the same
// records comes to the same result.
type Book struct {
	// Term is the highest term claimed, by Host and Incarnation.
	Term        uint64
	Host        string
	Incarnation uint64
	// fresh says that no view was valid before the claim, in a log from its
	// first record on.
	fresh bool
	// counted are the members of the last valid view before the claim.
	counted map[string]uint64
	// last is the last valid view, nil if none was read.
	last *viewRecord
	// first is the oldest offset when reading began, next the one to come.
	first, next uint64
	// head says that the stream was read to its end once.
	head bool
}

// Read takes over a page of the stream.
func (b *Book) Read(page plat.Page) {
	if b.first == 0 {
		b.first = page.First
	}
	if page.First > b.next && b.next > 0 {
		b.first = page.First // records were lost unread
		b.last = nil
	}
	b.next = max(b.next, page.First)
	for _, r := range page.Records {
		if r.Offset < b.next {
			continue
		}
		b.next = r.Offset + 1
		var rec record
		if json.Unmarshal(r.Data, &rec) == nil {
			b.fold(r.Offset, rec)
		}
	}
	b.head = b.head || b.next >= page.Next
}

func (b *Book) fold(offset uint64, r record) {
	if r.Claim != nil {
		b.claimed(offset, r.Claim)
	}
	if r.View != nil && b.valid(r.View) {
		b.last = r.View
		b.Term = r.View.Term
	}
}

func (b *Book) claimed(offset uint64, c *claimRecord) {
	b.fresh = b.last == nil && b.first == 1
	b.counted = nil
	if b.last != nil {
		b.counted = maps.Clone(b.last.Members)
	}
	b.Term, b.Host, b.Incarnation = offset, c.Host, c.Incarnation
}

// valid reports whether no higher term was claimed before a view. If claims
// may have expired unread, the writer must have read all that have.
func (b *Book) valid(v *viewRecord) bool {
	if v.Term == b.Term {
		return b.last == nil || b.last.Term < v.Term || v.Sequence >= b.last.Sequence
	}
	return v.Term > b.Term && v.Term < b.first && v.Seen+1 >= b.first
}
