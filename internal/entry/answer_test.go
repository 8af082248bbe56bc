package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// sessionPair returns the two ends of a session between an entry and an agent.
func sessionPair(t *testing.T) (dialed, served *wire.Session) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan *wire.Session, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			accepted <- nil
			return
		}
		session, _ := wire.Accept(conn, &wirepb.Hello{}, nil)
		accepted <- session
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	dialed, err = wire.Dial(context.Background(), address, &wirepb.Hello{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dialed.Close)
	served = <-accepted
	t.Cleanup(served.Close)
	return dialed, served
}

// newSession returns an entry's session to an agent that never responds.
func newSession(t *testing.T) *wire.Session {
	t.Helper()
	dialed, _ := sessionPair(t)
	return dialed
}

// callPair returns the entry's and the agent's end of a call.
func callPair(t *testing.T) (entry, agent *wire.Call) {
	t.Helper()
	dialed, served := sessionPair(t)
	entry, err := dialed.OpenCall()
	if err != nil {
		t.Fatal(err)
	}
	if err := entry.SendRequest(&wirepb.CallRequest{Id: "1"}); err != nil {
		t.Fatal(err)
	}
	if agent, err = served.AcceptCall(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := agent.ReceiveRequest(); err != nil {
		t.Fatal(err)
	}
	return entry, agent
}

func dataFrame(text string) *wirepb.CallFrame {
	return &wirepb.CallFrame{Data: []byte(text)}
}

func endFrame(size uint64) *wirepb.CallFrame {
	return &wirepb.CallFrame{End: &wirepb.End{Bytes: size}}
}

func failureFrame(verdict fault.Verdict) *wirepb.CallFrame {
	return &wirepb.CallFrame{Failure: &wirepb.Failure{
		Verdict: wire.VerdictToWire(verdict),
		Code:    string(fault.CodeEndpoint),
	}}
}

// TestIncompleteResponse checks that a response that is truncated, too long or
// ended by a failure is reported as an error with the right verdict and code.
func TestIncompleteResponse(t *testing.T) {
	for _, test := range []struct {
		name    string
		frames  []*wirepb.CallFrame
		verdict fault.Verdict
		code    fault.Code
	}{
		{name: "lost bytes", frames: []*wirepb.CallFrame{dataFrame("hal"), endFrame(4)}, verdict: fault.Ran, code: fault.CodeCut},
		{name: "too many bytes", frames: []*wirepb.CallFrame{dataFrame("whole"), endFrame(4)}, verdict: fault.Ran, code: fault.CodeCut},
		{name: "broken connection", frames: []*wirepb.CallFrame{dataFrame("who")}, verdict: fault.MayHaveRun, code: fault.CodeLink},
		{
			name: "too long", frames: []*wirepb.CallFrame{dataFrame("whole"), dataFrame("and more")},
			verdict: fault.Ran, code: fault.CodeCut,
		},
		{
			name: "failure", frames: []*wirepb.CallFrame{dataFrame("who"), failureFrame(fault.MayHaveRun)},
			verdict: fault.MayHaveRun, code: fault.CodeEndpoint,
		},
		{name: "not run", frames: []*wirepb.CallFrame{failureFrame(fault.NotRun)}, verdict: fault.NotRun, code: fault.CodeEndpoint},
	} {
		for _, stream := range []bool{false, true} {
			if stream && test.name == "too long" {
				continue // a stream has no size limit
			}
			entry, agent := callPair(t)
			for _, f := range test.frames {
				if err := agent.SendFrame(f); err != nil {
					t.Fatal(err)
				}
			}
			if err := agent.Close(); err != nil {
				t.Fatal(err)
			}
			err := readAll(entry, stream)
			if fault.VerdictOf(err) != test.verdict || fault.CodeOf(err) != test.code {
				t.Errorf("%s, stream %v: %v %s, want %v %s", test.name, stream,
					fault.VerdictOf(err), fault.CodeOf(err), test.verdict, test.code)
			}
		}
	}
}

// readAll reads a response to its end and returns the error that the caller
// gets.
func readAll(call *wire.Call, stream bool) error {
	deadline := time.Now().Add(5 * time.Second)
	if !stream {
		_, _, err := readResponse(call, deadline, 8)
		return err
	}
	var reported error
	r := &streamReader{
		call:     call,
		deadline: deadline,
		onFirst:  func() {},
		onEnd:    func(err error, _ *wirepb.End, _ int) { reported = err },
	}
	body, err := io.ReadAll(r)
	if err == nil || !bytes.Contains(body, []byte(`"verdict"`)) {
		return errors.New("a failed stream was reported as complete")
	}
	return reported
}

func TestReadResponseDeadline(t *testing.T) {
	entry, _ := callPair(t)
	deadline := time.Now()
	if err := entry.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	_, _, err := readResponse(entry, deadline, 8)
	if fault.VerdictOf(err) != fault.MayHaveRun || fault.CodeOf(err) != fault.CodeDeadline {
		t.Errorf("%v %s, want may-have-run %s", fault.VerdictOf(err), fault.CodeOf(err), fault.CodeDeadline)
	}
}

const testAPIKey = "booth-secret-key"

// testIndex returns a configuration with one customer and several routes.
func testIndex(tb testing.TB) *config.Index {
	tb.Helper()
	parsed, err := config.Parse([]byte(`{"format":1,
"services":{"lengua":{"kind":"model"},"pedidos":{"kind":"plain"},"secret":{"kind":"plain"}},
"models":{"m":{"service":"lengua","version":"v1","versions":{"v1":{"memoryBytes":1}}},
 "n":{"service":"lengua","version":"v1","versions":{"v1":{"memoryBytes":1}}}},
"customers":{"booth":{"keys":{"a":{"sha256":"` + config.DigestKey([]byte(testAPIKey)).String() + `"}},
 "services":["lengua","pedidos"],"models":["m"]}},
"routes":{
 "complete":{"path":"/v1/completions","service":"lengua","access":"keyed","priority":"interactive","idempotent":true},
 "chat":{"path":"/v1/chat/completions","service":"lengua","access":"keyed","priority":"interactive","idempotent":true},
 "charge":{"path":"/charge","service":"pedidos","access":"keyed","priority":"interactive","query":["q"],"headers":["X-Note"]},
 "hidden":{"path":"/hidden","service":"secret","access":"keyed","priority":"interactive"},
 "stock":{"path":"/stock","service":"pedidos","access":"open","priority":"interactive","idempotent":true}}}`))
	if err != nil {
		tb.Fatal(err)
	}
	return config.NewIndex(parsed)
}

// resolveBytes resolves a request given as raw bytes. It returns false for ok
// if the HTTP library can't parse the request.
func resolveBytes(index *config.Index, text string) (r *resolvedRequest, err error, ok bool) {
	ctx := &fasthttp.RequestCtx{}
	if err := ctx.Request.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		return nil, nil, false
	}
	r, err = resolveRequest(time.Unix(1000, 0), index, "id", ctx)
	return r, err, true
}

func TestResolveRejectsInvalidRequests(t *testing.T) {
	index := testIndex(t)
	const auth = "X-Api-Key: " + testAPIKey + "\r\n"
	post := func(path, headers, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " +
			string(mustJSON(t, len(body))) + "\r\n\r\n" + body
	}
	for _, test := range []struct {
		text string
		code fault.Code
	}{
		{text: post("/nowhere", auth, ""), code: fault.CodeNoRoute},
		{text: post("/charge", "", ""), code: fault.CodeNoKey},
		{text: post("/charge", "X-Api-Key: wrong\r\n", ""), code: fault.CodeBadKey},
		{text: post("/hidden", auth, ""), code: fault.CodeForbidden},
		{text: post("/charge/%2e%2e/hidden", auth, ""), code: fault.CodeBadRequest},
		{text: post("/charge/..%2f", auth, ""), code: fault.CodeNoRoute},
		{text: post("/charge/a%2fb", auth, ""), code: fault.CodeBadRequest},
		{text: post("/charge", auth+"X-Request-Timeout: soon\r\n", ""), code: fault.CodeBadRequest},
		{text: post("/charge", auth, "x"+testAPIKey), code: fault.CodeBadRequest},
		{text: post("/v1/completions", auth, "nonsense"), code: fault.CodeBadRequest},
		{text: post("/v1/completions", auth, `{"model":"z"}`), code: fault.CodeNoModel},
		{text: post("/v1/completions", auth, `{"model":"m:z"}`), code: fault.CodeNoModel},
		{text: post("/v1/completions", auth, `{"model":"n"}`), code: fault.CodeForbidden},
		{text: post("/v1/completions", auth, `{"model":"m","max_tokens":0}`), code: fault.CodeBadRequest},
	} {
		_, err, ok := resolveBytes(index, test.text)
		if !ok || fault.CodeOf(err) != test.code || fault.VerdictOf(err) != fault.NotRun {
			t.Errorf("%q: %v %s, want not-run %s", test.text, fault.VerdictOf(err), fault.CodeOf(err), test.code)
		}
	}
}

func mustJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func FuzzResolve(f *testing.F) {
	index := testIndex(f)
	f.Add("POST /charge?q=" + testAPIKey + " HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + testAPIKey +
		"\r\nX-Note: " + testAPIKey + "\r\nContent-Length: 1\r\n\r\nx")
	f.Add("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testAPIKey +
		"\r\nContent-Length: 13\r\n\r\n{\"model\":\"m\"}")
	f.Add("GET /stock/..%2fcharge HTTP/1.1\r\nHost: x\r\nCookie: k=" + testAPIKey + "\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err, ok := resolveBytes(index, text)
		if !ok {
			return
		}
		if err != nil {
			if fault.VerdictOf(err) != fault.NotRun && fault.CodeOf(err) != fault.CodeUnknownResult {
				t.Errorf("%q: %v has the verdict %v", text, err, fault.VerdictOf(err))
			}
			return
		}
		if r.call.Route.Access == config.AccessKeyed && r.call.Customer != "booth" {
			t.Errorf("%q: accepted without an API key", text)
		}
		if r.call.Authenticated && strings.Contains(r.request.String(), testAPIKey) {
			t.Errorf("%q: the API key is in %v", text, r.request)
		}
	})
}

func TestCallerDisconnectDuringStream(t *testing.T) {
	entrySide, agentSide := callPair(t)
	if err := agentSide.SendFrame(dataFrame("part")); err != nil {
		t.Fatal(err)
	}
	var reported error
	r := &streamReader{
		call:     entrySide,
		deadline: time.Now().Add(time.Minute),
		onFirst:  func() {},
		onEnd:    func(err error, _ *wirepb.End, _ int) { reported = err },
	}
	if _, err := r.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	checkError(t, "caller disconnected", reported, fault.MayHaveRun, fault.CodeCallerGone)
}

func TestReplayedResponseIsNotCharged(t *testing.T) {
	ex := &exchange{resolvedRequest: &resolvedRequest{
		call:    Call{Tokens: 10},
		request: &wirepb.CallRequest{},
	}}
	head := &wirepb.Head{}
	if tokens := chargedTokens(ex, head, &wirepb.End{}); tokens != 10 {
		t.Errorf("executed call is charged %v tokens, want 10", tokens)
	}
	head.Headers = []*wirepb.Header{{Name: wire.HeaderReplayed, Value: "true"}}
	if tokens := chargedTokens(ex, head, &wirepb.End{}); tokens != 0 {
		t.Errorf("replayed call is charged %v tokens, want 0", tokens)
	}
}
