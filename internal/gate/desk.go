package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// desk is this entry's side of bookings: the leader, which knows what all
// entries send, assigns an engine and a time to each request. Without a leader
// that answers an entry chooses by itself.
type desk struct {
	// waiting are calls that wait for the leader's answer, for the time that it
	// gave, or to ask again.
	waiting map[CallID]*call
	// silentUntil is until when the leader isn't asked, since it didn't answer.
	silentUntil time.Time
	streams     map[string]streamCount
}

// streamCount counts streams that have ended since the last report.
type streamCount struct {
	ended  int
	paused int
}

func newDesk() desk {
	return desk{
		waiting: make(map[CallID]*call),
		streams: make(map[string]streamCount),
	}
}

// booking is a call's place at the desk.
type booking struct {
	stage stage
	// at is when the call goes on: without an answer, with its time come, or by
	// asking again.
	at time.Time
	// endpoint, uncached and idle are the leader's answer.
	endpoint string
	uncached int
	idle     bool
}

// stage says how far a call's booking has come.
type stage int

const (
	// notBooked calls may ask.
	notBooked stage = iota
	// asked calls wait for an answer.
	asked
	// assigned calls wait for the time that they got.
	assigned
	// postponed calls have time, and ask again.
	postponed
	// unbooked calls go on without the leader.
	unbooked
)

const (
	// silentPause is for how long a leader that didn't answer isn't asked.
	silentPause = 500 * time.Millisecond
	// promptStart is how soon a time has come.
	promptStart = 2 * time.Millisecond
	// amplySlack is the time to spare from which a request lets others go first,
	// until half of its objective has passed; amplyBacklog is how long an
	// engine's prompts may take for it to be sent, amplyPause when it asks again.
	amplySlack   = time.Second
	amplyBacklog = 40 * time.Millisecond
	amplyPause   = 200 * time.Millisecond
)

// rankShares are the parts of the objective that a request may be expected to
// take when it is admitted, by its rank within a customer's: where engines are
// busy, the more urgent ones are served.
var rankShares = [...]float64{1, 0.9, 0.8}

// mayBook reports whether a call is to ask the leader for an engine.
func (c *Core) mayBook(now time.Time, k *call, service *topo.Service) bool {
	if service.Engine == nil || len(k.tried) > 0 || k.booking.stage == unbooked {
		return false
	}
	return c.leads(now) || c.linked(now) && !now.Before(c.desk.silentUntil)
}

// book asks the leader for an engine.
func (c *Core) book(now time.Time, k *call) {
	question := c.bookingOf(now, k)
	if c.leads(now) {
		c.booked(now, k, c.assign(now, question))
		return
	}
	k.booking = booking{
		stage: asked,
		at:    now.Add(askLimit),
	}
	c.desk.waiting[k.id] = k
	c.do(SendBooking{Booking: question})
}

func (c *Core) bookingOf(now time.Time, k *call) *wirepb.GateBooking {
	pace, samples := c.pace(k.service, k.request.Model).Known()
	b := &wirepb.GateBooking{
		Call:         uint64(k.id),
		Service:      k.service,
		Model:        k.request.Model,
		Adapter:      k.request.Adapter,
		PromptTokens: uint32(max(k.request.PromptTokens, 0)),
		TokensPerMs:  pace,
		Samples:      uint32(samples),
		ObjectiveUs:  uint64(k.route.Objective.Microseconds()),
		PassedUs:     uint64(max(now.Sub(k.request.Arrived), 0).Microseconds()),
		Rank:         uint32(k.route.Priority),
		Zone:         c.settings.Zone,
	}
	for _, p := range k.request.Parts {
		b.Parts = append(b.Parts, &wirepb.GatePart{
			Hash:   p.Hash,
			Tokens: uint32(p.Tokens),
		})
	}
	for id, e := range c.endpoints {
		if e.Service == k.service && !e.track.Usable(now) {
			b.Avoid = append(b.Avoid, id)
		}
	}
	return b
}

// bookedReceived takes the leader's answer.
func (c *Core) bookedReceived(now time.Time, e BookedReceived) {
	if e.Host != c.link.host {
		return
	}
	k := c.desk.waiting[CallID(e.Booked.GetCall())]
	if k == nil || k.booking.stage != asked {
		return // it went on without an answer
	}
	c.booked(now, k, e.Booked)
}

// booked does with a call what the leader says.
func (c *Core) booked(now time.Time, k *call, b *wirepb.GateBooked) {
	after := time.Duration(b.GetAfterUs()) * time.Microsecond
	k.booking = booking{
		at:       now.Add(after),
		endpoint: b.GetEndpoint(),
		uncached: int(b.GetUncached()),
		idle:     b.GetIdle(),
	}
	switch b.GetVerdict() {
	case wirepb.GateBooked_SEND:
		k.booking.stage = assigned
		if after <= promptStart {
			c.sendBooked(now, k)
			return
		}
	case wirepb.GateBooked_BUSY:
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "every endpoint is busy", c.spread(after))
		return
	case wirepb.GateBooked_LATER:
		k.booking.stage = postponed
	default:
		k.booking.stage = unbooked
		c.dispatch(now, k)
		return
	}
	c.desk.waiting[k.id] = k
	c.do(Wake{After: after})
}

// sendBooked sends a call to the engine that it got, if that is still there.
func (c *Core) sendBooked(now time.Time, k *call) {
	e := c.endpoints[k.booking.endpoint]
	service := c.config.Services[k.service]
	if e == nil || e.Draining || service == nil || e.track.Avoided(now) {
		k.booking.stage = unbooked
		c.dispatch(now, k)
		return
	}
	candidate := c.candidate(now, k, e, service)
	idle, uncached := k.booking.idle, k.booking.uncached
	c.send(now, k, e, candidate, pick.Choice{Estimate: pick.Alone(now, candidate)})
	k.idle = idle
	k.uncached = uncached
}

// tendDesk goes on with the calls whose time has come.
func (c *Core) tendDesk(now time.Time) {
	if len(c.desk.waiting) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.desk.waiting)) {
		k := c.desk.waiting[id]
		if k == nil || now.Before(k.booking.at) && !c.leaving(now) {
			continue
		}
		delete(c.desk.waiting, id)
		c.goOn(now, k)
	}
}

// goOn goes on with a call whose time has come.
func (c *Core) goOn(now time.Time, k *call) {
	switch {
	case c.leaving(now):
		c.refuse(now, k, fault.NotRun, fault.CodeLeaving, "the entry is stopping", leastRetryAfter)
	case k.customer != nil && !c.fresh(now):
		c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetry)
	case k.booking.stage == assigned:
		c.sendBooked(now, k)
	case k.booking.stage == postponed:
		k.booking = booking{}
		c.dispatch(now, k)
	default:
		c.desk.silentUntil = now.Add(silentPause)
		k.booking.stage = unbooked
		c.dispatch(now, k)
	}
}

// bookingReceived answers another entry's booking.
func (c *Core) bookingReceived(now time.Time, e BookingReceived) {
	if p := c.peers[e.Host]; p == nil || !c.leads(now) {
		return
	}
	c.pace(e.Booking.GetService(), e.Booking.GetModel()).Hear(e.Booking.GetTokensPerMs(), int(e.Booking.GetSamples()))
	c.do(SendBooked{
		Host:   e.Host,
		Booked: c.assign(now, e.Booking),
	})
}

// seat is an engine that could take a booking.
type seat struct {
	endpoint *endpoint
	start    time.Time
	work     time.Duration
	uncached int
	// estimate is the expected time from now to the first event.
	estimate time.Duration
	cost     time.Duration
}

// assign chooses an engine and a time for a request, or says why there is none.
func (c *Core) assign(now time.Time, b *wirepb.GateBooking) *wirepb.GateBooked {
	answer := &wirepb.GateBooked{Call: b.GetCall()}
	best := c.bestSeat(now, b)
	if best == nil {
		return answer
	}
	objective := time.Duration(b.GetObjectiveUs()) * time.Microsecond
	passed := time.Duration(b.GetPassedUs()) * time.Microsecond
	wait := best.start.Sub(now)
	rank := min(int(b.GetRank()), len(rankShares)-1)
	limit := time.Duration(float64(objective) * rankShares[rank])
	switch {
	case objective-passed-best.estimate > amplySlack && passed < objective/2 && wait > amplyBacklog:
		answer.Verdict = wirepb.GateBooked_LATER
		answer.AfterUs = uint64(max(wait-amplyBacklog, amplyPause).Microseconds())
		return answer
	case passed+best.estimate > limit && wait > 0:
		answer.Verdict = wirepb.GateBooked_BUSY
		answer.AfterUs = uint64(best.estimate.Microseconds())
		return answer
	}
	e := best.endpoint
	e.lane.Book(now, best.work, c.leader.governor(b.GetService()).Share(now))
	e.track.Remember(now, partsOf(b))
	answer.Verdict = wirepb.GateBooked_SEND
	answer.Endpoint = e.ID
	answer.AfterUs = uint64(wait.Microseconds())
	answer.Uncached = uint32(best.uncached)
	answer.Idle = wait == 0
	return answer
}

// bestSeat returns the engine that would answer first, nil if none can.
func (c *Core) bestSeat(now time.Time, b *wirepb.GateBooking) *seat {
	if c.config == nil {
		return nil
	}
	service := c.config.Services[b.GetService()]
	if service == nil || service.Engine == nil {
		return nil
	}
	parts := partsOf(b)
	pace := c.pace(b.GetService(), b.GetModel())
	var best *seat
	for id, e := range c.endpoints {
		if e.Service != b.GetService() || e.Draining || slices.Contains(b.GetAvoid(), id) || !e.track.Usable(now) {
			continue
		}
		if !e.holds(now, true, b.GetModel(), b.GetAdapter()) {
			continue
		}
		s := c.seat(now, b, e, parts, pace)
		if best == nil || s.cost < best.cost || s.cost == best.cost && id < best.endpoint.ID {
			best = s
		}
	}
	return best
}

func (c *Core) seat(now time.Time, b *wirepb.GateBooking, e *endpoint, parts []pick.Part, pace *pick.Pace) *seat {
	uncached := max(int(b.GetPromptTokens())-e.track.Cached(now, parts), 0)
	candidate := pick.Candidate{
		Track:      e.track,
		Slots:      max(e.Slots, 1),
		Near:       e.Zone == b.GetZone(),
		Cold:       now.Before(e.coldUntil),
		Expected:   pace.Expected(uncached),
		PerRunning: perRunning,
	}
	s := &seat{
		endpoint: e,
		start:    e.lane.Start(now),
		work:     time.Duration(float64(pace.Prefill(uncached)) * pick.Faulty(now, e.track)),
		uncached: uncached,
	}
	s.estimate = s.start.Sub(now) + pick.Spaced(now, candidate)
	s.cost = s.estimate + pick.Handicap(candidate)
	return s
}

func partsOf(b *wirepb.GateBooking) []pick.Part {
	out := make([]pick.Part, 0, len(b.GetParts()))
	for _, p := range b.GetParts() {
		out = append(out, pick.Part{
			Hash:   p.GetHash(),
			Tokens: int(p.GetTokens()),
		})
	}
	return out
}

// governor bounds the prompts given to the engines of a service.
func (l *leader) governor(service string) *pacer.Governor {
	g := l.governors[service]
	if g == nil {
		g = pacer.NewGovernor()
		l.governors[service] = g
	}
	return g
}

// countStream notes a stream that has ended and whether it paused too long.
func (c *Core) countStream(k *call, pause time.Duration) {
	if k.route.Kind != topo.Stream || k.route.GapObjective <= 0 {
		return
	}
	late := 0
	if pause > k.route.GapObjective {
		late = 1
	}
	if c.leader != nil {
		c.leader.governor(k.service).Observe(1, late)
		return
	}
	n := c.desk.streams[k.service]
	n.ended++
	n.paused += late
	c.desk.streams[k.service] = n
}

// takeStreams returns the counts since the last report.
func (d *desk) takeStreams() []*wirepb.GateStreams {
	var out []*wirepb.GateStreams
	for _, service := range slices.Sorted(maps.Keys(d.streams)) {
		out = append(out, &wirepb.GateStreams{
			Service: service,
			Ended:   uint32(d.streams[service].ended),
			Paused:  uint32(d.streams[service].paused),
		})
	}
	clear(d.streams)
	return out
}
