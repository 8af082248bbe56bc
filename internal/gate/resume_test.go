package gate

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"
)

// simDay says what happens to a simulated fleet. Troubles whose times are zero never
// happen.
type simDay struct {
	// site is plainSite, length is simLength if not set.
	site   *simSite
	length time.Duration
	// rate is the number of new streams per second.
	rate float64
	// engineEnds is the time between two ends of engines, of those whose version has
	// few engines if fewOnly.
	engineEnds [2]time.Duration
	fewOnly    bool
	// entryKills and leaderKills are the times between two kills of an entry.
	entryKills   [2]time.Duration
	leaderKills  [2]time.Duration
	leaderPauses [2]time.Duration
	bursts       [2]time.Duration
}

const (
	simWarmUp = 6 * time.Second
	simLength = 90 * time.Second
	// simBurst is how many times the usual number of streams a burst of the sites has.
	simBurst = 1.7
)

// play simulates a day.
func (d simDay) play(seed uint64) simResult {
	site, length := cmp.Or(d.site, &plainSite), cmp.Or(d.length, simLength)
	s := newFleetSim(site, seed)
	s.run(simWarmUp)
	s.traffic(d.rate, length)
	s.rollVersions()
	s.often(d.engineEnds, func() { s.endEngine(d.fewOnly) })
	s.often(d.entryKills, func() { s.restart(s.entries[s.random.IntN(len(s.entries))]) })
	s.often(d.leaderKills, func() { s.restart(s.leader()) })
	s.often(d.leaderPauses, func() {
		if e := s.leader(); e != nil {
			e.pause(s.between(200*time.Millisecond, 2*time.Second))
		}
	})
	s.often(d.bursts, s.burst)
	s.run(length)
	return s.result
}

// often repeats a trouble.
func (s *fleetSim) often(every [2]time.Duration, trouble func()) {
	if every[1] == 0 {
		return
	}
	s.after(s.between(every[0], every[1]), func() {
		trouble()
		s.often(every, trouble)
	})
}

// traffic makes clients ask for streams for a time.
func (s *fleetSim) traffic(rate float64, d time.Duration) {
	s.arrivals(rate, s.now.Add(d), s.draw)
}

func (s *fleetSim) arrivals(rate float64, end time.Time, draw func() (*simRoute, string)) {
	gap := time.Duration(-math.Log(1-s.random.Float64()) / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now.After(end) {
			return
		}
		s.beginStream(draw())
		s.arrivals(rate, end, draw)
	})
}

// burst makes clients ask at the first route for models that the engines of the newest
// version hold.
func (s *fleetSim) burst() {
	newest := ""
	for _, e := range s.engines {
		newest = max(newest, e.version)
	}
	var models []string
	for _, e := range s.serving(newest) {
		models = append(models, sortedKeys(e.models)...)
	}
	if len(models) == 0 {
		return
	}
	rate := 40 + 60*s.random.Float64()
	s.arrivals(rate, s.now.Add(s.between(time.Second, 4*time.Second)), func() (*simRoute, string) {
		return &s.site.routes[0], models[s.random.IntN(len(models))]
	})
}

// rollVersions replaces two or three engines by ones of v1.1 soon, and some more by
// ones of v1.2 after a long span.
func (s *fleetSim) rollVersions() {
	replace := func(at time.Duration, old, version string) {
		s.after(at, func() { s.startEngine(s.newAddress(), version, nil) })
		s.after(at+s.between(500*time.Millisecond, 2*time.Second), func() {
			if leaving := s.serving(old); len(leaving) > 0 {
				leaving[s.random.IntN(len(leaving))].drain()
			}
		})
	}
	at := s.between(time.Second, 4*time.Second)
	for range 2 + s.random.IntN(2) {
		replace(at+s.between(0, 600*time.Millisecond), "v1", "v1.1")
	}
	at += s.between(25*time.Second, 45*time.Second)
	for range 2 + s.random.IntN(2) {
		replace(at+s.between(0, 600*time.Millisecond), "v1", "v1.2")
	}
}

// endEngine ends an engine, which is soon back under another ID, without its models, at
// its address or another one.
func (s *fleetSim) endEngine(fewOnly bool) {
	var choices []*simEngine
	for _, e := range s.engines {
		if !e.draining && (!fewOnly || len(s.serving(e.version)) <= 3) {
			choices = append(choices, e)
		}
	}
	if len(choices) == 0 {
		return
	}
	e := choices[s.random.IntN(len(choices))]
	e.end()
	address := e.address
	if s.random.IntN(2) == 0 {
		address = s.newAddress()
	}
	s.after(s.between(100*time.Millisecond, time.Second), func() { s.startEngine(address, e.version, e.onDisk) })
}

// restart kills an entry, which starts again a second later.
func (s *fleetSim) restart(e *simEntry) {
	if e == nil || e.core == nil {
		return
	}
	e.kill()
	s.after(time.Second, e.start)
}

func seconds(low, high float64) [2]time.Duration {
	return [2]time.Duration{time.Duration(low * float64(time.Second)), time.Duration(high * float64(time.Second))}
}

// Incident LOST: streams that clients resumed mostly failed to continue while new ones
// began, though two engines of their version served.
func TestResumedStreamsGoOnWhileVersionsRoll(t *testing.T) {
	playDays(t, []namedDay{
		{
			name:  "mixed",
			seeds: 20,
			day: simDay{
				rate:         35,
				engineEnds:   seconds(5, 12),
				entryKills:   seconds(12, 30),
				leaderKills:  seconds(15, 40),
				leaderPauses: seconds(10, 30),
				bursts:       seconds(10, 20),
			},
		},
		{
			name:  "enginesOfFew",
			seeds: 8,
			day: simDay{
				rate:       35,
				engineEnds: seconds(5, 12),
				fewOnly:    true,
			},
		},
		{
			name:  "incident",
			seeds: 20,
			day: simDay{
				rate:       35,
				engineEnds: seconds(11.7, 12.3),
				entryKills: seconds(58, 58),
			},
		},
		{
			name:  "leaders",
			seeds: 8,
			day: simDay{
				rate:        35,
				leaderKills: seconds(5, 12),
			},
		},
		{
			name:  "entries",
			seeds: 8,
			day: simDay{
				rate:       35,
				entryKills: seconds(4, 9),
			},
		},
		{
			name:  "bursts",
			seeds: 8,
			day: simDay{
				rate:       35,
				engineEnds: seconds(5, 12),
				bursts:     seconds(5, 10),
			},
		},
		{
			name:  "bookEngines",
			seeds: 12,
			day: simDay{
				site:       &ngomaBook,
				length:     180 * time.Second,
				rate:       simBurst * 51.4,
				engineEnds: seconds(5, 12),
			},
		},
		{
			name:  "bookIncident",
			seeds: 12,
			day: simDay{
				site:       &ngomaBook,
				length:     180 * time.Second,
				rate:       simBurst * 51.4,
				engineEnds: seconds(11.7, 12.3),
				entryKills: seconds(58, 58),
			},
		},
		{
			name:  "giraMixed",
			seeds: 6,
			day: simDay{
				site:       &ttGira,
				length:     150 * time.Second,
				rate:       simBurst * 75.1,
				engineEnds: seconds(5, 12),
				entryKills: seconds(12, 30),
			},
		},
		{
			name:  "payslipEngines",
			seeds: 6,
			day: simDay{
				site:       &hanmaruPayslip,
				length:     60 * time.Second,
				rate:       simBurst * 124.2,
				engineEnds: seconds(5, 12),
			},
		},
	})
}

// Incident LOST, at its hardest: engines of all versions end more often than their models
// can be loaded again, and clients wait for little more than two seconds.
func TestResumedStreamsGoOnAfterFrequentEnds(t *testing.T) {
	playDays(t, []namedDay{{
		name:  "engines",
		seeds: 20,
		day: simDay{
			rate:       35,
			engineEnds: seconds(5, 12),
		},
	}})
}

// namedDay is a simulated day that is played with the seeds below a number.
type namedDay struct {
	name  string
	seeds uint64
	day   simDay
}

// playDays plays days with all their seeds and checks each.
func playDays(t *testing.T, days []namedDay) {
	for _, d := range days {
		for seed := range d.seeds {
			t.Run(fmt.Sprint(d.name, "/", seed), func(t *testing.T) {
				t.Parallel()
				d.day.play(seed).check(t)
			})
		}
	}
}

// check prints the result and checks it against the rules LOST and ORDER.
func (r simResult) check(t *testing.T) {
	newShare := float64(r.begun) / float64(max(r.asked, 1))
	resumedShare := float64(r.wentOn) / float64(max(r.resumed, 1))
	t.Logf("new streams: %d of %d began (%.3f); resumed: %d of %d went on (%.3f); %d not counted",
		r.begun, r.asked, newShare, r.wentOn, r.resumed, resumedShare, r.uncounted)
	for _, route := range sortedKeys(r.askedAt) {
		t.Logf("  at %s: %d of %d began", route, r.begunAt[route], r.askedAt[route])
	}
	for _, broke := range sortedKeys(r.resumedAfter) {
		t.Logf("  after %s: %d of %d went on", broke, r.wentOnAfter[broke], r.resumedAfter[broke])
	}
	for _, cause := range sortedKeys(r.causes) {
		t.Logf("  %3d %s", r.causes[cause], cause)
	}
	if r.mixed > 0 {
		t.Errorf("%d streams have events of two versions", r.mixed)
	}
	if r.overloads > 0 {
		t.Errorf("%d orders to load more than an engine can hold", r.overloads)
	}
	if r.resumed >= 12 && resumedShare < newShare/2 {
		t.Errorf("%.3f of the resumed streams went on, want at least half of %.3f", resumedShare, newShare)
	}
}
