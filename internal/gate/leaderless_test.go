package gate

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

// loseLeader ends the term of the leader, since the store is down.
func (f *plainFleet) loseLeader() {
	f.t.Helper()
	f.storeDown = true
	f.pass(testSettings("").Lease.Duration + time.Second)
	for host, core := range f.cores {
		if core.isLeader(f.now) {
			f.t.Fatalf("%s leads without the store", host)
		}
	}
}

// running returns the entries that are running, in turn.
func (f *plainFleet) running(i int) string {
	for {
		host := fmt.Sprint("front-", i%f.starts+1)
		if f.cores[host] != nil {
			return host
		}
		i++
	}
}

// wantCrashesAddUp lets the bad request come to all entries in turn for a minute, each time
// after they could tell each other of the crash before. It checks how often the request
// reaches an endpoint after its third crash.
func (f *plainFleet) wantCrashesAddUp() {
	f.t.Helper()
	reached := 0
	for i, until := 0, f.now.Add(time.Minute); f.now.Before(until); i++ {
		sent, err := f.tryPlain(f.running(i), "/charge/1", badContent)
		if err != nil {
			f.pass(crashGap)
			continue
		}
		reached++
		f.crashPlain(f.running(i), sent)
		f.pass(budgetContact)
	}
	if reached < 2 {
		f.t.Fatalf("%d requests reached endpoints, so few are no test", reached)
	}
	if late := reached - 3; late > badRetries {
		f.t.Errorf("%d entries: %d requests reached endpoints after the third crash, want at most %d",
			len(f.cores), late, badRetries)
	}
}

// Guards against entries that each have to lose endpoints of their own to a request while
// nobody leads, though they still have their sessions with the entry that led.
func TestCrashesAddUpWithoutLeader(t *testing.T) {
	for _, entries := range []int{4, 8} {
		f := newPlainFleetOf(t, entries)
		f.loseLeader()
		f.wantCrashesAddUp()
	}
}

// Guards against the same if the entry that led has ended too: the others have no sessions
// with each other.
func TestCrashesAddUpWithoutLeaderAndSessions(t *testing.T) {
	for _, entries := range []int{4, 8} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newPlainFleetOf(t, entries)
			f.endLeader()
			f.wantCrashesAddUp()
		})
	}
}

// Guards against refusing sound requests without a leader that were under way at crashes
// of a bad one and that other entries answer.
func TestSoundRequestsAreServedWithoutLeader(t *testing.T) {
	f := newPlainFleetOf(t, 4)
	f.wantServed(soundContent)
	f.loseLeader()
	for i := range 3 {
		host := f.running(i)
		sound := f.mustTryPlain(host, "/charge/1", soundContent)
		if bad, err := f.tryPlain(host, "/charge/1", badContent); err == nil {
			f.cut(host, bad)
			f.change(topo.EndpointChange{ID: bad.Endpoint})
			f.addShop()
		}
		f.crashPlain(host, sound)
		f.answer(f.running(i+1), f.mustTryPlain(f.running(i+1), "/charge/1", soundContent))
		f.pass(crashGap)
	}
	for i := range 4 {
		if v := f.verdictOn(f.running(i), badContent); v == poison.Clear {
			t.Errorf("%s: the bad request is clear after crashes at several entries", f.running(i))
		}
		f.answer(f.running(i), f.mustTryPlain(f.running(i), "/charge/1", soundContent))
	}
}

// Guards against a sound suspect that is refused for as long as nobody leads, and against
// several trials of it at a time.
func TestTrialsGoOnWithoutLeader(t *testing.T) {
	for name, try := range map[string]func(f *plainFleet, host string) (Send, error){
		"plain":  func(f *plainFleet, host string) (Send, error) { return f.tryPlain(host, "/charge/1", soundContent) },
		"engine": func(f *plainFleet, host string) (Send, error) { return f.try(host, "/chat/1", systemPart) },
	} {
		for granter := range 4 {
			f := newPlainFleetOf(t, 4)
			f.loseLeader()
			for i := range 2 {
				sent, err := try(f, f.running(i+1))
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				if name == "plain" {
					f.crashPlain(f.running(i+1), sent)
				} else {
					f.crash(f.running(i+1), sent, true)
				}
			}
			host := f.running(granter)
			trial, err := try(f, host)
			if err != nil {
				t.Errorf("%s: %s is refused the trial of a suspect: %v", name, host, err)
				continue
			}
			for i := range 4 {
				if sent, err := try(f, f.running(i)); err == nil {
					t.Errorf("%s: %s sends %v while a suspect is on trial", name, f.running(i), sent.Call)
				}
			}
			f.answer(host, trial)
			f.pass(time.Second)
			for i := range 4 {
				if _, err := try(f, f.running(i)); err != nil {
					t.Errorf("%s: %s refuses a request that was answered: %v", name, f.running(i), err)
				}
			}
		}
	}
}
