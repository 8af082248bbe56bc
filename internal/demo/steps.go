package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/pkg/config"
)

// stepResult is the result of one step of the demo.
type stepResult struct {
	name     string
	observed string
	passed   bool
}

// streamStep streams a completion.
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

// completionStep requests a whole completion from the other entry.
func completionStep(f *Fleet) stepResult {
	resp := f.send(chatRequest(1, Customers()[0].Key, 8, false))
	return stepResult{
		name:     "whole completion by the other entry",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusOK && strings.Contains(resp.body, `"completion_tokens":8`),
	}
}

// adapterStep requests a completion by an adapter of the model.
func adapterStep(f *Fleet) stepResult {
	resp := f.send(completionRequest(0, "lengua-01:big-tour", Customers()[0].Key, 8, false))
	return stepResult{
		name:     "completion by an adapter",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusOK,
	}
}

// openRouteStep calls a route that takes no key.
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

// unknownKeyStep sends a key that no customer has.
func unknownKeyStep(f *Fleet) stepResult {
	resp := f.send(chatRequest(0, "no-such-key", 8, false))
	return stepResult{
		name:     "unknown key",
		observed: resp.String(),
		passed:   resp.status == fasthttp.StatusUnauthorized && resp.verdict == "not-run",
	}
}

// burstLimitStep requests more tokens than the customer's burst.
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
		after = f.sendUntilRejected(chatRequest(i, key, 1, false), started.Add(requestTimeout))
	}
	return stepResult{
		name:     "withdrawn key",
		observed: fmt.Sprintf("%v, then %v", before, after),
		passed:   before.status == fasthttp.StatusOK && after.status == fasthttp.StatusUnauthorized && after.verdict == "not-run",
	}
}

// sendUntilRejected sends a request until it doesn't succeed or the deadline has passed,
// and returns the last response.
func (f *Fleet) sendUntilRejected(r request, deadline time.Time) response {
	for {
		resp := f.send(r)
		if resp.status != fasthttp.StatusOK || time.Now().After(deadline) {
			return resp
		}
		time.Sleep(pollInterval)
	}
}
