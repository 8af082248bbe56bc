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
	campaignCallers   = 8
	attemptsPerCharge = 4
	faultDuration     = 400 * time.Millisecond
)

// campaign runs callers that retry charges with idempotency keys against a plain
// system while faults are injected.
type campaign struct {
	*plainSystem
	stopped      atomic.Bool
	calls        atomic.Int64
	wg           sync.WaitGroup
	mu           sync.Mutex
	finalResults map[string]callResult
	wrongAnswers int
	falseNotRun  []string
	// endedAt is when the caller received its final result, killedAt when each
	// agent was last killed.
	endedAt        map[string]time.Time
	killedAt       [3]time.Time
	replacedAgents int
	faultCount     int
	// answeredLater counts the charges with an uncertain result whose retry after
	// the faults returned the answer. lostAnswers counts the answers that a
	// surviving agent should have stored but didn't return.
	answeredLater, lostAnswers int
}

// BenchmarkFaults injects faults of processes and the log, alone and in pairs,
// while callers make charges through both entries and retry each charge with its
// key, up to attemptsPerCharge times, until it is answered. Run it with
// -benchtime 1x.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		var c *campaign
		ok := false
		// The harness needs a *testing.T, whose end triggers its cleanup.
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
		c.reportMetrics(b)
	}
}

func runCampaign(t *testing.T) *campaign {
	c := &campaign{
		plainSystem:  newPlainSystem(t, 3, 2),
		finalResults: make(map[string]callResult),
		endedAt:      make(map[string]time.Time),
	}
	c.setServiceDelay(t, 20)
	for i := range campaignCallers {
		c.wg.Go(func() { c.runCaller(t, i) })
	}
	c.injectFaults(t)
	c.stopped.Store(true)
	c.wg.Wait()
	c.checkRuns(t)
	return c
}

// runCaller makes charges one after the other until the campaign stops.
func (c *campaign) runCaller(t *testing.T, caller int) {
	for i := 0; !c.stopped.Load(); i++ {
		body := fmt.Sprintf("charge-%d-%d", caller, i)
		var res callResult
		for attempt := range attemptsPerCharge {
			c.calls.Add(1)
			res = c.chargeVia(t, (i+attempt)%2, "/charge", body, body, "X-Request-Timeout", "2s")
			if res.status == 200 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.mu.Lock()
		c.finalResults[body] = res
		c.endedAt[body] = time.Now()
		if res.status == 200 && !strings.Contains(res.body, `"echo":"`+body+`"`) {
			c.wrongAnswers++
		}
		c.mu.Unlock()
	}
}

// Kinds of injected faults.
const (
	killAgent = iota
	pauseAgent
	logDown
	logLosesAnswers
	endpointLosesAnswers
	pauseEntry
	faultKinds
)

// injectFaults injects each kind of fault alone and each pair of kinds at once.
func (c *campaign) injectFaults(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for first := range faultKinds {
		for second := first; second < faultKinds; second++ {
			target := rng.IntN(3)
			c.startFault(t, first, target)
			if second != first {
				c.startFault(t, second, (target+1)%3)
				c.faultCount++
			}
			c.faultCount++
			time.Sleep(faultDuration)
			c.stopFault(t, first, target)
			if second != first {
				c.stopFault(t, second, (target+1)%3)
			}
			time.Sleep(faultDuration)
		}
	}
}

// startFault injects a fault into the target, the index of an agent or entry.
func (c *campaign) startFault(t *testing.T, kind, target int) {
	agent := c.agents[fmt.Sprint("agent-", target)]
	switch kind {
	case killAgent:
		_ = agent.cmd.Process.Kill()
		c.killedAt[target] = time.Now()
	case pauseAgent:
		_ = agent.cmd.Process.Signal(syscall.SIGSTOP)
	case logDown:
		c.log.setFaults(t, fakes.Faults{Down: true})
	case logLosesAnswers:
		c.log.setFaults(t, fakes.Faults{LoseAnswers: true})
	case endpointLosesAnswers:
		c.services[target].setFaults(t, fakes.Faults{LoseAnswers: true, TokenMs: 20})
	case pauseEntry:
		_ = c.entries[target%2].cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// stopFault removes a fault.
func (c *campaign) stopFault(t *testing.T, kind, target int) {
	name := fmt.Sprint("agent-", target)
	switch kind {
	case killAgent:
		c.addAgent(t, name, "pedidos", "service", c.services[target])
		c.replacedAgents++
	case pauseAgent:
		_ = c.agents[name].cmd.Process.Signal(syscall.SIGCONT)
	case logDown, logLosesAnswers:
		c.log.setFaults(t, fakes.Faults{})
	case endpointLosesAnswers:
		c.services[target].setFaults(t, fakes.Faults{TokenMs: 20})
	case pauseEntry:
		_ = c.entries[target%2].cmd.Process.Signal(syscall.SIGCONT)
	}
}

// checkRuns fails the test for charges that ran twice and for false verdicts.
func (c *campaign) checkRuns(t *testing.T) {
	c.repeatCharges(t)
	runs := make(map[string]int)
	for _, service := range c.services {
		for _, r := range allRequests(t, service) {
			runs[r.Body]++
		}
	}
	for body, res := range c.finalResults {
		if runs[body] > 1 {
			t.Errorf("%s ran %d times", body, runs[body])
		}
		if res.verdict == "not-run" && runs[body] > 0 {
			c.falseNotRun = append(c.falseNotRun, body)
			t.Errorf("%s ran but was refused as not run: %+v", body, res)
		}
		if res.status == 200 && runs[body] == 0 {
			t.Errorf("%s was answered but has not run", body)
		}
	}
}

// repeatCharges retries each charge that ran, after all faults are removed. An
// answer that was returned before must be returned again unless its agent has
// been killed since.
func (c *campaign) repeatCharges(t *testing.T) {
	serviceOf := make(map[string]int)
	for i, service := range c.services {
		for _, r := range allRequests(t, service) {
			serviceOf[r.Body] = i
		}
	}
	for body, before := range c.finalResults {
		i, ran := serviceOf[body]
		if !ran || before.verdict == "not-run" {
			continue
		}
		res := c.chargeVia(t, 0, "/charge", body, body)
		switch {
		case res.status == 200 && before.status != 200:
			c.answeredLater++
		case res.status != 200 && before.status == 200 && c.endedAt[body].After(c.killedAt[i]):
			c.lostAnswers++
			t.Errorf("%s was answered, but its retry returned %+v", body, res)
		}
	}
}

// reportMetrics reports the campaign's counters as benchmark metrics.
func (c *campaign) reportMetrics(b *testing.B) {
	answered, uncertain, refused := 0, 0, 0
	for _, res := range c.finalResults {
		switch {
		case res.status == 200:
			answered++
		case res.verdict == "not-run":
			refused++
		default:
			uncertain++
		}
	}
	b.ReportMetric(float64(c.faultCount), "faults")
	b.ReportMetric(float64(c.calls.Load()), "calls")
	b.ReportMetric(float64(len(c.finalResults)), "charges")
	b.ReportMetric(float64(answered), "answered")
	b.ReportMetric(float64(refused), "not-run")
	b.ReportMetric(float64(uncertain), "may-have-run")
	b.ReportMetric(float64(len(c.falseNotRun)), "false-not-run")
	b.ReportMetric(float64(c.wrongAnswers), "wrong-answers")
	b.ReportMetric(float64(c.answeredLater), "answered-later")
	b.ReportMetric(float64(c.lostAnswers), "lost-known")
	b.ReportMetric(float64(c.replacedAgents), "agents-killed")
}
