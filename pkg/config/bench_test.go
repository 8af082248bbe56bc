package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"dogwoodfold/pkg/config"
)

// The size of the configuration in the benchmarks, which is the size expected
// after two years.
const (
	benchServices  = 24
	benchModels    = 360
	benchCustomers = 400
	benchKeys      = 4
	benchAdapters  = 4
)

// benchConfig is config.Config with the items that contain durations as raw JSON,
// since documents give durations as strings.
type benchConfig struct {
	Format    int                        `json:"format"`
	Services  map[string]json.RawMessage `json:"services"`
	Models    map[string]config.Model    `json:"models"`
	Customers map[string]config.Customer `json:"customers"`
	Routes    map[string]json.RawMessage `json:"routes"`
}

// largeConfig returns a configuration document of the benchmark size.
func largeConfig(b *testing.B) json.RawMessage {
	b.Helper()
	cfg := benchConfig{
		Format:    config.Format,
		Services:  make(map[string]json.RawMessage),
		Models:    make(map[string]config.Model),
		Customers: make(map[string]config.Customer),
		Routes:    make(map[string]json.RawMessage),
	}
	for i := range benchServices {
		name := fmt.Sprintf("service-%02d", i)
		cfg.Services[name] = json.RawMessage(`{"kind":"model","target":{"firstToken":"1.2s","betweenTokens":"49ms","objective":0.95}}`)
		cfg.Routes[name] = json.RawMessage(fmt.Sprintf(
			`{"path":"/%s/v1/completions","service":"%s","access":"keyed","priority":"interactive","idempotent":true,"timeout":"60s"}`,
			name, name))
	}
	for i := range benchModels {
		model := config.Model{
			Service:  fmt.Sprintf("service-%02d", i%benchServices),
			Version:  "v1",
			Versions: map[string]config.Version{"v1": {MemoryBytes: 16 << 30}},
			Adapters: make(map[string]config.Adapter),
		}
		for j := range benchAdapters {
			model.Adapters[fmt.Sprintf("adapter-%d", j)] = config.Adapter{MemoryBytes: 64 << 20}
		}
		cfg.Models[fmt.Sprintf("model-%03d", i)] = model
	}
	for i := range benchCustomers {
		customer := config.Customer{
			Keys:          make(map[string]config.Key),
			RatePerSecond: 1000,
			BurstTokens:   10000,
			Services:      []string{fmt.Sprintf("service-%02d", i%benchServices), "service-00"},
		}
		for j := range benchKeys {
			digest := config.DigestKey(fmt.Appendf(nil, "key %d of %d", j, i))
			customer.Keys[fmt.Sprintf("key-%d", j)] = config.Key{SHA256: digest.String()}
		}
		cfg.Customers[fmt.Sprintf("customer-%03d", i)] = customer
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// benchPatch returns a merge patch that changes one customer's rate and replaces
// one of its keys.
func benchPatch(i int) json.RawMessage {
	digest := config.DigestKey(fmt.Appendf(nil, "new key %d", i))
	return json.RawMessage(fmt.Sprintf(`{"customers":{"customer-%03d":{"ratePerSecond":%d,"keys":{"key-0":{"sha256":"%s"}}}}}`,
		i%benchCustomers, 1000+i, digest))
}

func BenchmarkChange(b *testing.B) {
	full := largeConfig(b)
	for _, kind := range []string{"patch", "whole"} {
		b.Run(kind, func(b *testing.B) {
			f := config.NewFold()
			if err := f.Apply(1, encodePublish(b, config.Publish{Text: full})); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			size := 0
			for i := 0; b.Loop(); i++ {
				p := config.Publish{Base: f.Accepted, Patch: benchPatch(i)}
				if kind == "whole" {
					p = config.Publish{Base: f.Accepted, Text: f.Raw}
				}
				data := encodePublish(b, p)
				size = len(data)
				if err := f.Apply(f.Next, data); err != nil {
					b.Fatal(err)
				}
				config.NewIndex(f.Config)
			}
			b.ReportMetric(float64(size), "recordBytes")
			b.ReportMetric(float64(len(f.Raw)), "textBytes")
		})
	}
}

func BenchmarkIndex(b *testing.B) {
	parsed, err := config.Parse(largeConfig(b))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		config.NewIndex(parsed)
	}
}

func encodePublish(b *testing.B, p config.Publish) []byte {
	b.Helper()
	data, err := json.Marshal(config.Record{Publish: &p})
	if err != nil {
		b.Fatal(err)
	}
	return data
}
