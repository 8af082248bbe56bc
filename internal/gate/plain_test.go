package gate

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

const (
	badContent   = "bad"
	soundContent = "sound"
	// crashGap is the time between two crashes in which all entries learn of the first.
	crashGap = 500 * time.Millisecond
	// runTime is how long a request runs before its endpoint ends.
	runTime = 50 * time.Millisecond
	// budgetContact is the time after the third crash from which at most badRetries of the
	// bad requests may reach endpoints.
	budgetContact = 3 * time.Second
	badRetries    = 3
	// attackTime is how long the bad request comes again and again.
	attackTime = time.Minute
)

// plainFleet is a set of entries with plain endpoints.
type plainFleet struct {
	*entryFleet
	shops int
	// registered are the last changes of endpoints, which a full read tells of.
	registered []topo.EndpointChange
}

func newPlainFleet(t *testing.T) *plainFleet { return newPlainFleetOf(t, 3) }

func newPlainFleetOf(t *testing.T, entries int) *plainFleet {
	f := &plainFleet{entryFleet: newEntryFleetOf(t, entries)}
	for range 3 {
		f.addShop()
	}
	return f
}

// addShop starts an endpoint under a new ID.
func (f *plainFleet) addShop() {
	f.shops++
	ep := testEndpoint(fmt.Sprint("shop-", f.shops), "shop")
	f.change(topo.EndpointChange{ID: ep.ID, Endpoint: ep})
}

func (f *plainFleet) change(changes ...topo.EndpointChange) {
	for _, change := range changes {
		f.registered = slices.DeleteFunc(f.registered, func(r topo.EndpointChange) bool { return r.ID == change.ID })
		if change.Endpoint != nil {
			f.registered = append(f.registered, change)
		}
	}
	for host := range f.cores {
		f.apply(host, EndpointsRead{SentAt: f.now, Changes: changes})
	}
}

// arrivePlain delivers a request with the given content and lets no time pass.
func (f *plainFleet) arrivePlain(host, path, key, content string) CallID {
	f.calls++
	f.effects[host] = nil
	f.apply(host, RequestArrived{Call: f.calls, Request: &Request{
		ID: fmt.Sprint("call-", f.calls), Host: "h", Path: path, Key: key, ArrivedAt: f.now, Content: content,
	}})
	return f.calls
}

// tryPlain delivers a request and returns where it was sent, or the error with which it
// was refused.
func (f *plainFleet) tryPlain(host, path, content string) (Send, error) {
	f.arrivePlain(host, path, "k2", content)
	return f.await(host)
}

func (f *plainFleet) mustTryPlain(host, path, content string) Send {
	f.t.Helper()
	sent, err := f.tryPlain(host, path, content)
	if err != nil {
		f.t.Fatalf("%s refused a request with content %q: %v", host, content, err)
	}
	return sent
}

// cut ends the endpoint of a request. It reports whether the entry sent the request again.
func (f *plainFleet) cut(host string, sent Send) (again bool) {
	f.now = f.now.Add(runTime)
	f.effects[host] = nil
	f.apply(host, AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
	_, again = findEffect[Send](f.effects[host])
	probe, probed := findEffect[ProbeEngine](f.effects[host])
	if probed && !probe.Plain {
		f.t.Error("a plain endpoint is probed like an engine")
	}
	f.apply(host, EngineProbed{Run: poison.Run{Engine: sent.Endpoint, Incarnation: sent.Incarnation}})
	return again
}

// answer completes a request, which its endpoint outlives.
func (f *plainFleet) answer(host string, sent Send) {
	f.entryFleet.answer(host, sent)
	f.pass(answerSettleTime)
}

// crashPlain is cut; another endpoint starts later.
func (f *plainFleet) crashPlain(host string, sent Send) {
	f.cut(host, sent)
	f.change(topo.EndpointChange{ID: sent.Endpoint})
	f.addShop()
	f.pass(crashGap)
}

// pass lets time pass and all entries report.
func (f *plainFleet) pass(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.tick()
	}
}

// crashBad lets the bad request crash endpoints, sent by all entries in turn.
func (f *plainFleet) crashBad(count int) {
	f.t.Helper()
	for i := range count {
		f.crashPlain(hostOf(i), f.mustTryPlain(hostOf(i), "/charge/1", badContent))
	}
}

// attack lets the bad request come for attackTime, and returns how often it reached an endpoint.
func (f *plainFleet) attack() (reached int) {
	f.t.Helper()
	return len(f.attackWith(f.crashPlain))
}

// attackWith lets the bad request come for attackTime, with the given consequence. It returns
// the times at which it reached an endpoint.
func (f *plainFleet) attackWith(consequence func(host string, sent Send)) (reachedAt []time.Time) {
	f.t.Helper()
	for i, until := 0, f.now.Add(attackTime); f.now.Before(until); i++ {
		sent, err := f.tryPlain(hostOf(i), "/charge/1", badContent)
		if err != nil {
			f.pass(crashGap)
			continue
		}
		reachedAt = append(reachedAt, f.now)
		consequence(hostOf(i), sent)
	}
	return reachedAt
}

// wantPlainQuarantined checks that an entry refuses the bad request as not run, and sends
// another one of its customer.
func (f *plainFleet) wantPlainQuarantined(host string) {
	f.t.Helper()
	_, err := f.tryPlain(host, "/look/1", badContent)
	if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun {
		f.t.Errorf("%s answered the bad request with %v, want it refused as not run", host, err)
	}
	if after := fault.RetryAfterOf(err); after < 5*time.Second || after > 30*time.Second {
		f.t.Errorf("%s told to come back after %v, want the end of the quarantine", host, after)
	}
	f.answer(host, f.mustTryPlain(host, "/charge/1", soundContent))
}

// wantOtherCustomerServed checks that an entry sends another customer's request with the
// bad content.
func (f *plainFleet) wantOtherCustomerServed(host string) {
	f.t.Helper()
	f.arrivePlain(host, "/charge/1", "k1", badContent)
	other, err := f.await(host)
	if err != nil {
		f.t.Errorf("%s answers another customer's request with the same content with %v", host, err)
		return
	}
	f.answer(host, other)
}

// Guards against entries that each have to lose endpoints of their own to a request.
func TestCrashesOfPlainRequestAddUp(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(4)
	for i := range 3 {
		f.wantPlainQuarantined(hostOf(i))
		f.wantOtherCustomerServed(hostOf(i))
	}
}

// Guards against a quarantine that is lost with the leader, before or after it began.
func TestPlainQuarantineSurvivesChangeOfLeader(t *testing.T) {
	for crashes := 1; crashes <= 4; crashes++ {
		f := newPlainFleet(t)
		for i := range 4 {
			if i == crashes {
				f.replaceLeader("front-2")
			}
			host := f.hostLeft(i)
			f.crashPlain(host, f.mustTryPlain(host, "/charge/1", badContent))
		}
		f.wantPlainQuarantined("front-2")
		f.wantPlainQuarantined("front-3")
	}
}

// Guards against a quarantine that is lost when all entries start anew.
func TestPlainQuarantineSurvivesAllEntries(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(4)
	f.pass(time.Second)
	restarted := newPlainFleet(t)
	restarted.now = f.now
	restarted.readStore()
	for host := range restarted.cores {
		read := f.leaseRead()
		read.Era, read.SentAt = 0, f.now
		restarted.apply(host, read)
		restarted.wantPlainQuarantined(host)
	}
}

// Guards against refusing sound requests, which repeat, because their endpoints end for
// reasons of their own, one after the other or all at once.
func TestOrdinaryFailuresQuarantineNoPlainRequest(t *testing.T) {
	f := newPlainFleet(t)
	for round := range 30 {
		var sent []Send
		for i := range 6 {
			sent = append(sent, f.mustTryPlain(hostOf(i), "/charge/1", fmt.Sprint("content-", (round+i)%7)))
		}
		var ended []string
		for i, send := range sent {
			if round%3 == 0 || round%3 == 1 && send.Endpoint == sent[0].Endpoint {
				f.cut(hostOf(i), send)
				ended = append(ended, send.Endpoint)
				continue
			}
			f.answer(hostOf(i), send)
		}
		slices.Sort(ended)
		for _, id := range slices.Compact(ended) {
			f.change(topo.EndpointChange{ID: id})
			f.addShop()
		}
		f.pass(2 * time.Second)
	}
}

// Guards against an entry that tells any other time than the end of a quarantine of which
// only the leader knows.
func TestQuarantineKnownToLeaderIsToldTruly(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	const remaining = 17 * time.Second
	f.cores["front-1"].crashes.log.AddQuarantine(f.now, poison.Quarantine{
		Part: poison.NewFingerprint("free", badContent), Until: f.now.Add(remaining), Duration: 20 * time.Second,
	})
	_, err := f.tryPlain("front-3", "/charge/1", badContent)
	if after := fault.RetryAfterOf(err); fault.CodeOf(err) != fault.CodeQuarantine || after != remaining {
		t.Errorf("refused with %v and told to come back after %v, want %v", err, after, remaining)
	}
}

// Guards against a stream request that comes again, identically, and crashes engine after
// engine though all parts of its prompt that others share are sound.
func TestIdenticalStreamRequestIsQuarantined(t *testing.T) {
	f := newEntryFleet(t)
	send := func(host, content, resumes string) (Send, error) {
		f.calls++
		f.effects[host] = nil
		f.apply(host, RequestArrived{Call: f.calls, Request: &Request{
			ID: fmt.Sprint("call-", f.calls), Host: "h", Path: "/chat/1", Key: "k2", Model: "big", ArrivedAt: f.now,
			SharedParts: []poison.Part{systemPart}, Content: content, ResumedRequest: resumes,
		}})
		return f.await(host)
	}
	for i := range 4 {
		sound, err := send(hostOf(i+1), fmt.Sprint("sound-", i), "")
		bad, badErr := send(hostOf(i), badContent, "")
		if err := errors.Join(err, badErr); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		f.answer(hostOf(i+1), sound)
		f.now = f.now.Add(runTime)
		f.crash(hostOf(i), bad, false)
	}
	for i := range 3 {
		for _, resumes := range []string{"", "call-1"} {
			_, err := send(hostOf(i), badContent, resumes)
			if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun {
				t.Errorf("%s answers the request with %v, want it refused as not run", hostOf(i), err)
			}
		}
		if _, err := send(hostOf(i), soundContent, ""); err != nil {
			t.Errorf("%s refuses a request with the same parts: %v", hostOf(i), err)
		}
	}
}

// Guards against a record of the lease that drops the quarantines of requests first, and
// not the shortest ones.
func TestRecordKeepsLongestQuarantines(t *testing.T) {
	f := newPlainFleet(t)
	core := f.cores["front-1"]
	for i := range maxRecordedQuarantines {
		core.crashes.log.AddQuarantine(f.now, poison.Quarantine{
			Part:     poison.NewPart(fmt.Sprint("old-", i)),
			Until:    f.now.Add(time.Second),
			Duration: 20 * time.Second,
		})
	}
	bad := poison.NewFingerprint("free", badContent)
	core.crashes.log.AddQuarantine(f.now, poison.Quarantine{
		Part:     bad,
		Until:    f.now.Add(time.Hour),
		Duration: time.Hour,
	})
	for _, q := range core.recordedQuarantine(f.now) {
		if poison.Part(q.Part) == bad {
			return
		}
	}
	t.Errorf("of %d quarantines the longest one is not in the record", maxRecordedQuarantines+1)
}
