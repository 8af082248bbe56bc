package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/wire/wirepb"
)

// ErrUnexpectedFrame is returned for a frame that belongs to another call or is
// out of order.
var ErrUnexpectedFrame = errors.New("wire: frame of another call or out of order")

// HeaderReplayed is the name of the header that marks a response as a replay of
// the one to an earlier request with the same idempotency key.
const HeaderReplayed = "Idempotency-Replayed"

// Call is the stream of one call. The side that opens it sends a request and
// receives frames; the other side receives the request and sends frames.
type Call struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// id is the request's, sequence the number of the next frame.
	id       string
	sequence uint32
}

// newCall returns the call on a stream.
func newCall(conn net.Conn) *Call {
	return &Call{
		conn:   conn,
		reader: bufio.NewReader(conn),
		writer: bufio.NewWriter(conn),
	}
}

// SendRequest sends the request. Frames received afterwards must carry its id.
func (c *Call) SendRequest(r *wirepb.CallRequest) error {
	c.id = r.GetId()
	return c.write(r)
}

// ReceiveRequest reads the request. Frames sent afterwards carry its id.
func (c *Call) ReceiveRequest() (*wirepb.CallRequest, error) {
	r := &wirepb.CallRequest{}
	if err := readMessage(c.reader, r); err != nil {
		return nil, err
	}
	c.id = r.GetId()
	return r, nil
}

// SendFrame sets the id and sequence number of a frame and sends it.
func (c *Call) SendFrame(f *wirepb.CallFrame) error {
	f.Id = c.id
	f.Sequence = c.sequence
	c.sequence++
	return c.write(f)
}

// write writes a message and flushes it.
func (c *Call) write(m proto.Message) error {
	if _, err := protodelim.MarshalTo(c.writer, m); err != nil {
		return err
	}
	return c.writer.Flush()
}

// ReceiveFrame reads the next frame and checks its id and sequence number.
func (c *Call) ReceiveFrame() (*wirepb.CallFrame, error) {
	f := &wirepb.CallFrame{}
	if err := readMessage(c.reader, f); err != nil {
		return nil, err
	}
	if f.GetId() != c.id || f.GetSequence() != c.sequence {
		return nil, fmt.Errorf("%w: want %s/%d, got %s/%d",
			ErrUnexpectedFrame, c.id, c.sequence, f.GetId(), f.GetSequence())
	}
	c.sequence++
	return f, nil
}

// FrameReady reports whether a complete frame is buffered, so that ReceiveFrame
// does not block.
func (c *Call) FrameReady() bool {
	prefix, err := c.reader.Peek(min(c.reader.Buffered(), binary.MaxVarintLen64))
	if err != nil {
		return false
	}
	size, n := binary.Uvarint(prefix)
	return n > 0 && uint64(c.reader.Buffered()) >= uint64(n)+size
}

// RequestSize waits for the request and returns its size, without reading it.
func (c *Call) RequestSize() (int, error) {
	for length := 1; ; length++ {
		prefix, err := c.reader.Peek(length)
		if err != nil {
			return 0, err
		}
		size, n := binary.Uvarint(prefix)
		switch {
		case n > 0 && size <= maxMessageBytes:
			return int(size), nil
		case n != 0 || length == binary.MaxVarintLen64:
			return 0, errMessageSize
		}
	}
}

// errMessageSize reports a message whose size is malformed or above maxMessageBytes.
var errMessageSize = errors.New("wire: size of a message is out of range")

// WaitClosed blocks until the peer closes its side or the stream fails. Only the
// side that sends frames may call it, after ReceiveRequest.
func (c *Call) WaitClosed() {
	_, _ = c.reader.ReadByte() // the peer sends nothing after its request
}

// SetDeadline sets the deadline for all pending and future reads and writes.
func (c *Call) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Close closes the stream.
func (c *Call) Close() error { return c.conn.Close() }
