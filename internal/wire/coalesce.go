package wire

import (
	"net"
	"sync"
)

// maxPendingBytes is the number of pending bytes above which writers block.
const maxPendingBytes = 1 << 20

// coalescingConn is a connection that buffers writes while an earlier one is in
// the kernel, so that many small frames share one system call.
type coalescingConn struct {
	net.Conn
	mu sync.Mutex
	// cond signals changes of pending, err and closed.
	cond sync.Cond
	// pending are the bytes to write next, spare is a buffer to reuse for them.
	pending []byte
	spare   []byte
	// err is the error of the underlying connection, if one has occurred.
	err    error
	closed bool
	// done is closed when the write loop has ended.
	done chan struct{}
}

// newCoalescingConn wraps a connection and starts its write loop.
func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{
		Conn: conn,
		done: make(chan struct{}),
	}
	c.cond.L = &c.mu
	go c.writeLoop()
	return c
}

// Write queues p. An error of the underlying connection is returned by a later
// Write.
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

// Close closes the connection and drops pending bytes. It does not wait for the
// write loop, which closes done when it ends.
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

// writeLoop writes queued bytes until the connection is closed or fails.
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

// nextBatch waits for pending bytes and returns all of them, or nil once the
// connection is closed or has failed.
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

// finishBatch keeps the batch's buffer for reuse and records an error.
func (c *coalescingConn) finishBatch(batch []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = batch
	if err != nil {
		c.err = err
	}
	c.cond.Broadcast()
}
