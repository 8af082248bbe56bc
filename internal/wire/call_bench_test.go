package wire

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"dogwoodfold/internal/wire/wirepb"
)

// BenchmarkReceiveFrame measures the time to decode a frame that holds one event
// of a stream.
func BenchmarkReceiveFrame(b *testing.B) {
	var encoded bytes.Buffer
	frame := &wirepb.CallFrame{Id: "5ef4ebb4-17a3-474b-a288-8defc99dc355"}
	frame.Data = []byte("data: {\"choices\":[{\"text\":\"hoodie \"}]}\n\n")
	if _, err := protodelim.MarshalTo(&encoded, frame); err != nil {
		b.Fatal(err)
	}
	source := bytes.NewReader(encoded.Bytes())
	c := &Call{
		reader: bufio.NewReader(source),
		id:     frame.GetId(),
	}
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(encoded.Bytes())
		c.reader.Reset(source)
		c.sequence = 0
		if _, err := c.ReceiveFrame(); err != nil {
			b.Fatal(err)
		}
	}
}
