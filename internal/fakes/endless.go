package fakes

import (
	"bytes"
	"net"
	"runtime"
	"time"
)

// Endless is a faulty peer that answers each connection with a head and then with bytes without
// end, until the connection is closed.
type Endless struct{ Head string }

// Serve answers connections until the listener is closed.
func (e *Endless) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.answer(conn)
	}
}

func (e *Endless) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the caller may have closed it
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	part := []byte(e.Head)
	for {
		if _, err := conn.Write(part); err != nil {
			return
		}
		part = blanks
	}
}

// blanks are bytes that are no answer of any kind, and that may stand in one.
var blanks = bytes.Repeat([]byte(" "), 32<<10)

// heapSampleInterval is the time between two looks at the heap.
const heapSampleInterval = 5 * time.Millisecond

// PeakHeap returns the most bytes of the heap that f uses while it runs.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	before := heapInUse()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	ticker := time.NewTicker(heapSampleInterval)
	defer ticker.Stop()
	peak := uint64(0)
	for {
		select {
		case <-done:
			return peak
		case <-ticker.C:
			now := heapInUse()
			peak = max(peak, now-min(before, now))
		}
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}
