package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"dogwoodfold/internal/strict"
)

// sectionNames lists the fields of a configuration document that map names to
// items.
var sectionNames = []string{"services", "models", "customers", "routes"}

// section maps the names of the items in one section to their JSON.
type section map[string]json.RawMessage

// document is a configuration document split into its named items, so that the
// cost of a change depends on the items changed and not on the document's size.
type document struct {
	// fields holds the top-level fields that are not sections.
	fields   map[string]json.RawMessage
	sections map[string]section
}

// splitDocument splits a JSON document into sections and other fields.
func splitDocument(data json.RawMessage) (*document, error) {
	d := &document{sections: make(map[string]section)}
	if err := json.Unmarshal(data, &d.fields); err != nil {
		return nil, fmt.Errorf("not a configuration document: %w", err)
	}
	if d.fields == nil {
		return nil, strict.FieldErrors{"document: is null"}
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

// marshal returns the canonical JSON of the document. Its items must already be
// canonical.
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

// applyItemPatch returns the document that results from a merge patch that
// changes only named items; ok is false for any other patch. Since a merge
// patch treats each item independently, it is applied to a document of just the
// items that it names.
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

// mergeItems applies a merge patch to the given items.
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

// parsedConfig is a decoded configuration with its source document.
type parsedConfig struct {
	config *Config
	doc    *document
}

// fieldFormat is the field with the document's format.
const fieldFormat = "format"

// decodeFormat1 decodes and validates a document in format 1. Items whose JSON
// equals that in the previous configuration are reused from it.
func decodeFormat1(d *document, previous *parsedConfig) (*Config, error) {
	var errs strict.FieldErrors
	cfg := decodeSections(d, previous, []string{fieldFormat}, &errs)
	cfg.Format = 1
	return cfg.checked(&errs)
}

// decodeSections decodes the sections of a document, which may have the given other fields.
func decodeSections(d *document, previous *parsedConfig, otherFields []string, errs *strict.FieldErrors) *Config {
	for name := range d.fields {
		if !slices.Contains(otherFields, name) {
			errs.Add(name, strict.UnknownKey)
		}
	}
	if previous == nil {
		previous = &parsedConfig{
			config: &Config{},
			doc:    &document{},
		}
	}
	return &Config{
		Services:  decodeItems("services", d, previous.doc, previous.config.Services, errs),
		Models:    decodeItems("models", d, previous.doc, previous.config.Models, errs),
		Customers: decodeItems("customers", d, previous.doc, previous.config.Customers, errs),
		Routes:    decodeItems("routes", d, previous.doc, previous.config.Routes, errs),
	}
}

// checked returns the configuration if it could be decoded and is valid.
func (c *Config) checked(errs *strict.FieldErrors) (*Config, error) {
	if err := errs.Err(); err != nil {
		return nil, err
	}
	c.checkServices(errs)
	c.checkModels(errs)
	c.checkCustomers(errs)
	c.checkRoutes(errs)
	return c, errs.Err()
}

// decodeItems decodes one section. It reuses the decoded values of items that
// are unchanged since the previous document.
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

// addFieldErrors adds the errors of an item, with their paths prefixed by path.
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
