package gate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

// restart starts all entries anew. They know only what is in the store.
func (f *plainFleet) restart() {
	f.startEntries(len(f.cores))
	f.readStore()
	f.change(f.registered...)
	f.lead("front-1")
	f.pass(budgetContact) // all entries are in touch again
}

// Guards against losing the evidence when all entries start anew between the third crash
// and the quarantine.
func TestEvidenceOutlivesAllEntries(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(3)
	f.pass(budgetContact)
	f.restart()
	if reached := f.attack(); reached > badRetries {
		t.Errorf("after the third crash and a restart of all entries, %d requests reached endpoints, want at most %d",
			reached, badRetries)
	}
}

// Guards against evidence that only part of the entries has, that is counted twice where
// they meet, or that is lost with a second restart.
func TestEvidenceOutlivesSeveralRestarts(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	for range 3 {
		f.pass(budgetContact)
		f.restart()
	}
	for i := range 3 {
		if v := f.verdictOn(hostOf(i), badContent); v != poison.Trial {
			t.Errorf("%s: after two crashes and three restarts the verdict is %v, want a trial", hostOf(i), v)
		}
	}
	if reached := 2 + f.attack(); reached > 3+badRetries {
		t.Errorf("%d requests reached endpoints, want at most %d after the third crash", reached, badRetries)
	}
}

func (f *plainFleet) verdictOn(host, content string) poison.Verdict {
	return f.cores[host].crashes.log.Judge(f.now, []poison.Part{poison.NewFingerprint("free", content)}).Verdict
}

// wantServed checks that all entries send sound requests, and the first ones of a suspect
// too, which are answered.
func (f *plainFleet) wantServed(contents ...string) {
	f.t.Helper()
	for i := range 6 {
		for _, content := range contents {
			f.answer(hostOf(i), f.mustTryPlain(hostOf(i), "/charge/1", content))
		}
		f.tick()
	}
}

// Guards against refusing sound requests with the path, the customer and most of the
// content of a bad one after a restart.
func TestEvidenceOfOneRequestRefusesNoOther(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(3)
	f.pass(budgetContact)
	f.restart()
	f.wantServed(soundContent, badContent+" but for a word")
	for i := range 3 {
		f.wantOtherCustomerServed(hostOf(i))
	}
}

// Guards against refusing sound requests that were under way when endpoints ended by
// themselves, seen before all entries started anew. One of them was never answered before.
func TestSoundRequestsAreServedAfterEndsAndRestart(t *testing.T) {
	f := newPlainFleet(t)
	const answered = "answered before"
	f.wantServed(answered)
	for i := range 2 {
		for _, content := range []string{answered, soundContent} {
			f.crashPlain(hostOf(i), f.mustTryPlain(hostOf(i), "/charge/1", content))
		}
	}
	f.pass(budgetContact)
	for range 2 {
		f.restart()
	}
	f.wantServed(answered, soundContent)
	for i := range 3 {
		for _, content := range []string{answered, soundContent} {
			if v := f.verdictOn(hostOf(i), content); v != poison.Clear {
				t.Errorf("%s: %q has verdict %v after its answers, want clear", hostOf(i), content, v)
			}
		}
	}
	f.restart()
	f.wantServed(answered, soundContent)
}

// Guards against a sound request that is kept away for long because one more endpoint ends
// while it is tried after a restart.
func TestRecordedSuspectIsKeptAwayShortly(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(3)
	f.pass(budgetContact)
	f.restart()
	f.crashBad(1)
	f.wantPlainQuarantined("front-1")
	f.pass(25 * time.Second) // longer than the first quarantine
	f.wantServed(badContent)
}

// Guards against a record that older releases, which know no evidence, can't read, and
// against one that grows with the number of suspects.
func TestRecordedEvidenceIsBounded(t *testing.T) {
	f := newPlainFleet(t)
	log := f.cores["front-1"].crashes.log
	var parts []poison.Part
	for i := range 100 {
		parts = append(parts, poison.NewFingerprint("free", fmt.Sprint("bad-", i)))
	}
	for i := range 200 {
		when := f.now.Add(-time.Duration(i) * time.Second)
		log.AddCrash(f.now, poison.Crash{
			Run:   poison.Run{Engine: fmt.Sprint("shop-with-a-long-name-", i), Incarnation: 1 << 62},
			At:    when,
			Parts: parts,
		})
	}
	f.pass(time.Second)
	value, err := json.Marshal(f.lastRecord)
	if err != nil {
		t.Fatal(err)
	}
	const most = 64 << 10
	if n := len(f.lastRecord.Evidence.Crashes); n == 0 || len(value) > most {
		t.Errorf("the record has %d crashes and %d bytes, want some and at most %d", n, len(value), most)
	}
	var older struct {
		Host       string                  `json:"host"`
		Quarantine []lease.QuarantinedPart `json:"quarantine"`
	}
	if err := json.Unmarshal(value, &older); err != nil || older.Host != f.lastRecord.Host {
		t.Errorf("a reader that knows no evidence reads host %q: %v", older.Host, err)
	}
}

// Guards against refusing to read the record of an older release, and against one that a
// release without crashes to tell of writes otherwise than before.
func TestRecordWithoutEvidence(t *testing.T) {
	f := newPlainFleet(t)
	value, err := json.Marshal(f.lastRecord)
	if err != nil || strings.Contains(string(value), "evidence") {
		t.Errorf("a record without evidence is %s: %v", value, err)
	}
	var record lease.Record
	if err := json.Unmarshal([]byte(`{"host":"front-1","term":1,"members":null}`), &record); err != nil {
		t.Fatal(err)
	}
	f.cores["front-2"].applyRecordedCrashes(f.now, &record, true)
	f.wantServed(badContent, soundContent)
}

// Guards against prolonging a quarantine by reading the record with it again and again
// while nobody can write a newer one.
func TestOldRecordProlongsNoQuarantine(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(4)
	f.pass(time.Second)
	f.wantPlainQuarantined("front-2")
	for range 60 {
		f.now = f.now.Add(time.Second)
		f.apply("front-2", f.leaseRead())
		f.apply("front-2", Tick{})
	}
	if v := f.verdictOn("front-2", badContent); v != poison.Trial {
		t.Errorf("a minute after the start of a quarantine of 20s the verdict is %v, want a trial", v)
	}
}

// Guards against BUDGET by a request that crashes endpoints while all entries end soon after
// each crash: what one entry has seen must outlive it before the next renewal of the lease.
func TestCrashesAddUpOverEndsOfAllEntries(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond} {
		f := newPlainFleet(t)
		reached := f.attackWith(func(host string, sent Send) {
			f.cut(host, sent)
			f.change(topo.EndpointChange{ID: sent.Endpoint})
			f.addShop()
			f.now = f.now.Add(delay)
			f.restart()
		})
		later := 0
		for _, at := range reached[min(len(reached), 3):] {
			if at.Sub(reached[2]) > budgetContact {
				later++
			}
		}
		if later > badRetries {
			t.Errorf("all entries end %v after each crash: %d of %d requests reached endpoints later than %v after the third, want at most %d",
				delay, later, len(reached), budgetContact, badRetries)
		}
	}
}

// Guards against records of another writer whose ages are no times: such a crash must not
// count for ever.
func TestRecordedAgesAreBounded(t *testing.T) {
	f := newPlainFleet(t)
	bad := poison.NewFingerprint("free", badContent)
	var evidence lease.CrashEvidence
	for i, age := range []int64{-1 << 62, 1 << 62} {
		evidence.Crashes = append(evidence.Crashes, lease.RecordedCrash{
			Endpoint: fmt.Sprint("odd-", i),
			AgeMs:    age,
			Parts:    []uint64{uint64(bad)},
		})
	}
	f.apply("front-1", CrashesRead{Evidence: []lease.CrashEvidence{evidence}})
	for _, crash := range f.cores["front-1"].crashes.log.Recent().Crashes {
		if crash.At.After(f.now) {
			t.Errorf("a crash of %v is known at %v", crash.At, f.now)
		}
	}
	if n := len(f.cores["front-1"].crashes.log.Recent().Crashes); n != 1 {
		t.Errorf("%d crashes are known, want the one without an age", n)
	}
}

// Guards against a crash that the store doesn't learn of because it refused the first write, or
// because another write was in progress.
func TestCrashIsWrittenUntilAcknowledged(t *testing.T) {
	f := newPlainFleet(t)
	f.storeDown = true
	f.crashBad(1)
	if len(f.crashRecords) > 0 {
		t.Fatal("written while the store is down")
	}
	f.storeDown = false
	f.pass(time.Second)
	if n := len(f.crashRecords["front-1"].evidence.Crashes); n != 1 {
		t.Errorf("%d crashes in the store a second after its return, want 1", n)
	}
	core := f.cores["front-2"]
	core.crashRecords.writing = true
	f.crashBad(2)
	f.apply("front-2", CrashesRecorded{Acknowledged: true})
	if n := len(f.crashRecords["front-2"].evidence.Crashes); n < 2 {
		t.Errorf("%d crashes in the record of front-2 after the write in progress, want its own too", n)
	}
}

// What is written to the store must not grow with what is asked for beside crashes, and
// nothing is written without a crash.
func TestCrashRecordIsBounded(t *testing.T) {
	f := newPlainFleet(t)
	f.wantServed(soundContent)
	if len(f.crashRecords) > 0 {
		t.Error("written without a crash")
	}
	log := f.cores["front-1"].crashes.log
	for i := range 300 {
		var parts []poison.Part
		for j := range 100 {
			parts = append(parts, poison.NewFingerprint("free", fmt.Sprint(i, "-", j)))
		}
		log.AddCrash(f.now, poison.Crash{
			Run:   poison.Run{Engine: fmt.Sprint("shop-with-a-long-name-", i), Incarnation: 1 << 62},
			At:    f.now.Add(-time.Duration(i) * time.Second),
			Parts: parts,
		})
	}
	value, err := json.Marshal(encodeEvidence(f.now, log.Recent()))
	const most = 64 << 10
	if err != nil || len(value) > most {
		t.Errorf("the record has %d bytes, want at most %d: %v", len(value), most, err)
	}
}

// Guards against BUDGET by a request that crashes endpoints while the store is down, if all
// entries end before it is back.
func TestCrashesAddUpOverEndOfAllEntriesWithoutStore(t *testing.T) {
	f := newPlainFleet(t)
	f.storeDown = true
	f.crashBad(3)
	f.storeDown = false
	f.restart()
	if reached := f.attack(); reached > badRetries {
		t.Errorf("after the third crash without the store and a restart of all entries, %d requests reached endpoints, want at most %d",
			reached, badRetries)
	}
}
