package wire

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"dogwoodfold/internal/wire/wirepb"
)

// FuzzReceiveFrame checks that no bytes of a peer make a frame that passes for
// one of another call, or a panic.
func FuzzReceiveFrame(f *testing.F) {
	var good bytes.Buffer
	if _, err := protodelim.MarshalTo(&good, &wirepb.CallFrame{Id: "call", Sequence: 0}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
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
				t.Fatalf("frame %v passed as number %d of the call", frame, expected)
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
