package entry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/pkg/config"
)

// fleetMachine drives entries through outages, partitions and restarts.
type fleetMachine struct {
	n     *network
	names []string
	// alone is since when an entry has reached neither log nor peer.
	alone  map[string]time.Time
	served map[string]uint64
	// whole is the fold of all records, offsets what it had accepted after each.
	whole   *config.Fold
	offsets []uint64
}

// Publish changes the configuration.
func (m *fleetMachine) Publish(t *rapid.T) {
	truth := m.truth()
	rate := rapid.IntRange(1, 9).Draw(t, "rate")
	m.n.publish(truth.Accepted, "", fmt.Sprintf(`{"customers":{"booth":{"ratePerSecond":%d}}}`, rate))
}

// truth folds the whole log.
func (m *fleetMachine) truth() *config.Fold {
	for _, r := range m.n.records[m.whole.Next-1:] {
		_ = m.whole.Apply(r.Offset, r.Data)
		m.offsets = append(m.offsets, m.whole.Accepted)
	}
	return m.whole
}

// Fault changes what one entry reaches, or the log for all.
func (m *fleetMachine) Fault(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "entry")
	value := rapid.Bool().Draw(t, "broken")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		m.n.down[name] = value
	case 1:
		m.n.cut[name] = value
	default:
		for _, name := range m.names {
			m.n.down[name] = value
		}
	}
}

// Restart replaces a process.
func (m *fleetMachine) Restart(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "entry")
	m.n.start(name, m.names)
	m.served[name] = 0
}

// Run passes time.
func (m *fleetMachine) Run(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "seconds") {
		for _, name := range m.names {
			if !m.n.down[name] || m.reaches(name) {
				delete(m.alone, name)
			} else if _, noted := m.alone[name]; !noted {
				m.alone[name] = m.n.now
			}
		}
		m.n.runSteps(time.Second, 250*time.Millisecond)
	}
}

// reaches reports whether an entry reaches any other one.
func (m *fleetMachine) reaches(name string) bool {
	for _, other := range m.names {
		if other != name && !m.n.cut[other] && !m.n.cut[name] {
			return true
		}
	}
	return false
}

// Heal ends all faults; then every entry soon serves the newest version.
func (m *fleetMachine) Heal(t *rapid.T) {
	clear(m.n.down)
	clear(m.n.cut)
	clear(m.alone)
	m.n.runSteps(2*time.Second, 250*time.Millisecond)
	truth := m.truth()
	for _, name := range m.names {
		if c := m.n.cores[name]; c.fold.Accepted != truth.Accepted || !m.n.ready[name] {
			t.Fatalf("%s runs %d, ready %v, want %d", name, c.fold.Accepted, m.n.ready[name], truth.Accepted)
		}
	}
}

// Check demands that what is served follows from the log, never reverts, and
// is not served by an entry that has been alone for the limit.
func (m *fleetMachine) Check(t *rapid.T) {
	m.truth()
	for _, name := range m.names {
		f := m.n.cores[name].fold
		if f.Accepted != m.offsets[f.Next-1] || f.Accepted < m.served[name] {
			t.Fatalf("%s runs %d after record %d, served %d before", name, f.Accepted, f.Next-1, m.served[name])
		}
		m.served[name] = f.Accepted
		since, alone := m.alone[name]
		if alone && m.n.ready[name] && m.n.now.Sub(since) > testLimit+2*time.Second {
			t.Fatalf("%s admits after %v alone", name, m.n.now.Sub(since))
		}
	}
}

func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetMachine{
			names:  []string{"a", "b", "c"},
			alone:  make(map[string]time.Time),
			served: make(map[string]uint64),
			whole:  config.NewFold(),

			offsets: []uint64{0},
		}
		m.n = newNetwork(t, m.names...)
		m.n.publish(0, keyedText(), "")
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.Publish,
			"fault":   m.Fault,
			"restart": m.Restart,
			"run":     m.Run,
			"heal":    m.Heal,
			"":        m.Check,
		})
	})
}
