package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
)

const (
	campaignCallers = 8
	campaignRepeats = 4
	faultTime       = 400 * time.Millisecond
)

// campaign is a shop under faults with callers that repeat charges by key.
type campaign struct {
	*shop
	over   atomic.Bool
	calls  atomic.Int64
	wait   sync.WaitGroup
	mu     sync.Mutex
	final  map[string]answer
	wrong  int
	falsey []string
	// ended is when the caller had its last answer, killed when an agent was
	// last killed.
	ended    map[string]time.Time
	killed   [3]time.Time
	replaced int
	faults   int
	// later counts the charges that were unsure and are answered afterwards,
	// lostKnown the answers that a living agent should know and didn't give.
	later, lostKnown int
}

// BenchmarkFaults injects process and log faults, alone and in pairs, while
// callers charge through both entries and repeat each charge by its key until
// they have an answer or a final verdict. Run it with -benchtime 1x.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		var c *campaign
		ok := false
		// The harness is made for tests; its clean-up comes with one.
		done := make(chan struct{})
		go func() {
			defer close(done)
			ok = testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
				Name: "campaign",
				F:    func(t *testing.T) { c = runCampaign(t) },
			}})
		}()
		<-done
		if !ok {
			b.Fatal("the campaign failed")
		}
		c.publishFigures(b)
	}
}

func runCampaign(t *testing.T) *campaign {
	c := &campaign{
		shop:  newShop(t, 3, 2),
		final: make(map[string]answer),
		ended: make(map[string]time.Time),
	}
	c.slow(t, 20)
	for i := range campaignCallers {
		c.wait.Go(func() { c.caller(t, i) })
	}
	c.inject(t)
	c.over.Store(true)
	c.wait.Wait()
	c.verify(t)
	return c
}

// caller makes one charge after the other.
func (c *campaign) caller(t *testing.T, number int) {
	for i := 0; !c.over.Load(); i++ {
		body := fmt.Sprintf("charge-%d-%d", number, i)
		var a answer
		for attempt := range campaignRepeats {
			c.calls.Add(1)
			a = c.pay(t, (i+attempt)%2, "/charge", body, body, "X-Request-Timeout", "2s")
			if a.status == 200 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.mu.Lock()
		c.final[body] = a
		c.ended[body] = time.Now()
		if a.status == 200 && !strings.Contains(a.body, `"echo":"`+body+`"`) {
			c.wrong++
		}
		c.mu.Unlock()
	}
}

// The kinds of faults.
const (
	killAgent = iota
	pauseAgent
	logDown
	logLosesAnswers
	endpointLosesAnswers
	pauseEntry
	faultKinds
)

// inject brings each fault alone and then each two of them at once.
func (c *campaign) inject(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for first := range faultKinds {
		for second := first; second < faultKinds; second++ {
			number := random.IntN(3)
			c.begin(t, first, number)
			if second != first {
				c.begin(t, second, (number+1)%3)
				c.faults++
			}
			c.faults++
			time.Sleep(faultTime)
			c.end(t, first, number)
			if second != first {
				c.end(t, second, (number+1)%3)
			}
			time.Sleep(faultTime)
		}
	}
}

// begin brings a fault.
func (c *campaign) begin(t *testing.T, kind, number int) {
	agent := c.agents[fmt.Sprint("agent-", number)]
	switch kind {
	case killAgent:
		_ = agent.cmd.Process.Kill()
		c.killed[number] = time.Now()
	case pauseAgent:
		_ = agent.cmd.Process.Signal(syscall.SIGSTOP)
	case logDown:
		c.log.faults(t, fakes.Faults{Down: true})
	case logLosesAnswers:
		c.log.faults(t, fakes.Faults{LoseAnswers: true})
	case endpointLosesAnswers:
		c.services[number].faults(t, fakes.Faults{LoseAnswers: true, TokenMs: 20})
	case pauseEntry:
		_ = c.entries[number%2].cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// end takes a fault back.
func (c *campaign) end(t *testing.T, kind, number int) {
	name := fmt.Sprint("agent-", number)
	switch kind {
	case killAgent:
		c.addAgent(t, name, "pedidos", "service", c.services[number])
		c.replaced++
	case pauseAgent:
		_ = c.agents[name].cmd.Process.Signal(syscall.SIGCONT)
	case logDown, logLosesAnswers:
		c.log.faults(t, fakes.Faults{})
	case endpointLosesAnswers:
		c.services[number].faults(t, fakes.Faults{TokenMs: 20})
	case pauseEntry:
		_ = c.entries[number%2].cmd.Process.Signal(syscall.SIGCONT)
	}
}

// verify finds the charges that ran twice and the untrue verdicts.
func (c *campaign) verify(t *testing.T) {
	c.repeatAll(t)
	ran := make(map[string]int)
	for _, service := range c.services {
		for _, r := range allRequests(t, service) {
			ran[r.Body]++
		}
	}
	for body, a := range c.final {
		if ran[body] > 1 {
			t.Errorf("%s ran %d times", body, ran[body])
		}
		if a.verdict == "not-run" && ran[body] > 0 {
			c.falsey = append(c.falsey, body)
			t.Errorf("%s ran and was refused as not run: %+v", body, a)
		}
		if a.status == 200 && ran[body] == 0 {
			t.Errorf("%s was answered and has not run", body)
		}
	}
}

// repeatAll repeats each charge that may have run once more, now that nothing
// is broken. An answer must be known unless its agent has been killed since.
func (c *campaign) repeatAll(t *testing.T) {
	place := make(map[string]int)
	for i, service := range c.services {
		for _, r := range allRequests(t, service) {
			place[r.Body] = i
		}
	}
	for body, before := range c.final {
		i, ran := place[body]
		if !ran || before.verdict == "not-run" {
			continue
		}
		a := c.pay(t, 0, "/charge", body, body)
		switch {
		case a.status == 200 && before.status != 200:
			c.later++
		case a.status != 200 && before.status == 200 && c.ended[body].After(c.killed[i]):
			c.lostKnown++
			t.Errorf("%s was answered, and its repeat is %+v", body, a)
		}
	}
}

// publishFigures reports what the campaign has counted.
func (c *campaign) publishFigures(b *testing.B) {
	answered, unsure, refused := 0, 0, 0
	for _, a := range c.final {
		switch {
		case a.status == 200:
			answered++
		case a.verdict == "not-run":
			refused++
		default:
			unsure++
		}
	}
	b.ReportMetric(float64(c.faults), "faults")
	b.ReportMetric(float64(c.calls.Load()), "calls")
	b.ReportMetric(float64(len(c.final)), "charges")
	b.ReportMetric(float64(answered), "answered")
	b.ReportMetric(float64(refused), "not-run")
	b.ReportMetric(float64(unsure), "may-have-run")
	b.ReportMetric(float64(len(c.falsey)), "false-not-run")
	b.ReportMetric(float64(c.wrong), "wrong-answers")
	b.ReportMetric(float64(c.later), "answered-later")
	b.ReportMetric(float64(c.lostKnown), "lost-known")
	b.ReportMetric(float64(c.replaced), "agents-killed")
}
