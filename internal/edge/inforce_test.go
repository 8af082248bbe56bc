package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/loop"
	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// withoutRoute returns a configuration without the route to look up.
func withoutRoute(version int, keys ...string) map[string]any {
	config := testConfig(version, keys...)
	routes := config["routes"].([]any)
	config["routes"] = append(routes[:1:1], routes[2:]...)
	return config
}

// Incident CONFIG: an entry that the store refuses learned from the leader that there is a newer
// version, but not what it says. It must be in force there as at the others.
func TestEntryThatStoreRefusesHasNewestConfiguration(t *testing.T) {
	t.Parallel()
	const bound = 3 * time.Second // configMs
	f := newLinkedFixture(t, 3, 0)
	refused := f.refuseFollower()
	time.Sleep(localConfigWait) // reads that wait end
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, withoutRoute(2, "key-1", "key-2"))
	published := time.Now()
	for time.Since(published) < 2*bound {
		sentAt := time.Now()
		status := refused.lookWith("key-1")
		if status == http.StatusNotFound {
			break
		}
		if late := sentAt.Sub(published); late > bound {
			t.Fatalf("status %d %v after the route was dropped", status, late)
		}
		time.Sleep(20 * time.Millisecond)
	}
	charge := func() int {
		return refused.send(context.Background(), "POST", "/charge/1", platform.HeaderAPIKey, "key-1").status
	}
	refused.waitFor("a route that is still there is served", func() bool { return charge() == http.StatusOK })
}

// refuseFollower makes the store refuse one of the entries that don't lead, and returns it.
func (f *linkedFixture) refuseFollower() *fixture {
	f.entries[0].waitFor("the others follow a leader", func() bool {
		leaders, followers := 0, 0
		for _, e := range f.entries {
			status := e.beliefs()
			if status.Status.IsLeader {
				leaders++
			}
			if status.Connected {
				followers++
			}
		}
		return leaders == 1 && followers == len(f.entries)-1
	})
	for i, e := range f.entries {
		if e.beliefs().Connected {
			f.links[i].set(storeDown)
			return e
		}
	}
	panic("no entry follows")
}

// beliefs returns what the entry believes.
func (f *fixture) beliefs() gate.Beliefs {
	beliefs, err := loop.Ask(context.Background(), f.server.loop, func(reply chan<- gate.Beliefs) gate.Event {
		return gate.BeliefsRequested{Reply: reply}
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return beliefs
}

// Incident CONFIG: reads of the configuration can end in another order than they were sent. The
// limits for clients must not come back older.
func TestLimitsOfOlderConfigurationAreNotTaken(t *testing.T) {
	f := newFixture(t)
	newer := testConfig(3, "key-1")
	newer["limits"].(map[string]any)["idleTimeoutMs"] = 9000
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, newer)
	inForce := func() bool { return f.server.currentLimits().IdleTimeout == 9*time.Second }
	f.waitFor("the limits of the newest version", inForce)
	record, err := json.Marshal(testConfig(2, "key-1"))
	if err != nil {
		t.Fatal(err)
	}
	config, err := platform.DecodeConfig(record)
	if err != nil {
		t.Fatal(err)
	}
	f.server.handleConfigBatch(context.Background(), f.server.clock.Now(), platform.ConfigBatch{Config: config})
	if !inForce() {
		t.Errorf("limits of an older version: %+v", f.server.currentLimits())
	}
}
