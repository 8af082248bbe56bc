package agent

import (
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/pkg/fault"
)

// checkNoAnswer checks that a call whose endpoint sends what begins with head may have run, whatever
// the answer says, and that nothing of it is forwarded.
func checkNoAnswer(t *testing.T, name, head string) {
	t.Helper()
	const event = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n"
	for linesName, lines := range map[string]string{
		"answer":  "Content-Type: text/event-stream\r\n",
		"refusal": headerEndpointNotRun + ": 1\r\n",
	} {
		endpoint := newScriptedEndpoint(t, head+lines+"\r\n"+event, true)
		for _, stream := range []bool{false, true} {
			frames, err := runCall(newEndpointClient(endpoint.address), true, stream)
			if fault.VerdictOf(err) != fault.MayHaveRun || len(frames) > 0 {
				t.Errorf("%s, %s, stream %t: %d frames, error %v", name, linesName, stream, len(frames), err)
			}
		}
	}
}

// Guards against handing on an endpoint's answer whose status is none, such as 000, which the parser
// takes for 200, in whose head the name of a header holds a blank or a control byte, or whose head
// tells two ends of its body (MIXED), or taking it for a proof that the call hasn't run.
func TestMalformedAnswerIsNone(t *testing.T) {
	for name, head := range fakes.MalformedHeads() {
		checkNoAnswer(t, name, head)
	}
}
