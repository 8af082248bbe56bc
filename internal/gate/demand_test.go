package gate

import (
	"testing"
	"time"
)

// Guards against too few copies of a model whose prompts are processed fast: its requests count by
// the places that they hold in the batch, while the demand of other models stays that of their
// prompts.
func TestDemandIsThatOfTheScarcerResource(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		decode time.Duration
	}{
		{name: "bound by the batch", tokens: 100, decode: 8 * time.Second},
		{name: "bound by its prompts", tokens: 4000, decode: time.Second},
	} {
		h := newFollowerHarness(t)
		h.core.decodeTime("llm", "big").Observe(c.decode)
		h.arriveRequest(&Request{
			Host: "h", Path: "/chat/1", Key: "k2", Model: "big", PromptTokens: c.tokens,
			ClientTimeout: 15 * time.Second, ArrivedAt: h.now,
		})
		prompt := h.core.prefillRate("llm", "big").PrefillTime(c.tokens)
		batch := c.decode / time.Duration(h.core.config.Services["llm"].Engine.Slots)
		got := h.core.follower.demand["llm"][modelArtifact("big")].work
		if want := max(prompt, batch); got != want {
			t.Errorf("%s: work of %v, want %v (prompt %v, part of the batch %v)", c.name, got, want, prompt, batch)
		}
	}
}
