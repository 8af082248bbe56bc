package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

const (
	// sharedConfigWait is how long the store may hold a read of the configuration for
	// all entries, ownConfigWait one for this entry alone.
	sharedConfigWait = 350 * time.Millisecond
	localConfigWait  = 900 * time.Millisecond
	// sharedRegistryInterval is the time between two reads of the endpoints for all
	// entries, ownRegistryPause for this entry alone.
	sharedRegistryInterval = 450 * time.Millisecond
	localRegistryInterval  = 800 * time.Millisecond
	// minRetryDelay is the time after which a read that failed is tried again,
	// mostFailurePause that of one that has failed several times.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// fullReadInterval is how soon endpoints are read again until some are known.
	fullReadInterval = 300 * time.Millisecond
)

// followConfig keeps the configuration current by reads that the store answers
// as soon as there is a newer one.
func (s *Server) followConfig(ctx context.Context) {
	next := int64(-1)
	healthy := true
	retry := backoff{}
	for ctx.Err() == nil {
		s.configControl.waitEnabled(ctx)
		sent := s.clock.Now()
		batch, err := s.readConfig(next)
		s.metrics.countStoreCall("readConfig", err)
		healthy = s.logDependency("configuration", healthy, err)
		if errors.Is(err, platform.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			sleepContext(ctx, retry.next())
			continue
		}
		retry.reset()
		next = batch.NextOffset
		s.handleConfigBatch(ctx, sent, batch)
	}
}

// handleConfigBatch passes on an answer of the store.
func (s *Server) handleConfigBatch(ctx context.Context, sent time.Time, batch platform.ConfigBatch) {
	if batch.Config != nil {
		s.mu.Lock()
		s.limits = clientLimits{batch.Config.Limits}
		s.mu.Unlock()
		s.log.Info().Int64("version", batch.Config.Version).Int64("offset", batch.NextOffset).Msg("store: configuration read")
	}
	s.post(gate.ConfigRead{
		Config: batch.Config,
		SentAt: sent,
	})
	if batch.Config != nil {
		s.refreshStatus(ctx)
	}
}

// fetchConfig reads the newest configuration once, since the leader has a newer
// one than this entry.
func (s *Server) fetchConfig() {
	defer s.post(gate.ConfigFetchEnded{})
	sent := s.clock.Now()
	batch, err := s.store.NewestConfig()
	s.metrics.countStoreCall("fetchConfig", err)
	if err != nil {
		s.log.Warn().Err(err).Msg("store: newer configuration not read")
		time.Sleep(minRetryDelay) // the next word of the leader asks again
		return
	}
	s.handleConfigBatch(s.ctx, sent, batch)
}

func (s *Server) readConfig(next int64) (platform.ConfigBatch, error) {
	if next < 0 {
		return s.store.NewestConfig()
	}
	if s.configControl.isShared() {
		return s.store.ReadConfig(next, sharedConfigWait)
	}
	return s.store.ReadConfig(next, localConfigWait)
}

// followEndpoints keeps the list of endpoints current.
func (s *Server) followEndpoints(ctx context.Context) {
	next := int64(-1)
	healthy := true
	retry := backoff{}
	for ctx.Err() == nil {
		if s.registryControl.waitEnabled(ctx) {
			next = -1 // most of what was missed is heartbeats
		}
		sent := s.clock.Now()
		full := next < 0
		batch, err := s.readEndpoints(next)
		s.metrics.countStoreCall("readEndpoints", err)
		healthy = s.logDependency("registry", healthy, err)
		if errors.Is(err, platform.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			s.post(gate.RegistryReadFailed{})
			sleepContext(ctx, retry.next())
			continue
		}
		retry.reset()
		next = batch.NextOffset
		s.post(gate.EndpointsRead{
			Changes: batch.Changes,
			Full:    full,
			SentAt:  sent,
		})
		if full {
			s.refreshStatus(ctx)
			sleepContext(ctx, fullReadInterval)
			continue
		}
		if s.registryControl.isShared() {
			sleepContext(ctx, jitter(sharedRegistryInterval))
			continue
		}
		sleepContext(ctx, jitter(localRegistryInterval))
	}
}

func (s *Server) readEndpoints(next int64) (platform.EndpointBatch, error) {
	if next < 0 {
		return s.store.NewestEndpoints()
	}
	return s.store.ReadEndpoints(next)
}

// backoff lengthens the pauses between reads that fail one after the other.
type backoff struct{ delay time.Duration }

// next returns the pause before the next try.
func (b *backoff) next() time.Duration {
	b.delay = min(max(minRetryDelay, 2*b.delay), maxRetryDelay)
	return jitter(b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// followControl holds a follower of the store back while the leader's reads are enough.
type followControl struct {
	mu      sync.Mutex
	enabled bool
	// shared is true while all entries rely on the follower.
	shared bool
	wake   chan struct{}
}

func newFollowControl() *followControl {
	return &followControl{
		enabled: true,
		wake:    make(chan struct{}, 1),
	}
}

func (t *followControl) set(enabled, shared bool) {
	t.mu.Lock()
	t.enabled = enabled
	t.shared = shared
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *followControl) isEnabled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.enabled
}

// isShared reports whether all entries rely on what is read.
func (t *followControl) isShared() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shared
}

// waitEnabled returns when the tap is open or ctx has ended. It reports whether it had
// to waitEnabled.
func (t *followControl) waitEnabled(ctx context.Context) bool {
	waited := false
	for !t.isEnabled() {
		waited = true
		select {
		case <-t.wake:
		case <-ctx.Done():
			return true
		}
	}
	return waited
}

// logDependency logs the loss and the return of a part of the store.
func (s *Server) logDependency(name string, healthy bool, err error) bool {
	if errors.Is(err, platform.ErrExpired) {
		s.log.Info().Str("dependency", name).Msg("store: history expired, reading the newest records")
		return healthy
	}
	switch {
	case healthy && err != nil:
		s.log.Warn().Str("dependency", name).Err(err).Msg("store: lost")
	case !healthy && err == nil:
		s.log.Info().Str("dependency", name).Msg("store: regained")
	}
	return err == nil
}

// sleepContext waits for a time or the end of ctx.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
