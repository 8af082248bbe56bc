package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"dogwoodfold/pkg/config"
)

const sampleTemplate = `{"format":1,
"services":{"lengua":{"kind":"model"}},
"models":{"m":{"service":"lengua","version":"v1","versions":{"v1":{"memoryBytes":1}}}},
"customers":{"booth":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":10,"burstTokens":100,"services":["lengua"]}},
"routes":{"chat":{"path":"/v1/chat/completions","service":"lengua","access":"keyed","priority":"interactive","idempotent":true}}}`

func sampleConfig() string { return fmt.Sprintf(sampleTemplate, config.DigestKey([]byte("secret"))) }

func publishRecord(t *testing.T, base uint64, text, patch string) []byte {
	t.Helper()
	data, err := json.Marshal(config.Record{Publish: &config.Publish{
		Base:  base,
		Text:  json.RawMessage(text),
		Patch: json.RawMessage(patch),
		Nonce: "n",
	}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestFoldAcceptsOnePublishPerBase(t *testing.T) {
	f := config.NewFold()
	if err := f.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(2, publishRecord(t, 0, sampleConfig(), "")); !errors.Is(err, config.ErrStale) {
		t.Errorf("second publish on the same base: %v, want ErrStale", err)
	}
	if f.Accepted != 1 {
		t.Errorf("accepted = %d, want 1", f.Accepted)
	}
}

func TestPatchWithdrawsKey(t *testing.T) {
	f := config.NewFold()
	if err := f.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
		t.Fatal(err)
	}
	digest := config.DigestKey([]byte("secret"))
	if name, ok := config.NewIndex(f.Config).Customer(digest); !ok || name != "booth" {
		t.Fatalf("customer = %q, %v; want booth, true", name, ok)
	}
	if err := f.Apply(2, publishRecord(t, 1, "", `{"customers":{"booth":{"keys":{"a":null}}}}`)); err != nil {
		t.Fatal(err)
	}
	if _, ok := config.NewIndex(f.Config).Customer(digest); ok {
		t.Error("revoked key still identifies a customer")
	}
}

func TestInvalidPublishIsRejected(t *testing.T) {
	f := config.NewFold()
	if err := f.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
		t.Fatal(err)
	}
	err := f.Apply(2, publishRecord(t, 1, "", `{"routes":{"x":{"path":"nope","service":"none"}}}`))
	if err == nil || f.Accepted != 1 {
		t.Fatalf("accepted = %d, err = %v; want 1 and an error", f.Accepted, err)
	}
	for _, want := range []string{"routes.x.path", "routes.x.service", "routes.x.access", "routes.x.priority"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no error names %s in:\n%v", want, err)
		}
	}
}

func TestCredentialHeadersAreNotForwardable(t *testing.T) {
	bad := strings.Replace(sampleConfig(), `"idempotent":true`, `"headers":["Cookie"]`, 1)
	if _, err := config.Parse([]byte(bad)); err == nil {
		t.Error("a route that forwards cookies was accepted")
	}
}

func TestRouteMatchesWholeSegments(t *testing.T) {
	cfg, err := config.Parse([]byte(sampleConfig()))
	if err != nil {
		t.Fatal(err)
	}
	index := config.NewIndex(cfg)
	if _, ok := index.Route("POST", "/v1/chat/completions"); !ok {
		t.Error("the route's exact path does not match")
	}
	if _, ok := index.Route("POST", "/v1/chat/completionsx"); ok {
		t.Error("a path that extends the last segment matches")
	}
}

func TestExamples(t *testing.T) {
	for name, want := range map[string]struct{ models, adapters int }{
		"taquilla": {models: 20, adapters: 75},
		"ngoma":    {models: 13, adapters: 55},
	} {
		data, err := os.ReadFile("../../examples/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := config.Parse(data)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		adapters := 0
		for _, m := range cfg.Models {
			adapters += len(m.Adapters)
		}
		if len(cfg.Models) != want.models || adapters != want.adapters {
			t.Errorf("%s: %d models, %d adapters; want %+v", name, len(cfg.Models), adapters, want)
		}
	}
}
