package gate

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// reportInterval is the time between regular reports to the leader.
	reportInterval = 250 * time.Millisecond
	// minReportInterval is the least time between two reports of streams that have begun.
	minReportInterval = 20 * time.Millisecond
	// maxTrackedReports is the number of reports whose send times are kept
	// until the leader answers them.
	maxTrackedReports = 64
)

// reportIfDue sends the regular report to the leader, sooner if it tells of streams.
func (c *Core) reportIfDue(now time.Time) {
	interval := reportInterval
	if c.follower.reportsSoon {
		interval = minReportInterval
	}
	if c.leaderLink.connected && now.Sub(c.follower.reportedAt) >= interval {
		c.sendReport(now)
	}
}

// reportSoon sends the leader a report within minReportInterval.
func (c *Core) reportSoon(now time.Time) {
	if !c.leaderLink.connected || c.follower.reportsSoon {
		return
	}
	c.follower.reportsSoon = true
	if wait := minReportInterval - now.Sub(c.follower.reportedAt); wait > 0 {
		c.emit(ScheduleTick{After: wait})
		return
	}
	c.sendReport(now)
}

// sendReport sends the leader this entry's loads, demand, token requests and
// stream statistics. From time to time they also return surplus
// tokens.
func (c *Core) sendReport(now time.Time) {
	if !c.leaderLink.connected || c.lease.Holds(now) {
		return
	}
	f := &c.follower
	f.sequence++
	f.reportTimes[f.sequence] = now
	delete(f.reportTimes, f.sequence-maxTrackedReports)
	report := &wirepb.GateReport{
		Sequence:  f.sequence,
		Loads:     c.encodeOwnLoads(),
		Demands:   f.drainDemands(),
		Asks:      f.tokenRequests,
		TakesOver: f.requestsTakeover,
		Streams:   c.assignments.drainStreamStats(),
		Starts:    c.drainStreamStarts(),
		Poison:    c.drainPoison(now),
		Limits:    c.drainLimits(now),

		Evacuation:     c.encodeEvacuation(now),
		PermitRequests: f.drainPermitRequests(),
		TokenAsks:      f.tokenAsks,
		AsksConfig:     c.asksConfig(now),
	}
	if f.missedNews && c.leaderStateCurrent(now) {
		// Before, the answer would be dropped as well.
		report.AsksAll = true
		f.missedNews = false
	}
	if f.newLeader {
		report.PeerAddress = c.lease.PeerAddr().String()
	}
	f.newLeader = false
	f.reportsSoon = false
	f.requestsTakeover = false
	if now.Sub(f.returnedAt) >= reportInterval {
		report.Returns = c.takeSurplus(now)
		f.returnedAt = now
	}
	f.tokenRequests = nil
	f.tokenAsks = nil
	f.reportedAt = now
	c.emit(SendReport{Report: report})
}

// drainStreamStarts returns the streams that the leader has not been told of.
func (c *Core) drainStreamStarts() []*wirepb.GateStarts {
	f := &c.follower
	reported := f.startsReported
	f.startsReported = c.streams.own.count
	if f.newLeader {
		return c.streams.encodeRetold()
	}
	return encodeStarts(c.streams.own.after(reported))
}

// drainDemands returns and resets the demand since the last report.
func (f *follower) drainDemands() []*wirepb.GateDemand {
	var out []*wirepb.GateDemand
	for service, artifacts := range f.demand {
		for artifact, demand := range artifacts {
			out = append(out, &wirepb.GateDemand{
				Service:  service,
				Model:    artifact.Model,
				Adapter:  artifact.Adapter,
				WorkUs:   uint64(demand.work.Microseconds()),
				Requests: uint32(demand.requests),
			})
		}
	}
	for service, misses := range f.misses {
		for miss := range misses {
			out = append(out, &wirepb.GateDemand{
				Service:         service,
				Model:           miss.Model,
				Adapter:         miss.Adapter,
				Missing:         true,
				SoftwareVersion: miss.SoftwareVersion,
				AllowedRegions:  miss.Regions.Names(),
			})
		}
	}
	clear(f.demand)
	clear(f.misses)
	return out
}
