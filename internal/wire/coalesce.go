package wire

import (
	"net"
	"sync"
)

// maxPending bounds the bytes that wait in a coalescer; writers block beyond.
const maxPending = 1 << 20

// coalescer is a connection whose writes are gathered while an earlier one is
// in the kernel, so that many small frames share one system call.
type coalescer struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	spare   []byte
	err     error
	closed  bool
	done    chan struct{}
}

// newCoalescer wraps a connection and starts its writer.
func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{
		Conn: conn,
		done: make(chan struct{}),
	}
	c.changed.L = &c.mu
	go c.run()
	return c
}

// Write queues p. An error of an earlier write is returned by a later one.
func (c *coalescer) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPending && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// Close ends the connection; bytes that still wait are dropped. It doesn't wait
// for the writer: its end is reported on done.
func (c *coalescer) Close() error {
	c.mu.Lock()
	already := c.closed
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if already {
		return nil
	}
	return c.Conn.Close()
}

// run writes what was queued until the connection ends.
func (c *coalescer) run() {
	defer close(c.done)
	for {
		batch := c.take()
		if batch == nil {
			return
		}
		_, err := c.Conn.Write(batch)
		c.written(batch, err)
	}
}

// take waits for bytes and returns all of them, nil at the end.
func (c *coalescer) take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed && c.err == nil {
		c.changed.Wait()
	}
	if c.closed || c.err != nil {
		return nil
	}
	batch := c.pending
	c.pending, c.spare = c.spare[:0], nil
	return batch
}

// written keeps the batch's memory for later and notes an error.
func (c *coalescer) written(batch []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = batch
	if err != nil {
		c.err = err
	}
	c.changed.Broadcast()
}
