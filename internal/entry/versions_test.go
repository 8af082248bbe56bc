package entry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/pkg/config"
)

// fleetModel is a rapid state machine that drives entries through outages,
// partitions and restarts.
type fleetModel struct {
	network *testNetwork
	names   []string
	// isolatedSince is when an entry was first found to reach neither the log
	// nor a peer.
	isolatedSince map[string]time.Time
	lastAccepted  map[string]uint64
	// logFold is the fold of all records; acceptedAfter is the configuration it
	// had accepted after each of them.
	logFold       *config.Fold
	acceptedAfter []uint64
}

// Publish publishes a configuration change.
func (m *fleetModel) Publish(t *rapid.T) {
	expected := m.foldLog()
	rate := rapid.IntRange(1, 9).Draw(t, "rate")
	m.network.publish(expected.Accepted, "", fmt.Sprintf(`{"customers":{"booth":{"ratePerSecond":%d}}}`, rate))
}

// foldLog applies the new records of the log and returns the fold of all
// records.
func (m *fleetModel) foldLog() *config.Fold {
	for _, r := range m.network.records[m.logFold.Next-1:] {
		_ = m.logFold.Apply(r.Offset, r.Data)
		m.acceptedAfter = append(m.acceptedAfter, m.logFold.Accepted)
	}
	return m.logFold
}

// Fault breaks or restores the log or the network for one entry, or the log for
// all entries.
func (m *fleetModel) Fault(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "entry")
	broken := rapid.Bool().Draw(t, "broken")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		m.network.logDown[name] = broken
	case 1:
		m.network.partitioned[name] = broken
	default:
		for _, name := range m.names {
			m.network.logDown[name] = broken
		}
	}
}

// Restart replaces an entry's process by a new one.
func (m *fleetModel) Restart(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "entry")
	m.network.start(name, m.names)
	m.lastAccepted[name] = 0
}

// Run advances the time and keeps track of which entries are isolated.
func (m *fleetModel) Run(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "seconds") {
		for _, name := range m.names {
			if !m.network.logDown[name] || m.reaches(name) {
				delete(m.isolatedSince, name)
			} else if _, recorded := m.isolatedSince[name]; !recorded {
				m.isolatedSince[name] = m.network.now
			}
		}
		m.network.runSteps(time.Second, 250*time.Millisecond)
	}
}

// reaches reports whether an entry reaches any other entry.
func (m *fleetModel) reaches(name string) bool {
	for _, other := range m.names {
		if other != name && !m.network.partitioned[other] && !m.network.partitioned[name] {
			return true
		}
	}
	return false
}

// Heal ends all faults and checks that every entry has the newest configuration
// two seconds later.
func (m *fleetModel) Heal(t *rapid.T) {
	clear(m.network.logDown)
	clear(m.network.partitioned)
	clear(m.isolatedSince)
	m.network.runSteps(2*time.Second, 250*time.Millisecond)
	expected := m.foldLog()
	for _, name := range m.names {
		if c := m.network.cores[name]; c.fold.Accepted != expected.Accepted || !m.network.ready[name] {
			t.Fatalf("%s has configuration %d, ready %v, want %d", name, c.fold.Accepted, m.network.ready[name], expected.Accepted)
		}
	}
}

// Check verifies that each entry's configuration follows from the log and never
// reverts, and that no entry is ready that has been isolated for longer than
// the limit.
func (m *fleetModel) Check(t *rapid.T) {
	m.foldLog()
	for _, name := range m.names {
		fold := m.network.cores[name].fold
		if fold.Accepted != m.acceptedAfter[fold.Next-1] || fold.Accepted < m.lastAccepted[name] {
			t.Fatalf("%s has configuration %d after record %d, had %d before", name, fold.Accepted, fold.Next-1, m.lastAccepted[name])
		}
		m.lastAccepted[name] = fold.Accepted
		since, isolated := m.isolatedSince[name]
		if isolated && m.network.ready[name] && m.network.now.Sub(since) > testIsolationLimit+2*time.Second {
			t.Fatalf("%s is ready after %v of isolation", name, m.network.now.Sub(since))
		}
	}
}

func TestConfigConvergesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &fleetModel{
			names:         []string{"a", "b", "c"},
			isolatedSince: make(map[string]time.Time),
			lastAccepted:  make(map[string]uint64),
			logFold:       config.NewFold(),

			acceptedAfter: []uint64{0},
		}
		model.network = newNetwork(t, model.names...)
		model.network.publish(0, keyedConfig(), "")
		t.Repeat(map[string]func(*rapid.T){
			"publish": model.Publish,
			"fault":   model.Fault,
			"restart": model.Restart,
			"run":     model.Run,
			"heal":    model.Heal,
			"":        model.Check,
		})
	})
}
