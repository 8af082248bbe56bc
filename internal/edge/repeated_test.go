package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

// moment is when a faulty endpoint writes an earlier response once more.
type moment string

const (
	whileIdle    moment = "before the next request"
	beforeAnswer moment = "before the answer"
	withinAnswer moment = "within the answer"
	afterAnswer  moment = "after the answer"
)

// repeatDelay is the time between an answer and a repeat after it, and the time for
// which the tests wait for a repeat on an idle connection.
const repeatDelay = 5 * time.Millisecond

// repeater is a faulty endpoint. It turns away the first request on each connection, or
// answers it, and writes that response once more for each further one, which it runs.
type repeater struct {
	// first returns the response to the first request, repeat what is written again.
	first, repeat func(id string) string
	when          moment

	mu      sync.Mutex
	ran     map[string]int
	repeats int
}

// start serves connections until the end of the test and returns the address.
func (e *repeater) start(t *testing.T) netip.AddrPort {
	e.ran = make(map[string]int)
	return netip.MustParseAddrPort(listenRaw(t, e.serve))
}

// runs returns how often the request with the ID was run.
func (e *repeater) runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// repeated returns how often a response was repeated for a further request.
func (e *repeater) repeated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.repeats
}

func (e *repeater) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	repeat := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(platform.HeaderRequestID)
		if repeat == "" {
			repeat = e.repeat(id)
			_, _ = io.WriteString(conn, e.first(id))
			if e.when == whileIdle {
				time.Sleep(repeatDelay)
				_, _ = io.WriteString(conn, repeat)
			}
			continue
		}
		e.mu.Lock()
		e.ran[id]++
		e.repeats++
		e.mu.Unlock()
		e.answer(conn, id, repeat)
	}
}

// answer writes the answer to a request that was run, and the repeat.
func (e *repeater) answer(conn net.Conn, id, repeat string) {
	body := answerBody(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		platform.HeaderServerStamp, platform.HeaderRequestID, id)
	parts := map[moment]string{}
	parts[e.when] = repeat
	_, _ = fmt.Fprintf(conn, "%s%s%x\r\n%s\r\n%s", parts[beforeAnswer], head, len(body), body, parts[withinAnswer])
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	if e.when == afterAnswer {
		time.Sleep(repeatDelay)
		_, _ = io.WriteString(conn, repeat)
	}
}

func answerBody(id string) string { return "id: 1\ndata: ran " + id + "\n\n" }

// rawResponse returns a response with the ID, none if it is empty.
func rawResponse(status int, lines, id string, f rawFraming, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, lines)
	if id != "" {
		head += platform.HeaderRequestID + ": " + id + "\r\n"
	}
	switch f {
	case framedByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n" + body
}

// repeatedResponse is the status and the headers of what is repeated.
type repeatedResponse struct {
	status int
	lines  string
}

var repeatedResponses = map[string]repeatedResponse{
	"429":          {status: 429, lines: notExecutedLine},
	"503":          {status: 503, lines: notExecutedLine},
	"408":          {status: 408, lines: notExecutedLine},
	"421":          {status: 421, lines: notExecutedLine},
	"421 alone":    {status: 421},
	"400":          {status: 400, lines: notExecutedLine},
	"failure":      {status: 500, lines: stampLine},
	"503 that ran": {status: 503, lines: stampLine},
	"answer":       {status: 200, lines: stampLine},
}

const notExecutedLine = platform.HeaderNotExecuted + ": 1\r\n"

// repeatedRequest is a kind of request on which a repeat is played.
type repeatedRequest struct {
	kind topo.Kind
	// continued is true if an earlier attempt has sent the client the stream's first event.
	continued bool
}

var repeatedRequests = map[string]repeatedRequest{
	"call":             {kind: topo.NonIdempotent},
	"idempotent call":  {kind: topo.Idempotent},
	"stream":           {kind: topo.Stream},
	"continued stream": {kind: topo.Stream, continued: true},
}

// attempts plays attempts of requests at one endpoint.
type attempts struct {
	t       *testing.T
	server  *Server
	address netip.AddrPort
}

func newAttempts(t *testing.T, address netip.AddrPort) *attempts {
	nowhere := netip.MustParseAddrPort("127.0.0.1:9")
	return &attempts{
		t:       t,
		server:  New(testSettings(t, "front-1", nowhere), zerolog.Nop(), 7),
		address: address,
	}
}

// try sends a request once. It returns the request, the result, and what the client got.
func (a *attempts) try(id string, kind topo.Kind, continued bool) (*inboundRequest, gate.Result, string) {
	return a.tryBody(id, kind, continued, budget.Pieces{})
}

// tryBody is try for a request with a body.
func (a *attempts) tryBody(id string, kind topo.Kind, continued bool, body budget.Pieces) (*inboundRequest, gate.Result, string) {
	client, far := net.Pipe()
	got := make(chan string, 1)
	go func() {
		var all bytes.Buffer
		_, _ = io.Copy(&all, far)
		got <- all.String()
	}()
	in := &inboundRequest{
		request:      &gate.Request{ID: id},
		head:         []byte("POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n" + platform.HeaderRequestID + ": " + id + "\r\n"),
		body:         body,
		client:       client,
		disconnected: make(chan struct{}),
		started:      continued,
	}
	result := a.server.attempt(in, gate.Send{
		Endpoint: "shop-1",
		Address:  a.address,
		Route:    &topo.Route{Kind: kind},
		Deadline: a.server.clock.Now().Add(2 * time.Second),
	})
	in.sendHeld() // as processRequest does after a complete attempt
	_ = client.Close()
	return in, result, <-got
}

// Guards against taking the repeat of an earlier refusal, failure or answer for the
// response to the request that is next on the connection: its client is told that it
// hasn't run, or it is sent to another endpoint, though the endpoint runs it.
func TestRepeatedResponseIsNotTheNextOnes(t *testing.T) { playRepeats(t, false) }

// The same where the ID doesn't tell: the entry or a client sends a request again, with its
// ID, to the endpoint that has turned it away.
func TestRepeatedResponseIsNotTheSameRequestsNextOne(t *testing.T) { playRepeats(t, true) }

// playRepeats plays each repeat, on three requests or on the same request three times.
func playRepeats(t *testing.T, sameRequest bool) {
	for name, response := range repeatedResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, withID := range []bool{true, false} {
				for framingName, framing := range allFramings {
					for _, when := range []moment{whileIdle, beforeAnswer, withinAnswer, afterAnswer} {
						p := repeatPlay{
							response:    response,
							withID:      withID,
							framing:     framing,
							when:        when,
							sameRequest: sameRequest,
						}
						p.name = fmt.Sprintf("with ID %t, in %s, %s", withID, framingName, when)
						p.run(t)
					}
				}
			}
		})
	}
}

// repeatPlay is one way to repeat a response.
type repeatPlay struct {
	name        string
	response    repeatedResponse
	withID      bool
	framing     rawFraming
	when        moment
	sameRequest bool
}

// run plays the repeat on each kind of request.
func (p *repeatPlay) run(t *testing.T) {
	for name, request := range repeatedRequests {
		e := &repeater{
			first:  func(id string) string { return p.raw(id, framedByLength) },
			repeat: func(id string) string { return p.raw(id, p.framing) },
			when:   p.when,
		}
		a := newAttempts(t, e.start(t))
		for i := range 3 {
			id := "r-0"
			if !p.sameRequest {
				id = fmt.Sprintf("r-%d", i)
			}
			a.check(e, fmt.Sprintf("%s, %s %d", p.name, name, i), id, request)
		}
		keptOpen := p.withID && !p.sameRequest && p.response.lines == notExecutedLine
		if keptOpen && p.when == beforeAnswer && e.repeated() == 0 {
			t.Errorf("%s, %s: nothing was repeated", p.name, name)
		}
	}
}

func (p *repeatPlay) raw(id string, f rawFraming) string {
	if !p.withID {
		id = ""
	}
	return rawResponse(p.response.status, p.response.lines, id, f, "id: 1\ndata: first\n\n")
}

// check sends a request and checks its result if it was run.
func (a *attempts) check(e *repeater, name, id string, request repeatedRequest) {
	before := e.runs(id)
	in, result, got := a.try(id, request.kind, request.continued)
	time.Sleep(2 * repeatDelay)
	ran := e.runs(id) > before
	switch {
	case ran && result.Outcome == gate.OutcomeNotRun:
		a.t.Errorf("%s: was run and counts as not run (%v)", name, result.Reason)
	case ran && in.bufferedFailure != nil:
		a.t.Errorf("%s: has the failure of an earlier one", name)
	case ran && result.Outcome == gate.OutcomeComplete && !strings.Contains(got, "ran "+id):
		a.t.Errorf("%s: was answered with %q", name, got)
	case !ran && strings.Contains(got, "ran "):
		a.t.Errorf("%s: was not run and was answered with %q", name, got)
	}
}

// A refusal proves that its request hasn't run if it carries the request's ID or is the
// first response on its connection. A connection on which it came is used again.
func TestOwnRefusalIsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		withID bool
		want   gate.Outcome
	}{
		"with the ID":    {withID: true, want: gate.OutcomeNotRun},
		"without the ID": {want: gate.OutcomeMayHaveRun},
	} {
		var conns, refusals atomic.Int64
		address := listenRaw(t, func(conn net.Conn) {
			conns.Add(1)
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				id := ""
				if test.withID {
					id = r.Header.Get(platform.HeaderRequestID)
				}
				refusals.Add(1)
				_, _ = io.WriteString(conn, rawResponse(503, notExecutedLine, id, framedByLength, "full"))
			}
		})
		a := newAttempts(t, netip.MustParseAddrPort(address))
		_, fresh, _ := a.try("r-1", topo.NonIdempotent, false)
		_, kept, _ := a.try("r-2", topo.NonIdempotent, false)
		if fresh.Outcome != gate.OutcomeNotRun || kept.Outcome != test.want || conns.Load() != 1 || refusals.Load() != 2 {
			t.Errorf("%s: %v on a new connection, %v on a kept one; %d connections, %d refusals",
				name, fresh.Outcome, kept.Outcome, conns.Load(), refusals.Load())
		}
	}
}

// Guards against telling a client that its call hasn't run, or running it at a second
// endpoint, since an endpoint has repeated a refusal without an ID on a kept connection.
func TestRepeatedRefusalNeitherRefusesNorRunsTwice(t *testing.T) {
	f := newFixture(t)
	var shops [2]*repeater
	for i := range shops {
		refusal := func(string) string { return rawResponse(503, notExecutedLine, "", framedByLength, "full") }
		shops[i] = &repeater{
			first:  refusal,
			repeat: refusal,
			when:   beforeAnswer,
		}
		f.shops[i].address = shops[i].start(t).String()
		f.store.Put(fakes.TopicEndpoints, f.shops[i].id, nil)
		f.store.Put(fakes.TopicEndpoints, fmt.Sprintf("faulty-%d", i), f.shops[i].registryRecord("shop"))
	}
	for i := range 80 {
		id := fmt.Sprintf("call-%d", i)
		r := f.send(context.Background(), "POST", "/charge/1", platform.HeaderRequestID, id)
		runs := shops[0].runs(id) + shops[1].runs(id)
		if runs > 1 {
			t.Errorf("TWICE: %s was run %d times", id, runs)
		}
		if runs > 0 && (r.status == 408 || r.status == 421 || r.status == 429 || r.status == 503) {
			t.Errorf("REFUSED: %s was run and answered %d", id, r.status)
		}
		time.Sleep(4 * repeatDelay)
	}
	if shops[0].repeated()+shops[1].repeated() == 0 {
		t.Error("no refusal was repeated")
	}
}
