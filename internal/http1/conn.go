package http1

import "net"

// Conn is a client's connection on which no malformed head is read to its end. Each response
// begins with the first byte that is read after a write.
type Conn struct {
	net.Conn
	head checker
	// failed is true once the end of a malformed head was withheld.
	failed bool
}

// NewConn returns a connection that checks the heads of the responses on conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.head = checker{}
	return c.Conn.Write(p)
}

// Read reads a part of a response. In place of the last byte of a malformed head it returns
// ErrMalformed, so that the parser of fasthttp, which takes an error before the first byte for the end
// of the connection, has the others.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed {
		return 0, ErrMalformed
	}
	n, err := c.Conn.Read(p)
	sound := c.checkHeads(p[:n])
	if sound < n {
		c.failed = true
		return sound, nil
	}
	return n, err
}

// checkHeads checks the next bytes of a response and returns how many of them may be read.
func (c *Conn) checkHeads(p []byte) int {
	checked := 0
	for !c.head.ended {
		checked += c.head.check(p[checked:])
		switch {
		case !c.head.ended:
			return len(p)
		case c.head.malformed:
			return checked - 1
		case c.head.isInterim():
			c.head = checker{}
		}
	}
	return len(p)
}
