package engsim

import (
	"testing"
	"time"
)

func TestCachedPrefixShortensFirstToken(t *testing.T) {
	start := time.Unix(0, 0)
	var took [2]time.Duration
	e := New(Default())
	for i := range took {
		at := start.Add(time.Duration(i) * time.Minute)
		e.Run(at)
		e.Submit(Request{ID: i, Model: "m", Arrived: at, Prompt: 2000, Output: 10, Prefix: "p", PrefixTokens: 1800})
		results := e.Run(at.Add(time.Minute))
		if len(results) != 1 {
			t.Fatalf("%d results, want 1", len(results))
		}
		took[i] = results[0].FirstToken()
	}
	if took[1] >= took[0]/2 {
		t.Errorf("first token took %v cold and %v with the prefix cached", took[0], took[1])
	}
}
