package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// judgedPart is a part that may explain crashes.
type judgedPart struct {
	part Part
	// answer is the newest answer to it, nil if there is none.
	answer *loggedAnswer
	// tally is that of the crashes which are not explained yet.
	tally *tally
}

// candidate is a crash with the parts that may explain it, in ascending order.
type candidate struct {
	*loggedCrash
	judged []*judgedPart
	// requests are the numbers of requests with these parts.
	requests []int
	// position is that in the order of the crashes that are judged, moment the time since
	// the first of them.
	position int
	moment   time.Duration
}

func (c *candidate) has(p Part) bool {
	_, found := slices.BinarySearchFunc(c.judged, p, func(j *judgedPart, p Part) int { return cmp.Compare(j.part, p) })
	return found
}

// candidates returns crashes with their parts of prompts, or with their fingerprints. Most
// requests are unlike all others, so that fingerprints of single crashes are left out.
func (l *Log) candidates(crashes []*loggedCrash, fingerprints bool) []*candidate {
	byPart := make(map[Part]*judgedPart)
	out := make([]*candidate, 0, len(crashes))
	for i, crash := range crashes {
		c := &candidate{
			loggedCrash: crash,
			position:    i,
			moment:      crash.At.Sub(crashes[0].At),
		}
		for _, p := range crash.Parts {
			if p.isFingerprint() != fingerprints || fingerprints && !l.repeated[p] {
				continue
			}
			judged := byPart[p]
			if judged == nil {
				judged = &judgedPart{
					part:   p,
					answer: l.answers[p],
				}
				byPart[p] = judged
			}
			if last := len(c.judged) - 1; last >= 0 && c.judged[last] == judged {
				c.requests[last]++
				continue
			}
			c.judged = append(c.judged, judged)
			c.requests = append(c.requests, 1)
		}
		out = append(out, c)
	}
	return out
}

// tally counts the crashes with a part since its last answer.
type tally struct {
	part     Part
	proven   bool
	crashes  []*candidate
	episodes int
	// counted is the number of crashes in those episodes.
	counted int
	// weights are those of the crashes, weight is their sum, and countedWeight that of the
	// counted ones.
	weights               []float64
	weight, countedWeight float64
}

// crashWeight returns how much a crash counts for a part of which the engine had the given
// number of requests: one that comes often is there as an engine ends for any reason.
func crashWeight(requests int) float64 { return 1 / math.Sqrt(float64(requests)) }

func (t *tally) suspect() bool {
	if t.part.isFingerprint() {
		return t.counted >= fingerprintSuspectCrashes
	}
	if t.proven {
		return t.episodes >= provenSuspectEpisodes
	}
	return t.episodes >= suspectEpisodes || len(t.crashes) >= suspectCrashes
}

func (t *tally) basis() Basis {
	return Basis{
		Crashes:  t.counted,
		Episodes: t.episodes,
		Weight:   t.countedWeight,
		Answered: t.proven,
		Confined: t.confined(),
	}
}

// confined reports whether a suspect is tried at one endpoint, rather than with one request at
// a time.
func (t *tally) confined() bool {
	return t.part.isFingerprint() && t.proven && t.episodes <= maxConfinedEpisodes && !t.condemned()
}

func (t *tally) condemned() bool {
	if t.part.isFingerprint() {
		evidence := float64(t.counted)
		if t.proven {
			evidence = t.countedWeight
		}
		return evidence >= fingerprintQuarantineCrashes && t.episodes >= fingerprintQuarantineEpisodes
	}
	if t.proven {
		return t.episodes >= provenQuarantineEpisodes
	}
	return t.episodes >= quarantineEpisodes
}

// minRivalWeight is the weight that a rival has at least, as a share of that of the part that
// explains most crashes.
const minRivalWeight = 0.5

// rivals reports whether a suspect part explains the crashes almost as well as the one
// that explains most. A fingerprint has to explain all of them: the request itself was
// under way in each.
func (t *tally) rivals(best *tally) bool {
	least := len(best.crashes) - 1
	if best.part.isFingerprint() {
		least++
	}
	if !t.suspect() || t.proven != best.proven || len(t.crashes) < least || t.weight < best.weight*minRivalWeight {
		return false
	}
	return len(without(t.crashes, best.crashes)) == 0
}

// without returns the crashes of a list that are not in another one. Both are in the order
// in which crashes are judged.
func without(crashes, others []*candidate) []*candidate {
	var out []*candidate
	for _, c := range crashes {
		for len(others) > 0 && others[0].position < c.position {
			others = others[1:]
		}
		if len(others) == 0 || others[0] != c {
			out = append(out, c)
		}
	}
	return out
}

func loggedCrashes(candidates []*candidate) []*loggedCrash {
	out := make([]*loggedCrash, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.loggedCrash)
	}
	return out
}

// tallyCrashes counts the crashes of each part that is judged since its last answer. Those without
// any answer come first, then those whose crashes weigh most.
func tallyCrashes(crashes []*candidate) []*tally {
	for _, c := range crashes {
		for _, j := range c.judged {
			j.tally = nil
		}
	}
	var out []*tally
	for _, c := range crashes {
		for i, j := range c.judged {
			if j.answer != nil && !c.At.After(j.answer.at) {
				continue
			}
			if j.tally == nil {
				j.tally = &tally{
					part:   j.part,
					proven: j.answer != nil,
				}
				out = append(out, j.tally)
			}
			j.tally.crashes = append(j.tally.crashes, c)
			weight := crashWeight(c.requests[i])
			j.tally.weights = append(j.tally.weights, weight)
			j.tally.weight += weight
		}
	}
	for _, t := range out {
		t.countEpisodes(nil)
	}
	causeless := withoutCondemned(crashes)
	for _, t := range out {
		t.countEpisodes(causeless)
	}
	slices.SortFunc(out, compareTallies)
	return out
}

// withoutCondemned returns the crashes without any part whose crashes would put it under
// quarantine. Requests that crash engines at the same moments would otherwise be each
// one's other cause; those that are answered between common failures have few crashes.
func withoutCondemned(crashes []*candidate) []*candidate {
	var out []*candidate
	for _, c := range crashes {
		if !slices.ContainsFunc(c.judged, func(j *judgedPart) bool { return j.tally != nil && j.tally.condemned() }) {
			out = append(out, c)
		}
	}
	return out
}

// countEpisodes counts the episodes of the crashes. One in which most engines crashed
// without the part has another cause and doesn't count. others are the crashes that may
// have another cause, oldest first.
func (t *tally) countEpisodes(others []*candidate) {
	t.episodes, t.counted, t.countedWeight = 0, 0, 0
	for i := 0; i < len(t.crashes); {
		began := t.crashes[i].moment
		with, weight := 0, 0.0
		for i < len(t.crashes) && t.crashes[i].moment-began <= episodeGap {
			weight += t.weights[i]
			with++
			i++
		}
		for len(others) > 0 && others[0].moment < began-episodeGap {
			others = others[1:]
		}
		without := t.countOthers(others, began)
		if without < minOtherCrashes || without < with*otherCrashRatio {
			t.episodes++
			t.counted += with
			t.countedWeight += weight
		}
	}
}

// countOthers counts the crashes without the part at about the given moment, in a list that
// begins at that moment.
func (t *tally) countOthers(crashes []*candidate, moment time.Duration) int {
	count := 0
	for _, c := range crashes {
		if c.moment > moment+episodeGap {
			break
		}
		if !c.has(t.part) {
			count++
		}
	}
	return count
}

func compareTallies(a, b *tally) int {
	proven := func(t *tally) int {
		if t.proven {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(proven(a), proven(b)), cmp.Compare(b.weight, a.weight),
		cmp.Compare(b.episodes, a.episodes), cmp.Compare(a.part, b.part))
}
