package poison

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// Encode returns the message that tells another entry of changes, nil if there are
// none.
func Encode(now time.Time, changes Changes) *wirepb.GatePoison {
	if changes.Empty() {
		return nil
	}
	out := &wirepb.GatePoison{}
	for _, crash := range changes.Crashes {
		message := &wirepb.GateCrash{
			Endpoint: crash.Engine,
			Born:     crash.Incarnation,
			AgeUs:    wirepb.AgeMicroseconds(now, crash.At),
			Parts:    EncodeParts(crash.Parts),
		}
		if !crash.EndedAt.IsZero() {
			message.Ended = true
			message.EndedAgeUs = wirepb.AgeMicroseconds(now, crash.EndedAt)
		}
		out.Crashes = append(out.Crashes, message)
	}
	for _, answer := range changes.Answers {
		out.Answers = append(out.Answers, &wirepb.GateAnswer{
			Part:  uint64(answer.Part),
			AgeUs: wirepb.AgeMicroseconds(now, answer.At),
		})
	}
	for _, q := range changes.Quarantines {
		out.Quarantines = append(out.Quarantines, &wirepb.GateQuarantine{
			Part:        uint64(q.Part),
			RemainingUs: q.Until.Sub(now).Microseconds(),
			DurationUs:  uint64(q.Duration.Microseconds()),
		})
	}
	return out
}

// Decode returns the changes of which a message tells.
func Decode(now time.Time, message *wirepb.GatePoison) Changes {
	var out Changes
	for _, m := range message.GetCrashes() {
		crash := Crash{
			Run: Run{
				Engine:      m.GetEndpoint(),
				Incarnation: m.GetBorn(),
			},
			At:    now.Add(-wirepb.Microseconds(m.GetAgeUs())),
			Parts: DecodeParts(m.GetParts()),
		}
		if m.GetEnded() {
			crash.EndedAt = now.Add(-wirepb.Microseconds(m.GetEndedAgeUs()))
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, answer := range message.GetAnswers() {
		out.Answers = append(out.Answers, Answer{
			Part: Part(answer.GetPart()),
			At:   now.Add(-wirepb.Microseconds(answer.GetAgeUs())),
		})
	}
	for _, q := range message.GetQuarantines() {
		out.Quarantines = append(out.Quarantines, Quarantine{
			Part:     Part(q.GetPart()),
			Until:    now.Add(time.Duration(q.GetRemainingUs()) * time.Microsecond),
			Duration: wirepb.Microseconds(q.GetDurationUs()),
		})
	}
	return out
}

// EncodeParts returns parts as they are sent in messages.
func EncodeParts(parts []Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}

// DecodeParts returns the parts that a message holds.
func DecodeParts(parts []uint64) []Part {
	out := make([]Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, Part(p))
	}
	return out
}
