package edge

import (
	"context"
	"errors"
	"time"

	"dogwoodfold/internal/clock"
	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

// maxCrashReadTime is how long an entry that starts tries to read what is known of crashes
// before it serves without.
const maxCrashReadTime = 3 * time.Second

// readCrashes reads once what entries have told the store of crashes.
func (s *Server) readCrashes(ctx context.Context) {
	defer close(s.crashesRead)
	retry := backoff{}
	for began := s.clock.Now(); ctx.Err() == nil; clock.Sleep(ctx, retry.next()) {
		evidence, err := s.store.NewestCrashes(time.Now())
		s.metrics.countStoreCall("readCrashes", err)
		if err == nil || errors.Is(err, platform.ErrInvalidRecord) {
			s.log.Info().Int("records", len(evidence)).AnErr("error", err).Msg("store: crashes read")
			s.post(gate.CrashesRead{Evidence: evidence})
			return
		}
		if s.clock.Now().Sub(began) >= maxCrashReadTime {
			s.log.Warn().Err(err).Msg("store: reading crashes failed, serving without")
			return
		}
	}
}

// recordCrashes writes what this entry knows of crashes to the store.
func (s *Server) recordCrashes(e gate.RecordCrashes) {
	err := s.store.AppendCrashes(time.Now(), s.settings.Host, e.Evidence)
	s.metrics.countStoreCall("appendCrashes", err)
	if err != nil {
		s.log.Warn().Err(err).Int("crashes", len(e.Evidence.Crashes)).Msg("store: writing crashes failed")
	}
	s.post(gate.CrashesRecorded{Acknowledged: err == nil})
}
