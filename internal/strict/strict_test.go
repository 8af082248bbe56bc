package strict_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/strict"
)

type testSettings struct {
	Listen  netip.AddrPort `json:"listen"`
	Timeout time.Duration  `json:"timeout"`
	Parts   map[string]struct {
		Count int `json:"count"`
	} `json:"parts"`
}

func TestDecode(t *testing.T) {
	var s testSettings
	err := strict.Decode([]byte(`{"listen":"127.0.0.1:80","timeout":"1.2s","parts":{"a":{"count":3}}}`), &s)
	if err != nil {
		t.Fatal(err)
	}
	if s.Timeout != 1200*time.Millisecond || s.Listen.Port() != 80 || s.Parts["a"].Count != 3 {
		t.Errorf("decoded value = %+v", s)
	}
}

func TestDecodeReportsAllErrors(t *testing.T) {
	var s testSettings
	err := strict.Decode([]byte(`{"listen":"nowhere","timeout":"soon","parts":{"a":{"count":"x","size":1}},"extra":1}`), &s)
	var errs strict.FieldErrors
	if !errors.As(err, &errs) {
		t.Fatalf("error = %v, want FieldErrors", err)
	}
	for _, want := range []string{"listen", "timeout", "count", "size", "extra"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no error names %q in:\n%v", want, err)
		}
	}
}

func TestDecodeRejectsTrailingText(t *testing.T) {
	if err := strict.Decode([]byte(`{} {}`), &testSettings{}); err == nil {
		t.Error("trailing text was accepted, want an error")
	}
}

func TestDecodeRejectsNumberForString(t *testing.T) {
	var out struct {
		Name string        `json:"name"`
		Wait time.Duration `json:"wait"`
	}
	err := strict.Decode([]byte(`{"name":5,"wait":7}`), &out)
	if err == nil || !strings.Contains(err.Error(), "name") || !strings.Contains(err.Error(), "wait") {
		t.Errorf("error = %v, want one that names both fields", err)
	}
}

func TestDecodeNamesUnknownKeysByTheirPaths(t *testing.T) {
	var s testSettings
	err := strict.Decode([]byte(`{"extra":1,"other":{},"parts":{"a":{"count":1,"size":2}}}`), &s)
	want := "extra: unknown key\nother: unknown key\nparts.a.size: unknown key"
	if err == nil || err.Error() != want {
		t.Errorf("error = %v, want\n%s", err, want)
	}
}

func TestDecodeReportsUnknownKeysBesideOtherErrors(t *testing.T) {
	var s testSettings
	err := strict.Decode([]byte(`{"extra":1,"parts":{"a":{"count":"x","size":2}}}`), &s)
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"extra: unknown key", "parts.a.size: unknown key", "parts.a.count: "} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no error begins with %q in:\n%v", want, err)
		}
	}
}

func TestUnknownKeysOfListsAndPointers(t *testing.T) {
	var out struct {
		Items []*struct {
			Name string `yaml:"name"`
		} `yaml:"items"`
		Hidden string `yaml:"-"`
	}
	document := map[string]any{
		"items":  []any{map[string]any{"name": "a"}, map[string]any{"nam": "b"}, "c"},
		"Hidden": "x",
	}
	got := strings.Join(strict.UnknownKeys(document, &out, "yaml"), " ")
	if want := "Hidden items[1].nam"; got != want {
		t.Errorf("unknown keys %q, want %q", got, want)
	}
}
