package edge

import (
	"io"
	"net"
	"testing"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/pkg/fault"
)

// Guards against an answer of the entry within a stream: once a part of a response has been
// sent, a refusal or a failure that was kept must end it without a further byte.
func TestEntryWritesNoErrorIntoStream(t *testing.T) {
	for name, write := range map[string]func(*inboundRequest){
		"refusal": func(in *inboundRequest) { in.writeRefusal(fault.New(fault.NotRun, fault.CodeBusy, "busy")) },
		"failure": (*inboundRequest).forwardFailure,
	} {
		client, entry := net.Pipe()
		in := &inboundRequest{
			request:         &gate.Request{ID: "r"},
			client:          entry,
			started:         true,
			bufferedFailure: &endpointResponse{status: 500, body: budget.Pieces{Pieces: [][]byte{[]byte("failed")}, Size: len("failed")}},
		}
		go func() {
			write(in)
			_ = entry.Close()
		}()
		if written, err := io.ReadAll(client); err != nil || len(written) > 0 {
			t.Errorf("%s: wrote %q, error %v", name, written, err)
		}
		if !in.connBroken {
			t.Errorf("%s: the connection is kept", name)
		}
	}
}
