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

// split takes a text apart.
func split(text json.RawMessage) (*document, error) {
	d := &document{sections: make(map[string]section)}
	if err := json.Unmarshal(text, &d.fields); err != nil {
		return nil, fmt.Errorf("not a text: %w", err)
	}
	if d.fields == nil {
		return nil, strict.Faults{"text: is null"}
	}
	var faults strict.Faults
	for _, name := range sectionNames {
		raw, ok := d.fields[name]
		if !ok {
			continue
		}
		var parts section
		if err := json.Unmarshal(raw, &parts); err != nil {
			faults.Add(name, "is not an object")
			continue
		}
		d.sections[name] = parts
		delete(d.fields, name)
	}
	return d, faults.Err()
}

// join returns the canonical text of a document with canonical parts.
func (d *document) join() (json.RawMessage, error) {
	whole := make(map[string]any, len(d.fields)+len(d.sections))
	for name, raw := range d.fields {
		whole[name] = raw
	}
	for name, parts := range d.sections {
		whole[name] = parts
	}
	return json.Marshal(whole)
}

// patched returns the document after a merge patch that touches only named
// parts; ok is false for any other patch. A merge patch works on each part by
// itself, so it is applied to a text of the parts that it names.
func (d *document) patched(patch json.RawMessage) (after *document, ok bool) {
	var named map[string]section
	if err := json.Unmarshal(patch, &named); err != nil || named == nil {
		return nil, false
	}
	touched := make(map[string]section)
	for name, parts := range named {
		old, present := d.sections[name]
		if !present || old == nil || parts == nil {
			return nil, false
		}
		touched[name] = make(section)
		for part := range parts {
			if raw, present := old[part]; present {
				touched[name][part] = raw
			}
		}
	}
	result, err := mergeParts(touched, patch)
	if err != nil {
		return nil, false
	}
	after = &document{
		fields:   d.fields,
		sections: maps.Clone(d.sections),
	}
	for name, parts := range named {
		after.sections[name] = maps.Clone(d.sections[name])
		for part := range parts {
			delete(after.sections[name], part)
		}
		maps.Copy(after.sections[name], result[name])
	}
	return after, true
}

// mergeParts applies a merge patch to some parts.
func mergeParts(parts map[string]section, patch json.RawMessage) (result map[string]section, err error) {
	base, err := json.Marshal(parts)
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

// parsed is a decoded text with the parts that it came from.
type parsed struct {
	text *Text
	doc  *document
}

// decode1 decodes and checks format 1. Parts that are the same as in an earlier
// text are taken from it.
func decode1(d *document, old *parsed) (*Text, error) {
	t := &Text{Format: 1}
	var faults strict.Faults
	for name := range d.fields {
		if name != "format" {
			faults.Add(name, "is not a field of a text")
		}
	}
	if old == nil {
		old = &parsed{
			text: &Text{},
			doc:  &document{},
		}
	}
	t.Services = decodeParts("services", d, old.doc, old.text.Services, &faults)
	t.Models = decodeParts("models", d, old.doc, old.text.Models, &faults)
	t.Customers = decodeParts("customers", d, old.doc, old.text.Customers, &faults)
	t.Routes = decodeParts("routes", d, old.doc, old.text.Routes, &faults)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	t.checkServices(&faults)
	t.checkModels(&faults)
	t.checkCustomers(&faults)
	t.checkRoutes(&faults)
	return t, faults.Err()
}

// decodeParts decodes one section.
func decodeParts[T any](name string, d, before *document, old map[string]T, faults *strict.Faults) map[string]T {
	values := make(map[string]T, len(d.sections[name]))
	for part, raw := range d.sections[name] {
		if same, ok := before.sections[name][part]; ok && bytes.Equal(same, raw) {
			values[part] = old[part]
			continue
		}
		var value T
		if err := strict.Decode(raw, &value); err != nil {
			addFaults(name+"."+part, err, faults)
			continue
		}
		values[part] = value
	}
	return values
}

// addFaults adds the faults of a part under its path.
func addFaults(path string, err error, faults *strict.Faults) {
	var own strict.Faults
	if !errors.As(err, &own) {
		faults.Add(path, "%v", err)
		return
	}
	for _, fault := range own {
		if fault[0] == ':' {
			*faults = append(*faults, path+fault)
		} else {
			*faults = append(*faults, path+"."+fault)
		}
	}
}
