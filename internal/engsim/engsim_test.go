package engsim

import (
	"testing"
	"time"
)

func TestCachedPrefixReducesTimeToFirstToken(t *testing.T) {
	start := time.Unix(0, 0)
	var latency [2]time.Duration
	e := New(Default())
	for i := range latency {
		submitted := start.Add(time.Duration(i) * time.Minute)
		e.Run(submitted)
		e.Submit(Request{
			ID: i, Model: "m", ArrivedAt: submitted,
			PromptTokens: 2000, OutputTokens: 10, Prefix: "p", PrefixTokens: 1800,
		})
		results := e.Run(submitted.Add(time.Minute))
		if len(results) != 1 {
			t.Fatalf("%d results, want 1", len(results))
		}
		latency[i] = results[0].TimeToFirstToken()
	}
	if latency[1] >= latency[0]/2 {
		t.Errorf("time to first token: %v with an empty cache, %v with the prefix cached", latency[0], latency[1])
	}
}
