package config

import "dogwoodfold/internal/strict"

// fieldEvacuatedZones is the field that format 2 adds to format 1.
const fieldEvacuatedZones = "evacuatedZones"

// EvacuatedZone marks an availability zone whose agents get no calls.
type EvacuatedZone struct{}

// decodeFormat2 decodes and validates a document in format 2. Items whose JSON equals that in the
// previous configuration are reused from it.
func decodeFormat2(d *document, previous *parsedConfig) (*Config, error) {
	var errs strict.FieldErrors
	cfg := decodeSections(d, previous, []string{fieldFormat, fieldEvacuatedZones}, &errs)
	cfg.Format = 2
	if raw, present := d.fields[fieldEvacuatedZones]; present {
		if err := strict.Decode(raw, &cfg.EvacuatedZones); err != nil {
			addFieldErrors(fieldEvacuatedZones, err, &errs)
		}
	}
	return cfg.checked(&errs)
}
