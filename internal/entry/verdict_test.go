package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// checkError fails the test unless err has the given verdict and code.
func checkError(t *testing.T, desc string, err error, verdict fault.Verdict, code fault.Code) {
	t.Helper()
	if fault.VerdictOf(err) != verdict || fault.CodeOf(err) != code {
		t.Errorf("%s: %v %s, want %v %s", desc, fault.VerdictOf(err), fault.CodeOf(err), verdict, code)
	}
}

func TestRefusalsBeforeFirstAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	unconfigured := NewCore(CoreSettings{Host: "entry", FixedShare: 1})
	checkError(t, "no configuration", unconfigured.checkAdmission(now, Call{}), fault.NotRun, fault.CodeNotReady)
	withoutAgents := readyCore(t, now)
	checkError(t, "no agent", findFailure(t, arriveCall(t, withoutAgents, now, "charge")), fault.NotRun, fault.CodeNoEndpoint)
	revoked := Call{
		Authenticated: true,
		KeyDigest:     config.DigestKey([]byte("gone")),
		Customer:      "booth",
	}
	checkError(t, "revoked key", withoutAgents.checkAdmission(now, revoked), fault.NotRun, fault.CodeWithdrawn)

	ctx := &fasthttp.RequestCtx{}
	writeJSON(ctx, make(chan int))
	if verdict := string(ctx.Response.Header.Peek(headerVerdict)); verdict != "not-run" || ctx.Response.StatusCode() != 500 {
		t.Errorf("value that JSON can't encode: %d %s, want 500 not-run", ctx.Response.StatusCode(), verdict)
	}
}

// findFailure returns the error that the effects end a call with.
func findFailure(t *testing.T, effects []Effect) error {
	t.Helper()
	for _, effect := range effects {
		if r, ok := effect.(FailCall); ok {
			return r.Err
		}
	}
	t.Fatalf("no FailCall in %v", effects)
	return nil
}

// TestRevokedKeyCancelsIdempotentCalls publishes a configuration without the
// API key of two running calls, of which one is idempotent.
func TestRevokedKeyCancelsIdempotentCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	core := readyCore(t, now, "a")
	for id, route := range map[string]string{"1": "look", "2": "charge"} {
		core.calls[id] = &activeCall{Call: Call{
			ID:            id,
			Authenticated: true,
			Route:         core.fold.Config.Routes[route],
		}}
	}
	data, err := json.Marshal(config.Record{Publish: &config.Publish{
		Base: core.fold.Accepted,
		Text: json.RawMessage(coreConfig),
	}})
	if err != nil {
		t.Fatal(err)
	}
	effects := core.Apply(now, LogRead{
		Stream: plat.StreamConfig,
		Page: plat.Page{
			First:   1,
			Next:    3,
			Records: []plat.Record{{Offset: 2, Data: data}},
		},
	})
	effects = append(effects, core.Apply(now.Add(dropGracePeriod), Tick{})...)
	canceled := 0
	for _, effect := range effects {
		if cancel, ok := effect.(CancelAttempt); ok {
			canceled++
			if cancel.ID != "1" {
				t.Errorf("call %s was canceled although it is not idempotent", cancel.ID)
			}
			checkError(t, "running call", cancel.Err, fault.MayHaveRun, fault.CodeWithdrawn)
		}
	}
	if canceled != 1 {
		t.Errorf("%d calls were canceled, want 1", canceled)
	}
}

// TestAttemptFailsBeforeRequestIsSent checks that attempts that fail before
// their request is sent have the verdict not-run.
func TestAttemptFailsBeforeRequestIsSent(t *testing.T) {
	server := &Server{
		options:  Options{Hello: &wirepb.Hello{}},
		sessions: make(map[string]*wire.Session),
	}
	ex := &exchange{resolvedRequest: &resolvedRequest{
		call:    Call{Deadline: time.Now().Add(time.Minute)},
		request: &wirepb.CallRequest{},
	}}
	_, _, err := server.openAttempt(ex, SendAttempt{Host: "a"})
	checkError(t, "no session", err, fault.NotRun, fault.CodeLink)

	session := newSession(t)
	server.sessions["a"] = session
	expired := &exchange{resolvedRequest: &resolvedRequest{
		call:    Call{Deadline: time.Now().Add(-time.Second)},
		request: &wirepb.CallRequest{},
	}}
	_, _, err = server.openAttempt(expired, SendAttempt{Host: "a"})
	checkError(t, "deadline passed", err, fault.NotRun, fault.CodeDeadline)

	ex.cancel(fault.New(fault.MayHaveRun, fault.CodeWithdrawn, "revoked"))
	_, _, err = server.openAttempt(ex, SendAttempt{Host: "a"})
	checkError(t, "canceled before the attempt", err, fault.NotRun, fault.CodeWithdrawn)

	session.Close()
	_, _, err = server.openAttempt(expired, SendAttempt{Host: "a"})
	checkError(t, "session closed", err, fault.NotRun, fault.CodeLink)
}

// TestResponseWithoutHead checks the verdict when an agent sends data without a
// head.
func TestResponseWithoutHead(t *testing.T) {
	entrySide, agentSide := callPair(t)
	if err := agentSide.SendFrame(dataFrame("x")); err != nil {
		t.Fatal(err)
	}
	server := &Server{options: Options{Hello: &wirepb.Hello{}}}
	ex := &exchange{resolvedRequest: &resolvedRequest{
		call:    Call{Deadline: time.Now().Add(time.Minute)},
		request: &wirepb.CallRequest{Id: "1"},
	}}
	_, err := server.sendRequest(ex, SendAttempt{}, entrySide)
	checkError(t, "no head", err, fault.MayHaveRun, fault.CodeLink)
}
