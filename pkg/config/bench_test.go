package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"dogwoodfold/pkg/config"
)

// The size that the benchmarks work at.
const (
	benchServices  = 24
	benchModels    = 360
	benchCustomers = 400
	benchKeys      = 4
	benchAdapters  = 4
)

// benchConfig is a text with the parts that hold durations as they are written.
type benchConfig struct {
	Format    int                        `json:"format"`
	Services  map[string]json.RawMessage `json:"services"`
	Models    map[string]config.Model    `json:"models"`
	Customers map[string]config.Customer `json:"customers"`
	Routes    map[string]json.RawMessage `json:"routes"`
}

// largeConfig returns a text of the two-year size.
func largeConfig(b *testing.B) json.RawMessage {
	b.Helper()
	t := benchConfig{
		Format:    config.Format,
		Services:  make(map[string]json.RawMessage),
		Models:    make(map[string]config.Model),
		Customers: make(map[string]config.Customer),
		Routes:    make(map[string]json.RawMessage),
	}
	for i := range benchServices {
		name := fmt.Sprintf("service-%02d", i)
		t.Services[name] = json.RawMessage(`{"kind":"model","target":{"firstToken":"1.2s","betweenTokens":"49ms","objective":0.95}}`)
		t.Routes[name] = json.RawMessage(fmt.Sprintf(
			`{"path":"/%s/v1/completions","service":"%s","access":"keyed","priority":"interactive","idempotent":true,"timeout":"60s"}`,
			name, name))
	}
	for i := range benchModels {
		m := config.Model{
			Service:  fmt.Sprintf("service-%02d", i%benchServices),
			Version:  "v1",
			Versions: map[string]config.Version{"v1": {MemoryBytes: 16 << 30}},
			Adapters: make(map[string]config.Adapter),
		}
		for j := range benchAdapters {
			m.Adapters[fmt.Sprintf("adapter-%d", j)] = config.Adapter{MemoryBytes: 64 << 20}
		}
		t.Models[fmt.Sprintf("model-%03d", i)] = m
	}
	for i := range benchCustomers {
		c := config.Customer{
			Keys:          make(map[string]config.Key),
			RatePerSecond: 1000,
			BurstTokens:   10000,
			Services:      []string{fmt.Sprintf("service-%02d", i%benchServices), "service-00"},
		}
		for j := range benchKeys {
			digest := config.DigestKey(fmt.Appendf(nil, "key %d of %d", j, i))
			c.Keys[fmt.Sprintf("key-%d", j)] = config.Key{SHA256: digest.String()}
		}
		t.Customers[fmt.Sprintf("customer-%03d", i)] = c
	}
	raw, err := json.Marshal(t)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// benchPatch changes one rate and replaces one key.
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
