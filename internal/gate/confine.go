package gate

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
)

// isConfined reports whether a call to a plain endpoint is suspect, but may be sent without a
// trial to the endpoint that all entries choose for its fingerprint.
func (c *Core) isConfined(now time.Time, call *activeCall) bool {
	return call.mayBeConfined(c.crashes.log.Judge(now, call.parts()))
}

// mayBeConfined reports whether a judgment lets the entry itself confine a call. The leader
// confines those that need engines.
func (ac *activeCall) mayBeConfined(judgment poison.Judgment) bool {
	return ac.plain && judgment.Confined
}

// confinedPart returns the fingerprint for which the leader sends an asked request to the engine
// that rendezvous hashing chooses, 0 if there is none.
func (c *Core) confinedPart(now time.Time, req *wirepb.GateAssignmentAsk) poison.Part {
	parts := poison.DecodeParts(req.GetSuspects())
	if judgment := c.crashes.log.Judge(now, parts); judgment.Confined && len(judgment.Suspects) == 1 {
		return judgment.Suspects[0]
	}
	return 0
}

// confine returns the one of the endpoints that rendezvous hashing chooses for a fingerprint,
// among those that answer if there are any.
func confine(
	now time.Time, fingerprint poison.Part, endpoints []*endpoint, candidates []pick.Candidate,
) ([]*endpoint, []pick.Candidate) {
	best, bestRank := 0, uint64(0)
	for i, ep := range endpoints {
		rank := confinementRank(fingerprint, ep.ID) >> 1
		if !ep.stats.BackingOff(now) {
			rank |= 1 << 63
		}
		if i == 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return endpoints[best : best+1], candidates[best : best+1]
}

func confinementRank(fingerprint poison.Part, endpoint string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(fingerprint)))
	_, _ = h.Write([]byte(endpoint))
	return h.Sum64()
}
