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

// want fails the test unless err has a verdict and a code.
func want(t *testing.T, what string, err error, v fault.Verdict, code fault.Code) {
	t.Helper()
	if fault.VerdictOf(err) != v || fault.CodeOf(err) != code {
		t.Errorf("%s: %v %s, want %v %s", what, fault.VerdictOf(err), fault.CodeOf(err), v, code)
	}
}

func TestRefusalsBeforeTheFirstAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := NewCore(CoreSettings{Host: "entry", Share: 1})
	want(t, "no configuration", fresh.admit(now, Call{}), fault.NotRun, fault.CodeNotReady)
	lonely := readyCore(t, now)
	want(t, "no agent", refusalIn(t, arrive(t, lonely, now, "charge")), fault.NotRun, fault.CodeNoEndpoint)
	gone := Call{
		Keyed:    true,
		Key:      config.DigestKey([]byte("gone")),
		Customer: "booth",
	}
	want(t, "withdrawn key", lonely.admit(now, gone), fault.NotRun, fault.CodeWithdrawn)

	ctx := &fasthttp.RequestCtx{}
	writeJSON(ctx, make(chan int))
	if v := string(ctx.Response.Header.Peek(headerVerdict)); v != "not-run" || ctx.Response.StatusCode() != 500 {
		t.Errorf("answer without a JSON form: %d %s, want 500 not-run", ctx.Response.StatusCode(), v)
	}
}

// refusalIn returns the error that effects end a call with.
func refusalIn(t *testing.T, effects []Effect) error {
	t.Helper()
	for _, effect := range effects {
		if r, ok := effect.(Refuse); ok {
			return r.Err
		}
	}
	t.Fatalf("no refusal in %v", effects)
	return nil
}

// TestWithdrawnKeyCancelsWhatMayBeRepeated publishes a text without the key of
// two running calls.
func TestWithdrawnKeyCancelsWhatMayBeRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	c := readyCore(t, now, "a")
	for id, route := range map[string]string{"1": "look", "2": "charge"} {
		c.calls[id] = &running{Call: Call{
			ID:    id,
			Keyed: true,
			Route: c.fold.Text.Routes[route],
		}}
	}
	data, err := json.Marshal(config.Record{Publish: &config.Publish{
		Base: c.fold.Accepted,
		Text: json.RawMessage(coreText),
	}})
	if err != nil {
		t.Fatal(err)
	}
	effects := c.Apply(now, LogRead{
		Stream: plat.StreamConfig,
		Page: plat.Page{
			First:   1,
			Next:    3,
			Records: []plat.Record{{Offset: 2, Data: data}},
		},
	})
	effects = append(effects, c.Apply(now.Add(dropGrace), Tick{})...)
	canceled := 0
	for _, effect := range effects {
		if cancel, ok := effect.(Cancel); ok {
			canceled++
			if cancel.ID != "1" {
				t.Errorf("call %s was canceled though it may not be repeated", cancel.ID)
			}
			want(t, "running call", cancel.Err, fault.MayHaveRun, fault.CodeWithdrawn)
		}
	}
	if canceled != 1 {
		t.Errorf("%d calls were canceled, want 1", canceled)
	}
}

// TestAttemptThatNeverLeft lets attempts fail before their request is sent.
func TestAttemptThatNeverLeft(t *testing.T) {
	s := &Server{
		options:  Options{Hello: &wirepb.Hello{}},
		sessions: make(map[string]*wire.Session),
	}
	x := &exchange{resolved: &resolved{
		call:    Call{Deadline: time.Now().Add(time.Minute)},
		request: &wirepb.CallRequest{},
	}}
	_, _, err := s.open(x, Send{Host: "a"})
	want(t, "no session", err, fault.NotRun, fault.CodeLink)

	session := sessionTo(t)
	s.sessions["a"] = session
	late := &exchange{resolved: &resolved{
		call:    Call{Deadline: time.Now().Add(-time.Second)},
		request: &wirepb.CallRequest{},
	}}
	_, _, err = s.open(late, Send{Host: "a"})
	want(t, "deadline passed", err, fault.NotRun, fault.CodeDeadline)

	x.cancel(fault.New(fault.MayHaveRun, fault.CodeWithdrawn, "withdrawn"))
	_, _, err = s.open(x, Send{Host: "a"})
	want(t, "canceled before", err, fault.NotRun, fault.CodeWithdrawn)

	session.Close()
	_, _, err = s.open(late, Send{Host: "a"})
	want(t, "session closed", err, fault.NotRun, fault.CodeLink)
}

// TestAnswerWithoutHead has an agent that answers with data at once.
func TestAnswerWithoutHead(t *testing.T) {
	entrySide, agentSide := callPair(t)
	if err := agentSide.SendFrame(data("x")); err != nil {
		t.Fatal(err)
	}
	s := &Server{options: Options{Hello: &wirepb.Hello{}}}
	x := &exchange{resolved: &resolved{
		call:    Call{Deadline: time.Now().Add(time.Minute)},
		request: &wirepb.CallRequest{Id: "1"},
	}}
	_, err := s.request(x, Send{}, entrySide)
	want(t, "no head", err, fault.MayHaveRun, fault.CodeLink)
}
