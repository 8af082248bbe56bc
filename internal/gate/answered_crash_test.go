package gate

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

// answerThenEnd answers a request as a whole and then ends its endpoint, which another entry
// finds out.
func (f *plainFleet) answerThenEnd(host string, sent Send) {
	f.now = f.now.Add(runTime)
	f.entryFleet.answer(host, sent)
	f.now = f.now.Add(40 * time.Millisecond)
	var beside Send
	for i := 0; beside.Endpoint != sent.Endpoint; i++ {
		beside = f.mustTryPlain("front-3", "/charge/1", fmt.Sprint("beside-", f.calls, i))
	}
	f.effects["front-3"] = nil
	f.apply("front-3", AttemptEnded{Call: beside.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
	f.apply("front-3", EngineProbed{
		Run:   poison.Run{Engine: beside.Endpoint, Incarnation: beside.Incarnation},
		Ended: true,
	})
	f.change(topo.EndpointChange{ID: sent.Endpoint})
	f.addShop()
	f.pass(crashGap)
}

// Guards against BUDGET by a request whose endpoints end just after they have answered it as a
// whole: such an answer is no proof that the request is sound.
func TestAnswerJustBeforeCrashIsNoProof(t *testing.T) {
	f := newPlainFleet(t)
	reached := 0
	for i, until := 0, f.now.Add(time.Minute); f.now.Before(until); i++ {
		sent, err := f.tryPlain(hostOf(i), "/charge/1", badContent)
		if err != nil {
			f.pass(crashGap)
			continue
		}
		reached++
		f.answerThenEnd(hostOf(i), sent)
	}
	if most := 3 + badRetries; reached > most {
		t.Errorf("%d requests reached endpoints, want at most %d", reached, most)
	}
	f.answer("front-1", f.mustTryPlain("front-1", "/charge/1", soundContent))
}
