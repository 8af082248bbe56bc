package e2e

import (
	"encoding/json"
	"strings"
	"testing"

	"dogwoodfold/internal/fakes"
)

// streamedText returns the concatenated tokens of an event stream.
func streamedText(t *testing.T, body string) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, c := range chunk.Choices {
			b.WriteString(c.Text)
		}
	}
	return b.String()
}

func TestPath(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	want := strings.Join(fakes.GenerateTokens("lengua-8b", "order of two hoodies", 40), "")

	t.Run("stream equals the engine's", func(t *testing.T) {
		res := s.complete(t, boothKey, 40, true)
		if res.status != 200 || streamedText(t, res.body) != want || !strings.HasSuffix(res.body, "data: [DONE]\n\n") {
			t.Errorf("answer %+v, want the tokens %q", res, want)
		}
	})
	t.Run("whole answer equals the engine's", func(t *testing.T) {
		res := s.complete(t, boothKey, 40, false)
		if res.status != 200 || res.verdict != "ran" || !strings.Contains(res.body, want) {
			t.Errorf("answer %+v, want the tokens %q", res, want)
		}
	})
	t.Run("unknown key", func(t *testing.T) {
		if res := s.complete(t, "wrong", 4, false); res.status != 401 || res.verdict != "not-run" {
			t.Errorf("answer %+v, want 401 not-run", res)
		}
	})
	t.Run("over the burst", func(t *testing.T) {
		if res := s.complete(t, otherKey, 500, false); res.status != 429 || res.verdict != "not-run" {
			t.Errorf("answer %+v, want 429 not-run", res)
		}
	})
	t.Run("service not permitted", func(t *testing.T) {
		res := do(t, "POST", s.entries[0].url()+"/charge", "x", "X-Api-Key", otherKey)
		if res.status != 403 || res.verdict != "not-run" {
			t.Errorf("answer %+v, want 403 not-run", res)
		}
	})
	t.Run("no key at an endpoint", func(t *testing.T) {
		for _, p := range []*process{s.engine, s.service} {
			seen := do(t, "GET", p.url()+"/fake/requests", "").body
			if strings.Contains(seen, boothKey) || !strings.Contains(seen, "Content-Length") {
				t.Errorf("requests at %s: %s", p.address, seen)
			}
		}
	})
}

func TestCutStreamIsNotComplete(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.engine.setFaults(t, fakes.Faults{CutAfter: 5})
	res := s.complete(t, boothKey, 40, true)
	if res.err == nil || strings.Contains(res.body, "[DONE]") {
		t.Errorf("a truncated stream was marked complete: %+v", res)
	}
	if res := s.complete(t, boothKey, 40, false); res.status != 502 || res.verdict != "may-have-run" {
		t.Errorf("truncated answer: %+v, want 502 may-have-run", res)
	}
}

func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.publish(t, `{"customers":{"booth":{"keys":{"a":null}}}}`, "--patch")
	eventually(t, "the withdrawn key is refused", func() bool {
		res := s.complete(t, boothKey, 1, false)
		return res.status == 401 && res.verdict == "not-run"
	})
}
