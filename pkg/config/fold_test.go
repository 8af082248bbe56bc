package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dogwoodfold/pkg/config"
)

// logRecord is a record in a memoryLog.
type logRecord struct {
	offset uint64
	data   []byte
}

// memoryLog is a log in memory that never fails.
type memoryLog struct {
	first   uint64
	records []logRecord
}

func (l *memoryLog) next() uint64 { return l.first + uint64(len(l.records)) }

func (l *memoryLog) append(data []byte) uint64 {
	offset := l.next()
	l.records = append(l.records, logRecord{offset: offset, data: data})
	return offset
}

// expire removes the n oldest records.
func (l *memoryLog) expire(n int) {
	l.records = l.records[n:]
	l.first += uint64(n)
}

// read applies up to limit records to a fold and reports whether the fold has
// reached the end of the log.
func (l *memoryLog) read(f *config.Fold, limit int) bool {
	f.Skip(l.first)
	for _, r := range l.records {
		if r.offset >= f.Next && limit > 0 {
			_ = f.Apply(r.offset, r.data)
			limit--
		}
	}
	return f.Reached(l.next())
}

func marshal(t testFataler, r config.Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

type testFataler interface{ Fatal(args ...any) }

// ratePatch returns a merge patch that sets the rate of customer booth.
func ratePatch(rate int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"customers":{"booth":{"ratePerSecond":%d}}}`, rate))
}

// foldMachine is a state machine test of folds over one log: one that reads all
// records, one that lags behind, and new ones.
type foldMachine struct {
	log     memoryLog
	full    *config.Fold
	lagging *config.Fold
	highest uint64
	// checkpointedTo is the offset up to which records are covered by a valid
	// checkpoint and may expire.
	checkpointedTo uint64
}

func newFoldMachine(t testFataler) *foldMachine {
	m := &foldMachine{
		log:     memoryLog{first: 1},
		full:    config.NewFold(),
		lagging: config.NewFold(),
	}
	m.log.append(marshal(t, config.Record{Publish: &config.Publish{Text: json.RawMessage(sampleConfig())}}))
	return m
}

// Publish appends a publish record that is based on the current configuration of
// one of the folds.
func (m *foldMachine) Publish(t *rapid.T) {
	base := m.full
	if rapid.Bool().Draw(t, "racing") {
		base = m.lagging
	}
	p := &config.Publish{Base: base.Accepted}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		p.Text = json.RawMessage(sampleConfig())
	case 1:
		p.Patch = json.RawMessage(`{"routes":{"chat":{"service":"none"}}}`)
	default:
		p.Patch = ratePatch(rapid.IntRange(0, 9).Draw(t, "rate"))
		if result, err := base.Result(p); err == nil {
			p.Sum = config.Sum(result)
		}
	}
	before := m.full.Accepted
	offset := m.log.append(marshal(t, config.Record{Publish: p}))
	m.log.read(m.full, 1<<20)
	if m.full.Accepted == offset && p.Base != before {
		t.Fatalf("record %d accepted on base %d while %d was current", offset, p.Base, before)
	}
}

// Malformed appends data that is not a valid record.
func (m *foldMachine) Malformed(t *rapid.T) {
	m.log.append([]byte(rapid.SampledFrom([]string{
		`{}`, `7`, `"x"`, `null`, `{"publish":{"base":"x"}}`, `{"publish":{},"checkpoint":{}}`,
		`{"publish":{"base":1,"text":"x"}}`,
		`{"publish":{"text":{"format":1,"routes":{"r":{"timeout":5}}}}}`, `{"publish":{"text":{"format":1,"services":[1]}}}`,
	}).Draw(t, "record")))
}

// MistypedPublish appends a publish record with the right base, whose text or
// patch is valid JSON but results in no valid configuration.
func (m *foldMachine) MistypedPublish(t *rapid.T) {
	m.log.read(m.full, 1<<20)
	field := rapid.SampledFrom([]string{"text", "patch"}).Draw(t, "field")
	value := rapid.SampledFrom([]string{
		`7`, `null`, `[]`, `"x"`, `[{"op":"add"}]`, `{"customers":7}`, `{"customers":{"booth":[1]}}`,
		`{"routes":{"chat":{"timeout":5}}}`,
		`{"format":1e400}`, `{"format":-1}`, `{"format":"1"}`, `{"format":1,"x":{}}`, `{"customers":{"booth":{"ratePerSecond":1e400}}}`,
	}).Draw(t, "value")
	before := m.full.Accepted
	offset := m.log.append([]byte(fmt.Sprintf(`{"publish":{"base":%d,"%s":%s}}`, before, field, value)))
	m.log.read(m.full, 1<<20)
	if m.full.Accepted != before {
		t.Fatalf("record %d with %s %s was accepted", offset, field, value)
	}
}

// Checkpoint appends a checkpoint of one of the folds. Some are incorrect.
func (m *foldMachine) Checkpoint(t *rapid.T) {
	writer := m.full
	if rapid.Bool().Draw(t, "old") {
		writer = m.lagging
	}
	if !writer.Whole() || writer.Accepted == 0 {
		return
	}
	r := writer.Checkpoint()
	defect := rapid.IntRange(0, 3).Draw(t, "defect")
	switch defect {
	case 1:
		r.Checkpoint.UpTo = m.log.next() + 5
	case 2:
		// A running fold detects the incorrect checkpoint and appends a correct
		// one.
		r.Checkpoint.Text = json.RawMessage(`{"format":1}`)
		m.log.append(marshal(t, r))
		m.log.read(m.full, 1<<20)
		r = m.full.Checkpoint()
		m.checkpointedTo = max(m.checkpointedTo, r.Checkpoint.UpTo)
	case 3:
		r.Checkpoint.Text = json.RawMessage(`{"format":7}`)
	default:
		m.checkpointedTo = max(m.checkpointedTo, r.Checkpoint.UpTo)
	}
	m.log.append(marshal(t, r))
}

// AdvanceLagging lets the lagging fold read a few records or adopt the state of
// the full one.
func (m *foldMachine) AdvanceLagging(t *rapid.T) {
	if rapid.Bool().Draw(t, "pull") {
		if _, err := m.lagging.Adopt(m.full.Since(m.lagging.Accepted)); err != nil {
			t.Fatalf("adopt: %v", err)
		}
		return
	}
	m.log.read(m.lagging, rapid.IntRange(0, 4).Draw(t, "records"))
}

// AdoptOlderState checks that the full fold does not adopt an older state.
func (m *foldMachine) AdoptOlderState(t *rapid.T) {
	m.log.read(m.full, 1<<20)
	before := m.full.Accepted
	if changed, _ := m.full.Adopt(m.lagging.Since(0)); changed || m.full.Accepted != before {
		t.Fatalf("a state accepted at %d changed the one at %d", m.lagging.Accepted, before)
	}
}

// Expire removes records that a checkpoint covers.
func (m *foldMachine) Expire(t *rapid.T) {
	if m.checkpointedTo < m.log.first {
		return
	}
	m.log.expire(rapid.IntRange(0, int(m.checkpointedTo-m.log.first)+1).Draw(t, "records"))
}

// Check verifies the invariants that the accepted offset never decreases and that
// the lagging fold is never ahead of the full one.
func (m *foldMachine) Check(t *rapid.T) {
	m.log.read(m.full, 1<<20)
	if m.full.Accepted < m.highest || m.lagging.Accepted > m.full.Accepted {
		t.Fatalf("full %d, lagging %d, highest before %d", m.full.Accepted, m.lagging.Accepted, m.highest)
	}
	m.highest = m.full.Accepted
}

// CompareFresh checks that a new fold reaches the same configuration as the one
// that has read all records.
func (m *foldMachine) CompareFresh(t *rapid.T) {
	m.log.read(m.full, 1<<20)
	fresh := config.NewFold()
	if !m.log.read(fresh, 1<<20) {
		t.Fatalf("a new fold finds no checkpoint to resume from in records %d to %d", m.log.first, m.log.next())
	}
	if fresh.Accepted != m.full.Accepted || string(fresh.Raw) != string(m.full.Raw) {
		t.Fatalf("new fold %d %s\nfull fold %d %s", fresh.Accepted, fresh.Raw, m.full.Accepted, m.full.Raw)
	}
}

func TestFoldsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFoldMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish":        m.Publish,
			"malformed":      m.Malformed,
			"odd":            m.MistypedPublish,
			"checkpoint":     m.Checkpoint,
			"lag":            m.AdvanceLagging,
			"pullFromBehind": m.AdoptOlderState,
			"expire":         m.Expire,
			"fresh":          m.CompareFresh,
			"":               m.Check,
		})
	})
}

func TestUnknownFormatStopsTheFold(t *testing.T) {
	f := config.NewFold()
	apply := func(offset uint64, base uint64, text string) error {
		return f.Apply(offset, marshal(t, config.Record{Publish: &config.Publish{Base: base, Text: json.RawMessage(text)}}))
	}
	if err := apply(1, 0, sampleConfig()); err != nil {
		t.Fatal(err)
	}
	if err := apply(2, 1, `{"format":3}`); !errors.Is(err, config.ErrFormat) {
		t.Errorf("text of a later format: %v, want ErrFormat", err)
	}
	// Another release may have accepted record 2, so whether record 3 is stale
	// can't be determined.
	if err := apply(3, 1, sampleConfig()); !errors.Is(err, config.ErrFormat) || f.Accepted != 1 {
		t.Errorf("record after it: accepted %d, %v, want 1 and ErrFormat", f.Accepted, err)
	}
	if f.Reached(4) {
		t.Error("the fold reports that it has reached the end")
	}
	later := config.NewFold()
	_ = later.Apply(4, marshal(t, config.Record{Publish: &config.Publish{Text: json.RawMessage(sampleConfig())}}))
	if changed, err := f.Adopt(later.Since(0)); !changed || err != nil || !f.Reached(5) {
		t.Errorf("adopting a peer's later text in a known format: changed %v, error %v", changed, err)
	}
}

func TestStalePublishOfLaterFormatIsRejected(t *testing.T) {
	f := config.NewFold()
	if err := f.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(2, publishRecord(t, 0, `{"format":3}`, "")); !errors.Is(err, config.ErrStale) {
		t.Errorf("error %v, want ErrStale", err)
	}
	if !f.Reached(3) {
		t.Error("a rejected text of a later format stops the fold")
	}
}

func TestInvalidCheckpointIsNotResumedFrom(t *testing.T) {
	full, patched := config.NewFold(), config.NewFold()
	l := memoryLog{first: 1}
	l.append([]byte(`{}`))
	l.append(publishRecord(t, 0, sampleConfig(), ""))
	if !l.read(full, 10) {
		t.Fatal("the fold has not reached the end of the log")
	}
	p := &config.Publish{Base: 2, Patch: ratePatch(3)}
	result, err := full.Result(p)
	if err != nil {
		t.Fatal(err)
	}
	p.Sum = config.Sum(result)
	for _, f := range []*config.Fold{full, patched} {
		if f == patched {
			l.append(marshal(t, config.Record{Publish: p}))
		}
		l.read(f, 10)
		l.append(marshal(t, f.Checkpoint()))
		invalid := f.Checkpoint()
		invalid.Checkpoint.Text = json.RawMessage(`{"format":1}`)
		l.append(marshal(t, invalid))
		kept := l
		kept.expire(1)
		fresh := config.NewFold()
		if !kept.read(fresh, 10) || string(fresh.Raw) != string(f.Raw) {
			t.Errorf("resumed from %s, want %s", fresh.Raw, f.Raw)
		}
	}
}

func TestFoldWithGapNeedsCheckpoint(t *testing.T) {
	f := config.NewFold()
	f.Skip(5)
	_ = f.Apply(5, publishRecord(t, 0, sampleConfig(), ""))
	if f.Reached(6) || f.Accepted != 0 {
		t.Errorf("accepted %d despite missing earlier records and no checkpoint", f.Accepted)
	}
}

func TestInvalidCheckpointIsReported(t *testing.T) {
	f := config.NewFold()
	if err := f.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
		t.Fatal(err)
	}
	invalid := f.Checkpoint()
	invalid.Checkpoint.Text = json.RawMessage(`{"format":1}`)
	if err := f.Apply(2, marshal(t, invalid)); !errors.Is(err, config.ErrCheckpoint) {
		t.Errorf("error %v, want ErrCheckpoint", err)
	}
	if f.Config.Customers["booth"].RatePerSecond != 10 {
		t.Error("the checkpoint changed the configuration")
	}
}

func TestConflictingPeerStateIsRejected(t *testing.T) {
	f, other := config.NewFold(), config.NewFold()
	for _, fold := range []*config.Fold{f, other} {
		if err := fold.Apply(1, publishRecord(t, 0, sampleConfig(), "")); err != nil {
			t.Fatal(err)
		}
	}
	_ = f.Apply(2, []byte(`{}`))
	_ = other.Apply(2, publishRecord(t, 1, "", `{"routes":null}`))
	_ = other.Apply(3, []byte(`{}`))
	if changed, err := f.Adopt(other.Since(1)); changed || !errors.Is(err, config.ErrState) {
		t.Errorf("changed %v, error %v: a peer overrode a record that the fold has read", changed, err)
	}
}

func TestResumeNeedsAllRecordsAfterTheCheckpoint(t *testing.T) {
	l := memoryLog{first: 1}
	l.append(publishRecord(t, 0, sampleConfig(), ""))
	late := config.NewFold()
	l.read(late, 10)
	l.append(marshal(t, config.Record{Publish: &config.Publish{Base: 1, Patch: ratePatch(3)}}))
	full := config.NewFold()
	l.read(full, 10)
	l.append(marshal(t, full.Checkpoint()))
	l.append(marshal(t, late.Checkpoint())) // newer, but covers record 1 only
	l.expire(2)
	fresh := config.NewFold()
	if !l.read(fresh, 10) || fresh.Accepted != 2 {
		t.Errorf("accepted %d, want 2", fresh.Accepted)
	}
}

func TestPublishWithWrongSumIsRejected(t *testing.T) {
	f := config.NewFold()
	record := config.Record{Publish: &config.Publish{Text: json.RawMessage(sampleConfig()), Sum: config.Sum([]byte(`{}`))}}
	if err := f.Apply(1, marshal(t, record)); !errors.Is(err, config.ErrSum) || f.Accepted != 0 {
		t.Errorf("accepted %d, %v, want ErrSum", f.Accepted, err)
	}
}

func TestAdoptNeverLowersTheVersion(t *testing.T) {
	f, old := config.NewFold(), config.NewFold()
	l := memoryLog{first: 1}
	l.append(publishRecord(t, 0, sampleConfig(), ""))
	l.read(old, 10)
	l.append(marshal(t, config.Record{Publish: &config.Publish{Base: 1, Patch: ratePatch(3)}}))
	l.read(f, 10)
	f.Skip(9) // records have expired unread
	lower := old.Since(0)
	lower.Next = 12
	for _, s := range []config.State{old.Since(0), lower} {
		if changed, _ := f.Adopt(s); changed || f.Accepted != 2 {
			t.Errorf("a state accepted at %d lowered 2 to %d", s.Accepted, f.Accepted)
		}
	}
}
