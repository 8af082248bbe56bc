package wire

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"dogwoodfold/internal/wire/wirepb"
)

// newCallReading returns a call that expects frames with id "a" and reads data.
func newCallReading(t *testing.T, data []byte) *Call {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = local.Close() })
	go func() {
		_, _ = remote.Write(data)
		_ = remote.Close()
	}()
	call := newCall(local)
	call.id = "a"
	if err := call.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return call
}

// encodeFrames returns the concatenated encodings of frames.
func encodeFrames(t *testing.T, frames ...*wirepb.CallFrame) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, f := range frames {
		if _, err := protodelim.MarshalTo(&b, f); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

func TestUnexpectedFrames(t *testing.T) {
	frame := func(id string, sequence uint32) *wirepb.CallFrame {
		return &wirepb.CallFrame{
			Id:       id,
			Sequence: sequence,
			Data:     []byte("part"),
		}
	}
	whole := encodeFrames(t, frame("a", 0), frame("a", 1))
	for _, test := range []struct {
		name string
		data []byte
		want error
	}{
		{name: "other call", data: encodeFrames(t, frame("a", 0), frame("b", 1)), want: ErrUnexpectedFrame},
		{name: "duplicated", data: encodeFrames(t, frame("a", 0), frame("a", 0)), want: ErrUnexpectedFrame},
		{name: "lost", data: encodeFrames(t, frame("a", 0), frame("a", 2)), want: ErrUnexpectedFrame},
		{name: "out of order", data: encodeFrames(t, frame("a", 1), frame("a", 0)), want: ErrUnexpectedFrame},
		{name: "truncated", data: whole[:len(whole)-2], want: io.ErrUnexpectedEOF},
		{name: "ended", data: encodeFrames(t, frame("a", 0)), want: io.EOF},
	} {
		call := newCallReading(t, test.data)
		_, err := call.ReceiveFrame()
		if err == nil {
			_, err = call.ReceiveFrame()
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	// The length prefix announces a gigabyte, which must not be allocated.
	call := newCallReading(t, []byte{0x80, 0x80, 0x80, 0x80, 0x04, 1, 2, 3})
	var tooLarge *protodelim.SizeTooLargeError
	if _, err := call.ReceiveFrame(); !errors.As(err, &tooLarge) {
		t.Errorf("error = %v, want SizeTooLargeError", err)
	}
}
