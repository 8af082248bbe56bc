package route_test

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// Guards against calls to agents of an evacuated zone, also where only it holds the model, and
// against agents that aren't used after its evacuation.
func TestAgentsOfEvacuatedZonesGetNoCalls(t *testing.T) {
	f := newTestFleet(3) // agent-0 is in the router's own zone
	for i := range 3 {
		f.connect(epoch, i, 1)
		models := []string{"m"}
		if i == 0 {
			models = append(models, "lone")
		}
		f.report(epoch, i, &wirepb.LoadReport{}, models...)
	}
	now := epoch.Add(time.Millisecond)
	f.router.SetEvacuated(func(zone string) bool { return zone == "zone-0" })
	for range 50 {
		if p := f.router.Pick(now, newQuery("m")); p == nil || p.Host.Zone == "zone-0" {
			t.Fatalf("picked %+v", p)
		}
	}
	if p := f.router.Pick(now, newQuery("lone")); p != nil {
		t.Errorf("picked %s in the evacuated zone", p.Host.Name)
	}
	f.router.SetEvacuated(func(string) bool { return false })
	if p := f.router.Pick(now, newQuery("lone")); p == nil {
		t.Error("the zone isn't used after its evacuation")
	}
}
