package edge

import (
	"context"
	"errors"
	"time"

	"dogwoodfold/internal/clock"
	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

const (
	// sharedConfigWait is the long-poll timeout of configuration reads that all
	// entries rely on, localConfigWait that of reads for this entry alone.
	sharedConfigWait = 350 * time.Millisecond
	localConfigWait  = 900 * time.Millisecond
	// sharedRegistryInterval is the time between endpoint reads that all entries
	// rely on, localRegistryInterval that between reads for this entry alone.
	sharedRegistryInterval = 450 * time.Millisecond
	localRegistryInterval  = 800 * time.Millisecond
	// minRetryDelay is the delay before retrying a failed read; it doubles with
	// every further failure, up to maxRetryDelay.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// fullReadDelay is the delay between a read of all endpoints and the first
	// incremental read after it.
	fullReadDelay = 300 * time.Millisecond
	// lateReadDelay is the time without an answer, beyond its wait, after which the store counts
	// as failing a read.
	lateReadDelay = 500 * time.Millisecond
	// hastenedReadDelay is the delay before a read that was hastened, so that requests
	// that arrive together share one.
	hastenedReadDelay = 15 * time.Millisecond
)

// watchConfig keeps the configuration current with long-poll reads, which the
// store answers as soon as a newer configuration exists.
func (s *Server) watchConfig(ctx context.Context) {
	next, era := int64(-1), int64(-1)
	healthy := true
	retry := backoff{}
	for ctx.Err() == nil {
		wait := s.configWait()
		if s.configWatch.waitEnabled(ctx) {
			wait = 0 // the proof is old
		}
		sentAt := s.clock.Now()
		batch, err := s.readConfig(sentAt, next, wait)
		s.metrics.observeStoreRead("readConfig", sentAt, s.clock.Now(), err)
		healthy = s.logDependency("configuration", healthy, err)
		if needsNewest(next, err) {
			next = -1
			continue
		}
		if err != nil {
			if !errors.Is(err, platform.ErrUndecodable) {
				s.post(gate.ConfigReadFailed{SentAt: sentAt})
			}
			s.configWatch.pause(ctx, retry.next())
			continue
		}
		retry.reset()
		if next >= 0 && batch.Era != era {
			next = -1 // the offsets are those of another era
			continue
		}
		s.logEra("configuration", era, batch.Era)
		next, era = batch.NextOffset, batch.Era
		s.handleConfigBatch(ctx, sentAt, batch)
	}
}

// handleConfigBatch applies a configuration read that was sent at the given time.
// The first one waits until crashes were read: without a configuration no request is sent.
func (s *Server) handleConfigBatch(ctx context.Context, sentAt time.Time, batch platform.ConfigBatch) {
	select {
	case <-s.crashesRead:
	case <-ctx.Done():
		return
	}
	if batch.Config != nil {
		s.log.Info().Int64("version", batch.Config.Version).Int64("offset", batch.NextOffset).Msg("store: configuration read")
	}
	s.post(gate.ConfigRead{
		Config: batch.Config,
		SentAt: sentAt,
		Era:    batch.Era,
		Zones: &gate.ZonesRead{
			Changes:    batch.Zones,
			Complete:   batch.Complete,
			NextOffset: batch.NextOffset,
		},
	})
	if batch.Config != nil {
		s.refreshStatus(ctx)
	}
}

// fetchConfig reads the newest configuration once, because the leader has
// announced a newer one than this entry has.
func (s *Server) fetchConfig() {
	defer s.post(gate.ConfigFetchEnded{})
	sentAt := s.clock.Now()
	batch, err := s.store.NewestConfig()
	s.metrics.observeStoreRead("fetchConfig", sentAt, s.clock.Now(), err)
	if err != nil {
		s.log.Warn().Err(err).Msg("store: reading a newer configuration failed")
		time.Sleep(minRetryDelay) // the next message from the leader triggers a retry
		return
	}
	s.handleConfigBatch(s.ctx, sentAt, batch)
}

// configWait returns the long-poll timeout of reads of the configuration.
func (s *Server) configWait() time.Duration {
	if s.configWatch.isShared() {
		return sharedConfigWait
	}
	return localConfigWait
}

// readConfig reads the configuration, and reports a read that isn't answered in time before it
// has failed.
func (s *Server) readConfig(sentAt time.Time, next int64, wait time.Duration) (platform.ConfigBatch, error) {
	late := time.AfterFunc(wait+lateReadDelay, func() { s.post(gate.ConfigReadFailed{SentAt: sentAt}) })
	defer late.Stop()
	if next < 0 {
		return s.store.NewestConfig()
	}
	return s.store.ReadConfig(next, wait)
}

// watchEndpoints keeps the list of endpoints current.
func (s *Server) watchEndpoints(ctx context.Context) {
	next, era := int64(-1), int64(-1)
	healthy := true
	retry := backoff{}
	for ctx.Err() == nil {
		if s.registryWatch.waitEnabled(ctx) {
			next = -1 // a full read is cheaper: most missed records are heartbeats
			era = -1
		}
		sentAt := s.clock.Now()
		full := next < 0
		batch, err := s.readEndpoints(next)
		s.metrics.observeStoreRead("readEndpoints", sentAt, s.clock.Now(), err)
		if !healthy && err == nil {
			s.configWatch.hasten() // the store is back
		}
		healthy = s.logDependency("registry", healthy, err)
		if needsNewest(next, err) {
			next = -1
			continue
		}
		if err != nil {
			s.post(gate.RegistryReadFailed{})
			clock.Sleep(ctx, retry.next())
			continue
		}
		retry.reset()
		if !full && batch.Era != era {
			next = -1 // the offsets are those of another era
			continue
		}
		restored := s.logEra("registry", era, batch.Era)
		next, era = batch.NextOffset, batch.Era
		s.post(gate.EndpointsRead{
			Changes:  batch.Changes,
			Full:     full,
			Restored: restored,
			SentAt:   sentAt,
		})
		if full {
			s.refreshStatus(ctx)
		}
		s.registryWatch.pause(ctx, s.registryInterval(full))
	}
}

// registryInterval returns the time until the next read of the endpoints.
func (s *Server) registryInterval(afterFullRead bool) time.Duration {
	switch {
	case afterFullRead:
		return fullReadDelay
	case s.registryWatch.isShared():
		return jitter(sharedRegistryInterval)
	default:
		return jitter(localRegistryInterval)
	}
}

func (s *Server) readEndpoints(next int64) (platform.EndpointBatch, error) {
	if next < 0 {
		return s.store.NewestEndpoints()
	}
	return s.store.ReadEndpoints(next)
}

// needsNewest reports whether the newest records must be read in place of changes, since
// the store lacks some of these or has more than one read returns.
func needsNewest(next int64, err error) bool {
	return errors.Is(err, platform.ErrExpired) || next >= 0 && errors.Is(err, platform.ErrIncomplete)
}

// logDependency logs when reads of a part of the store begin to fail or succeed
// again. It returns the new value of healthy.
func (s *Server) logDependency(name string, healthy bool, err error) bool {
	switch {
	case errors.Is(err, platform.ErrExpired):
		s.log.Info().Str("dependency", name).Msg("store: history expired, reading the newest records")
		return healthy
	case errors.Is(err, platform.ErrIncomplete):
		s.log.Info().Str("dependency", name).Err(err).Msg("store: read stopped before the end, reading the newest records")
		return healthy
	case healthy && err != nil:
		s.log.Warn().Str("dependency", name).Err(err).Msg("store: unavailable")
	case !healthy && err == nil:
		s.log.Info().Str("dependency", name).Msg("store: available again")
	}
	return err == nil
}

// logEra logs that the store has come back from a copy without its newest records,
// and reports whether it has. The era before is negative if none is known.
func (s *Server) logEra(name string, before, era int64) bool {
	restored := before >= 0 && era != before
	if restored {
		s.log.Warn().Str("dependency", name).Int64("era", era).Msg("store: restored from a copy")
	}
	return restored
}
