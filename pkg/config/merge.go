package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// merge returns the canonical form of text or, if a patch is given, of base with
// the RFC 7386 merge patch applied.
func merge(base, text, patch json.RawMessage) (json.RawMessage, error) {
	if len(patch) == 0 {
		return canonical(text)
	}
	if len(text) != 0 {
		return nil, errors.New("publish record has both a text and a patch")
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

// canonical returns a JSON value with sorted fields and without whitespace.
// Numbers keep their original notation. Equal documents thus have equal bytes,
// whether they were published in full or by patches.
func canonical(data json.RawMessage) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// Sum returns the hexadecimal SHA-256 digest of a canonical document.
func Sum(data json.RawMessage) string {
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:])
}
