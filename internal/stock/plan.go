package stock

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Plan is what the planner asks its caller to do at one point in time.
type Plan struct {
	// Orders are the orders to send now.
	Orders []Order
	// ReportRequests names the engines to ask for a report.
	ReportRequests []string
}

const (
	// adapterLoadBase and adapterLoadPerMB give the expected load time of an
	// adapter: a fixed part and a part per MB.
	adapterLoadBase  = 8 * time.Millisecond
	adapterLoadPerMB = 450 * time.Microsecond
	// unloadDuration is the expected duration of an unload of an idle model, after
	// which its result is checked.
	unloadDuration = 60 * time.Millisecond
	// lastCopyIdleTime is the time without requests after which the last copy of a
	// model may be evicted for a model that is requested.
	lastCopyIdleTime = 6 * time.Second
)

// Plan returns the orders to send and the engines to ask for reports.
func (p *Planner) Plan(now time.Time) Plan {
	var plan Plan
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		for _, e := range s.engines {
			p.checkPending(now, e, &plan)
		}
		s.countCopies()
		s.expireMisses(now)
		p.planAdapters(now, s, &plan)
		p.planModels(now, s, &plan)
	}
	return plan
}

// checkPending resends, completes or checks the pending order of an engine. It
// requests a report from an engine that is out of sync.
func (p *Planner) checkPending(now time.Time, e *engine, plan *Plan) {
	if e.pending == nil {
		if !e.synced {
			p.requestReport(now, e, plan)
		}
		return
	}
	pending := e.pending
	adapter := pending.order.Adapter != ""
	switch {
	case pending.resendDue(now) && !e.evacuated:
		pending.sends++
		plan.Orders = append(plan.Orders, pending.order)
	case !pending.answered || now.Before(pending.expectedAt):
	case adapter && pending.order.Load && !pending.ambiguous:
		p.completeOrder(now, e, true)
	default:
		p.requestReport(now, e, plan)
	}
}

// requestReport asks an engine for a report, unless one was requested less than
// reportInterval ago.
func (p *Planner) requestReport(now time.Time, e *engine, plan *Plan) {
	if now.Before(e.nextReportAt) {
		return
	}
	e.nextReportAt = now.Add(reportInterval)
	plan.ReportRequests = append(plan.ReportRequests, e.id)
}

// issueOrder records an order as pending and adds it to the plan.
func (p *Planner) issueOrder(now time.Time, e *engine, load bool, a Artifact, duration time.Duration, plan *Plan) {
	p.lastOrder++
	o := Order{
		Engine:           e.id,
		Load:             load,
		Artifact:         a,
		ExpectedAccepted: e.acceptedOrders,
		Number:           p.lastOrder,
	}
	e.beginOrder(now, o, duration)
	if !load {
		p.changed[e.id] = true
	}
	plan.Orders = append(plan.Orders, o)
}

// shortage describes a model that has too few copies.
type shortage struct {
	model      string
	copies     int
	demandRate float64
	missed     bool
	// softwareVersion is the only version of engines that helps, empty if any does.
	softwareVersion string
	// regions are the only regions of engines that help, empty if any does.
	regions Regions
	// backup is true if the copy is to continue the streams of another engine, which an
	// engine with a limit can't.
	backup bool
	// loadedAt is when a load of the model that has begun is expected to finish, so that
	// only a much faster one helps. It is zero if there is none.
	loadedAt time.Time
}

// minLoadLead is how much sooner than a load that has begun another one must finish to
// be worth beginning.
const minLoadLead = time.Second

// endsTooLate reports whether a load of the given duration doesn't help since another one
// has begun.
func (s shortage) endsTooLate(now time.Time, duration time.Duration) bool {
	return !s.loadedAt.IsZero() && s.loadedAt.Sub(now) < duration+minLoadLead
}

// unservedMiss reports whether requests wait for the model and no engine holds it.
func (s shortage) unservedMiss() bool { return s.missed && s.copies == 0 }

// planModels loads models that no engine holds and more copies of busy ones.
func (p *Planner) planModels(now time.Time, s *service, plan *Plan) {
	if len(s.engines) == 0 {
		return
	}
	shortages := slices.Concat(p.versionShortages(now, s), p.shortages(now, s), p.backupShortages(now, s))
	if len(shortages) == 0 {
		return
	}
	s.expireStoreLoads(now, p.settings.LoadWindow)
	r := p.rank(now, s)
	for _, shortage := range shortages {
		p.resolveShortage(now, s, r, shortage, plan)
	}
}

// versionShortages returns the models that requests wait for at engines of one software
// version or of some regions, where others may hold them. While versions differ, that includes those
// that an engine is loading: another one may have their weights on its disk, as one that was
// started again does.
func (p *Planner) versionShortages(now time.Time, s *service) []shortage {
	var out []shortage
	for _, m := range s.sortedMisses() {
		if !m.confined() || m.Adapter != "" {
			continue
		}
		loadedAt, found := s.firstCopy(m)
		if found && (loadedAt.IsZero() || !s.versionsMixed()) {
			continue
		}
		out = append(out, shortage{
			model:           m.Model,
			demandRate:      s.demandRate(now, m.Model),
			missed:          true,
			softwareVersion: m.SoftwareVersion,
			regions:         m.Regions,
			loadedAt:        loadedAt,
		})
	}
	return out
}

// shortages returns the models that have too few copies, the most urgent first.
func (p *Planner) shortages(now time.Time, s *service) []shortage {
	var out []shortage
	engineCount := len(s.engines)
	for _, model := range s.modelNames {
		copies := s.copiesOf(model)
		entry := shortage{
			model:      model,
			copies:     copies.total,
			demandRate: s.demandRate(now, model),
			missed:     s.missed(now, model),
		}
		target := min(engineCount, int(math.Ceil(entry.demandRate/p.settings.MaxCopyLoad)))
		if entry.copies == 0 || entry.copies < engineCount && copies.capacity() < float64(target) {
			out = append(out, entry)
		}
	}
	slices.SortStableFunc(out, func(a, b shortage) int {
		return cmp.Or(
			-cmp.Compare(boolToInt(a.unservedMiss()), boolToInt(b.unservedMiss())),
			-cmp.Compare(a.demandRate/float64(max(a.copies, 1)), b.demandRate/float64(max(b.copies, 1))),
			cmp.Compare(a.copies, b.copies),
		)
	})
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
