package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

const (
	overloadStep      = 5 * time.Millisecond
	overloadTick      = 50 * time.Millisecond
	overloadStoreRead = 500 * time.Millisecond
	// overloadCalm is how long the customer stays within its rate before the overload
	// begins, so that its burst is saved up.
	overloadCalm = 3 * time.Second
	// quotaWindow is the window of the upper bound, quotaOverrun and quotaSlack its
	// tolerances.
	quotaWindow  = 8 * time.Second
	quotaOverrun = 1.1
	quotaSlack   = 10_000
)

// requestKind is a kind of request of the overloading customer.
type requestKind struct {
	path      string
	share     float64
	objective time.Duration
	timeout   time.Duration
	cost      func(*rand.Rand) float64
}

// lognormal returns a lognormally distributed number with the given median, at most limit.
func lognormal(random *rand.Rand, median, limit float64) float64 {
	return math.Round(min(median*math.Exp(0.6*random.NormFloat64()), limit))
}

func requestKinds() []requestKind {
	return []requestKind{
		{"/long/", 0.80, 500 * time.Millisecond, 15 * time.Second, func(r *rand.Rand) float64 {
			return 350 + lognormal(r, 1110, 3790) + lognormal(r, 200, 450)
		}},
		{"/medium/", 0.15, 400 * time.Millisecond, 10 * time.Second, func(r *rand.Rand) float64 {
			return 155 + lognormal(r, 491, 3790) + lognormal(r, 60, 100)
		}},
		{"/plain/", 0.05, 100 * time.Millisecond, 8 * time.Second, func(*rand.Rand) float64 { return 200 }},
	}
}

// overload is a load pattern of one customer.
type overload struct {
	entries int
	// factor is what the customer asks for, as a multiple of its rate.
	factor float64
	rate   float64
	// uneven sends four fifths of the requests to a fifth of the entries.
	uneven bool
	time   time.Duration
	// calm is what the customer asks for before, as a fraction of its rate.
	calm float64
	// seeds is the number of plays of which the mean counts.
	seeds uint64
	// fault changes the fleet in each step; at is the time since the overload began.
	fault func(f *overloadFleet, at time.Duration)
}

// overloadCall is a request of a client.
type overloadCall struct {
	kind     int
	cost     float64
	deadline time.Time
	retried  bool
	asked    bool // in the measured time
}

type delivery struct {
	to    string
	event Event
	from  string
}

// overloadFleet is a set of cores whose messages take one step, with the clients of one
// customer.
type overloadFleet struct {
	t       *testing.T
	load    overload
	random  *rand.Rand
	now     time.Time
	hosts   []string
	cores   map[string]*Core
	starts  int
	lastKey CallID
	inbox   []delivery
	ticks   map[string]time.Time
	// cut are the entries that can't reach the leader.
	cut      map[string]bool
	followed map[string]string
	record   lease.Record
	offset   int64
	calls    map[CallID]*overloadCall
	retries  map[int64][]*overloadCall
	kinds    []requestKind

	measuring bool
	asked     float64
	run       float64
	// ran holds the tokens that ran in each step.
	ran     []float64
	callers []int
	served  []int
	// longestPause is the longest time without a served request of each kind.
	lastServed   []time.Time
	longestPause []time.Duration
	refusals     map[fault.Code]int
}

func (f *overloadFleet) config() *topo.Config {
	config := &topo.Config{
		Version: 1,
		Services: map[string]*topo.Service{
			"shop": {Name: "shop", MaxConns: 1 << 20},
		},
		Customers: map[string]*topo.Customer{
			"acme": {
				Name: "acme", Keys: []string{"k1"}, DefaultTokens: 200, ByTokens: true,
				Rate: f.load.rate, Burst: f.load.rate,
			},
		},
	}
	for _, kind := range f.kinds {
		config.Routes = append(config.Routes, &topo.Route{
			Name: kind.path, Host: "h", PathPrefix: kind.path, Kind: topo.Idempotent,
			Timeout: kind.timeout, LatencyObjective: kind.objective,
			Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2,
		})
	}
	return config.BuildIndex()
}

func newOverloadFleet(t *testing.T, load overload, seed uint64) *overloadFleet {
	f := &overloadFleet{
		t: t, load: load, random: rand.New(rand.NewPCG(seed, 7)), now: start,
		cores: make(map[string]*Core), ticks: make(map[string]time.Time), cut: make(map[string]bool),
		followed: make(map[string]string), calls: make(map[CallID]*overloadCall),
		retries: make(map[int64][]*overloadCall), kinds: requestKinds(), refusals: make(map[fault.Code]int),
	}
	f.callers = make([]int, len(f.kinds))
	f.served = make([]int, len(f.kinds))
	f.lastServed = make([]time.Time, len(f.kinds))
	f.longestPause = make([]time.Duration, len(f.kinds))
	for i := range load.entries {
		f.hosts = append(f.hosts, fmt.Sprint("front-", i+1))
		f.startEntry(f.hosts[i])
	}
	return f
}

// startEntry starts an entry that knows nothing and reads the store.
func (f *overloadFleet) startEntry(host string) {
	f.starts++
	settings := testSettings(host)
	i := slices.Index(f.hosts, host)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7600)
	f.cores[host] = New(settings, lease.New(host, uint64(f.starts), address, settings.Lease), rand.New(rand.NewPCG(uint64(f.starts), 2)))
	f.ticks[host] = f.now.Add(time.Duration(f.random.Int64N(int64(overloadTick))))
	f.apply(host, ConfigRead{Config: f.config(), SentAt: f.now})
	read := EndpointsRead{SentAt: f.now, Full: true}
	for i := range 3 {
		ep := testEndpoint(fmt.Sprint("shop-", i), "shop")
		ep.Slots = 1 << 20
		read.Changes = append(read.Changes, topo.EndpointChange{ID: ep.ID, Endpoint: ep})
	}
	f.apply(host, read)
}

// endEntry ends an entry's process. What it held is lost.
func (f *overloadFleet) endEntry(host string) {
	if f.cores[host] == nil {
		return
	}
	delete(f.cores, host)
	for other, followed := range f.followed {
		if followed == host {
			f.post(other, LeaderDisconnected{Host: host}, "")
			delete(f.followed, other)
		}
	}
	if leader := f.followed[host]; leader != "" {
		f.post(leader, PeerDisconnected{Host: host}, "")
		delete(f.followed, host)
	}
}

// setCut cuts an entry off from the leader, or connects it again.
func (f *overloadFleet) setCut(host string, cut bool) {
	if f.cut[host] == cut {
		return
	}
	f.cut[host] = cut
	leader := f.leader()
	if cut {
		f.post(f.followed[host], PeerDisconnected{Host: host}, "")
		f.post(host, LeaderDisconnected{Host: f.followed[host]}, "")
		delete(f.followed, host)
		return
	}
	if leader != "" && leader != host {
		f.connect(host, leader)
	}
}

func (f *overloadFleet) leader() string {
	for _, host := range f.hosts {
		if core := f.cores[host]; core != nil && core.isLeader(f.now) {
			return host
		}
	}
	return ""
}

func (f *overloadFleet) connect(from, to string) {
	if f.cut[from] || f.cores[to] == nil {
		return
	}
	f.followed[from] = to
	f.apply(to, PeerConnected{Host: from})
	f.apply(from, LeaderConnected{Host: to})
}

func (f *overloadFleet) post(to string, event Event, from string) {
	f.inbox = append(f.inbox, delivery{to: to, event: event, from: from})
}

// apply delivers an event and queues the resulting messages.
func (f *overloadFleet) apply(host string, event Event) {
	core := f.cores[host]
	if core == nil {
		return
	}
	for _, effect := range core.Apply(f.now, event) {
		switch e := effect.(type) {
		case SendReport:
			f.post(f.followed[host], ReportReceived{Host: host, Report: e.Report}, host)
		case SendState:
			f.post(e.Host, StateReceived{Host: host, State: e.State}, host)
		case DialLeader:
			if e.Host == "" {
				delete(f.followed, host)
				continue
			}
			f.connect(host, e.Host)
		case ReadLease:
			f.post(host, LeaseRead{
				Read:   lease.Read{Record: f.record, Offset: f.offset - 1, End: f.offset, Exists: f.offset > 0},
				SentAt: f.now,
			}, "")
		case AppendLease:
			result := AppendRefused
			if e.Offset == f.offset {
				result = AppendDone
				f.offset, f.record = f.offset+1, e.Record
			}
			f.post(host, LeaseAppendEnded{Record: e.Record, Offset: e.Offset, Result: result}, "")
		case ScheduleTick:
			at := f.now.Add(e.After)
			if at.Before(f.ticks[host]) {
				f.ticks[host] = at
			}
		case Send:
			f.sent(host, e.Call)
		case Refuse:
			f.refused(e)
		}
	}
}

func (f *overloadFleet) sent(host string, id CallID) {
	f.post(host, AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}}, "")
	call := f.calls[id]
	if call == nil {
		return // sent before
	}
	delete(f.calls, id)
	f.ran[len(f.ran)-1] += call.cost
	if f.measuring {
		f.run += call.cost
		f.noteServed(call.kind)
	}
	if call.asked {
		f.served[call.kind]++
	}
}

func (f *overloadFleet) noteServed(kind int) {
	f.longestPause[kind] = max(f.longestPause[kind], f.now.Sub(f.lastServed[kind]))
	f.lastServed[kind] = f.now
}

// refused lets the client of a refused call send it again once.
func (f *overloadFleet) refused(e Refuse) {
	call := f.calls[e.Call]
	delete(f.calls, e.Call)
	if f.measuring {
		f.refusals[fault.CodeOf(e.Err)]++
	}
	remaining := call.deadline.Sub(f.now)
	if call.retried || remaining <= 0 {
		return
	}
	call.retried = true
	at := f.now.Add(min(fault.RetryAfterOf(e.Err), remaining/3))
	slot := at.Sub(start).Nanoseconds()/int64(overloadStep) + 1
	f.retries[slot] = append(f.retries[slot], call)
}

// entry returns the entry that a client sends its next request to.
func (f *overloadFleet) entry() string {
	count := len(f.hosts)
	if f.load.uneven && f.random.Float64() < 0.8 {
		count = max(count/5, 1)
	}
	for {
		// An uneven load keeps clear of the first entry, which leads at the beginning.
		host := f.hosts[(f.random.IntN(count)+1)%len(f.hosts)]
		if f.cores[host] != nil {
			return host
		}
		count = len(f.hosts)
	}
}

func (f *overloadFleet) send(call *overloadCall) {
	f.lastKey++
	f.calls[f.lastKey] = call
	f.apply(f.entry(), RequestArrived{Call: f.lastKey, Request: &Request{
		Host: "h", Path: f.kinds[call.kind].path + "1", Key: "k1", MaxTokens: call.cost,
		ClientTimeout: call.deadline.Sub(f.now), ArrivedAt: f.now,
	}})
}

// arrive lets new requests arrive that ask for the given tokens per second on average.
func (f *overloadFleet) arrive(tokensPerSecond float64) {
	const meanCost = 1560
	mean := tokensPerSecond / meanCost * overloadStep.Seconds()
	for limit, product := math.Exp(-mean), f.random.Float64(); product > limit; product *= f.random.Float64() {
		kind := 0
		for u := f.random.Float64() - f.kinds[0].share; u > 0 && kind < len(f.kinds)-1; u -= f.kinds[kind].share {
			kind++
		}
		call := &overloadCall{
			kind: kind, cost: f.kinds[kind].cost(f.random), asked: f.measuring,
			deadline: f.now.Add(f.kinds[kind].timeout),
		}
		if f.measuring {
			f.asked += call.cost
			f.callers[kind]++
		}
		f.send(call)
	}
}

// tickInterval returns the time between the ticks of an entry. Large fleets tick less often,
// which saves most of the time that a play takes.
func (f *overloadFleet) tickInterval() time.Duration {
	if len(f.hosts) > 100 {
		return 4 * overloadTick
	}
	return overloadTick
}

// step lets one step pass.
func (f *overloadFleet) step(tokensPerSecond float64) {
	f.now = f.now.Add(overloadStep)
	f.ran = append(f.ran, 0)
	inbox := f.inbox
	f.inbox = nil
	for _, d := range inbox {
		if d.from != "" && (f.cut[d.from] || f.cut[d.to]) {
			continue
		}
		f.apply(d.to, d.event)
	}
	readsStore := f.now.Sub(start)%overloadStoreRead == 0
	for _, host := range f.hosts {
		if readsStore {
			f.apply(host, ConfigRead{SentAt: f.now})
			f.apply(host, EndpointsRead{SentAt: f.now})
		}
		if !f.now.Before(f.ticks[host]) {
			f.ticks[host] = f.now.Add(f.tickInterval())
			f.apply(host, Tick{})
		}
	}
	slot := f.now.Sub(start).Nanoseconds() / int64(overloadStep)
	for _, call := range f.retries[slot] {
		if f.now.Before(call.deadline) {
			f.send(call)
		}
	}
	delete(f.retries, slot)
	f.arrive(tokensPerSecond)
}

// overloadResult is what an overload has led to.
type overloadResult struct {
	// fraction is the part of the owed tokens that ran.
	fraction float64
	// worstWindow is the largest part of the upper bound that ran in a window.
	worstWindow float64
	// callers counts the requests of each kind, served is the part of them that ran, at the
	// first or second attempt.
	callers  []int
	served   []float64
	longest  []time.Duration
	refusals map[fault.Code]int
}

// playOverload plays a load pattern: the fleet starts, the customer stays within its rate
// for a time, then asks for too much.
func playOverload(t *testing.T, load overload, seed uint64) overloadResult {
	f := newOverloadFleet(t, load, seed)
	for f.now.Sub(start) < 6*time.Second || f.leader() == "" {
		f.step(0)
		if f.now.Sub(start) > time.Minute {
			t.Fatal("no entry leads")
		}
	}
	for range overloadCalm / overloadStep {
		f.step(load.calm * load.rate)
	}
	began := f.now
	f.measuring = true
	for i := range f.lastServed {
		f.lastServed[i] = began
	}
	for f.now.Sub(began) < load.time {
		if load.fault != nil {
			load.fault(f, f.now.Sub(began))
		}
		f.step(load.factor * load.rate)
	}
	for i := range f.lastServed {
		f.noteServed(i)
	}
	owed := min(f.asked, load.rate*load.time.Seconds()+load.rate)
	result := overloadResult{fraction: f.run / owed, callers: f.callers, longest: f.longestPause, refusals: f.refusals}
	for i := range f.kinds {
		result.served = append(result.served, float64(f.served[i])/max(float64(f.callers[i]), 1))
	}
	bound := (load.rate*quotaWindow.Seconds()+load.rate)*quotaOverrun + quotaSlack
	window := 0.0
	for i, ran := range f.ran {
		window += ran
		if steps := int(quotaWindow / overloadStep); i >= steps {
			window -= f.ran[i-steps]
		}
		result.worstWindow = max(result.worstWindow, window/bound)
	}
	return result
}

// partition cuts the last third of the entries off from the leader, from 3 s on.
func partition(f *overloadFleet, at time.Duration) {
	if at < 3*time.Second {
		return
	}
	leader := f.leader()
	for _, host := range f.hosts[len(f.hosts)*2/3:] {
		if host != leader {
			f.setCut(host, true)
		}
	}
}

// loseEntries ends a sixth of the entries at 3 s, and starts them again at 6 s.
func loseEntries(f *overloadFleet, at time.Duration) {
	leader := f.leader()
	for _, host := range f.hosts[:max(len(f.hosts)/6, 1)+1] {
		switch {
		case host == leader:
		case at == 3*time.Second:
			f.endEntry(host)
		case at == 6*time.Second && f.cores[host] == nil:
			f.startEntry(host)
		}
	}
}

// loseLeader ends the leader at 3 s and starts it again at 9 s.
func loseLeader(f *overloadFleet, at time.Duration) {
	switch at {
	case 3 * time.Second:
		f.endEntry(f.leader())
	case 9 * time.Second:
		for _, host := range f.hosts {
			if f.cores[host] == nil {
				f.startEntry(host)
			}
		}
	}
}

// checkOverload plays a load pattern and checks what has run of what was owed, the upper
// bound, and that no kind of request is starved.
func checkOverload(t *testing.T, load overload, least float64) {
	t.Helper()
	fraction := 0.0
	for seed := range load.seeds {
		r := playOverload(t, load, seed+1)
		t.Logf("%s/%d: ran %.3f of the owed tokens, largest window %.3f of the bound, served %.3f, longest pauses %v, refusals %v",
			t.Name(), seed+1, r.fraction, r.worstWindow, r.served, r.longest, r.refusals)
		fraction += r.fraction / float64(load.seeds)
		if r.worstWindow > 1 {
			t.Errorf("%.3f of the bound ran within %v", r.worstWindow, quotaWindow)
		}
		for i, longest := range r.longest {
			perSecond := float64(r.callers[i]) / load.time.Seconds()
			if least > 0 && perSecond >= starvationRate && longest > maxStarvation {
				t.Errorf("no request for %s was served within %v", requestKinds()[i].path, longest)
			}
		}
	}
	if fraction < least {
		t.Errorf("ran %.3f of the owed tokens, want %.2f", fraction, least)
	}
}

// maxStarvation is the longest time in which none of the requests of a kind may be served
// if at least starvationRate of them arrive per second. With one a second, of which three
// quarters are served, as long a pause happens by chance (8.6 s in a minute).
const (
	maxStarvation  = 6 * time.Second
	starvationRate = 2
)

// overloadRates are small, medium and large rates of customers, in tokens per second.
var overloadRates = []float64{2_700, 20_000, 130_000}

func overloadName(load overload) string {
	spread := "even"
	if load.uneven {
		spread = "uneven"
	}
	return fmt.Sprintf("entries=%d/factor=%v/rate=%v/%s", load.entries, load.factor, load.rate, spread)
}

// overloads returns the load patterns for a fault.
func overloads(entries []int, fault func(*overloadFleet, time.Duration)) []overload {
	var out []overload
	for _, n := range entries {
		for _, rate := range overloadRates {
			for _, factor := range []float64{2, 5, 20} {
				for _, uneven := range []bool{false, true} {
					load := overload{
						entries: n, factor: factor, rate: rate, uneven: uneven, fault: fault,
						time: 12 * time.Second, calm: 0.3, seeds: 1,
					}
					if rate < 10_000 {
						// A request costs more than half of what this rate brings in a second.
						// Even a single bucket, which knows of all requests at once, gets 0.90
						// to 0.99 of what is owed in a minute at twice the rate, and 0.96 on
						// average of 100 plays.
						load.time = time.Minute
						load.seeds = 5
					}
					out = append(out, load)
				}
			}
		}
	}
	return out
}

func checkOverloads(t *testing.T, loads []overload, least float64) {
	for _, load := range loads {
		t.Run(overloadName(load), func(t *testing.T) {
			t.Parallel()
			checkOverload(t, load, least)
		})
	}
}

// Pattern: a customer asks for a multiple of its rate. It must get its rate, not less.
func TestOverloadedCustomerGetsItsRate(t *testing.T) {
	checkOverloads(t, overloads([]int{4, 24, 300}, nil), 0.95)
}

// Pattern: the same while a third of the entries can't reach the leader.
func TestOverloadedCustomerGetsItsRateInPartition(t *testing.T) {
	checkOverloads(t, overloads([]int{4, 24, 300}, partition), 0.75)
}

// Pattern: the same while entries end and start again.
func TestOverloadedCustomerGetsItsRateWhileEntriesEnd(t *testing.T) {
	checkOverloads(t, overloads([]int{4, 24, 300}, loseEntries), 0.95)
}

// Pattern: the same while the leader ends. Nothing is demanded of the time without a leader,
// but the upper bound must hold.
func TestOverloadedCustomerKeepsToItsBoundWithoutLeader(t *testing.T) {
	checkOverloads(t, overloads([]int{4, 24}, loseLeader), 0)
}

// Pattern: the customer has asked for a part of its rate, or for most of it, so that its entries
// hold tokens beside those in the leader's pool. The upper bound must hold from the beginning of
// the overload.
func TestOverloadedCustomerKeepsToItsBoundAfterCalm(t *testing.T) {
	for _, load := range overloads([]int{4, 24}, nil) {
		for _, calm := range []float64{0.1, 0.5, 0.7, 0.95} {
			load.calm = calm
			load.time = 9 * time.Second
			load.seeds = 1
			t.Run(fmt.Sprintf("%s/calm=%v", overloadName(load), calm), func(t *testing.T) {
				t.Parallel()
				checkOverload(t, load, 0)
			})
		}
	}
}
