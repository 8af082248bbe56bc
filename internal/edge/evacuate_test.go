package edge

import (
	"testing"
	"time"

	"dogwoodfold/platform/fakes"
)

// evacuateKey is the record that evacuates zone a, where the entries prefer endpoints.
const evacuateKey = "evacuate/a"

// Guards against requests that reach an evacuated zone later than 5 s after the store has
// acknowledged the evacuation, against requests that fail meanwhile though the other zone holds
// all models, and against a zone that stays unused afterwards.
func TestNoRequestReachesAnEvacuatedZone(t *testing.T) {
	const bound = 5 * time.Second
	store := fakes.NewStore()
	newEndpoint := func(id, service, zone string, models ...string) *limitedEndpoint {
		e := newLimitedEndpoint(t, store, id, service, 0, models...)
		record := e.registryRecord(service, models...)
		record["zone"], record["seq"] = zone, 2
		store.Put(fakes.TopicEndpoints, id, record)
		return e
	}
	evacuated := []*limitedEndpoint{newEndpoint("llm-1", "llm", "a", "m"), newEndpoint("shop-1", "shop", "a")}
	newEndpoint("llm-2", "llm", "b", "m")
	newEndpoint("shop-2", "shop", "b")
	entries := newEntries(t, store, 2)
	var load limitedLoad
	began := time.Now()
	load.run(entries, 2*time.Second)
	store.Put(fakes.TopicOperator, evacuateKey, map[string]any{})
	acknowledged := time.Now()
	load.run(entries, bound+2*time.Second)
	returned := time.Now()
	store.Put(fakes.TopicOperator, evacuateKey, nil)
	load.run(entries, 4*time.Second)
	for _, e := range evacuated {
		if n := e.count(acknowledged.Add(bound), returned); n > 0 {
			t.Errorf("%s got %d requests after the bound", e.id, n)
		}
		if e.count(began, acknowledged) == 0 || e.count(returned, time.Now()) == 0 {
			t.Errorf("%s got no requests before or after the evacuation", e.id)
		}
	}
	if served, sent := load.served.Load(), load.sent.Load(); served*20 < sent*19 {
		t.Errorf("%d of %d requests served, though the other zone holds all models", served, sent)
	}
}
