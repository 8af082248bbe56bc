package e2e

import (
	"encoding/json"
	"strings"
	"testing"

	"dogwoodfold/internal/fakes"
)

// streamedText joins the tokens of an event stream.
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
	s := newSystem(t)
	want := strings.Join(fakes.GenerateTokens("lengua-8b", "order of two hoodies", 40), "")

	t.Run("stream equals the engine's", func(t *testing.T) {
		a := s.complete(t, boothKey, 40, true)
		if a.status != 200 || streamedText(t, a.body) != want || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			t.Errorf("answer %+v, want the tokens %q", a, want)
		}
	})
	t.Run("whole answer equals the engine's", func(t *testing.T) {
		a := s.complete(t, boothKey, 40, false)
		if a.status != 200 || a.verdict != "ran" || !strings.Contains(a.body, want) {
			t.Errorf("answer %+v, want the tokens %q", a, want)
		}
	})
	t.Run("unknown key", func(t *testing.T) {
		if a := s.complete(t, "wrong", 4, false); a.status != 401 || a.verdict != "not-run" {
			t.Errorf("answer %+v, want 401 not-run", a)
		}
	})
	t.Run("over the burst", func(t *testing.T) {
		if a := s.complete(t, otherKey, 500, false); a.status != 429 || a.verdict != "not-run" {
			t.Errorf("answer %+v, want 429 not-run", a)
		}
	})
	t.Run("service not permitted", func(t *testing.T) {
		a := do(t, "POST", s.entries[0].url()+"/charge", "x", "X-Api-Key", otherKey)
		if a.status != 403 || a.verdict != "not-run" {
			t.Errorf("answer %+v, want 403 not-run", a)
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
	s := newSystem(t)
	s.engine.faults(t, fakes.Faults{CutAfter: 5})
	a := s.complete(t, boothKey, 40, true)
	if a.err == nil || strings.Contains(a.body, "[DONE]") {
		t.Errorf("a cut stream passed for complete: %+v", a)
	}
	if a := s.complete(t, boothKey, 40, false); a.status != 502 || a.verdict != "may-have-run" {
		t.Errorf("cut answer: %+v, want 502 may-have-run", a)
	}
}

func TestWithdrawnKey(t *testing.T) {
	s := newSystem(t)
	s.publish(t, `{"customers":{"booth":{"keys":{"a":null}}}}`, "--patch")
	eventually(t, "the withdrawn key is refused", func() bool {
		a := s.complete(t, boothKey, 1, false)
		return a.status == 401 && a.verdict == "not-run"
	})
}
