// Package relay decides how entries exchange configuration versions, which peer
// an entry that is behind pulls from, and whether an entry can know that its own
// version is up to date.
package relay

import (
	"maps"
	"slices"
	"time"
)

const (
	// fanout is the maximum number of peers asked in each round.
	fanout = 4
	// pullGracePeriod gives the entry time to read a new version from the log
	// itself before it pulls from a peer.
	pullGracePeriod = 300 * time.Millisecond
	// pullTimeout is how long a peer may take to answer a pull.
	pullTimeout = time.Second
	// rejectedBackoff is added to pullTimeout before the next pull after an
	// answer that could not be applied.
	rejectedBackoff = 10 * time.Second
	// peerSyncWait is how long a newly started process waits, after the first
	// answer, for peers that have not answered yet.
	peerSyncWait = 3 * time.Second
	// sentHistory is the number of rounds whose send times are kept.
	sentHistory = 64
)

// Status is what an entry reports about its configuration.
type Status struct {
	// Accepted is the log offset of the version in effect, 0 for none, and
	// Next that of the next record to read.
	Accepted uint64
	Next     uint64
	// LogEndKnown reports whether the version is known to have been the newest
	// in the log, and LogEndAge how long ago.
	LogEndKnown bool
	LogEndAge   time.Duration
	// Sequence, if not 0, requests an answer; Echo is the sequence of the
	// status that this one answers, or 0.
	Sequence uint64
	Echo     uint64
}

// peer is the known state of another entry.
type peer struct {
	// accepted is the highest offset of a version in effect that the peer has reported.
	accepted uint64
}

// Relay is one entry's view of the versions of the other entries.
type Relay struct {
	isolationLimit time.Duration
	// peers are the entries that have a session with this one, by name.
	peers map[string]*peer
	// accepted and next are the offsets of the version in effect on this entry and of
	// the next record that it reads.
	accepted uint64
	next     uint64

	// sequence numbers the last round of questions. sentAt holds when the last rounds
	// were sent, each at its number modulo sentHistory.
	sequence uint64
	sentAt   [sentHistory]time.Time
	// nextTarget counts the peers asked so far, in round-robin order.
	nextTarget uint64

	// currentAt is the latest time at which the version is known to have been
	// the newest in the log.
	currentAt time.Time
	// firstAnswerAt is when the first answer of a peer arrived.
	firstAnswerAt time.Time
	// lastContactAt is the latest time after which a peer is known to have
	// answered: the send time of the newest question that has an answer.
	lastContactAt time.Time
	// behindSince is when a peer was first seen to be ahead, zero if none is.
	behindSince time.Time

	// pulledFrom is the peer of the last pull, pulledAt the time from which pullTimeout
	// is measured.
	pulledFrom string
	pulledAt   time.Time
}

// New returns the view of a newly started process. An entry that reaches neither
// the log nor a peer for isolationLimit is isolated; if isolationLimit is 0, it
// never is. The seed selects the peer to start with, so that entries contact
// their peers in different orders.
func New(isolationLimit time.Duration, seed uint64) *Relay {
	return &Relay{
		isolationLimit: isolationLimit,
		peers:          make(map[string]*peer),
		nextTarget:     seed,
	}
}

// SetPeers replaces the set of entries that have a session with this one.
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

// SetApplied records the offsets of the version in effect on this entry and of
// the next record that it is going to read.
func (r *Relay) SetApplied(now time.Time, accepted, next uint64) {
	r.accepted, r.next = accepted, next
	r.updateBehind(now)
}

// MarkCurrent records that this entry's version was the newest in the log at
// time asOf.
func (r *Relay) MarkCurrent(asOf time.Time) {
	if asOf.After(r.currentAt) {
		r.currentAt = asOf
	}
}

// updateBehind sets behindSince according to the peers' versions.
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

// ahead reports whether a peer runs a newer version. A peer whose version is a
// record that this entry has already read and rejected is wrong, not ahead.
func (r *Relay) ahead(p *peer) bool {
	return p.accepted > r.accepted && p.accepted >= r.next
}

// HandleStatus processes a peer's status. An answer is created after its question
// was sent, so it is evidence for the time of the question no matter how late it
// arrives.
func (r *Relay) HandleStatus(now time.Time, name string, s Status) {
	p, linked := r.peers[name]
	if !linked {
		return
	}
	p.accepted = max(p.accepted, s.Accepted)
	defer r.updateBehind(now)
	if r.isAnswer(s) {
		r.handleAnswer(now, s)
	}
}

// isAnswer reports whether a status answers a question whose send time is still kept.
func (r *Relay) isAnswer(s Status) bool {
	return s.Echo != 0 && s.Echo <= r.sequence && r.sequence-s.Echo < sentHistory
}

// handleAnswer records what the answer to a question proves.
func (r *Relay) handleAnswer(now time.Time, s Status) {
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

// Status returns the status to send to a peer: a question if echo is 0, otherwise
// the answer to the question with that sequence, which itself requests none.
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

// StartRound starts a round of questions and returns the peers to ask. With more
// than fanout peers, it selects fanout of them in round-robin order.
func (r *Relay) StartRound(now time.Time) []string {
	r.sequence++
	r.sentAt[r.sequence%sentHistory] = now
	names := slices.Sorted(maps.Keys(r.peers))
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

// NextPull returns the peer to pull the configuration from now; ok is false if no
// pull is due.
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

// newestPeer returns the peer that is ahead with the newest version, or "". It
// avoids the peer of the last pull if another one is ahead as well.
func (r *Relay) newestPeer() string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
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

// PullAnswered records that a peer has answered a pull, so that the next pull
// does not wait for pullTimeout.
func (r *Relay) PullAnswered(name string) {
	if name == r.pulledFrom {
		r.pulledAt = time.Time{}
	}
}

// PullRejected records that a peer's answer to a pull could not be applied. The
// next pull is delayed, because it may transfer the full configuration text
// again.
func (r *Relay) PullRejected(now time.Time, name string) {
	if name == r.pulledFrom {
		r.pulledAt = now.Add(rejectedBackoff)
	}
}

// SyncedWithPeers reports whether a process that cannot read the log has the
// newest version of the peers that it reaches, and has given the remaining peers
// time to answer after the first one did.
func (r *Relay) SyncedWithPeers(now time.Time) bool {
	if r.accepted == 0 || r.firstAnswerAt.IsZero() || !r.behindSince.IsZero() {
		return false
	}
	return now.Sub(r.firstAnswerAt) >= peerSyncWait
}

// Isolated reports whether the process can no longer know about newer versions:
// for isolationLimit it has reached neither the log nor a peer, or has failed to
// apply a newer version.
func (r *Relay) Isolated(now time.Time) bool {
	if r.isolationLimit == 0 || now.Sub(r.currentAt) < r.isolationLimit {
		return false
	}
	if !r.behindSince.IsZero() && now.Sub(r.behindSince) >= r.isolationLimit {
		return true
	}
	return now.Sub(r.lastContactAt) >= r.isolationLimit
}
