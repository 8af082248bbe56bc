package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"dogwoodfold/internal/strict"
)

// sectionNames are the fields of a text that hold named parts.
var sectionNames = []string{"services", "models", "customers", "routes"}

// section holds the parts of a text that have names.
type section map[string]json.RawMessage

// document is a text split into its named parts, so that a change costs what
// it touches.
type document struct {
	// fields are the other fields.
	fields   map[string]json.RawMessage
	sections map[string]section
}

// splitDocument takes a text apart.
func splitDocument(text json.RawMessage) (*document, error) {
	d := &document{sections: make(map[string]section)}
	if err := json.Unmarshal(text, &d.fields); err != nil {
		return nil, fmt.Errorf("not a text: %w", err)
	}
	if d.fields == nil {
		return nil, strict.FieldErrors{"text: is null"}
	}
	var errs strict.FieldErrors
	for _, name := range sectionNames {
		raw, ok := d.fields[name]
		if !ok {
			continue
		}
		var items section
		if err := json.Unmarshal(raw, &items); err != nil {
			errs.Add(name, "is not an object")
			continue
		}
		d.sections[name] = items
		delete(d.fields, name)
	}
	return d, errs.Err()
}

// marshal returns the canonical text of a document with canonical parts.
func (d *document) marshal() (json.RawMessage, error) {
	object := make(map[string]any, len(d.fields)+len(d.sections))
	for name, raw := range d.fields {
		object[name] = raw
	}
	for name, items := range d.sections {
		object[name] = items
	}
	return json.Marshal(object)
}

// applyItemPatch returns the document after a merge patch that touches only named
// parts; ok is false for any other patch. A merge patch works on each part by
// itself, so it is applied to a text of the parts that it names.
func (d *document) applyItemPatch(patch json.RawMessage) (after *document, ok bool) {
	var patched map[string]section
	if err := json.Unmarshal(patch, &patched); err != nil || patched == nil {
		return nil, false
	}
	affected := make(map[string]section)
	for name, items := range patched {
		old, present := d.sections[name]
		if !present || old == nil || items == nil {
			return nil, false
		}
		affected[name] = make(section)
		for item := range items {
			if raw, present := old[item]; present {
				affected[name][item] = raw
			}
		}
	}
	result, err := mergeItems(affected, patch)
	if err != nil {
		return nil, false
	}
	after = &document{
		fields:   d.fields,
		sections: maps.Clone(d.sections),
	}
	for name, items := range patched {
		after.sections[name] = maps.Clone(d.sections[name])
		for item := range items {
			delete(after.sections[name], item)
		}
		maps.Copy(after.sections[name], result[name])
	}
	return after, true
}

// mergeItems applies a merge patch to some parts.
func mergeItems(items map[string]section, patch json.RawMessage) (result map[string]section, err error) {
	base, err := json.Marshal(items)
	if err != nil {
		return nil, err
	}
	merged, err := jsonpatch.MergePatch(base, patch)
	if err != nil {
		return nil, err
	}
	if merged, err = canonical(merged); err != nil {
		return nil, err
	}
	return result, json.Unmarshal(merged, &result)
}

// parsedConfig is a decoded text with the parts that it came from.
type parsedConfig struct {
	config *Config
	doc    *document
}

// decodeFormat1 decodes and checks format 1. Parts that are the same as in an earlier
// text are taken from it.
func decodeFormat1(d *document, previous *parsedConfig) (*Config, error) {
	c := &Config{Format: 1}
	var errs strict.FieldErrors
	for name := range d.fields {
		if name != "format" {
			errs.Add(name, "is not a field of a text")
		}
	}
	if previous == nil {
		previous = &parsedConfig{
			config: &Config{},
			doc:    &document{},
		}
	}
	c.Services = decodeItems("services", d, previous.doc, previous.config.Services, &errs)
	c.Models = decodeItems("models", d, previous.doc, previous.config.Models, &errs)
	c.Customers = decodeItems("customers", d, previous.doc, previous.config.Customers, &errs)
	c.Routes = decodeItems("routes", d, previous.doc, previous.config.Routes, &errs)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	c.checkServices(&errs)
	c.checkModels(&errs)
	c.checkCustomers(&errs)
	c.checkRoutes(&errs)
	return c, errs.Err()
}

// decodeItems decodes one section.
func decodeItems[T any](name string, d, previous *document, decoded map[string]T, errs *strict.FieldErrors) map[string]T {
	values := make(map[string]T, len(d.sections[name]))
	for item, raw := range d.sections[name] {
		if unchanged, ok := previous.sections[name][item]; ok && bytes.Equal(unchanged, raw) {
			values[item] = decoded[item]
			continue
		}
		var value T
		if err := strict.Decode(raw, &value); err != nil {
			addFieldErrors(name+"."+item, err, errs)
			continue
		}
		values[item] = value
	}
	return values
}

// addFieldErrors adds the faults of a part under its path.
func addFieldErrors(path string, err error, errs *strict.FieldErrors) {
	var fieldErrs strict.FieldErrors
	if !errors.As(err, &fieldErrs) {
		errs.Add(path, "%v", err)
		return
	}
	for _, message := range fieldErrs {
		if message[0] == ':' {
			*errs = append(*errs, path+message)
		} else {
			*errs = append(*errs, path+"."+message)
		}
	}
}
