package stock

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// Plan is what the planner asks for at one point in time.
type Plan struct {
	// Orders are to be sent now.
	Orders []Order
	// ReportRequests names the engines to ask for an account.
	ReportRequests []string
}

const (
	// adapterLoadBase and adapterPerMB are the time that an adapter takes to load.
	adapterLoadBase  = 8 * time.Millisecond
	adapterLoadPerMB = 450 * time.Microsecond
	// unloadDuration is how soon an unload of an idle model is looked at.
	unloadDuration = 60 * time.Millisecond
	// lastCopyIdleTime is the time without requests after which a model's last copy
	// may make room for one that is asked for.
	lastCopyIdleTime = 6 * time.Second
)

// Plan returns the orders to send and the engines to ask.
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

// checkPending sees to an order that is under way.
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
	case !pending.answered && !now.Before(pending.resendAt):
		pending.resendAt = now.Add(reportInterval + resendDelay)
		plan.Orders = append(plan.Orders, pending.order)
	case !pending.answered || now.Before(pending.expectedAt):
	case adapter && pending.order.Load && !pending.ambiguous:
		p.completeOrder(now, e, true)
	default:
		p.requestReport(now, e, plan)
	}
}

// requestReport has an engine asked for its account, unless that was done just now.
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

// enginesOf returns the engines enginesOf a service in order enginesOf their IDs.
func (p *Planner) enginesOf(service string) []*engine {
	var engines []*engine
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		if e := p.engines[id]; e.service == service && e.spec != nil {
			engines = append(engines, e)
		}
	}
	return engines
}

// issueOrder books an issueOrder and adds it to the plan.
func (p *Planner) issueOrder(now time.Time, e *engine, load bool, a Artifact, duration time.Duration, plan *Plan) {
	o := Order{
		Engine:           e.id,
		Load:             load,
		Artifact:         a,
		ExpectedAccepted: e.acceptedOrders,
	}
	e.beginOrder(now, o, duration)
	if !load {
		p.changed[e.id] = true
	}
	plan.Orders = append(plan.Orders, o)
}

// planAdapters loads the adapters that requests wait for.
func (p *Planner) planAdapters(now time.Time, service string, plan *Plan) {
	engines := p.enginesOf(service)
	misses := p.misses[service]
	for _, a := range sortedArtifacts(misses) {
		if now.Sub(misses[a]) > missLifetime {
			delete(misses, a)
			continue
		}
		if a.Adapter == "" {
			continue
		}
		if p.placeAdapter(now, engines, a, plan) {
			delete(misses, a)
		}
	}
}

// placeAdapter gives an adapter to the least busy engine that holds its model.
// It reports whether one has it or gets it.
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

// shortage is a model that lacks copies.
type shortage struct {
	model      string
	copies     int
	demandRate float64
	missed     bool
}

// planModels loads models that nobody holds and more copies of busy ones.
func (p *Planner) planModels(now time.Time, service string, plan *Plan) {
	engines := p.enginesOf(service)
	if len(engines) == 0 {
		return
	}
	counts := countCopies(engines)
	for _, n := range p.shortages(now, service, engines[0].spec, counts.total, len(engines)) {
		p.resolveShortage(now, service, engines, n, counts, plan)
	}
}

// copyCounts is how many copies of each model usable engines hold.
type copyCounts struct {
	// total includes those that are being loaded, serving does not.
	total   map[string]int
	serving map[string]int
}

func countCopies(engines []*engine) copyCounts {
	counts := copyCounts{
		total:   make(map[string]int),
		serving: make(map[string]int),
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
			}
		}
	}
	return counts
}

// shortages returns the models that lack copies, the most urgent first.
func (p *Planner) shortages(now time.Time, service string, spec *topo.EngineSpec, copies map[string]int, engineCount int) []shortage {
	var out []shortage
	for _, model := range slices.Sorted(maps.Keys(spec.Models)) {
		n := shortage{
			model:      model,
			copies:     copies[model],
			demandRate: p.demandRate(now, service, model),
		}
		missedAt, missed := p.misses[service][Artifact{Model: model}]
		n.missed = missed && now.Sub(missedAt) <= missLifetime
		target := min(engineCount, int(math.Ceil(n.demandRate/p.settings.MaxCopyLoad)))
		if n.copies == 0 || n.copies < target {
			out = append(out, n)
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

// loadOption is a way to get a model to an engine.
type loadOption struct {
	engine *engine
	// victim must be unloaded first, empty if there is room.
	victim string
	source loadSource
	cost   float64
}

// loadSource is where a load gets its weights, the fastest last.
type loadSource int

const (
	fromStore loadSource = iota
	fromDisk
	fromMemory
)

// resolveShortage loads a model where that costs least, or makes room for it.
func (p *Planner) resolveShortage(now time.Time, service string, engines []*engine, n shortage, counts copyCounts, plan *Plan) {
	var best *loadOption
	for _, e := range engines {
		o := p.evaluateLoad(now, service, e, n, counts)
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
	spec := e.spec.Models[n.model]
	if best.source == fromStore {
		p.reserveStoreLoad(now, service, e)
		e.reservedAt = time.Time{}
	}
	counts.total[n.model]++
	durations := map[loadSource]time.Duration{
		fromStore:  spec.StoreLoadTime,
		fromDisk:   spec.DiskLoadTime,
		fromMemory: spec.MemoryLoadTime,
	}[best.source]
	p.issueOrder(now, e, true, Artifact{Model: n.model}, durations, plan)
}

// evaluateLoad returns how an engine could get a model, nil if it can't now.
func (p *Planner) evaluateLoad(now time.Time, service string, e *engine, n shortage, counts copyCounts) *loadOption {
	spec := e.spec.Models[n.model]
	if _, held := e.models[n.model]; held || spec == nil || !e.canAcceptOrder() {
		return nil
	}
	o := &loadOption{
		engine: e,
		source: fromStore,
	}
	switch {
	case e.inMemory[n.model]:
		o.source = fromMemory
	case e.onDisk[n.model]:
		o.source = fromDisk
	}
	if o.source == fromStore && e.reservedAt.IsZero() && !p.storeAdmitsLoad(now, service, e.spec) {
		return nil
	}
	o.cost = [...]float64{fromStore: 9, fromDisk: 2, fromMemory: 1}[o.source] + float64(e.runningRequests)*runningRequestCost
	if e.freeMemory() >= spec.SizeMB {
		return o
	}
	victim, loss := p.chooseVictim(now, service, e, n, counts)
	if victim == "" {
		return nil
	}
	o.victim = victim
	o.cost += 1 + loss
	return o
}

// runningRequestCost weighs a running request at an engine against a second of loading.
const runningRequestCost = 0.05

// chooseVictim returns the model of an engine that is missed least, if giving it up
// for the needed one is a gain.
func (p *Planner) chooseVictim(now time.Time, service string, e *engine, n shortage, counts copyCounts) (string, float64) {
	best, lowest := "", math.Inf(1)
	gain := n.demandRate / float64(n.copies+1)
	if n.copies == 0 && n.missed {
		gain = math.Inf(1)
	}
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		if now.Sub(e.loadedAt[model]) < p.settings.MinResidency {
			continue
		}
		rate := p.demandRate(now, service, model)
		loss := rate / float64(max(counts.serving[model]-1, 1))
		if counts.serving[model] <= 1 && !p.mayEvictLastCopy(now, service, model, n) {
			continue
		}
		if loss*minEvictGain >= gain && loss > idleDemandRate {
			continue
		}
		if loss < lowest {
			best, lowest = model, loss
		}
	}
	return best, lowest
}

// minEvictGain is how many times more a copy must be asked for than the one that
// makes room for it.
const minEvictGain = 2

// mayEvictLastCopy reports whether the last copy of a model may go: nobody has asked
// for it for a while, and requests wait for the other one, which nobody holds.
func (p *Planner) mayEvictLastCopy(now time.Time, service, model string, n shortage) bool {
	if n.copies > 0 || !n.missed {
		return false
	}
	d := p.demand[service][model]
	return d == nil || now.Sub(d.lastRequestAt) > lastCopyIdleTime
}

// reserveStoreLoad counts a load of an engine from the weight store. An engine that makes
// room for a load has it counted from then on, and anew when it begins.
func (p *Planner) reserveStoreLoad(now time.Time, service string, e *engine) {
	p.storeLoads[service] = slices.DeleteFunc(p.storeLoads[service], func(at time.Time) bool {
		return !e.reservedAt.IsZero() && at.Equal(e.reservedAt)
	})
	p.storeLoads[service] = append(p.storeLoads[service], now)
	e.reservedAt = now
}

// storeAdmitsLoad reports whether the weight store's ceiling admits one more load.
func (p *Planner) storeAdmitsLoad(now time.Time, service string, spec *topo.EngineSpec) bool {
	recent := slices.DeleteFunc(p.storeLoads[service], func(at time.Time) bool {
		return now.Sub(at) > p.settings.LoadWindow
	})
	p.storeLoads[service] = recent
	limit := math.Floor(spec.LoadsPerSecond * p.settings.LoadWindow.Seconds())
	if now.Before(p.inheritedLoadsUntil) {
		// An earlier planner may have used the ceiling; only its slack is left.
		limit = p.settings.LoadSlack
	}
	return float64(len(recent)) < limit
}

func sortedArtifacts(artifacts map[Artifact]time.Time) []Artifact {
	return slices.SortedFunc(maps.Keys(artifacts), func(a, b Artifact) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}
