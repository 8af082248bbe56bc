package config

import (
	"encoding/json"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
)

// drawJSON draws a JSON value. Objects use few field names, so that patches often
// change existing fields.
func drawJSON(t *rapid.T, depth int) any {
	if depth == 0 || rapid.IntRange(0, 4).Draw(t, "leaf") == 0 {
		return rapid.SampledFrom([]any{
			nil, nil, nil, true, json.Number("1.50"), json.Number("2e3"), "x<y", []any{nil, map[string]any{"a": nil}},
		}).Draw(t, "value")
	}
	return drawObject(t, depth)
}

func drawObject(t *rapid.T, depth int) map[string]any {
	object := make(map[string]any)
	for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c d"}), 1, 3).Draw(t, "names") {
		object[name] = drawJSON(t, depth-1)
	}
	return object
}

// drawDocument draws a document or patch with some of the sections. If anyValue is
// set, it may also have a format field, and values need not be objects.
func drawDocument(t *rapid.T, anyValue bool) json.RawMessage {
	document := make(map[string]any)
	names := append([]string{}, sectionNames...)
	if anyValue {
		names = append(names, "format")
	}
	for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 1, 6).Draw(t, "sections") {
		if anyValue {
			document[name] = drawJSON(t, 3)
		} else {
			document[name] = drawObject(t, 3)
		}
	}
	raw, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestItemPatchEqualsFullMergePatch(t *testing.T) {
	applied := 0
	rapid.Check(t, func(t *rapid.T) {
		base, err := canonical(drawDocument(t, false))
		if err != nil {
			t.Fatal(err)
		}
		patch := drawDocument(t, rapid.Bool().Draw(t, "anyValue"))
		doc, err := splitDocument(base)
		if err != nil {
			t.Fatal(err)
		}
		merged, err := jsonpatch.MergePatch(base, patch)
		if err != nil {
			t.Fatal(err)
		}
		want, err := canonical(merged)
		if err != nil {
			t.Fatal(err)
		}
		after, ok := doc.applyItemPatch(patch)
		if !ok {
			return
		}
		applied++
		if got, err := after.marshal(); err != nil || string(got) != string(want) {
			t.Fatalf("base %s\npatch %s\ngot  %s, %v\nwant %s", base, patch, got, err, want)
		}
	})
	if applied == 0 {
		t.Error("no patch was applied item by item")
	}
}

func TestItemPatch(t *testing.T) {
	for _, c := range []struct{ base, patch, want string }{
		{`{"models":{"a":{"x":1},"b":{}}}`, `{"models":{"a":null}}`, `{"models":{"b":{}}}`},
		{`{"models":{"a":{"x":1},"b":{}}}`, `{"models":{"a":{"x":null,"y":2}}}`, `{"models":{"a":{"y":2},"b":{}}}`},
		{`{"models":{"a":{}}}`, `{"models":{"b":{"x":null}}}`, `{"models":{"a":{},"b":{}}}`},
		{`{"models":{"a":{}}}`, `{"models":{}}`, `{"models":{"a":{}}}`},
		{`{"models":{"a":{}}}`, `{"models":null}`, ``},
		{`{"models":{"a":{}}}`, `{"format":1}`, ``},
		{`{"models":{"a":{}}}`, `{"routes":{"a":{}}}`, ``},
	} {
		doc, err := splitDocument(json.RawMessage(c.base))
		if err != nil {
			t.Fatal(err)
		}
		after, ok := doc.applyItemPatch(json.RawMessage(c.patch))
		if ok != (c.want != "") {
			t.Errorf("%s: applied item by item = %v", c.patch, ok)
		}
		if !ok {
			continue
		}
		if got, err := after.marshal(); err != nil || string(got) != c.want {
			t.Errorf("%s: %s, %v, want %s", c.patch, got, err, c.want)
		}
	}
}
