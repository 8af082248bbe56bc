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
	// pullGracePeriod gives the own reading of the log its chance before a peer is
	// asked.
	pullGracePeriod = 300 * time.Millisecond
	// pullTimeout is how long one peer has to answer.
	pullTimeout = time.Second
	// rejectedBackoff is how long no peer is asked after an answer that could not
	// be taken over.
	rejectedBackoff = 10 * time.Second
	// peerSyncWait is how long a fresh process waits for peers that have not
	// answered yet.
	peerSyncWait = 3 * time.Second
	// sentHistory is how many own statuses are remembered.
	sentHistory = 64
)

// Status is what an entry says of its configuration.
type Status struct {
	Accepted uint64
	Next     uint64
	// LogEndKnown says that the end of the log has been read, Age how long ago.
	LogEndKnown bool
	LogEndAge   time.Duration
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
	isolationLimit time.Duration
	peers          map[string]*peer
	accepted       uint64
	next           uint64

	sequence   uint64
	sentAt     [sentHistory]time.Time
	nextTarget uint64

	// currentAt is a time at which the version was the newest in the log,
	// reachedAt one after which a peer has answered, answeredAt when the
	// first answer came.
	currentAt     time.Time
	firstAnswerAt time.Time
	lastContactAt time.Time
	behindSince   time.Time

	pulledFrom string
	pulledAt   time.Time
}

// New returns the view of a fresh process. An entry that reaches neither the
// log nor a peer for limit is isolated, never if limit is 0. The seed spreads
// the order in which entries tell their peers.
func New(isolationLimit time.Duration, seed uint64) *Relay {
	return &Relay{
		isolationLimit: isolationLimit,
		peers:          make(map[string]*peer),
		nextTarget:     seed,
	}
}

// SetPeers replaces the entries that there are sessions to.
func (r *Relay) SetPeers(now time.Time, names []string) {
	defer r.updateBehind(now)
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

// SetApplied notes how far the own fold has come.
func (r *Relay) SetApplied(now time.Time, accepted, next uint64) {
	r.accepted, r.next = accepted, next
	r.updateBehind(now)
}

// MarkCurrent notes that the own fold had reached the log's end at a time.
func (r *Relay) MarkCurrent(asOf time.Time) {
	if asOf.After(r.currentAt) {
		r.currentAt = asOf
	}
}

// updateBehind notes since when a peer has been ahead.
func (r *Relay) updateBehind(now time.Time) {
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

// HandleStatus takes over a status of a peer. An answer was given after its question
// was sent, so however late it comes it holds at the time of the question.
func (r *Relay) HandleStatus(now time.Time, name string, s Status) {
	p, linked := r.peers[name]
	if !linked {
		return
	}
	p.accepted = max(p.accepted, s.Accepted)
	defer r.updateBehind(now)
	if s.Echo == 0 || s.Echo > r.sequence || r.sequence-s.Echo >= sentHistory {
		return
	}
	if r.firstAnswerAt.IsZero() {
		r.firstAnswerAt = now
	}
	questionAt := r.sentAt[s.Echo%sentHistory]
	if questionAt.After(r.lastContactAt) {
		r.lastContactAt = questionAt
	}
	if s.LogEndKnown && s.Accepted <= r.accepted {
		r.MarkCurrent(questionAt.Add(-s.LogEndAge))
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
	if !r.currentAt.IsZero() {
		s.LogEndKnown, s.LogEndAge = true, max(0, now.Sub(r.currentAt))
	}
	if echo == 0 {
		s.Sequence = r.sequence
	}
	return s
}

// StartRound starts a round of questions and returns the peers to ask: a few at a
// time, each in its turn.
func (r *Relay) StartRound(now time.Time) []string {
	r.sequence++
	r.sentAt[r.sequence%sentHistory] = now
	names := r.peerNames()
	if len(names) <= fanout {
		return names
	}
	var targets []string
	for range fanout {
		targets = append(targets, names[r.nextTarget%uint64(len(names))])
		r.nextTarget++
	}
	return targets
}

func (r *Relay) peerNames() []string {
	names := make([]string, 0, len(r.peers))
	for name := range r.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NextPull returns the peer to ask for its configuration now; ok is false if there
// is no need.
func (r *Relay) NextPull(now time.Time) (name string, ok bool) {
	if r.behindSince.IsZero() || now.Sub(r.behindSince) < pullGracePeriod {
		return "", false
	}
	if now.Sub(r.pulledAt) < pullTimeout {
		return "", false
	}
	name = r.newestPeer()
	r.pulledFrom, r.pulledAt = name, now
	return name, name != ""
}

// newestPeer returns the peer with the newest version, another one than was asked
// last if there is a choice.
func (r *Relay) newestPeer() string {
	best := ""
	for _, name := range r.peerNames() {
		p := r.peers[name]
		if !r.ahead(p) || name == r.pulledFrom {
			continue
		}
		if best == "" || p.accepted > r.peers[best].accepted {
			best = name
		}
	}
	if p := r.peers[r.pulledFrom]; best == "" && p != nil && r.ahead(p) {
		return r.pulledFrom
	}
	return best
}

// PullAnswered notes that a peer has answered a pull, so that the next one need
// not wait.
func (r *Relay) PullAnswered(name string) {
	if name == r.pulledFrom {
		r.pulledAt = time.Time{}
	}
}

// PullRejected notes that a peer's answer to a pull could not be taken over. Another
// try may bring a whole text again, so it waits.
func (r *Relay) PullRejected(now time.Time, name string) {
	if name == r.pulledFrom {
		r.pulledAt = now.Add(rejectedBackoff)
	}
}

// SyncedWithPeers reports whether a process that can't read the log has the newest
// version of the peers that it reaches, and has given the others the time to
// answer after the first one.
func (r *Relay) SyncedWithPeers(now time.Time) bool {
	if r.accepted == 0 || r.firstAnswerAt.IsZero() || !r.behindSince.IsZero() {
		return false
	}
	return now.Sub(r.firstAnswerAt) >= peerSyncWait
}

// Isolated reports whether the process can't know of newer versions any more:
// it has reached neither the log nor a peer for the limit, or has been unable
// to take over a newer version for as long.
func (r *Relay) Isolated(now time.Time) bool {
	if r.isolationLimit == 0 || now.Sub(r.currentAt) < r.isolationLimit {
		return false
	}
	if !r.behindSince.IsZero() && now.Sub(r.behindSince) >= r.isolationLimit {
		return true
	}
	return now.Sub(r.lastContactAt) >= r.isolationLimit
}
