package wire

import (
	"net"
	"sync"
)

// maxPendingBytes bounds the bytes that wait in a coalescer; writers block beyond.
const maxPendingBytes = 1 << 20

// coalescingConn is a connection whose writes are gathered while an earlier one is
// in the kernel, so that many small frames share one system call.
type coalescingConn struct {
	net.Conn
	mu      sync.Mutex
	cond    sync.Cond
	pending []byte
	spare   []byte
	err     error
	closed  bool
	done    chan struct{}
}

// newCoalescingConn wraps a connection and starts its writer.
func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{
		Conn: conn,
		done: make(chan struct{}),
	}
	c.cond.L = &c.mu
	go c.writeLoop()
	return c
}

// Write queues p. An error of an earlier write is returned by a later one.
func (c *coalescingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPendingBytes && c.err == nil && !c.closed {
		c.cond.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.cond.Broadcast()
	return len(p), nil
}

// Close ends the connection; bytes that still wait are dropped. It doesn't wait
// for the writer: its end is reported on done.
func (c *coalescingConn) Close() error {
	c.mu.Lock()
	wasClosed := c.closed
	c.closed = true
	c.cond.Broadcast()
	c.mu.Unlock()
	if wasClosed {
		return nil
	}
	return c.Conn.Close()
}

// writeLoop writes what was queued until the connection ends.
func (c *coalescingConn) writeLoop() {
	defer close(c.done)
	for {
		batch := c.nextBatch()
		if batch == nil {
			return
		}
		_, err := c.Conn.Write(batch)
		c.finishBatch(batch, err)
	}
}

// nextBatch waits for bytes and returns all of them, nil at the end.
func (c *coalescingConn) nextBatch() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed && c.err == nil {
		c.cond.Wait()
	}
	if c.closed || c.err != nil {
		return nil
	}
	batch := c.pending
	c.pending, c.spare = c.spare[:0], nil
	return batch
}

// finishBatch keeps the batch's memory for later and notes an error.
func (c *coalescingConn) finishBatch(batch []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = batch
	if err != nil {
		c.err = err
	}
	c.cond.Broadcast()
}
