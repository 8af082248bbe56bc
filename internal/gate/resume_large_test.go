package gate

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

var largeSeed = flag.Uint64("gate.large", 1, "seed of the days of a large fleet")

// giraLarge is tt-gira-large with its resumable route alone, whose events hold six tokens, and
// with fewer models, so that a day takes seconds.
var giraLarge = newGiraLarge()

func newGiraLarge() simSite {
	site := newSimSite("tt-gira-large", siteModels(strings.Repeat("abb", 36), map[rune]topo.Model{
		'a': siteModel(65.1, 9*time.Second, 1100*time.Millisecond, 2200*time.Millisecond),
		'b': siteModel(72.7, 9*time.Second, 1200*time.Millisecond, 2400*time.Millisecond),
	}))
	site.entries = 103
	site.readinessDelay = 2 * time.Second
	return site
}

// largeDay is what happens to a large fleet. Times are those between two troubles.
type largeDay struct {
	length time.Duration
	rate   float64
	// release is the time between two engines that are replaced by ones of the next version.
	release [2]time.Duration
	// releaseAt is when the first engine is replaced.
	releaseAt   time.Duration
	engineEnds  [2]time.Duration
	entryKills  [2]time.Duration
	leaderKills [2]time.Duration
	pauses      [2]time.Duration
	isolations  [2]time.Duration
	// surges are bursts of more streams than a state of the leader tells of.
	surges [2]time.Duration
}

// play simulates a day.
func (d largeDay) play(seed uint64) simResult {
	s := newFleetSim(&giraLarge, seed)
	s.run(simWarmUp)
	s.traffic(d.rate, d.length)
	s.after(d.releaseAt, func() { s.often(d.release, s.replaceEngine) })
	s.often(d.engineEnds, func() { s.endEngine(false) })
	s.often(d.entryKills, func() { s.restart(s.anyEntry()) })
	s.often(d.leaderKills, func() { s.restart(s.leader()) })
	s.often(d.pauses, func() { s.anyEntry().pause(s.between(200*time.Millisecond, 6*time.Second)) })
	s.often(d.isolations, func() { s.anyEntry().isolate(s.between(200*time.Millisecond, 8*time.Second)) })
	s.often(d.surges, func() { s.arrivals(surgeRate, s.now.Add(time.Second), s.draw) })
	s.run(d.length)
	return s.result
}

// surgeRate is the number of streams per second of which more begin within a report interval than
// a state tells of.
const surgeRate = 2 * maxLearnedPerState * float64(time.Second) / float64(reportInterval)

func (s *fleetSim) anyEntry() *simEntry { return s.entries[s.random.IntN(len(s.entries))] }

// replaceEngine starts an engine of the next version and makes one of the oldest version leave. It
// has copies of models on its disk, as a host that was used before.
func (s *fleetSim) replaceEngine() {
	versions := []string{"v1", "v1.1", "v1.2"}
	for i, version := range versions[:len(versions)-1] {
		old := s.serving(version)
		if len(old) <= s.site.engines/4 {
			continue
		}
		leaving := old[s.random.IntN(len(old))]
		s.startEngine(s.newAddress(), versions[i+1], leaving.onDisk)
		s.after(s.between(100*time.Millisecond, time.Second), leaving.drain)
		return
	}
}

// Incident ORDER at scale: streams must not hold events of two software versions while about a
// hundred entries are stopped, cut off and killed, and leaders with them, and versions roll.
func TestLargeFleetResumesStreamsAtTheirVersion(t *testing.T) {
	days := map[string]largeDay{
		"mixed": {
			length:      30 * time.Second,
			rate:        53,
			release:     seconds(0.3, 0.5),
			engineEnds:  seconds(0.3, 1),
			entryKills:  seconds(0.3, 1),
			leaderKills: seconds(6, 12),
			pauses:      seconds(0.2, 0.6),
			isolations:  seconds(0.2, 0.6),
			surges:      seconds(6, 10),
		},
		"isolated": {
			length:     30 * time.Second,
			rate:       53,
			release:    seconds(0.3, 0.5),
			entryKills: seconds(0.1, 0.3),
			isolations: seconds(0.03, 0.1),
		},
		"beforeRelease": {
			length:     20 * time.Second,
			rate:       53,
			releaseAt:  7 * time.Second,
			release:    seconds(0.05, 0.1),
			entryKills: seconds(0.03, 0.1),
			isolations: seconds(0.03, 0.1),
		},
	}
	for _, name := range sortedKeys(days) {
		t.Run(fmt.Sprint(name, "/", *largeSeed), func(t *testing.T) {
			t.Parallel()
			days[name].play(*largeSeed).check(t)
		})
	}
}
