package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"dogwoodfold/internal/wire/wirepb"
)

// ErrUnexpectedFrame reports a frame that belongs to another call or is out of order.
var ErrUnexpectedFrame = errors.New("wire: frame of another call or out of order")

// HeaderReplayed marks an answer that was given before, to another request
// with the same idempotency key.
const HeaderReplayed = "Idempotency-Replayed"

// Call is the stream of one call. The side that opened it sends a request and
// receives frames; the other side does the reverse.
type Call struct {
	conn     net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	id       string
	sequence uint32
}

func newCall(conn net.Conn) *Call {
	return &Call{
		conn:   conn,
		reader: bufio.NewReader(conn),
		writer: bufio.NewWriter(conn),
	}
}

// SendRequest sends the request. Frames received later must carry its id.
func (c *Call) SendRequest(r *wirepb.CallRequest) error {
	c.id = r.GetId()
	if _, err := protodelim.MarshalTo(c.writer, r); err != nil {
		return err
	}
	return c.writer.Flush()
}

// ReceiveRequest reads the request. Frames sent later carry its id.
func (c *Call) ReceiveRequest() (*wirepb.CallRequest, error) {
	r := &wirepb.CallRequest{}
	if err := readMessage(c.reader, r); err != nil {
		return nil, err
	}
	c.id = r.GetId()
	return r, nil
}

// SendFrame numbers a frame and sends it.
func (c *Call) SendFrame(f *wirepb.CallFrame) error {
	f.Id = c.id
	f.Sequence = c.sequence
	c.sequence++
	if _, err := protodelim.MarshalTo(c.writer, f); err != nil {
		return err
	}
	return c.writer.Flush()
}

// ReceiveFrame reads the next frame and checks its id and number.
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

// FrameReady reports whether a whole frame has been received already, so that
// ReceiveFrame won't block.
func (c *Call) FrameReady() bool {
	prefix, err := c.reader.Peek(min(c.reader.Buffered(), binary.MaxVarintLen64))
	if err != nil {
		return false
	}
	size, n := binary.Uvarint(prefix)
	return n > 0 && uint64(c.reader.Buffered()) >= uint64(n)+size
}

// WaitClosed returns when the peer has closed its side or the stream broke.
// Only the side that sends frames may call it, after ReceiveRequest.
func (c *Call) WaitClosed() {
	_, _ = c.reader.ReadByte() // the peer sends nothing more
}

// SetDeadline bounds all further reads and writes.
func (c *Call) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Close ends the stream.
func (c *Call) Close() error { return c.conn.Close() }
