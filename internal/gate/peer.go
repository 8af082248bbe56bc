package gate

import (
	"maps"
	"net/netip"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// peerGracePeriod is how long a disconnected entry keeps its standing
	// share.
	peerGracePeriod = 3 * time.Second
	// missMemory is how long an entry that waits for a model or adapter is told at once
	// when an engine has it.
	missMemory = time.Second
)

// peer is the leader's state for another entry.
type peer struct {
	connected    bool
	lastSeen     time.Time
	lastSequence uint64
	// reported is true once the entry has sent this leader a report.
	reported bool
	loads    map[string]pick.Load
	// endpointsSent, holdingsSent and arrivalsSent are the revisions of the endpoints,
	// of the engines' holdings and of the loads in progress that the entry has been sent.
	endpointsSent uint64
	holdingsSent  uint64
	arrivalsSent  uint64
	// endpointsComplete is true once the entry was sent all endpoints in one state.
	endpointsComplete bool
	// withheld are endpoints that the entry was not sent because their records were
	// missing.
	withheld map[string]bool
	// misses are the artifacts for which the entry's requests wait, and when it last
	// said so.
	misses map[serviceArtifact]time.Time
	// startsSent is the number of the last stream of the leader's own that the
	// entry has been sent, learnedSent that of the last one of another entry.
	startsSent  uint64
	learnedSent uint64
	// untold are the earlier ones of other entries of which later states tell, oldest first.
	untold []startRange
	// poisonSent is the revision of the crash log that the entry has been sent.
	poisonSent uint64
	// limitsSent is the revision of the limits that the entry has been sent.
	limitsSent uint64
	// address is where the entry accepts sessions, if it has told. crashRelaysSent is the
	// revision of the crash relays that it has been sent.
	address         netip.AddrPort
	crashRelaysSent uint64
}

// serviceArtifact is a model or adapter of a service.
type serviceArtifact struct {
	service string
	stock.Artifact
}

func newPeer(now time.Time, connected bool) *peer {
	return &peer{
		connected: connected,
		lastSeen:  now,
		loads:     make(map[string]pick.Load),
		withheld:  make(map[string]bool),
		misses:    make(map[serviceArtifact]time.Time),
	}
}

// forgetSent makes the next state tell everything, like the first one of a session.
func (p *peer) forgetSent() {
	p.endpointsComplete = false
	p.endpointsSent = 0
	p.holdingsSent = 0
	p.arrivalsSent = 0
	p.startsSent = 0
	p.learnedSent = 0
	p.untold = nil
	p.poisonSent = 0
	p.limitsSent = 0
	p.crashRelaysSent = 0
}

func (c *Core) handlePeerConnected(now time.Time, host string) {
	if peer := c.peers[host]; peer != nil {
		c.clearPeerLoads(peer)
	}
	c.peers[host] = newPeer(now, true)
	c.logChange("peer connected", host, "", 0)
}

func (c *Core) handlePeerDisconnected(now time.Time, host string) {
	if peer := c.peers[host]; peer != nil {
		peer.connected = false
		peer.lastSeen = now
		c.clearPeerLoads(peer)
		c.updateCrashRelays(host)
		c.logChange("peer disconnected", host, "", 0)
	}
}

// handleReportReceived applies an entry's report and answers it with a state.
func (c *Core) handleReportReceived(now time.Time, e ReportReceived) {
	peer := c.peers[e.Host]
	if peer == nil {
		return
	}
	c.recordPeerAddress(e.Host, peer, e.Report.GetPeerAddress())
	if !c.isLeader(now) {
		c.relayReport(now, e.Host, peer, e.Report)
		return
	}
	peer.lastSeen = now
	peer.lastSequence = e.Report.GetSequence()
	peer.reported = true
	if e.Report.GetTakesOver() && c.lease.Unrenewed(now) {
		c.resign(now)
		return
	}
	if e.Report.GetAsksAll() {
		peer.forgetSent()
	}
	c.applyEvacuation(now, e.Report.GetEvacuation())
	c.spreadZones(now)
	c.leader.replaceLoads(peer, e.Report.GetLoads())
	for _, d := range e.Report.GetDemands() {
		c.applyDemand(now, peer, d)
	}
	for _, s := range e.Report.GetStreams() {
		if ep := c.endpoints[s.GetEndpoint()]; ep != nil {
			c.applyStreamStats(ep, decodeStreamStats(s))
		}
	}
	c.applyStarts(now, e.Report.GetStarts())
	c.applyReportedPoison(now, peer, e.Report.GetPoison())
	peer.limitsSent = c.applyLimits(now, e.Report.GetLimits(), peer.limitsSent)
	c.spreadLimits(now)
	for _, r := range e.Report.GetReturns() {
		if customer := c.customer(r.GetCustomer()); customer != nil {
			c.leader.returnTokens(now, customer, r.GetAmount())
		}
	}
	grants := make([]*wirepb.GateTokens, 0, len(e.Report.GetAsks()))
	for _, a := range e.Report.GetAsks() {
		grant := &wirepb.GateTokens{Customer: a.GetCustomer()}
		if customer := c.customer(a.GetCustomer()); customer != nil {
			grant.Amount = c.leader.withdrawTokens(now, customer, a.GetAmount())
		}
		grants = append(grants, grant)
	}
	var tokens []*wirepb.GateTokenAnswer
	for _, ask := range e.Report.GetTokenAsks() {
		if customer := c.customer(ask.GetCustomer()); customer != nil {
			tokens = append(tokens, c.leader.answerTokenAsk(now, customer, ask))
		}
	}
	c.planIfDue(now)
	c.sendState(now, e.Host, peer, answer{
		grants:  grants,
		tokens:  tokens,
		permits: c.grantPermits(now, e.Report.GetPermitRequests()),
		config:  c.configRecord(e.Report.GetAsksConfig()),
	})
}

func (c *Core) applyDemand(now time.Time, peer *peer, demand *wirepb.GateDemand) {
	artifact := stock.Artifact{
		Model:   demand.GetModel(),
		Adapter: demand.GetAdapter(),
	}
	if demand.GetMissing() {
		c.leader.planner.RecordMiss(now, demand.GetService(), stock.Miss{
			Artifact:        artifact,
			SoftwareVersion: demand.GetSoftwareVersion(),
			Regions:         stock.NewRegions(demand.GetAllowedRegions()),
		})
		peer.misses[serviceArtifact{
			service:  demand.GetService(),
			Artifact: artifact,
		}] = now
		c.leader.planSoon = true
		return
	}
	work := time.Duration(demand.GetWorkUs()) * time.Microsecond
	// Entries of older releases don't count requests.
	requests := max(int(demand.GetRequests()), 1)
	c.leader.planner.RecordDemand(now, demand.GetService(), artifact, requests, work)
}

// waitsForAny reports whether the entry waits for any artifact of a set, and forgets
// those for which it no longer waits.
func (p *peer) waitsForAny(now time.Time, available map[serviceArtifact]bool) bool {
	maps.DeleteFunc(p.misses, func(_ serviceArtifact, at time.Time) bool { return now.Sub(at) > missMemory })
	for a := range p.misses {
		if available[a] {
			return true
		}
	}
	return false
}
