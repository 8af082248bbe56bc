package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// merge returns, in canonical form, the text that replaces base, or base with
// an RFC 7386 merge patch.
func merge(base, text, patch json.RawMessage) (json.RawMessage, error) {
	if len(patch) == 0 {
		return canonical(text)
	}
	if len(text) != 0 {
		return nil, errors.New("publish has both a text and a patch")
	}
	if len(base) == 0 {
		base = json.RawMessage("{}")
	}
	merged, err := jsonpatch.MergePatch(base, patch)
	if err != nil {
		return nil, err
	}
	return canonical(merged)
}

// canonical returns a JSON value with sorted fields and no spaces, numbers as
// they were written. Equal texts have equal bytes whichever way they came
// about.
func canonical(text json.RawMessage) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// Sum returns the SHA-256 digest in hex of a canonical text.
func Sum(text json.RawMessage) string {
	digest := sha256.Sum256(text)
	return hex.EncodeToString(digest[:])
}
