package strict_test

import (
	"testing"

	"dogwoodfold/internal/strict"
)

// FuzzDecode checks that Decode does not panic on any input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.1:80","timeout":"1s","parts":{"a":{"count":1}}}`))
	f.Add([]byte(`{"parts":[{"a":null}],"timeout":{}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var s testSettings
		_ = strict.Decode(text, &s) // an error is allowed
	})
}
