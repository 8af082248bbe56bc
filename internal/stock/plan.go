package stock

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
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
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		p.checkPending(now, p.engines[id], &plan)
	}
	for _, service := range p.serviceNames() {
		p.planAdapters(now, service, &plan)
		p.planModels(now, service, &plan)
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
	case pending.resendDue(now):
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

func (p *Planner) serviceNames() []string {
	names := make(map[string]bool)
	for _, e := range p.engines {
		names[e.service] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// enginesOf returns the engines of a service, ordered by ID.
func (p *Planner) enginesOf(service string) []*engine {
	var engines []*engine
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		if e := p.engines[id]; e.service == service && e.spec != nil {
			engines = append(engines, e)
		}
	}
	return engines
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

// planAdapters loads the adapters that requests are waiting for.
func (p *Planner) planAdapters(now time.Time, service string, plan *Plan) {
	engines := p.enginesOf(service)
	misses := p.misses[service]
	for _, m := range sortedMisses(misses) {
		if now.Sub(misses[m]) > missLifetime {
			delete(misses, m)
			continue
		}
		if m.Adapter == "" {
			continue
		}
		if p.placeAdapter(now, enginesOfVersion(engines, m.SoftwareVersion), m.Artifact, plan) {
			delete(misses, m)
		}
	}
}

// enginesOfVersion returns the engines of a software version, all if it is empty.
func enginesOfVersion(engines []*engine, version string) []*engine {
	if version == "" {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return e.softwareVersion != version })
}

// placeAdapter loads an adapter at the least busy engine that holds its model, or
// unloads another adapter there to make room. It reports whether an engine holds or
// is loading the adapter.
func (p *Planner) placeAdapter(now time.Time, engines []*engine, a Artifact, plan *Plan) bool {
	var free, full *engine
	for _, e := range engines {
		if e.canServe(a) && e.usable || e.loading(a) {
			return true
		}
		spec := e.spec.Models[a.Model]
		if spec == nil || !e.canAcceptOrder() || !e.canServe(Artifact{Model: a.Model}) {
			continue
		}
		if e.adapterCount() < e.spec.AdapterSlots && e.freeMemory() >= spec.AdapterSizeMB {
			if free == nil || e.runningRequests < free.runningRequests {
				free = e
			}
			continue
		}
		_, lastUsed := e.lruAdapter()
		if now.Sub(lastUsed) < p.settings.AdapterIdleTime {
			continue
		}
		if full == nil || e.runningRequests < full.runningRequests {
			full = e
		}
	}
	switch {
	case free != nil:
		size := free.spec.Models[a.Model].AdapterSizeMB
		p.issueOrder(now, free, true, a, adapterLoadBase+time.Duration(size*float64(adapterLoadPerMB)), plan)
		return true
	case full != nil:
		oldest, _ := full.lruAdapter()
		p.issueOrder(now, full, false, oldest, unloadDuration, plan)
	}
	return false
}

// shortage describes a model that has too few copies.
type shortage struct {
	model      string
	copies     int
	demandRate float64
	missed     bool
}

// planModels loads models that no engine holds and more copies of busy ones.
func (p *Planner) planModels(now time.Time, service string, plan *Plan) {
	engines := p.enginesOf(service)
	if len(engines) == 0 {
		return
	}
	counts := countCopies(engines)
	p.planVersionMisses(now, service, engines, counts, plan)
	for _, s := range p.shortages(now, service, engines[0].spec, counts, len(engines)) {
		p.resolveShortage(now, service, engines, s, counts, plan)
	}
}

// planVersionMisses loads models that requests wait for at engines of one software
// version, where other versions may hold them.
func (p *Planner) planVersionMisses(now time.Time, service string, engines []*engine, counts copyCounts, plan *Plan) {
	for _, m := range sortedMisses(p.misses[service]) {
		if m.SoftwareVersion == "" || m.Adapter != "" {
			continue
		}
		sameVersion := enginesOfVersion(engines, m.SoftwareVersion)
		if countCopies(sameVersion).total[m.Model] > 0 {
			continue
		}
		p.resolveShortage(now, service, sameVersion, shortage{
			model:      m.Model,
			demandRate: p.demandRate(now, service, m.Model),
			missed:     true,
		}, counts, plan)
	}
}

// copyCounts holds the number of copies of each model on usable engines.
type copyCounts struct {
	// total includes copies that are being loaded, serving does not.
	total   map[string]int
	serving map[string]int
	// limited are those of total on engines that have named a limit.
	limited map[string]int
}

// limitedCopyCapacity is what a copy on an engine with a limit carries, as a fraction of
// what another copy does.
const limitedCopyCapacity = 0.5

// capacity returns how many copies without a limit carry as much as those of a model.
func (n copyCounts) capacity(model string) float64 {
	return float64(n.total[model]) - (1-limitedCopyCapacity)*float64(n.limited[model])
}

func countCopies(engines []*engine) copyCounts {
	counts := copyCounts{
		total:   make(map[string]int),
		serving: make(map[string]int),
		limited: make(map[string]int),
	}
	for _, e := range engines {
		if !e.usable {
			continue
		}
		for model := range e.models {
			weights := Artifact{Model: model}
			if !e.hasPendingOrder(weights) {
				counts.serving[model]++
			}
			if !e.hasPendingOrder(weights) || e.loading(weights) {
				counts.total[model]++
				counts.limited[model] += boolToInt(e.limited)
			}
		}
	}
	return counts
}

// shortages returns the models that have too few copies, the most urgent first.
func (p *Planner) shortages(
	now time.Time, service string, spec *topo.EngineSpec, counts copyCounts, engineCount int,
) []shortage {
	var out []shortage
	for _, model := range slices.Sorted(maps.Keys(spec.Models)) {
		s := shortage{
			model:      model,
			copies:     counts.total[model],
			demandRate: p.demandRate(now, service, model),
		}
		missedAt, missed := p.misses[service][Miss{Artifact: Artifact{Model: model}}]
		s.missed = missed && now.Sub(missedAt) <= missLifetime
		target := min(engineCount, int(math.Ceil(s.demandRate/p.settings.MaxCopyLoad)))
		if s.copies == 0 || s.copies < engineCount && counts.capacity(model) < float64(target) {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b shortage) int {
		return cmp.Or(
			-cmp.Compare(boolToInt(a.missed && a.copies == 0), boolToInt(b.missed && b.copies == 0)),
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

func (p *Planner) demandRate(now time.Time, service, model string) float64 {
	d := p.demand[service][model]
	if d == nil {
		return 0
	}
	return d.rate(now)
}

// loadOption is a way to load a model at an engine.
type loadOption struct {
	engine *engine
	// victim is the model to unload first, empty if there is room.
	victim string
	source loadSource
	cost   float64
}

// loadSource is where an engine loads weights from, ordered from slow to fast.
type loadSource int

const (
	fromStore loadSource = iota
	fromDisk
	fromMemory
)

// resolveShortage loads a model at the engine where that costs least, or unloads
// another model there to make room.
func (p *Planner) resolveShortage(now time.Time, service string, engines []*engine, s shortage, counts copyCounts, plan *Plan) {
	var best *loadOption
	for _, e := range engines {
		o := p.evaluateLoad(now, service, e, s, counts)
		if o != nil && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	if best == nil {
		return
	}
	e := best.engine
	if best.victim != "" {
		counts.total[best.victim]--
		counts.serving[best.victim]--
		if best.source == fromStore {
			p.reserveStoreLoad(now, service, e)
		}
		p.issueOrder(now, e, false, Artifact{Model: best.victim}, unloadDuration, plan)
		return
	}
	spec := e.spec.Models[s.model]
	if best.source == fromStore {
		p.reserveStoreLoad(now, service, e)
		e.reservedAt = time.Time{}
	}
	counts.total[s.model]++
	duration := map[loadSource]time.Duration{
		fromStore:  spec.StoreLoadTime,
		fromDisk:   spec.DiskLoadTime,
		fromMemory: spec.MemoryLoadTime,
	}[best.source]
	p.issueOrder(now, e, true, Artifact{Model: s.model}, duration, plan)
}

// evaluateLoad returns how an engine could load a model, or nil if it can't do so
// now.
func (p *Planner) evaluateLoad(now time.Time, service string, e *engine, s shortage, counts copyCounts) *loadOption {
	spec := e.spec.Models[s.model]
	if _, held := e.models[s.model]; held || spec == nil || !e.canAcceptOrder() {
		return nil
	}
	o := &loadOption{
		engine: e,
		source: fromStore,
	}
	switch {
	case e.inMemory[s.model]:
		o.source = fromMemory
	case e.onDisk[s.model]:
		o.source = fromDisk
	}
	if o.source == fromStore && e.reservedAt.IsZero() && !p.storeAdmitsLoad(now, service, e.spec) {
		return nil
	}
	o.cost = [...]float64{fromStore: 9, fromDisk: 2, fromMemory: 1}[o.source] + float64(e.runningRequests)*runningRequestCost
	if e.limited {
		o.cost += limitedEngineCost
	}
	if e.freeMemory() >= spec.SizeMB {
		return o
	}
	victim, loss := p.chooseVictim(now, service, e, s, counts)
	if victim == "" {
		return nil
	}
	o.victim = victim
	o.cost += 1 + loss
	return o
}

// limitedEngineCost is the cost of a load at an engine with a limit, in seconds of load
// time.
const limitedEngineCost = 10

// runningRequestCost is the cost of each request that runs at an engine, in seconds
// of load time.
const runningRequestCost = 0.05

// chooseVictim returns the model whose eviction from an engine loses the least, and
// that loss. It returns an empty name if no eviction in favor of the model in
// shortage is a gain.
func (p *Planner) chooseVictim(now time.Time, service string, e *engine, s shortage, counts copyCounts) (string, float64) {
	victim, lowestLoss := "", math.Inf(1)
	gain := s.demandRate / float64(s.copies+1)
	if s.copies == 0 && s.missed {
		gain = math.Inf(1)
	}
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		if now.Sub(e.loadedAt[model]) < p.settings.MinResidency {
			continue
		}
		rate := p.demandRate(now, service, model)
		loss := rate / float64(max(counts.serving[model]-1, 1))
		if counts.serving[model] <= 1 && !p.mayEvictLastCopy(now, service, model, s) {
			continue
		}
		if loss*minEvictGain >= gain && loss > idleDemandRate {
			continue
		}
		if loss < lowestLoss {
			victim, lowestLoss = model, loss
		}
	}
	return victim, lowestLoss
}

// minEvictGain is the factor by which the demand for a new copy must exceed the
// demand for the copy that is evicted for it.
const minEvictGain = 2

// mayEvictLastCopy reports whether the last copy of a model may be evicted: it has
// had no requests for a while, and requests are waiting for the model in shortage,
// which no engine holds.
func (p *Planner) mayEvictLastCopy(now time.Time, service, model string, s shortage) bool {
	if s.copies > 0 || !s.missed {
		return false
	}
	d := p.demand[service][model]
	return d == nil || now.Sub(d.lastRequestAt) > lastCopyIdleTime
}

// reserveStoreLoad counts a load from the weight store towards its rate limit. If an
// engine must make room first, the load is counted from then on, and counted again
// in place of that when it begins.
func (p *Planner) reserveStoreLoad(now time.Time, service string, e *engine) {
	p.storeLoads[service] = slices.DeleteFunc(p.storeLoads[service], func(at time.Time) bool {
		return !e.reservedAt.IsZero() && at.Equal(e.reservedAt)
	})
	p.storeLoads[service] = append(p.storeLoads[service], now)
	e.reservedAt = now
}

// storeAdmitsLoad reports whether the rate limit of the weight store admits a load.
func (p *Planner) storeAdmitsLoad(now time.Time, service string, spec *topo.EngineSpec) bool {
	recent := slices.DeleteFunc(p.storeLoads[service], func(at time.Time) bool {
		return now.Sub(at) > p.settings.LoadWindow
	})
	p.storeLoads[service] = recent
	limit := math.Floor(spec.LoadsPerSecond * p.settings.LoadWindow.Seconds())
	if now.Before(p.inheritedLoadsUntil) {
		// An earlier planner may have used up the limit; only the slack is left.
		limit = p.settings.LoadSlack
	}
	return float64(len(recent)) < limit
}

func sortedMisses(misses map[Miss]time.Time) []Miss {
	return slices.SortedFunc(maps.Keys(misses), func(a, b Miss) int {
		return cmp.Or(
			cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Adapter, b.Adapter),
			cmp.Compare(a.SoftwareVersion, b.SoftwareVersion),
		)
	})
}
