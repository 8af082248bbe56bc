package entry

import (
	"io"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// Guards against an error that becomes a part of an event: an agent fails after a part of an
// event. The error that ends the stream must be an event of its own, and no last chunk may
// follow.
func TestErrorEndsStreamAsAnEventOfItsOwn(t *testing.T) {
	for _, sent := range []string{"data: {\"id\":\"chat", "data: {}\n\ndata: {\"choices\":", "data: {}\n\n", "data: {}\n"} {
		entrySide, agentSide := callPair(t)
		if err := agentSide.SendFrame(dataFrame(sent)); err != nil {
			t.Fatal(err)
		}
		failure := &wirepb.Failure{Code: string(fault.CodeCut), Message: "cut"}
		if err := agentSide.SendFrame(&wirepb.CallFrame{Failure: failure}); err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(&streamReader{
			call:     entrySide,
			deadline: time.Now().Add(time.Minute),
			onFirst:  func() {},
			onEnd:    func(error, *wirepb.End, int) {},
		})
		if err == nil {
			t.Errorf("%q: the stream looked complete", sent)
		}
		rest, found := strings.CutPrefix(string(body), sent)
		if !found || !strings.HasPrefix(strings.TrimLeft(rest, "\n"), "data: {\"error\"") ||
			strings.HasSuffix(sent, "\n\n") == strings.HasPrefix(rest, "\n\n") {
			t.Errorf("%q: the error isn't an event of its own: %q", sent, body)
		}
	}
}
