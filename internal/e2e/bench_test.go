package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/load"
)

// completionPlan returns a load plan of completion requests for a number of
// tokens each.
func completionPlan(url string, tokens int, stream bool, rate float64) load.Plan {
	return load.Plan{
		URLs:   []string{url + "/v1/completions"},
		Method: "POST",
		Headers: [][2]string{
			{"Authorization", "Bearer " + boothKey},
			{"Content-Type", "application/json"},
		},
		Body: fmt.Appendf(nil,
			`{"model":"lengua-8b","prompt":"order of two hoodies","max_tokens":%d,"stream":%v}`, tokens, stream),
		RatePerSecond: rate,
		Duration:      5 * time.Second,
		Timeout:       time.Minute,
		Seed:          1,
	}
}

func quantileMs(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// stopAndMeasureCPU terminates a process and returns the CPU time that it used.
func (p *process) stopAndMeasureCPU(b *testing.B) time.Duration {
	b.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		b.Fatal(err)
	}
	_ = p.cmd.Wait() // the exit status does not matter here
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// BenchmarkPath measures the latency that entry and agent add to direct calls to
// the engine, and the requests and tokens per second of CPU time in each role.
func BenchmarkPath(b *testing.B) {
	const highRate = `{"customers":{"booth":{"ratePerSecond":100000000,"burstTokens":1000000000}}}`
	cases := []struct {
		name   string
		tokens int
		stream bool
		rate   float64
		faults fakes.Faults
	}{
		{name: "whole", tokens: 1, rate: 400},
		{name: "stream", tokens: 64, stream: true, rate: 200, faults: fakes.Faults{TokenMs: 5}},
		{name: "streamfast", tokens: 330, stream: true, rate: 100},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				s := newSystem(b)
				s.publish(b, highRate, "--patch")
				s.engine.setFaults(b, c.faults)
				direct := load.New().Run(context.Background(), completionPlan(s.engine.url(), c.tokens, c.stream, c.rate))
				viaEntry := load.New().Run(context.Background(), completionPlan(s.entries[0].url(), c.tokens, c.stream, c.rate))
				if viaEntry.Statuses[200] != viaEntry.Sent || viaEntry.Truncated != 0 {
					b.Fatalf("not all requests succeeded: %+v", viaEntry)
				}
				b.ReportMetric(quantileMs(viaEntry.FirstByte, 50)-quantileMs(direct.FirstByte, 50), "added-first-p50-ms")
				b.ReportMetric(quantileMs(viaEntry.FirstByte, 99)-quantileMs(direct.FirstByte, 99), "added-first-p99-ms")
				b.ReportMetric(quantileMs(viaEntry.Total, 50)-quantileMs(direct.Total, 50), "added-whole-p50-ms")
				b.ReportMetric(quantileMs(viaEntry.Total, 99)-quantileMs(direct.Total, 99), "added-whole-p99-ms")
				entry, agent := s.entries[0].stopAndMeasureCPU(b).Seconds(), s.agents["agent-engine"].stopAndMeasureCPU(b).Seconds()
				b.ReportMetric(float64(viaEntry.Sent)/entry, "entry-requests/core-s")
				b.ReportMetric(float64(viaEntry.Events)/entry, "entry-tokens/core-s")
				b.ReportMetric(float64(viaEntry.Sent)/agent, "agent-requests/core-s")
				b.ReportMetric(float64(viaEntry.Events)/agent, "agent-tokens/core-s")
				b.ReportMetric(float64(viaEntry.Events)/viaEntry.Elapsed.Seconds(), "tokens/s")
			}
		})
	}
}

// BenchmarkOneCore measures the tokens per core-second of an entry limited to one
// core, under more streams than one node's part of the load expected in two
// years.
func BenchmarkOneCore(b *testing.B) {
	const highRate = `{"customers":{"booth":{"ratePerSecond":100000000,"burstTokens":1000000000}}}`
	for range b.N {
		s := newSystem(b)
		s.publish(b, highRate, "--patch")
		s.addEntry(b, "entry-2", 0, oneCore)
		eventually(b, "the second entry serves", func() bool {
			return do(b, "GET", s.entries[1].url()+"/readyz", "").status == 200
		})
		s.engine.setFaults(b, fakes.Faults{TokenMs: 10})
		time.Sleep(2 * time.Second) // the entry receives the agent's load reports
		report := load.New().Run(context.Background(), completionPlan(s.entries[1].url(), 300, true, 600))
		if report.Statuses[200] != report.Sent || report.Truncated != 0 {
			b.Fatalf("not all requests succeeded: %+v", report)
		}
		cpuTime := s.entries[1].stopAndMeasureCPU(b)
		b.ReportMetric(float64(report.Events)/cpuTime.Seconds(), "tokens/core-s")
		b.ReportMetric(float64(report.Events)/report.Elapsed.Seconds(), "tokens/s")
		b.ReportMetric(quantileMs(report.EventGap, 50), "between-p50-ms")
		b.ReportMetric(quantileMs(report.EventGap, 95), "between-p95-ms")
		b.ReportMetric(quantileMs(report.FirstByte, 95), "first-p95-ms")
	}
}
