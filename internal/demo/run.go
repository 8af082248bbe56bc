package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/pkg/config"
)

const (
	requestTimeout = 10 * time.Second
	readyTimeout   = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// stepResult is the result of one step of the demo.
type stepResult struct {
	name     string
	observed string
	passed   bool
}

// response is a response as the caller receives it.
type response struct {
	status  int
	verdict string
	body    string
}

// request describes a caller's request.
type request struct {
	entry          int
	method         string
	path           string
	key            string
	idempotencyKey string
	body           string
}

// Run runs the steps of the demo against a fleet and prints a table of the results.
// It reports whether every step passed.
func Run(ctx context.Context, f *Fleet, out io.Writer) (bool, error) {
	if err := f.waitUntilReady(ctx); err != nil {
		return false, err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "STEP\tRESULT\tRIGHT"); err != nil {
		return false, err
	}
	passed := true
	for _, runStep := range []func(*Fleet) stepResult{
		streamStep, completionStep, adapterStep, openRouteStep, repeatedChargeStep,
		unknownKeyStep, burstLimitStep, keyLeakStep, withdrawnKeyStep,
	} {
		result := runStep(f)
		passed = passed && result.passed
		if _, err := fmt.Fprintf(table, "%s\t%s\t%v\n", result.name, result.observed, result.passed); err != nil {
			return false, err
		}
	}
	return passed, table.Flush()
}

// waitUntilReady waits until every entry can reach every service.
func (f *Fleet) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range f.EntryURLs {
		for !f.isReady(i) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("entry %d did not become ready", i+1)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (f *Fleet) isReady(entry int) bool {
	stock := f.send(request{
		entry:  entry,
		method: fasthttp.MethodGet,
		path:   "/pedidos/stock",
	})
	chat := f.send(chatRequest(entry, Customers()[0].Key, 1, false))
	return stock.status == fasthttp.StatusOK && chat.status == fasthttp.StatusOK
}

// send sends a request. A status of 0 means that no complete response arrived.
func (f *Fleet) send(r request) response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI(f.EntryURLs[r.entry] + r.path)
	if r.key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+r.key)
	}
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	req.SetBodyString(r.body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
		return response{body: err.Error()}
	}
	return response{
		status:  resp.StatusCode(),
		verdict: string(resp.Header.Peek("Dogwoodfold-Verdict")),
		body:    string(resp.Body()),
	}
}

// chatRequest returns a chat completion request for the demo's base model.
func chatRequest(entry int, key string, tokens int, stream bool) request {
	return completionRequest(entry, "lengua-01", key, tokens, stream)
}

func completionRequest(entry int, model, key string, tokens int, stream bool) request {
	return request{
		entry:  entry,
		method: fasthttp.MethodPost,
		path:   "/v1/chat/completions",
		key:    key,
		body: fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"two hoodies"}],"max_tokens":%d,"stream":%v}`,
			model, tokens, stream),
	}
}

func (r response) String() string {
	return fmt.Sprintf("%d %s", r.status, r.verdict)
}

func streamStep(f *Fleet) stepResult {
	const tokens = 20
	resp := f.send(chatRequest(0, Customers()[0].Key, tokens, true))
	events := strings.Count(resp.body, "data: ")
	return stepResult{
		name:     "stream of 20 tokens",
		observed: fmt.Sprintf("%v, %d events", resp, events),
		passed:   resp.status == fasthttp.StatusOK && strings.HasSuffix(resp.body, "data: [DONE]\n\n") && events == tokens+2,
	}
}

func completionStep(f *Fleet) stepResult {
	resp := f.send(chatRequest(1, Customers()[0].Key, 8, false))
	return stepResult{
		name:     "whole completion by the other entry",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusOK && strings.Contains(resp.body, `"completion_tokens":8`),
	}
}

func adapterStep(f *Fleet) stepResult {
	resp := f.send(completionRequest(0, "lengua-01:big-tour", Customers()[0].Key, 8, false))
	return stepResult{
		name:     "completion by an adapter",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusOK,
	}
}

func openRouteStep(f *Fleet) stepResult {
	resp := f.send(request{
		method: fasthttp.MethodGet,
		path:   "/pedidos/stock?sku=hoodie-m",
	})
	return stepResult{
		name:     "stock lookup on an open route",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusOK,
	}
}

// repeatedChargeStep sends the same charge through both entries. It must run only
// once.
func repeatedChargeStep(f *Fleet) stepResult {
	before := f.service.Runs()
	var responses [entryCount]response
	for i := range responses {
		responses[i] = f.send(request{
			entry:          i,
			method:         fasthttp.MethodPost,
			path:           "/pedidos/charges",
			key:            Customers()[0].Key,
			idempotencyKey: "order-17",
			body:           `{"order":17}`,
		})
	}
	runs := f.service.Runs() - before
	return stepResult{
		name:     "charge repeated with its Idempotency-Key",
		observed: fmt.Sprintf("%v, then %v; ran %d time", responses[0], responses[1], runs),
		passed:   runs == 1 && responses[0].status == fasthttp.StatusOK && responses[0].body == responses[1].body,
	}
}

func unknownKeyStep(f *Fleet) stepResult {
	resp := f.send(chatRequest(0, "no-such-key", 8, false))
	return stepResult{
		name:     "unknown key",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusUnauthorized && resp.verdict == "not-run",
	}
}

func burstLimitStep(f *Fleet) stepResult {
	resp := f.send(chatRequest(0, Customers()[1].Key, 1000, false))
	return stepResult{
		name:     "call beyond the customer's burst",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusTooManyRequests && resp.verdict == "not-run",
	}
}

// keyLeakStep checks that none of the requests that reached the endpoints contain
// a caller's key.
func keyLeakStep(f *Fleet) stepResult {
	occurrences := 0
	for _, r := range append(f.engine.Requests(), f.service.Requests()...) {
		received := fmt.Sprint(r)
		for _, c := range Customers() {
			occurrences += strings.Count(received, c.Key)
		}
	}
	return stepResult{
		name:     "callers' keys at the endpoints",
		observed: fmt.Sprintf("%d seen", occurrences),
		passed:   occurrences == 0,
	}
}

// withdrawnKeyStep revokes a key and waits until both entries reject it.
func withdrawnKeyStep(f *Fleet) stepResult {
	key := Customers()[1].Key
	before := f.send(chatRequest(0, key, 8, false))
	started := time.Now()
	if err := f.publish(config.Publish{
		Base:  1,
		Patch: []byte(keyWithdrawalPatch),
		Nonce: "withdrawal",
	}); err != nil {
		return stepResult{
			name:     "withdrawn key",
			observed: err.Error(),
		}
	}
	var after response
	for i := range f.EntryURLs {
		for after = f.send(chatRequest(i, key, 1, false)); after.status == fasthttp.StatusOK; {
			if time.Since(started) > requestTimeout {
				break
			}
			time.Sleep(pollInterval)
			after = f.send(chatRequest(i, key, 1, false))
		}
	}
	return stepResult{
		name:     "withdrawn key",
		observed: fmt.Sprintf("%v, then %v", before, after),
		passed:   before.status == fasthttp.StatusOK && after.status == fasthttp.StatusUnauthorized && after.verdict == "not-run",
	}
}

// Print prints the URLs and keys of a running fleet and a sample curl command.
func Print(f *Fleet, out io.Writer) error {
	var b bytes.Buffer
	for _, u := range f.URLs {
		fmt.Fprintf(&b, "%s %s\n", u.Name, u.URL)
	}
	for _, c := range Customers() {
		fmt.Fprintf(&b, "key %s %s\n", c.Name, c.Key)
	}
	c := chatRequest(0, Customers()[0].Key, 20, true)
	fmt.Fprintf(&b, "curl curl -sN %s%s -H 'Authorization: Bearer %s' -d '%s'\n", f.EntryURLs[0], c.path, c.key, c.body)
	_, err := out.Write(b.Bytes())
	return err
}
