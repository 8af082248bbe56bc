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
	// configWait is how long the store may hold a read of the configuration for
	// all entries, ownConfigWait one for this entry alone.
	configWait    = 350 * time.Millisecond
	ownConfigWait = 900 * time.Millisecond
	// registryPause is the time between two reads of the endpoints for all
	// entries, ownRegistryPause for this entry alone.
	registryPause    = 450 * time.Millisecond
	ownRegistryPause = 800 * time.Millisecond
	// failurePause is the time after which a read that failed is tried again,
	// mostFailurePause that of one that has failed several times.
	failurePause     = 250 * time.Millisecond
	mostFailurePause = time.Second
	// firstReads is how soon endpoints are read again until some are known.
	firstReads = 300 * time.Millisecond
)

// followConfig keeps the configuration current by reads that the store answers
// as soon as there is a newer one.
func (s *Server) followConfig(ctx context.Context) {
	next := int64(-1)
	healthy := true
	failed := backoff{}
	for ctx.Err() == nil {
		s.configTap.wait(ctx)
		sent := s.clock.Now()
		batch, err := s.readConfig(next)
		s.metrics.storeCall("readConfig", err)
		healthy = s.dependency("configuration", healthy, err)
		if errors.Is(err, platform.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			pause(ctx, failed.next())
			continue
		}
		failed.reset()
		next = batch.NextOffset
		s.configRead(ctx, sent, batch)
	}
}

// configRead passes on an answer of the store.
func (s *Server) configRead(ctx context.Context, sent time.Time, batch platform.ConfigBatch) {
	if batch.Config != nil {
		s.mu.Lock()
		s.config = limits{batch.Config.Limits}
		s.mu.Unlock()
		s.log.Info().Int64("version", batch.Config.Version).Int64("offset", batch.NextOffset).Msg("store: configuration read")
	}
	s.post(gate.ConfigRead{
		Config: batch.Config,
		SentAt: sent,
	})
	if batch.Config != nil {
		s.observe(ctx)
	}
}

// fetchConfig reads the newest configuration once, since the leader has a newer
// one than this entry.
func (s *Server) fetchConfig() {
	defer s.post(gate.ConfigFetchEnded{})
	sent := s.clock.Now()
	batch, err := s.store.NewestConfig()
	s.metrics.storeCall("fetchConfig", err)
	if err != nil {
		s.log.Warn().Err(err).Msg("store: newer configuration not read")
		time.Sleep(failurePause) // the next word of the leader asks again
		return
	}
	s.configRead(s.ctx, sent, batch)
}

func (s *Server) readConfig(next int64) (platform.ConfigBatch, error) {
	if next < 0 {
		return s.store.NewestConfig()
	}
	if s.configTap.forAll() {
		return s.store.ReadConfig(next, configWait)
	}
	return s.store.ReadConfig(next, ownConfigWait)
}

// followEndpoints keeps the list of endpoints current.
func (s *Server) followEndpoints(ctx context.Context) {
	next := int64(-1)
	healthy := true
	failed := backoff{}
	for ctx.Err() == nil {
		if s.registryTap.wait(ctx) {
			next = -1 // most of what was missed is heartbeats
		}
		sent := s.clock.Now()
		full := next < 0
		batch, err := s.readEndpoints(next)
		s.metrics.storeCall("readEndpoints", err)
		healthy = s.dependency("registry", healthy, err)
		if errors.Is(err, platform.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			s.post(gate.RegistryReadFailed{})
			pause(ctx, failed.next())
			continue
		}
		failed.reset()
		next = batch.NextOffset
		s.post(gate.EndpointsRead{
			Changes: batch.Changes,
			Full:    full,
			SentAt:  sent,
		})
		if full {
			s.observe(ctx)
			pause(ctx, firstReads)
			continue
		}
		if s.registryTap.forAll() {
			pause(ctx, jitter(registryPause))
			continue
		}
		pause(ctx, jitter(ownRegistryPause))
	}
}

func (s *Server) readEndpoints(next int64) (platform.EndpointBatch, error) {
	if next < 0 {
		return s.store.NewestEndpoints()
	}
	return s.store.ReadEndpoints(next)
}

// backoff lengthens the pauses between reads that fail one after the other.
type backoff struct{ pause time.Duration }

// next returns the pause before the next try.
func (b *backoff) next() time.Duration {
	b.pause = min(max(failurePause, 2*b.pause), mostFailurePause)
	return jitter(b.pause)
}

func (b *backoff) reset() { b.pause = 0 }

// tap holds a follower of the store back while the leader's reads are enough.
type tap struct {
	mu   sync.Mutex
	open bool
	// leads is true while all entries rely on the follower.
	leads bool
	wake  chan struct{}
}

func newTap() *tap {
	return &tap{
		open: true,
		wake: make(chan struct{}, 1),
	}
}

func (t *tap) set(open, forAll bool) {
	t.mu.Lock()
	t.open = open
	t.leads = forAll
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *tap) isOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// forAll reports whether all entries rely on what is read.
func (t *tap) forAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leads
}

// wait returns when the tap is open or ctx has ended. It reports whether it had
// to wait.
func (t *tap) wait(ctx context.Context) bool {
	waited := false
	for !t.isOpen() {
		waited = true
		select {
		case <-t.wake:
		case <-ctx.Done():
			return true
		}
	}
	return waited
}

// dependency logs the loss and the return of a part of the store.
func (s *Server) dependency(name string, healthy bool, err error) bool {
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

// pause waits for a time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
