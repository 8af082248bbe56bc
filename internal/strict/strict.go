// Package strict decodes JSON into structs and reports every unknown field and
// every value of the wrong kind at once, each with its path.
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

// FieldErrors is a list of faults found in one text.
type FieldErrors []string

// Error joins the faults, one a line.
func (f FieldErrors) Error() string { return strings.Join(f, "\n") }

// Add appends a fault at a path.
func (f *FieldErrors) Add(path, format string, args ...any) {
	*f = append(*f, path+": "+fmt.Sprintf(format, args...))
}

// Err returns f as an error with the faults sorted, nil if there are none.
func (f FieldErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.Sort(f)
	return f
}

// Decode fills out, a pointer to a struct with json tags, from a JSON text.
// Durations and addresses are written as strings, such as "1.2s". The error is
// a Faults if the text is JSON.
func Decode(text []byte, out any) error {
	raw, err := decodeValue(text)
	if err != nil {
		return err
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName:     "json",
		ErrorUnused: true,
		Result:      out,
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
	return errs.Err()
}

// rejectNumbers refuses a number where a string is wanted, as for durations: to
// mapstructure, a json.Number is a string, which its own hooks panic at.
func rejectNumbers(from, to reflect.Type, data any) (any, error) {
	if from != reflect.TypeFor[json.Number]() {
		return data, nil
	}
	if to.Kind() == reflect.String || to == reflect.TypeFor[time.Duration]() {
		return nil, errors.New("is a number, want a string")
	}
	return data, nil
}

// decodeValue decodes one JSON value and refuses anything after it.
func decodeValue(text []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var raw any
	if err := decoder.Decode(&raw); err != nil {
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("not valid JSON: text after the value")
	}
	return raw, nil
}

// flatten flattens a tree of joined errors into faults.
func flatten(err error, errs *FieldErrors) {
	switch wrapped := err.(type) { //nolint:errorlint // each node is visited
	case nil:
	case interface{ Unwrap() []error }:
		for _, e := range wrapped.Unwrap() {
			flatten(e, errs)
		}
	case *mapstructure.DecodeError:
		errs.Add(wrapped.Name(), "%v", wrapped.Unwrap())
	case interface{ Unwrap() error }:
		flatten(wrapped.Unwrap(), errs)
	default:
		errs.Add("text", "%v", err)
	}
}
