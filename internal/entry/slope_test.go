package entry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// docs/CAPACITY.md multiplies the marginal costs that these benchmarks measure
// by the size expected in two years.

// benchmarkConfig returns a configuration with the given numbers of models and
// customers.
func benchmarkConfig(b *testing.B, models, customers int) []byte {
	b.Helper()
	document := map[string]any{
		"format":   1,
		"services": map[string]any{"lengua": map[string]any{"kind": "model"}},
		"routes": map[string]any{"chat": map[string]any{
			"path": "/v1/chat/completions", "service": "lengua", "access": "keyed",
			"idempotent": true, "priority": "interactive",
		}},
	}
	modelEntries := make(map[string]any)
	for i := range models {
		modelEntries[fmt.Sprintf("model-%03d", i)] = map[string]any{
			"service": "lengua", "version": "v1",
			"versions": map[string]any{"v1": map[string]any{"memoryBytes": 1 << 33}},
			"adapters": map[string]any{
				"a": map[string]any{"memoryBytes": 1 << 28}, "b": map[string]any{"memoryBytes": 1 << 28},
				"c": map[string]any{"memoryBytes": 1 << 28}, "d": map[string]any{"memoryBytes": 1 << 28},
			},
		}
	}
	document["models"] = modelEntries
	customerEntries := make(map[string]any)
	for i := range customers {
		name := fmt.Sprintf("customer-%03d", i)
		customerEntries[name] = map[string]any{
			"keys":          map[string]any{"first": map[string]any{"sha256": config.DigestKey([]byte(name)).String()}},
			"ratePerSecond": 1e9, "burstTokens": 1e12, "services": []string{"lengua"},
		}
	}
	document["customers"] = customerEntries
	data, err := json.Marshal(document)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// benchmarkCore returns a ready reducer with the given number of connected
// agents, each with three models.
func benchmarkCore(b *testing.B, agents, models, customers int) (*Core, time.Time) {
	b.Helper()
	now := time.Unix(1_000_000, 0)
	core := NewCore(CoreSettings{
		Host:       "entry",
		FixedShare: 1,
		Seed:       1,
	})
	data, err := json.Marshal(config.Record{Publish: &config.Publish{Text: benchmarkConfig(b, models, customers)}})
	if err != nil {
		b.Fatal(err)
	}
	core.Apply(now, LogRead{
		Stream: plat.StreamConfig,
		Page:   plat.Page{First: 1, Next: 2, Records: []plat.Record{{Offset: 1, Data: data, Time: now}}},
	})
	var hosts []plat.Host
	for i := range agents {
		hosts = append(hosts, plat.Host{
			Name: fmt.Sprintf("agent-%04d", i), Role: plat.RoleAgent, Service: "lengua",
			Zone: fmt.Sprintf("zone-%d", i%19), State: plat.HostLive,
		})
	}
	core.Apply(now, HostsRead{Hosts: hosts})
	for i, h := range hosts {
		core.Apply(now, SessionOpened{Host: h.Name, Hello: &wirepb.Hello{Host: h.Name, Incarnation: uint64(i + 1)}})
		core.Apply(now, benchmarkLoadReport(h.Name, uint64(i+1), i, models, 1))
	}
	return core, now
}

// benchmarkLoadReport returns a load report of the agent with the given number.
func benchmarkLoadReport(host string, incarnation uint64, number, models int, sequence uint64) MessageReceived {
	var held []*wirepb.HeldModel
	for k := range 3 {
		held = append(held, &wirepb.HeldModel{
			Model: fmt.Sprintf("model-%03d", (number*3+k)%models), Version: "v1", Adapters: []string{"a", "b"},
		})
	}
	return MessageReceived{
		Host:        host,
		Incarnation: incarnation,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: &wirepb.LoadReport{
			Sequence: sequence, Running: 3, Queued: 1, QueuedTokens: 900, Slots: 32, Models: held,
			AgeMs: 100, PrefillTokensPerSecond: 20_000, DecodeTokensPerSecond: 2_000,
		}}},
	}
}

// BenchmarkSlopeCall measures the reducer's time for a call from its arrival to
// its end.
func BenchmarkSlopeCall(b *testing.B) {
	for _, agents := range []int{12, 64, 588, 4700} {
		b.Run(fmt.Sprint("agents=", agents), func(b *testing.B) {
			core, now := benchmarkCore(b, agents, 36, 5)
			call := Call{
				Authenticated: true, KeyDigest: config.DigestKey([]byte("customer-001")), Customer: "customer-001",
				Route: core.fold.Config.Routes["chat"], Model: "model-001", Version: "v1", Tokens: 300,
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				call.ID, call.Deadline = fmt.Sprint(i), now.Add(time.Minute)
				core.Apply(now, CallArrived{Call: call})
				core.Apply(now, AttemptEnded{ID: call.ID, Attempt: 1, Outcome: Outcome{Verdict: fault.Ran, UsedTokens: 200}})
			}
		})
	}
}

// BenchmarkSlopeLoad measures the time and the encoded size of a load report.
func BenchmarkSlopeLoad(b *testing.B) {
	core, now := benchmarkCore(b, 588, 360, 5)
	size := 0
	b.ResetTimer()
	for i := range b.N {
		event := benchmarkLoadReport("agent-0001", 2, 1, 360, uint64(i+2))
		size = proto.Size(event.Message)
		core.Apply(now, event)
	}
	b.ReportMetric(float64(size), "bytes/report")
}

// BenchmarkSlopeTick measures the time of a periodic tick with all peers.
func BenchmarkSlopeTick(b *testing.B) {
	core, now := benchmarkCore(b, 588, 360, 5)
	effects := 0
	b.ResetTimer()
	for range b.N {
		now = now.Add(heartbeatInterval)
		effects = len(core.Apply(now, Tick{}))
	}
	b.ReportMetric(float64(effects), "effects/tick")
}

// BenchmarkSlopeState measures the memory for each peer, model and customer.
func BenchmarkSlopeState(b *testing.B) {
	for range b.N {
		base := heapSize(b, 1, 1, 1)
		b.ReportMetric((heapSize(b, 4701, 1, 1)-base)/4700, "bytes/peer")
		b.ReportMetric((heapSize(b, 1, 361, 1)-base)/360, "bytes/model")
		b.ReportMetric((heapSize(b, 1, 1, 401)-base)/400, "bytes/customer")
	}
}

// heapSize returns the heap size, in bytes, of a reducer with the given numbers
// of agents, models and customers.
func heapSize(b *testing.B, agents, models, customers int) float64 {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core, _ := benchmarkCore(b, agents, models, customers)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(core)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
