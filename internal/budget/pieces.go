package budget

import (
	"errors"
	"io"
	"time"
)

// ErrTooLarge reports a body that exceeds its limit.
var ErrTooLarge = errors.New("body exceeds its limit")

const (
	// firstPiece is the size of the first piece of a body, or the whole of a body of known
	// length that is no longer. Pieces grow to lastPiece.
	firstPiece  = 4 << 10
	exactPiece  = 16 << 10
	lastPiece   = 64 << 10
	pieceGrowth = 4
)

// Pieces is the content of a body in the pieces in which it was read, so that what is
// allocated is what is reserved.
type Pieces struct {
	Pieces [][]byte
	Size   int
}

// Bytes returns the content as one slice, a copy if there are several pieces.
func (p *Pieces) Bytes() []byte {
	if len(p.Pieces) == 1 {
		return p.Pieces[0]
	}
	out := make([]byte, 0, p.Size)
	for _, piece := range p.Pieces {
		out = append(out, piece...)
	}
	return out
}

// Read reads a body of length bytes, or up to the end of source if length is negative, and
// reserves memory as it arrives. It returns ErrTooLarge as soon as more than limit bytes
// have arrived, and what was read before an error.
func Read(source io.Reader, length, limit int, grow func(n int) error) (Pieces, error) {
	var p Pieces
	if length > limit {
		return p, ErrTooLarge
	}
	end := limit + 1 // one byte more shows that the body is too long
	if length >= 0 {
		end = length
	}
	next := firstPiece
	if length >= 0 && length <= exactPiece {
		next = max(length, 1)
	}
	for p.Size < end {
		size := min(next, end-p.Size)
		if p.Size+size > FreeBytes {
			if err := grow(size + p.unreserved()); err != nil {
				return p, err
			}
		}
		piece := make([]byte, size)
		n, err := fill(source, piece)
		if n > 0 {
			p.Pieces = append(p.Pieces, piece[:n])
			p.Size += n
		}
		switch {
		case p.Size > limit:
			return p, ErrTooLarge
		case err == io.EOF && length < 0: //nolint:errorlint // a wrapped io.EOF isn't the end of the body
			return p, nil
		case errors.Is(err, io.EOF):
			return p, io.ErrUnexpectedEOF
		case err != nil:
			return p, err
		}
		next = min(next*pieceGrowth, lastPiece)
	}
	return p, nil
}

// fill reads until p is full or the source returns an error. Unlike io.ReadFull it returns
// that error as it is: the end of a body and one that breaks off differ.
func fill(source io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = source.Read(p[n:])
		n += read
	}
	if n == len(p) {
		err = nil
	}
	return n, err
}

// unreserved returns the size of the first piece if it needed no reservation.
func (p *Pieces) unreserved() int {
	if p.Size > 0 && p.Size <= FreeBytes {
		return p.Size
	}
	return 0
}

// Watch observes the rate of a body that is read.
type Watch struct {
	// Window is the time in which at least Bytes must arrive.
	Window time.Duration
	Bytes  int

	began    time.Time
	received int
}

// Begin begins a body.
func (w *Watch) Begin(now time.Time) { w.began, w.received = now, 0 }

// Deadline returns when the window ends.
func (w *Watch) Deadline() time.Time { return w.began.Add(w.Window) }

// Record records that bytes have arrived, and begins another window after one with enough
// bytes. It reports false if a window has ended with fewer.
func (w *Watch) Record(now time.Time, n int) bool {
	w.received += n
	if now.Before(w.Deadline()) {
		return true
	}
	enough := w.received >= w.Bytes
	w.Begin(now)
	return enough
}
