package wire

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"dogwoodfold/internal/wire/wirepb"
)

// FuzzReceiveFrame checks that no input from a peer causes a panic or makes
// ReceiveFrame accept a frame of another call or out of order.
func FuzzReceiveFrame(f *testing.F) {
	var valid bytes.Buffer
	if _, err := protodelim.MarshalTo(&valid, &wirepb.CallFrame{Id: "call", Sequence: 0}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Call{
			reader: bufio.NewReader(bytes.NewReader(data)),
			id:     "call",
		}
		for {
			expected := c.sequence
			frame, err := c.ReceiveFrame()
			if err != nil {
				return
			}
			if frame.GetId() != "call" || frame.GetSequence() != expected {
				t.Fatalf("frame %v was accepted as number %d of the call", frame, expected)
			}
		}
	})
}

func TestFrameReady(t *testing.T) {
	var b bytes.Buffer
	frame := &wirepb.CallFrame{Data: make([]byte, 200)}
	if _, err := protodelim.MarshalTo(&b, frame); err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 1, b.Len() - 1, b.Len()} {
		c := &Call{reader: bufio.NewReader(bytes.NewReader(b.Bytes()[:size]))}
		_, _ = c.reader.Peek(1) // fills the buffer
		if got, want := c.FrameReady(), size == b.Len(); got != want {
			t.Errorf("%d of %d bytes: ready = %v, want %v", size, b.Len(), got, want)
		}
	}
}
