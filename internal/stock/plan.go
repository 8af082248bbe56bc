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
	// Reports names the engines to ask for an account.
	Reports []string
}

const (
	// adapterBase and adapterPerMB are the time that an adapter takes to load.
	adapterBase  = 8 * time.Millisecond
	adapterPerMB = 450 * time.Microsecond
	// unloadTime is how soon an unload of an idle model is looked at.
	unloadTime = 60 * time.Millisecond
	// rareLimit is the time without requests after which a model's last copy
	// may make room for one that is asked for.
	rareLimit = 6 * time.Second
)

// Plan returns the orders to send and the engines to ask.
func (p *Planner) Plan(now time.Time) Plan {
	var plan Plan
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		p.follow(now, p.engines[id], &plan)
	}
	for _, service := range p.services() {
		p.planAdapters(now, service, &plan)
		p.planModels(now, service, &plan)
	}
	return plan
}

// follow sees to an order that is under way.
func (p *Planner) follow(now time.Time, e *engine, plan *Plan) {
	if e.pending == nil {
		if !e.known {
			p.ask(now, e, plan)
		}
		return
	}
	pend := e.pending
	adapter := pend.order.Adapter != ""
	switch {
	case !pend.answered && !now.Before(pend.resendAt):
		pend.resendAt = now.Add(reportPause + resendPause)
		plan.Orders = append(plan.Orders, pend.order)
	case !pend.answered || now.Before(pend.due):
	case adapter && pend.order.Load && !pend.doubtful:
		p.complete(now, e, true)
	default:
		p.ask(now, e, plan)
	}
}

// ask has an engine asked for its account, unless that was done just now.
func (p *Planner) ask(now time.Time, e *engine, plan *Plan) {
	if now.Before(e.nextReport) {
		return
	}
	e.nextReport = now.Add(reportPause)
	plan.Reports = append(plan.Reports, e.id)
}

func (p *Planner) services() []string {
	names := make(map[string]bool)
	for _, e := range p.engines {
		names[e.service] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// of returns the engines of a service in order of their IDs.
func (p *Planner) of(service string) []*engine {
	var out []*engine
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		if e := p.engines[id]; e.service == service && e.spec != nil {
			out = append(out, e)
		}
	}
	return out
}

// order books an order and adds it to the plan.
func (p *Planner) order(now time.Time, e *engine, load bool, c Copy, took time.Duration, plan *Plan) {
	o := Order{
		Engine:   e.id,
		Load:     load,
		Copy:     c,
		Accepted: e.accepted,
	}
	e.begin(now, o, took)
	if !load {
		p.changed[e.id] = true
	}
	plan.Orders = append(plan.Orders, o)
}

// planAdapters loads the adapters that requests wait for.
func (p *Planner) planAdapters(now time.Time, service string, plan *Plan) {
	engines := p.of(service)
	wants := p.wants[service]
	for _, c := range sortedCopies(wants) {
		if now.Sub(wants[c]) > wantLifetime {
			delete(wants, c)
			continue
		}
		if c.Adapter == "" {
			continue
		}
		if p.placeAdapter(now, engines, c, plan) {
			delete(wants, c)
		}
	}
}

// placeAdapter gives an adapter to the least busy engine that holds its model.
// It reports whether one has it or gets it.
func (p *Planner) placeAdapter(now time.Time, engines []*engine, c Copy, plan *Plan) bool {
	var free, full *engine
	for _, e := range engines {
		if e.holds(c) && e.usable || e.loading(c) {
			return true
		}
		spec := e.spec.Models[c.Model]
		if spec == nil || !e.ready() || !e.holds(Copy{Model: c.Model}) {
			continue
		}
		if e.adapters() < e.spec.AdapterSlots && e.space() >= spec.AdapterSize {
			if free == nil || e.running < free.running {
				free = e
			}
			continue
		}
		_, used := e.oldestAdapter()
		if now.Sub(used) < p.settings.AdapterResidency {
			continue
		}
		if full == nil || e.running < full.running {
			full = e
		}
	}
	switch {
	case free != nil:
		size := free.spec.Models[c.Model].AdapterSize
		p.order(now, free, true, c, adapterBase+time.Duration(size*float64(adapterPerMB)), plan)
		return true
	case full != nil:
		oldest, _ := full.oldestAdapter()
		p.order(now, full, false, oldest, unloadTime, plan)
	}
	return false
}

// need is a model that lacks copies.
type need struct {
	model  string
	copies int
	rate   float64
	wanted bool
}

// planModels loads models that nobody holds and more copies of busy ones.
func (p *Planner) planModels(now time.Time, service string, plan *Plan) {
	engines := p.of(service)
	if len(engines) == 0 {
		return
	}
	c := count(engines)
	for _, n := range p.needs(now, service, engines[0].spec, c.all, len(engines)) {
		p.serveNeed(now, service, engines, n, c, plan)
	}
}

// census is how many copies of each model usable engines hold.
type census struct {
	// all includes those that are being loaded, serving does not.
	all     map[string]int
	serving map[string]int
}

func count(engines []*engine) census {
	c := census{
		all:     make(map[string]int),
		serving: make(map[string]int),
	}
	for _, e := range engines {
		if !e.usable {
			continue
		}
		for model := range e.models {
			weights := Copy{Model: model}
			if !e.changing(weights) {
				c.serving[model]++
			}
			if !e.changing(weights) || e.loading(weights) {
				c.all[model]++
			}
		}
	}
	return c
}

// needs returns the models that lack copies, the most urgent first.
func (p *Planner) needs(now time.Time, service string, spec *topo.Engine, copies map[string]int, engines int) []need {
	var out []need
	for _, model := range slices.Sorted(maps.Keys(spec.Models)) {
		n := need{
			model:  model,
			copies: copies[model],
			rate:   p.rate(now, service, model),
		}
		at, asked := p.wants[service][Copy{Model: model}]
		n.wanted = asked && now.Sub(at) <= wantLifetime
		target := min(engines, int(math.Ceil(n.rate/p.settings.CopyWork)))
		if n.copies == 0 || n.copies < target {
			out = append(out, n)
		}
	}
	slices.SortStableFunc(out, func(a, b need) int {
		return cmp.Or(
			-cmp.Compare(btoi(a.wanted && a.copies == 0), btoi(b.wanted && b.copies == 0)),
			-cmp.Compare(a.rate/float64(max(a.copies, 1)), b.rate/float64(max(b.copies, 1))),
			cmp.Compare(a.copies, b.copies),
		)
	})
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (p *Planner) rate(now time.Time, service, model string) float64 {
	d := p.demand[service][model]
	if d == nil {
		return 0
	}
	return d.rate(now)
}

// offer is a way to get a model to an engine.
type offer struct {
	engine *engine
	// victim must be unloaded first, empty if there is room.
	victim string
	source source
	cost   float64
}

// source is where a load gets its weights, the fastest last.
type source int

const (
	fromStore source = iota
	fromDisk
	fromMemory
)

// serveNeed loads a model where that costs least, or makes room for it.
func (p *Planner) serveNeed(now time.Time, service string, engines []*engine, n need, c census, plan *Plan) {
	var best *offer
	for _, e := range engines {
		o := p.offer(now, service, e, n, c)
		if o != nil && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	if best == nil {
		return
	}
	e := best.engine
	if best.victim != "" {
		c.all[best.victim]--
		c.serving[best.victim]--
		if best.source == fromStore {
			p.reserve(now, service, e)
		}
		p.order(now, e, false, Copy{Model: best.victim}, unloadTime, plan)
		return
	}
	spec := e.spec.Models[n.model]
	if best.source == fromStore {
		p.reserve(now, service, e)
		e.reservedAt = time.Time{}
	}
	c.all[n.model]++
	took := map[source]time.Duration{
		fromStore:  spec.LoadTime,
		fromDisk:   spec.DiskTime,
		fromMemory: spec.WarmTime,
	}[best.source]
	p.order(now, e, true, Copy{Model: n.model}, took, plan)
}

// offer returns how an engine could get a model, nil if it can't now.
func (p *Planner) offer(now time.Time, service string, e *engine, n need, c census) *offer {
	spec := e.spec.Models[n.model]
	if _, held := e.models[n.model]; held || spec == nil || !e.ready() {
		return nil
	}
	o := &offer{
		engine: e,
		source: fromStore,
	}
	switch {
	case e.near[n.model]:
		o.source = fromMemory
	case e.onDisk[n.model]:
		o.source = fromDisk
	}
	if o.source == fromStore && e.reservedAt.IsZero() && !p.mayLoad(now, service, e.spec) {
		return nil
	}
	o.cost = [...]float64{fromStore: 9, fromDisk: 2, fromMemory: 1}[o.source] + float64(e.running)*runningCost
	if e.space() >= spec.Size {
		return o
	}
	victim, loss := p.victim(now, service, e, n, c)
	if victim == "" {
		return nil
	}
	o.victim = victim
	o.cost += 1 + loss
	return o
}

// runningCost weighs a running request at an engine against a second of loading.
const runningCost = 0.05

// victim returns the model of an engine that is missed least, if giving it up
// for the needed one is a gain.
func (p *Planner) victim(now time.Time, service string, e *engine, n need, c census) (string, float64) {
	best, lowest := "", math.Inf(1)
	gain := n.rate / float64(n.copies+1)
	if n.copies == 0 && n.wanted {
		gain = math.Inf(1)
	}
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		if now.Sub(e.loadedAt[model]) < p.settings.Residency {
			continue
		}
		rate := p.rate(now, service, model)
		loss := rate / float64(max(c.serving[model]-1, 1))
		if c.serving[model] <= 1 && !p.dispensable(now, service, model, n) {
			continue
		}
		if loss*evictGain >= gain && loss > idleDemand {
			continue
		}
		if loss < lowest {
			best, lowest = model, loss
		}
	}
	return best, lowest
}

// evictGain is how many times more a copy must be asked for than the one that
// makes room for it.
const evictGain = 2

// dispensable reports whether the last copy of a model may go: nobody has asked
// for it for a while, and requests wait for the other one, which nobody holds.
func (p *Planner) dispensable(now time.Time, service, model string, n need) bool {
	if n.copies > 0 || !n.wanted {
		return false
	}
	d := p.demand[service][model]
	return d == nil || now.Sub(d.lastAt) > rareLimit
}

// reserve counts a load of an engine from the weight store. An engine that makes
// room for a load has it counted from then on, and anew when it begins.
func (p *Planner) reserve(now time.Time, service string, e *engine) {
	p.loads[service] = slices.DeleteFunc(p.loads[service], func(at time.Time) bool {
		return !e.reservedAt.IsZero() && at.Equal(e.reservedAt)
	})
	p.loads[service] = append(p.loads[service], now)
	e.reservedAt = now
}

// mayLoad reports whether the weight store's ceiling admits one more load.
func (p *Planner) mayLoad(now time.Time, service string, spec *topo.Engine) bool {
	begun := slices.DeleteFunc(p.loads[service], func(at time.Time) bool {
		return now.Sub(at) > p.settings.LoadWindow
	})
	p.loads[service] = begun
	most := math.Floor(spec.LoadsPerSecond * p.settings.LoadWindow.Seconds())
	if now.Before(p.quietUntil) {
		// An earlier planner may have used the ceiling; only its slack is left.
		most = p.settings.LoadSlack
	}
	return float64(len(begun)) < most
}

func sortedCopies(wants map[Copy]time.Time) []Copy {
	return slices.SortedFunc(maps.Keys(wants), func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}
