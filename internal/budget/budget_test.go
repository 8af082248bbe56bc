package budget

import (
	"bytes"
	"errors"
	"io"
	"net/netip"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds" // draws from a fixed seed
)

var (
	start    = time.Unix(1000, 0)
	nobody   = netip.MustParseAddr("10.0.0.1")
	somebody = netip.MustParseAddr("10.0.0.2")
)

// reader is a request that is being read and returns its memory as soon as it is evicted.
type reader struct {
	*Reservation
	gone chan struct{}
}

func newReader(b *Budget, owner netip.Addr, since time.Time) *reader {
	r := &reader{gone: make(chan struct{})}
	r.Reservation = b.Reserve(owner, Body, since, func() {
		r.Release()
		close(r.gone)
	})
	return r
}

func (r *reader) isGone() bool {
	select {
	case <-r.gone:
		return true
	case <-time.After(100 * time.Millisecond):
		return false
	}
}

// Guards against stalled bodies that keep the memory from a caller that sends one now.
func TestLargestThatWaitsLongestIsEvicted(t *testing.T) {
	b := New(16 << 20)
	old, large := newReader(b, nobody, start), newReader(b, nobody, start.Add(time.Second))
	for _, grow := range []struct {
		r *reader
		n int
	}{{old, 2 << 20}, {large, 8 << 20}} {
		if err := grow.r.Grow(start.Add(time.Second), grow.n); err != nil {
			t.Fatal(err)
		}
	}
	fresh := newReader(b, nobody, start.Add(9*time.Second))
	if err := fresh.Grow(start.Add(10*time.Second), 4<<20); err != nil {
		t.Fatalf("a fresh body was refused: %v", err)
	}
	if !large.isGone() || old.isGone() {
		t.Error("the large body that waits was not the one that was evicted")
	}
	if err := large.Grow(start, 1); !errors.Is(err, ErrEvicted) {
		t.Errorf("an evicted reservation grew: %v", err)
	}
	if large.Keep() {
		t.Error("an evicted request may run")
	}
}

// Guards against one client that takes the memory of all: its bodies go first, though
// those of another one wait longer.
func TestOwnerAboveItsShareIsEvictedFirst(t *testing.T) {
	b := New(16 << 20) // 12 MB for large ones, 6 MB for one owner
	other := newReader(b, somebody, start)
	crowd := []*reader{newReader(b, nobody, start.Add(time.Second)), newReader(b, nobody, start.Add(time.Second))}
	for _, r := range []*reader{other, crowd[0], crowd[1]} {
		if err := r.Grow(start.Add(time.Second), 4<<20); err != nil {
			t.Fatal(err)
		}
	}
	if err := newReader(b, somebody, start.Add(2*time.Second)).Grow(start.Add(2*time.Second), 1<<20); err != nil {
		t.Fatal(err)
	}
	if other.isGone() || crowd[0].isGone() == crowd[1].isGone() {
		t.Error("the owner above its share did not give way")
	}
}

// Guards against large bodies that run and leave ordinary small requests nothing.
func TestSmallRequestsHaveReservedPart(t *testing.T) {
	b := New(16 << 20)
	for range 3 {
		r := newReader(b, nobody, start)
		if err := r.Grow(start, 4<<20); err != nil {
			t.Fatal(err)
		}
		if !r.Keep() {
			t.Fatal("a request that was read can't run")
		}
	}
	if err := newReader(b, nobody, start).Grow(start, 1<<20); !errors.Is(err, ErrExhausted) {
		t.Errorf("a fourth large body: %v, want ErrExhausted", err)
	}
	for range 4 << 20 / SmallBytes {
		if err := newReader(b, nobody, start).Grow(start, SmallBytes); err != nil {
			t.Fatalf("a small body was refused: %v", err)
		}
	}
}

// Guards against a single request inside the limits that is refused by the smallest host.
func TestLongestBodyFitsSmallestHost(t *testing.T) {
	b := New(Derive(144<<20, 3075).Requests)
	p, err := Read(bytes.NewReader(make([]byte, 4<<20)), 4<<20, 4<<20, func(n int) error {
		return b.Reserve(nobody, Body, start, nil).Grow(start, n)
	})
	if err != nil || p.Size != 4<<20 {
		t.Errorf("read %d bytes, error %v", p.Size, err)
	}
}

// Guards against accounting that drifts: after any sequence of reservations, growth and
// release the sums are those of what is held, within the bounds.
func TestSumsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1 << 20)
		var held []*Reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				owner := rapid.SampledFrom([]netip.Addr{nobody, somebody}).Draw(t, "owner")
				held = append(held, b.Reserve(owner, rapid.SampledFrom(Uses).Draw(t, "use"), start, nil))
			case 1:
				if len(held) > 0 {
					r := rapid.SampledFrom(held).Draw(t, "grown")
					_ = r.Grow(start, rapid.IntRange(1, 200<<10).Draw(t, "bytes")) // may be refused
				}
			case 2:
				if len(held) > 0 {
					rapid.SampledFrom(held).Draw(t, "released").Release()
				}
			}
			var sum, large int64
			for _, r := range held {
				sum += r.held
				large += largePart(r.held)
			}
			if b.used != sum || b.large != large || sum > b.total || large > b.largeTotal {
				t.Fatalf("used %d and large %d, held %d and %d of %d and %d", b.used, b.large, sum, large, b.total, b.largeTotal)
			}
		}
	})
}

// Guards against buffers that cost more than is reserved: what is allocated for a body is
// at most what was reserved, and that at most a piece more than what has arrived.
func TestReservedIsWhatIsAllocated(t *testing.T) {
	for _, size := range []int{0, 1, FreeBytes, FreeBytes + 1, exactPiece, exactPiece + 1, 100_000, 4 << 20} {
		for _, length := range []int{size, -1} {
			content := bytes.Repeat([]byte("ab"), size/2+1)[:size]
			reserved := 0
			p, err := Read(iotest.HalfReader(bytes.NewReader(content)), length, 4<<20, func(n int) error {
				reserved += n
				return nil
			})
			if err != nil || !bytes.Equal(p.Bytes(), content) {
				t.Fatalf("size %d, length %d: read %d bytes, error %v", size, length, p.Size, err)
			}
			allocated := 0
			for _, piece := range p.Pieces {
				allocated += cap(piece)
			}
			if allocated > FreeBytes && allocated > reserved || reserved > size+lastPiece+FreeBytes {
				t.Errorf("size %d, length %d: allocated %d, reserved %d", size, length, allocated, reserved)
			}
		}
	}
}

// Guards against bodies that are read beyond their limit, and against broken bodies that
// look whole.
func TestReadStopsAtLimitAndEnd(t *testing.T) {
	grow := func(int) error { return nil }
	if _, err := Read(iotest.ErrReader(errors.New("was read")), 101, 100, grow); !errors.Is(err, ErrTooLarge) {
		t.Errorf("declared length over the limit: %v", err)
	}
	endless := io.LimitReader(zeroReader{}, 1<<30)
	if p, err := Read(endless, -1, 100_000, grow); !errors.Is(err, ErrTooLarge) || p.Size > 100_001 {
		t.Errorf("endless body: %d bytes, error %v", p.Size, err)
	}
	if _, err := Read(bytes.NewReader(make([]byte, 99)), 100, 100, grow); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body shorter than declared: %v", err)
	}
	broken := io.MultiReader(bytes.NewReader(make([]byte, 99)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, err := Read(broken, -1, 100, grow); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("chunked body that breaks off: %v", err)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a body whose every byte buys another whole window, and against giving up
// one that is slow but steady.
func TestWatchMeasuresRateOverWindow(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		ok    bool
	}{{"steady", 100, true}, {"a byte a second", 1, false}} {
		w := Watch{Window: 15 * time.Second, Bytes: 1024}
		w.Begin(start)
		ok := true
		for second := 1; second <= 60; second++ {
			ok = ok && w.Record(start.Add(time.Duration(second)*time.Second), c.bytes)
		}
		if ok != c.ok {
			t.Errorf("%s: accepted %v, want %v", c.name, ok, c.ok)
		}
	}
}

func BenchmarkSmallRequest(b *testing.B) {
	budget := New(64 << 20)
	evict := func() {}
	for b.Loop() {
		r := budget.Reserve(nobody, Body, start, evict)
		_ = r.Grow(start, 8<<10) // there is room
		r.Keep()
		r.Release()
	}
}
