package entry

import (
	"fmt"
	"strings"
	"testing"

	"dogwoodfold/pkg/fault"
)

// completionText returns a completion request as raw bytes.
func completionText(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, testAPIKey, len(body), body)
}

// TestReservedOutputTokens checks how many tokens of output are reserved, and that the
// endpoint is told of the same limit.
func TestReservedOutputTokens(t *testing.T) {
	const chat, completion = "/v1/chat/completions", "/v1/completions"
	for _, test := range []struct {
		path, fields string
		want         uint32
		// forwarded is a part of the body that the endpoint gets.
		forwarded string
	}{
		{path: chat, fields: ``, want: defaultMaxTokens, forwarded: `"max_tokens":256`},
		{path: chat, fields: `,"max_tokens":9`, want: 9, forwarded: `"max_tokens":9`},
		{path: chat, fields: `,"max_completion_tokens":9`, want: 9, forwarded: `"max_completion_tokens":9`},
		{path: chat, fields: `,"max_completion_tokens":900`, want: 900, forwarded: `"max_completion_tokens":900`},
		{path: chat, fields: `,"max_tokens":9,"max_completion_tokens":900`, want: 900, forwarded: `"max_tokens":9,`},
		{path: chat, fields: `,"max_tokens":900,"max_completion_tokens":9`, want: 900, forwarded: `"max_tokens":900,`},
		{path: completion, fields: `,"max_completion_tokens":9`, want: defaultMaxTokens, forwarded: `"max_tokens":256`},
	} {
		r, err, _ := resolveBytes(testIndex(t), completionText(test.path, `{"model":"m"`+test.fields+`}`))
		if err != nil {
			t.Errorf("%s %s: %v", test.path, test.fields, err)
			continue
		}
		body := string(r.request.GetBody())
		if got := r.request.GetMaxTokens(); got != test.want || !strings.Contains(body, test.forwarded) {
			t.Errorf("%s %s: %d tokens and %s, want %d and %s", test.path, test.fields, got, body, test.want, test.forwarded)
		}
		if want := float64(len(body)/bytesPerToken + 1 + int(test.want)); r.call.Tokens != want {
			t.Errorf("%s %s: %v tokens reserved, want %v", test.path, test.fields, r.call.Tokens, want)
		}
		if test.path == chat && strings.Contains(test.fields, "completion") && !strings.Contains(test.fields, "max_tokens") &&
			strings.Contains(body, "max_tokens") {
			t.Errorf("%s %s: a second limit was added: %s", test.path, test.fields, body)
		}
	}
}

func TestOutputTokensOutOfRange(t *testing.T) {
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		for _, value := range []int{-1, 0, maxTokensLimit + 1} {
			body := fmt.Sprintf(`{"model":"m",%q:%d}`, field, value)
			_, err, _ := resolveBytes(testIndex(t), completionText("/v1/chat/completions", body))
			if fault.CodeOf(err) != fault.CodeBadRequest || fault.ParamOf(err) != field {
				t.Errorf("%s: %v with the param %q", body, err, fault.ParamOf(err))
			}
		}
	}
}
