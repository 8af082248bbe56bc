package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// deepJSON is deeper than decoders go.
var deepJSON = strings.Repeat(`{"a":[`, 30000) + strings.Repeat(`]}`, 30000)

// oddValues are what another writer may leave in place of a field's value.
var oddValues = map[string]string{
	"null":         `null`,
	"object":       `{"a":{}}`,
	"array":        `[[[[]]]]`,
	"string":       `"x"`,
	"true":         `true`,
	"negative":     `-1`,
	"fraction":     `0.5`,
	"large":        `1e400`,
	"many digits":  strings.Repeat("9", 400),
	"past int64":   `9223372036854775808`,
	"deep":         deepJSON,
	"long":         `"` + strings.Repeat("x", 100_000) + `"`,
	"odd port":     `"127.0.0.1:70000"`,
	"port -1":      `"127.0.0.1:-1"`,
	"large port":   `"127.0.0.1:99999999999999999999"`,
	"port 0":       `"127.0.0.1:0"`,
	"no port":      `"127.0.0.1"`,
	"odd address":  `"999.0.0.1:80"`,
	"IPv6 zone":    `"[::1%lo]:80"`,
	"no UTF-8":     "\"\xff\xfe\"",
	"half a pair":  `"\ud800"`,
	"zero":         `0`,
	"empty string": `""`,
}

// oddRecords returns records of endpoints of which one field has an odd value, and records
// that are no objects.
func oddRecords(sound map[string]any) [][]byte {
	out := [][]byte{nil, {0}, []byte("{"), []byte("[]"), []byte("null"), []byte("7"), []byte("\xff\xff"), []byte(deepJSON),
		[]byte(`{"service":"shop"}{"service":"shop"}`)}
	for _, field := range slices.Sorted(maps.Keys(sound)) {
		for _, name := range slices.Sorted(maps.Keys(oddValues)) {
			out = append(out, withField(sound, field, oddValues[name]))
		}
	}
	return out
}

// withField returns a record as JSON, with one field replaced by any text.
func withField(record map[string]any, field, text string) []byte {
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(record)) {
		value, err := json.Marshal(record[name])
		if err != nil {
			panic(err)
		}
		if name == field {
			value = []byte(text)
		}
		fields = append(fields, fmt.Sprintf("%q:%s", name, value))
	}
	return []byte("{" + strings.Join(fields, ",") + "}")
}

// Guards against LOST by an odd record among those of the endpoints: an entry that reads it,
// running or at its start, must go on following the others.
func TestOddRecordsOfEndpointsAreSkipped(t *testing.T) {
	f := newFixture(t)
	newest := &fakeEndpoint{id: "shop-new"}
	newest.address = serveLoopback(t, newest)
	gone := &fakeEndpoint{id: "shop-gone"}
	gone.address = unusedAddr(t).String() // nobody may be sent there
	records := slices.Concat(oddRecords(gone.registryRecord("shop", "m")), oddRecords(gone.registryRecord("llm", "m")))
	for i, record := range records {
		f.store.PutRaw(fakes.TopicEndpoints, fmt.Sprint("odd-", i), record)
	}
	f.store.PutRaw(fakes.TopicEndpoints, "", records[0])
	f.store.Put(fakes.TopicEndpoints, "shop-1", nil)
	f.store.Put(fakes.TopicEndpoints, "shop-2", nil)
	f.store.Put(fakes.TopicEndpoints, newest.id, newest.registryRecord("shop"))
	f.streamRaw(framedByLength, func(string) string { return events(1, 3, "\n") }, false)
	served := func(f *fixture) {
		f.t.Helper()
		f.waitFor("the endpoint that came after the odd records serves", func() bool {
			r := f.send(context.Background(), "GET", "/look/1")
			return r.status == http.StatusOK && r.body == "answer of shop-new"
		})
	}
	served(f)
	settings := testSettings(t, "front-2", f.server.settings.StoreAddr)
	startServer(t, settings, 8)
	served(&fixture{t: t, store: f.store, baseURL: "http://" + settings.ListenAddr.String()})
	f.waitFor("an engine streams", func() bool {
		r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m", platform.HeaderTokenUsage, "10,3")
		return r.status == http.StatusOK && r.body == events(1, 3, "\n")
	})
	t.Logf("%d odd records", len(records))
}
