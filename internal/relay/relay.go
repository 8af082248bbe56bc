// Package relay decides how entries tell each other of the configuration, whom
// an entry behind asks, and whether it can know that it is up to date.
package relay

import (
	"slices"
	"time"
)

const (
	// fanout is how many peers are told of the version at a time.
	fanout = 4
	// pullDelay gives the own reading of the log its chance before a peer is
	// asked.
	pullDelay = 300 * time.Millisecond
	// askTimeout is how long one peer has to answer.
	askTimeout = time.Second
	// refusedPause is how long no peer is asked after an answer that could not
	// be taken over.
	refusedPause = 10 * time.Second
	// gatherTime is how long a fresh process waits for peers that have not
	// answered yet.
	gatherTime = 3 * time.Second
	// sentKept is how many own statuses are remembered.
	sentKept = 64
)

// Status is what an entry says of its configuration.
type Status struct {
	Accepted uint64
	Next     uint64
	// Informed says that the end of the log has been read, Age how long ago.
	Informed bool
	Age      time.Duration
	// Sequence asks for an answer, Echo is the sequence that is answered.
	Sequence uint64
	Echo     uint64
}

// peer is what is known of another entry.
type peer struct {
	accepted uint64
}

// Relay is one entry's view of the versions of the others.
type Relay struct {
	limit    time.Duration
	peers    map[string]*peer
	accepted uint64
	next     uint64

	sequence uint64
	sent     [sentKept]time.Time
	turn     uint64

	// knownAt is a time at which the version was the newest in the log,
	// reachedAt one after which a peer has answered, answeredAt when the
	// first answer came.
	knownAt     time.Time
	answeredAt  time.Time
	reachedAt   time.Time
	behindSince time.Time

	asked   string
	askedAt time.Time
}

// New returns the view of a fresh process. An entry that reaches neither the
// log nor a peer for limit is isolated, never if limit is 0. The seed spreads
// the order in which entries tell their peers.
func New(limit time.Duration, seed uint64) *Relay {
	return &Relay{
		limit: limit,
		peers: make(map[string]*peer),
		turn:  seed,
	}
}

// Linked replaces the entries that there are sessions to.
func (r *Relay) Linked(now time.Time, names []string) {
	defer r.judge(now)
	for name := range r.peers {
		if !slices.Contains(names, name) {
			delete(r.peers, name)
		}
	}
	for _, name := range names {
		if r.peers[name] == nil {
			r.peers[name] = &peer{}
		}
	}
}

// Folded notes how far the own fold has come.
func (r *Relay) Folded(now time.Time, accepted, next uint64) {
	r.accepted, r.next = accepted, next
	r.judge(now)
}

// Read notes that the own fold had reached the log's end at a time.
func (r *Relay) Read(asOf time.Time) {
	if asOf.After(r.knownAt) {
		r.knownAt = asOf
	}
}

// judge notes since when a peer has been ahead.
func (r *Relay) judge(now time.Time) {
	ahead := false
	for _, p := range r.peers {
		ahead = ahead || r.ahead(p)
	}
	switch {
	case !ahead:
		r.behindSince = time.Time{}
	case r.behindSince.IsZero():
		r.behindSince = now
	}
}

// ahead reports whether a peer runs a newer version. One that names a record
// which the own fold has read, and refused, is wrong and not ahead.
func (r *Relay) ahead(p *peer) bool {
	return p.accepted > r.accepted && p.accepted >= r.next
}

// Heard takes over a status of a peer. An answer was given after its question
// was sent, so however late it comes it holds at the time of the question.
func (r *Relay) Heard(now time.Time, name string, s Status) {
	p, linked := r.peers[name]
	if !linked {
		return
	}
	p.accepted = max(p.accepted, s.Accepted)
	defer r.judge(now)
	if s.Echo == 0 || s.Echo > r.sequence || r.sequence-s.Echo >= sentKept {
		return
	}
	if r.answeredAt.IsZero() {
		r.answeredAt = now
	}
	asked := r.sent[s.Echo%sentKept]
	if asked.After(r.reachedAt) {
		r.reachedAt = asked
	}
	if s.Informed && s.Accepted <= r.accepted {
		r.Read(asked.Add(-s.Age))
	}
}

// Status returns what to say to a peer. A question has an echo of 0, an answer
// asks for none.
func (r *Relay) Status(now time.Time, echo uint64) Status {
	s := Status{
		Accepted: r.accepted,
		Next:     r.next,
		Echo:     echo,
	}
	if !r.knownAt.IsZero() {
		s.Informed, s.Age = true, max(0, now.Sub(r.knownAt))
	}
	if echo == 0 {
		s.Sequence = r.sequence
	}
	return s
}

// Targets starts a round of questions and returns the peers to ask: a few at a
// time, each in its turn.
func (r *Relay) Targets(now time.Time) []string {
	r.sequence++
	r.sent[r.sequence%sentKept] = now
	names := r.names()
	if len(names) <= fanout {
		return names
	}
	var targets []string
	for range fanout {
		targets = append(targets, names[r.turn%uint64(len(names))])
		r.turn++
	}
	return targets
}

func (r *Relay) names() []string {
	names := make([]string, 0, len(r.peers))
	for name := range r.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Pull returns the peer to ask for its configuration now; ok is false if there
// is no need.
func (r *Relay) Pull(now time.Time) (name string, ok bool) {
	if r.behindSince.IsZero() || now.Sub(r.behindSince) < pullDelay {
		return "", false
	}
	if now.Sub(r.askedAt) < askTimeout {
		return "", false
	}
	name = r.best()
	r.asked, r.askedAt = name, now
	return name, name != ""
}

// best returns the peer with the newest version, another one than was asked
// last if there is a choice.
func (r *Relay) best() string {
	best := ""
	for _, name := range r.names() {
		p := r.peers[name]
		if !r.ahead(p) || name == r.asked {
			continue
		}
		if best == "" || p.accepted > r.peers[best].accepted {
			best = name
		}
	}
	if p := r.peers[r.asked]; best == "" && p != nil && r.ahead(p) {
		return r.asked
	}
	return best
}

// Answered notes that a peer has answered a pull, so that the next one need
// not wait.
func (r *Relay) Answered(name string) {
	if name == r.asked {
		r.askedAt = time.Time{}
	}
}

// Refused notes that a peer's answer to a pull could not be taken over. Another
// try may bring a whole text again, so it waits.
func (r *Relay) Refused(now time.Time, name string) {
	if name == r.asked {
		r.askedAt = now.Add(refusedPause)
	}
}

// Gathered reports whether a process that can't read the log has the newest
// version of the peers that it reaches, and has given the others the time to
// answer after the first one.
func (r *Relay) Gathered(now time.Time) bool {
	if r.accepted == 0 || r.answeredAt.IsZero() || !r.behindSince.IsZero() {
		return false
	}
	return now.Sub(r.answeredAt) >= gatherTime
}

// Isolated reports whether the process can't know of newer versions any more:
// it has reached neither the log nor a peer for the limit, or has been unable
// to take over a newer version for as long.
func (r *Relay) Isolated(now time.Time) bool {
	if r.limit == 0 || now.Sub(r.knownAt) < r.limit {
		return false
	}
	if !r.behindSince.IsZero() && now.Sub(r.behindSince) >= r.limit {
		return true
	}
	return now.Sub(r.reachedAt) >= r.limit
}
