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
	callTimeout  = 10 * time.Second
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// step is one thing that the demo does, and what came of it.
type step struct {
	name string
	got  string
	ok   bool
}

// answer is what a caller gets.
type answer struct {
	status  int
	verdict string
	body    string
}

// call describes a caller's request.
type call struct {
	entry          int
	method         string
	path           string
	key            string
	idempotencyKey string
	body           string
}

// Run sends requests to a fleet, prints a table of what happened, and reports
// whether each came out right.
func Run(ctx context.Context, f *Fleet, out io.Writer) (bool, error) {
	if err := f.awaitReady(ctx); err != nil {
		return false, err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "STEP\tRESULT\tRIGHT"); err != nil {
		return false, err
	}
	right := true
	for _, do := range []func(*Fleet) step{
		stream, whole, adapter, openRoute, charge, unknownKey, overBurst, noKeyAtEndpoint, withdrawn,
	} {
		s := do(f)
		right = right && s.ok
		if _, err := fmt.Fprintf(table, "%s\t%s\t%v\n", s.name, s.got, s.ok); err != nil {
			return false, err
		}
	}
	return right, table.Flush()
}

// awaitReady waits until each entry serves a call of each service.
func (f *Fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range f.Entries {
		for !f.serves(i) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("entry %d is not ready", i+1)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (f *Fleet) serves(entry int) bool {
	stock := f.do(call{
		entry:  entry,
		method: fasthttp.MethodGet,
		path:   "/pedidos/stock",
	})
	chat := f.do(chatCall(entry, Customers()[0].Key, 1, false))
	return stock.status == fasthttp.StatusOK && chat.status == fasthttp.StatusOK
}

// do makes a call. Status 0 means that no whole answer came.
func (f *Fleet) do(c call) answer {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(c.method)
	request.SetRequestURI(f.Entries[c.entry] + c.path)
	if c.key != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	}
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	request.SetBodyString(c.body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(request, response, callTimeout); err != nil {
		return answer{body: err.Error()}
	}
	return answer{
		status:  response.StatusCode(),
		verdict: string(response.Header.Peek("Dogwoodfold-Verdict")),
		body:    string(response.Body()),
	}
}

// chatCall asks for a completion.
func chatCall(entry int, key string, tokens int, stream bool) call {
	return modelCall(entry, "lengua-01", key, tokens, stream)
}

func modelCall(entry int, model, key string, tokens int, stream bool) call {
	return call{
		entry:  entry,
		method: fasthttp.MethodPost,
		path:   "/v1/chat/completions",
		key:    key,
		body: fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"two hoodies"}],"max_tokens":%d,"stream":%v}`,
			model, tokens, stream),
	}
}

func (a answer) String() string {
	return fmt.Sprintf("%d %s", a.status, a.verdict)
}

func stream(f *Fleet) step {
	const tokens = 20
	a := f.do(chatCall(0, Customers()[0].Key, tokens, true))
	events := strings.Count(a.body, "data: ")
	return step{
		name: "stream of 20 tokens",
		got:  fmt.Sprintf("%v, %d events", a, events),
		ok:   a.status == fasthttp.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n") && events == tokens+2,
	}
}

func whole(f *Fleet) step {
	a := f.do(chatCall(1, Customers()[0].Key, 8, false))
	return step{
		name: "whole completion by the other entry",
		got:  a.String(),
		ok:   a.status == fasthttp.StatusOK && strings.Contains(a.body, `"completion_tokens":8`),
	}
}

func adapter(f *Fleet) step {
	a := f.do(modelCall(0, "lengua-01:big-tour", Customers()[0].Key, 8, false))
	return step{
		name: "completion by an adapter",
		got:  a.String(),
		ok:   a.status == fasthttp.StatusOK,
	}
}

func openRoute(f *Fleet) step {
	a := f.do(call{
		method: fasthttp.MethodGet,
		path:   "/pedidos/stock?sku=hoodie-m",
	})
	return step{
		name: "stock lookup on an open route",
		got:  a.String(),
		ok:   a.status == fasthttp.StatusOK,
	}
}

// charge makes the same charge through both entries; it must run once.
func charge(f *Fleet) step {
	before := f.service.Runs()
	var answers [entries]answer
	for i := range answers {
		answers[i] = f.do(call{
			entry:          i,
			method:         fasthttp.MethodPost,
			path:           "/pedidos/charges",
			key:            Customers()[0].Key,
			idempotencyKey: "order-17",
			body:           `{"order":17}`,
		})
	}
	runs := f.service.Runs() - before
	return step{
		name: "charge repeated with its Idempotency-Key",
		got:  fmt.Sprintf("%v, then %v; ran %d time", answers[0], answers[1], runs),
		ok:   runs == 1 && answers[0].status == fasthttp.StatusOK && answers[0].body == answers[1].body,
	}
}

func unknownKey(f *Fleet) step {
	a := f.do(chatCall(0, "no-such-key", 8, false))
	return step{
		name: "unknown key",
		got:  a.String(),
		ok:   a.status == fasthttp.StatusUnauthorized && a.verdict == "not-run",
	}
}

func overBurst(f *Fleet) step {
	a := f.do(chatCall(0, Customers()[1].Key, 1000, false))
	return step{
		name: "call beyond the customer's burst",
		got:  a.String(),
		ok:   a.status == fasthttp.StatusTooManyRequests && a.verdict == "not-run",
	}
}

// noKeyAtEndpoint looks for callers' keys in all that the endpoints received.
func noKeyAtEndpoint(f *Fleet) step {
	seen := 0
	for _, r := range append(f.engine.Requests(), f.service.Requests()...) {
		text := fmt.Sprint(r)
		for _, c := range Customers() {
			seen += strings.Count(text, c.Key)
		}
	}
	return step{
		name: "callers' keys at the endpoints",
		got:  fmt.Sprintf("%d seen", seen),
		ok:   seen == 0,
	}
}

// withdrawn withdraws a key and waits until both entries refuse it.
func withdrawn(f *Fleet) step {
	key := Customers()[1].Key
	before := f.do(chatCall(0, key, 8, false))
	started := time.Now()
	if err := f.publish(config.Publish{
		Base:  1,
		Patch: []byte(withdrawal),
		Nonce: "withdrawal",
	}); err != nil {
		return step{
			name: "withdrawn key",
			got:  err.Error(),
		}
	}
	var after answer
	for i := range f.Entries {
		for after = f.do(chatCall(i, key, 1, false)); after.status == fasthttp.StatusOK; {
			if time.Since(started) > callTimeout {
				break
			}
			time.Sleep(pollInterval)
			after = f.do(chatCall(i, key, 1, false))
		}
	}
	return step{
		name: "withdrawn key",
		got:  fmt.Sprintf("%v, then %v", before, after),
		ok:   before.status == fasthttp.StatusOK && after.status == fasthttp.StatusUnauthorized && after.verdict == "not-run",
	}
}

// Print writes the lines of a fleet that is kept running.
func Print(f *Fleet, out io.Writer) error {
	var b bytes.Buffer
	for _, l := range f.Lines {
		fmt.Fprintf(&b, "%s %s\n", l.Name, l.Value)
	}
	for _, c := range Customers() {
		fmt.Fprintf(&b, "key %s %s\n", c.Name, c.Key)
	}
	c := chatCall(0, Customers()[0].Key, 20, true)
	fmt.Fprintf(&b, "curl curl -sN %s%s -H 'Authorization: Bearer %s' -d '%s'\n", f.Entries[0], c.path, c.key, c.body)
	_, err := out.Write(b.Bytes())
	return err
}
