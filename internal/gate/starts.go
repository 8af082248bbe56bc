package gate

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// streamMemory is how long the software version that began a stream is remembered,
// at least, and how long a version counts whose last endpoint has left. It exceeds
// the time for which a stream goes on, including what its client resumes.
const streamMemory = time.Minute

// streamKey identifies a stream: it is a hash of the ID of the request that brought
// its first event.
type streamKey uint64

func newStreamKey(requestID string) streamKey {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID)) // never fails
	return streamKey(h.Sum64())
}

// streamStart is the beginning of a stream.
type streamStart struct {
	key     streamKey
	version string
	at      time.Time
	// endpoint is the one that ran the stream last, as far as this entry knows.
	endpoint string
	// assigned is true if the version is that of the engine that the leader assigned. It
	// isn't known then at which one the stream began: the entry may have sent it elsewhere.
	assigned bool
	// own is true if this entry began the stream, toldByBeginner if the one that did has told
	// this one as the leader.
	own            bool
	toldByBeginner bool
	// number is its number in a startLog, 0 if it is in none.
	number uint64
}

// streamTable holds the software versions that began recent streams.
type streamTable struct {
	versions map[streamKey]streamStart
	// own are the streams that this entry began. learned are those that other entries
	// began, as far as this entry heard of them as the leader.
	own     startLog
	learned startLog
	// begun are all streams of which it is known where they began.
	begun   startLog
	pruneAt time.Time
}

// startLog is a list of beginnings of streams, oldest first, which are numbered from 1.
type startLog struct {
	starts []streamStart
	count  uint64
}

// add appends the beginning of a stream, in place of an earlier one of the same stream.
func (l *startLog) add(start streamStart, replaces bool) {
	if replaces {
		l.starts = slices.DeleteFunc(l.starts, func(s streamStart) bool { return s.key == start.key })
	}
	l.count++
	start.number = l.count
	l.starts = append(l.starts, start)
}

// after returns the beginnings after the one with the given number.
func (l *startLog) after(number uint64) []streamStart {
	first, _ := l.find(number + 1)
	return l.starts[first:]
}

// find returns the place of the beginning with the given number, and whether the list has it.
func (l *startLog) find(number uint64) (place int, found bool) {
	return slices.BinarySearchFunc(l.starts, number, func(s streamStart, n uint64) int {
		return cmp.Compare(s.number, n)
	})
}

// startRange is a range of numbers of beginnings in a startLog.
type startRange struct {
	// after is the number before the first one, last the last number.
	after uint64
	last  uint64
}

// within returns the beginnings with the numbers of a range.
func (l *startLog) within(r startRange) []streamStart {
	first, _ := l.find(r.after + 1)
	end, _ := l.find(r.last + 1)
	return l.starts[first:end]
}

func (l *startLog) prune(now time.Time) {
	l.starts = slices.DeleteFunc(l.starts, func(s streamStart) bool { return now.Sub(s.at) > streamMemory })
}

func newStreamTable() streamTable { return streamTable{versions: make(map[streamKey]streamStart)} }

// record remembers the version that began a stream. A later record replaces an
// earlier one, but for the endpoint if that has the version.
func (t *streamTable) record(now time.Time, key streamKey, version string) streamStart {
	known, isKnown := t.versions[key]
	isKnown = isKnown && !known.assigned
	start := t.remember(now, key, version)
	if !isKnown || known.version != version {
		t.begun.add(start, isKnown)
	}
	return start
}

// remember sets the version of a stream.
func (t *streamTable) remember(now time.Time, key streamKey, version string) streamStart {
	t.prune(now)
	start := streamStart{
		key:     key,
		version: version,
		at:      now,
	}
	if known := t.versions[key]; known.version == version {
		start.endpoint = known.endpoint
	}
	t.versions[key] = start
	return start
}

// recordRun remembers the endpoint that runs a stream.
func (t *streamTable) recordRun(key streamKey, endpoint string) {
	if start, known := t.versions[key]; known {
		start.endpoint = endpoint
		t.versions[key] = start
	}
}

// ranAt returns the endpoint that ran a stream last, empty if that isn't known.
func (t *streamTable) ranAt(key streamKey) string { return t.versions[key].endpoint }

// recordAssigned remembers the version of the engine that a stream was assigned to, unless
// it is known where the stream began. That is told to no other entry, and doesn't tell the
// version that the stream needs.
func (t *streamTable) recordAssigned(now time.Time, key streamKey, version string) {
	if known, isKnown := t.versions[key]; isKnown && !known.assigned {
		return
	}
	start := t.remember(now, key, version)
	start.assigned = true
	t.versions[key] = start
}

// recordOwn remembers the version of a stream that this entry began. It replaces
// that of an earlier attempt, which brought no event.
func (t *streamTable) recordOwn(now time.Time, key streamKey, version string) {
	known, isKnown := t.versions[key]
	start := t.record(now, key, version)
	start.own = true
	t.versions[key] = start
	t.own.add(start, isKnown && !known.assigned)
}

// recordLearned remembers the version of a stream that another entry began, for the other
// entries too. What a third entry has heard of it, which may be outdated, doesn't replace
// what the one that began it has told.
func (t *streamTable) recordLearned(now time.Time, key streamKey, version string, toldByBeginner bool) {
	known, isKnown := t.versions[key]
	if !toldByBeginner && (known.own || known.toldByBeginner) {
		return
	}
	start := t.record(now, key, version)
	start.toldByBeginner = toldByBeginner
	t.versions[key] = start
	if !isKnown || known.assigned || known.version != version {
		t.learned.add(start, isKnown && !known.assigned)
	}
}

// lookup returns the version that began a stream and whether this entry began it, and keeps
// it remembered.
func (t *streamTable) lookup(now time.Time, key streamKey) (version string, own, known bool) {
	start, known := t.versions[key]
	if !known || start.assigned {
		return "", false, false
	}
	start.at = now
	t.versions[key] = start
	return start.version, start.own, true
}

// begunAt returns the streams that this entry began at an endpoint and version after a point in
// time, in a fixed order.
func (t *streamTable) begunAt(endpoint, version string, after time.Time) []streamKey {
	var out []streamKey
	for key, start := range t.versions {
		if start.own && start.endpoint == endpoint && start.version == version && start.at.After(after) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// prune forgets, from time to time, the streams that were not used for
// streamMemory.
func (t *streamTable) prune(now time.Time) {
	if now.Before(t.pruneAt) {
		return
	}
	t.pruneAt = now.Add(streamMemory / 4)
	maps.DeleteFunc(t.versions, func(_ streamKey, s streamStart) bool { return now.Sub(s.at) > streamMemory })
	t.own.prune(now)
	t.learned.prune(now)
	t.begun.prune(now)
}

const (
	// maxLearnedPerState bounds the streams of other entries of which a state tells, so
	// that its size doesn't grow with the fleet.
	maxLearnedPerState = 64
	// maxUntold is the number of the newest streams of other entries of which later states
	// tell what earlier ones didn't.
	maxUntold = 1024
	// maxRetold is the number of streams up to which a new leader is told of all that an
	// entry knows; above, only of those that the entry began itself.
	maxRetold = 2048
)

// startsFor returns the streams of which the leader tells an entry, in lists that are valid
// until the next change, and records that it has. Of those that other entries began it
// tells while versions differ.
func (t *streamTable) startsFor(peer *peer, versionsDiffer bool) [][]streamStart {
	own := t.own.after(peer.startsSent)
	peer.startsSent = t.own.count
	if !versionsDiffer {
		return [][]streamStart{own}
	}
	return append(t.learnedFor(peer), own)
}

// learnedFor returns the streams of other entries of which a state tells: of the newest
// ones that the entry hasn't been told of, as many as it may. Later states tell of the rest.
func (t *streamTable) learnedFor(peer *peer) [][]streamStart {
	peer.addUntold(t.learned.count)
	var out [][]streamStart
	for left := maxLearnedPerState; left > 0 && len(peer.untold) > 0; {
		newest := &peer.untold[len(peer.untold)-1]
		starts := t.learned.within(*newest)
		skipped := max(len(starts)-left, 0)
		out = append(out, starts[skipped:])
		left -= len(starts) - skipped
		if skipped > 0 {
			newest.last = starts[skipped-1].number
			break
		}
		peer.untold = peer.untold[:len(peer.untold)-1]
	}
	return out
}

// addUntold adds the streams of other entries up to the one with the given number to those
// that the entry hasn't been told of, and drops the oldest ones.
func (p *peer) addUntold(count uint64) {
	oldest := count - min(count, maxUntold)
	if count > p.learnedSent {
		p.untold = append(p.untold, startRange{
			after: max(p.learnedSent, oldest),
			last:  count,
		})
		p.learnedSent = count
	}
	for len(p.untold) > 0 && p.untold[0].last <= oldest {
		p.untold = p.untold[1:]
	}
}

// retold returns the streams of which a new leader is told: those that this entry began, and
// those of which it has only heard.
func (t *streamTable) retold() (own, learned []streamStart) {
	own = slices.DeleteFunc(slices.Clone(t.own.starts), t.isSuperseded)
	if len(t.versions) > maxRetold {
		return own, nil
	}
	told := make(map[streamKey]bool, len(own))
	for _, start := range own {
		told[start.key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(t.versions)) {
		if start := t.versions[key]; !start.assigned && !told[key] {
			learned = append(learned, start)
		}
	}
	return own, learned
}

// isSuperseded reports whether a stream is known to have begun anew at another version.
func (t *streamTable) isSuperseded(s streamStart) bool {
	known, isKnown := t.versions[s.key]
	return isKnown && known.version != s.version
}

// encodeRetold encodes the streams of which a new leader is told.
func (t *streamTable) encodeRetold() []*wirepb.GateStarts {
	own, learned := t.retold()
	out := encodeStarts(own)
	for _, group := range encodeStarts(learned) {
		group.Learned = true
		out = append(out, group)
	}
	return out
}

// encodeStarts groups the streams of lists by version.
func encodeStarts(lists ...[]streamStart) []*wirepb.GateStarts {
	total := 0
	for _, starts := range lists {
		total += len(starts)
	}
	byVersion := make(map[string]*wirepb.GateStarts)
	for _, starts := range lists {
		for _, s := range starts {
			group := byVersion[s.version]
			if group == nil {
				group = &wirepb.GateStarts{
					SoftwareVersion: s.version,
					Streams:         make([]uint64, 0, total),
				}
				byVersion[s.version] = group
			}
			group.Streams = append(group.Streams, uint64(s.key))
		}
	}
	out := make([]*wirepb.GateStarts, 0, len(byVersion))
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		out = append(out, byVersion[version])
	}
	return out
}

// applyStarts remembers the streams that another entry knows.
func (c *Core) applyStarts(now time.Time, starts []*wirepb.GateStarts) {
	for _, group := range starts {
		for _, key := range group.GetStreams() {
			c.recordOtherStart(now, streamKey(key), group.GetSoftwareVersion(), !group.GetLearned())
		}
	}
}

// recordOtherStart remembers the version of a stream that another entry began. Once
// versions differ, the leader tells all entries of it: without a leader they
// couldn't ask for it.
func (c *Core) recordOtherStart(now time.Time, key streamKey, version string, toldByBeginner bool) {
	if c.leader == nil {
		c.streams.record(now, key, version)
		return
	}
	c.streams.recordLearned(now, key, version, toldByBeginner)
}
