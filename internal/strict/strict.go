// Package strict decodes JSON into structs. It reports all unknown fields and
// values of the wrong type at once, each with its path.
package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
)

// FieldErrors lists the errors found in a document. Each has the form
// "path: message".
type FieldErrors []string

// Error returns the errors, one per line.
func (f FieldErrors) Error() string { return strings.Join(f, "\n") }

// Add appends a formatted error for a path.
func (f *FieldErrors) Add(path, format string, args ...any) {
	*f = append(*f, path+": "+fmt.Sprintf(format, args...))
}

// Err sorts the list and returns it as an error, or nil if it is empty.
func (f FieldErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.Sort(f)
	return f
}

// jsonTag is the key of the struct tags that name fields of JSON objects.
const jsonTag = "json"

// Decode decodes a JSON value into out, a pointer to a struct with json tags.
// Durations and addresses are given as strings, such as "1.2s". If data is valid
// JSON that does not match out, the error is a FieldErrors.
func Decode(data []byte, out any) error {
	raw, err := decodeValue(data)
	if err != nil {
		return err
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName: jsonTag,
		Result:  out,
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			rejectNumbers,
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
		),
		MatchName: func(key, field string) bool { return key == field },
	})
	if err != nil {
		return err
	}
	var errs FieldErrors
	flatten(decoder.Decode(raw), &errs)
	for _, path := range UnknownKeys(raw, out, jsonTag) {
		errs.Add(path, UnknownKey)
	}
	return errs.Err()
}

// rejectNumbers rejects a number where a string is required, as for durations.
// Otherwise mapstructure treats a json.Number as a string, on which its own hooks
// panic.
func rejectNumbers(from, to reflect.Type, data any) (any, error) {
	if from != reflect.TypeFor[json.Number]() {
		return data, nil
	}
	if to.Kind() == reflect.String || to == reflect.TypeFor[time.Duration]() {
		return nil, errors.New("is a number, want a string")
	}
	return data, nil
}

// decodeValue decodes a single JSON value and rejects trailing data.
func decodeValue(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var raw any
	if err := decoder.Decode(&raw); err != nil {
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("not valid JSON: trailing data after the value")
	}
	return raw, nil
}

// flatten adds the leaves of a tree of joined errors to errs.
func flatten(err error, errs *FieldErrors) {
	switch wrapped := err.(type) { //nolint:errorlint // every node of the tree is visited
	case nil:
	case interface{ Unwrap() []error }:
		for _, e := range wrapped.Unwrap() {
			flatten(e, errs)
		}
	case *mapstructure.DecodeError:
		errs.Add(dottedPath(wrapped.Name()), "%v", wrapped.Unwrap())
	case interface{ Unwrap() error }:
		flatten(wrapped.Unwrap(), errs)
	default:
		errs.Add("document", "%v", err)
	}
}
