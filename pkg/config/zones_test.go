package config_test

import (
	"strings"
	"testing"

	"dogwoodfold/pkg/config"
)

// Guards against releases that compute different results from one log: format 1 must go on
// refusing the field that format 2 has.
func TestEvacuatedZonesNeedFormat2(t *testing.T) {
	f := config.NewFold()
	if err := f.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(2, publishRecord(t, 1, "", `{"evacuatedZones":{"a":{}}}`)); err == nil {
		t.Error("format 1 accepts evacuated zones")
	}
	if err := f.Apply(3, publishRecord(t, 1, "", `{"format":2,"evacuatedZones":{"a":{},"b":{}}}`)); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(4, publishRecord(t, 3, "", `{"evacuatedZones":{"b":null}}`)); err != nil {
		t.Fatal(err)
	}
	if _, evacuated := f.Config.EvacuatedZones["a"]; !evacuated || len(f.Config.EvacuatedZones) != 1 || f.Config.Format != 2 {
		t.Errorf("evacuated %v in format %d, want a in format 2", f.Config.EvacuatedZones, f.Config.Format)
	}
	if len(f.Config.Routes) == 0 || len(f.Config.Customers) == 0 {
		t.Error("format 2 lacks the sections of format 1")
	}
	if err := f.Apply(5, publishRecord(t, 4, "", `{"evacuatedZones":{"c":true}}`)); err == nil || !strings.Contains(err.Error(), "evacuatedZones") {
		t.Errorf("a zone that isn't an object: %v", err)
	}
}
