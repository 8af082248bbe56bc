package stock

import (
	"testing"
	"time"
)

// lightRequest is the work of a request with a short prompt.
const lightRequest = 200 * time.Microsecond

// secondCopies plans for two engines of which only the first holds a model that is
// requested, and returns the number of loads at the other.
func secondCopies(t *testing.T, otherVersion string, versionsDiffer bool, requests int) int {
	t.Helper()
	spec := testSpec()
	for _, model := range []string{"b", "c", "d", "e"} {
		delete(spec.Models, model) // else they are loaded first, as models without a copy
	}
	p, add := newVersionedPlanner(spec)
	add("e1", "v2", "a")
	add("e2", "v2")
	if otherVersion != "" {
		add("e3", otherVersion)
	}
	p.SetVersionsDiffer("llm", versionsDiffer)
	p.RecordDemand(startTime, "llm", Artifact{Model: "a"}, requests, time.Duration(requests)*lightRequest)
	loads := 0
	for _, o := range p.Plan(startTime).Orders {
		if o.Load && o.Model == "a" && o.Engine == "e2" {
			loads++
		}
	}
	return loads
}

// Incident LOST: short prompts are little work, but the end of the only engine that holds
// their model cuts as many streams as long ones.
func TestModelOfLightRequestsHasTwoCopies(t *testing.T) {
	if loads := secondCopies(t, "v1", true, 20); loads != 1 {
		t.Errorf("%d loads of a second copy, want 1", loads)
	}
}

// Incident LOST: after all engines have been replaced by ones of the next version, each model
// has the one copy that its demand needs, while the other engines are empty.
func TestModelHasTwoCopiesAfterRelease(t *testing.T) {
	if loads := secondCopies(t, "", true, 20); loads != 1 {
		t.Errorf("%d loads of a second copy, want 1", loads)
	}
}

func TestNoSecondCopyWithoutNeed(t *testing.T) {
	if loads := secondCopies(t, "", false, 20); loads != 0 {
		t.Errorf("a service of one version: %d loads of a second copy, want none", loads)
	}
	if loads := secondCopies(t, "v1", true, 1); loads != 0 {
		t.Errorf("a model that is hardly requested: %d loads of a second copy, want none", loads)
	}
}
