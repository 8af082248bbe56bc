package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// One in poisonOdds streams has a part in its prompt that crashes the engine
	// which begins to answer it.
	poisonOdds = 12
	// poisonPart is that part, promptTopics the number of parts that sound prompts
	// share besides the first one.
	poisonPart   = ",poison:5"
	promptTopics = 6
	// poisonDowntime is how long an engine is gone after such a crash.
	poisonDowntime = 600 * time.Millisecond
)

// drawPrompt returns the parts of a prompt, the last of which is the request's own.
func drawPrompt(random *rand.Rand, requestID string) string {
	prompt := fmt.Sprintf("system:10,topic%d:10", random.IntN(promptTopics))
	if random.IntN(poisonOdds) == 0 {
		prompt += poisonPart
	}
	return fmt.Sprintf("%s,%s:5", prompt, requestID)
}

func isPoison(prompt string) bool { return strings.Contains(prompt, poisonPart) }

// crashOnPrompt begins an answer and crashes the engine, unless it has ended already.
func (ep *fakeEndpoint) crashOnPrompt(w http.ResponseWriter, id string) {
	ep.env.history.recordPoison(time.Now())
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(eventInterval)
	if ep.currentID() == id {
		ep.crash(poisonDowntime)
	}
}
