// Package link maintains a session with each host of a set and reconnects with
// jittered exponential backoff.
package link

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	dialTimeout    = 3 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Handler holds the callbacks for session events. They must not block.
type Handler struct {
	OnUp      func(plat.Host, *wire.Session)
	OnDown    func(plat.Host, *wire.Session)
	OnMessage func(plat.Host, *wire.Session, *wirepb.Envelope)
	// OnError reports why a session could not be opened or has ended, unless the pool
	// ended it.
	OnError func(plat.Host, error)
}

// Dial opens a session with a host.
type Dial func(context.Context, plat.Host) (*wire.Session, error)

// Pool maintains one session for each target.
type Pool struct {
	dial    Dial
	handler Handler
	targets chan []plat.Host
	done    chan struct{}
}

// New returns a pool without targets.
func New(dial Dial, handler Handler) *Pool {
	return &Pool{
		dial:    dial,
		handler: handler,
		targets: make(chan []plat.Host, 1),
		done:    make(chan struct{}),
	}
}

// SetTargets replaces the targets. A set that Run has not applied yet is
// discarded.
func (p *Pool) SetTargets(targets []plat.Host) {
	select {
	case <-p.targets:
	default:
	}
	p.targets <- targets
}

// Done returns a channel that is closed when Run returns.
func (p *Pool) Done() <-chan struct{} { return p.done }

// worker is the goroutine that maintains the session with one target.
type worker struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// workers are the workers of the targets, and the last one of each host that was
// removed from them, by the host's name.
type workers struct {
	active map[plat.Host]worker
	ended  map[string]worker
}

// Run maintains the sessions until ctx is done. It closes them before it
// returns.
func (p *Pool) Run(ctx context.Context) {
	defer close(p.done)
	all := workers{
		active: make(map[plat.Host]worker),
		ended:  make(map[string]worker),
	}
	for {
		select {
		case <-ctx.Done():
			all.stop()
			return
		case targets := <-p.targets:
			p.reconcile(ctx, all, targets)
		}
	}
}

// stop ends all workers and waits for them.
func (w workers) stop() {
	for _, active := range w.active {
		active.cancel()
		<-active.done
	}
	for _, ended := range w.ended {
		<-ended.done
	}
}

// reconcile starts and stops workers so that they match the targets.
func (p *Pool) reconcile(ctx context.Context, all workers, targets []plat.Host) {
	wanted := make(map[plat.Host]bool)
	for _, host := range targets {
		host.State = "" // a state change must not restart the session
		wanted[host] = true
	}
	for host, w := range all.active {
		if !wanted[host] {
			w.cancel()
			delete(all.active, host)
			all.ended[host.Name] = w
		}
	}
	for host := range wanted {
		if _, exists := all.active[host]; !exists {
			all.active[host] = p.start(ctx, host, all.ended[host.Name].done)
			delete(all.ended, host.Name)
		}
	}
}

// start starts the worker of a host. It begins when the host's worker before, if
// any, has ended, so that the end of a session is reported before the next begins.
func (p *Pool) start(ctx context.Context, host plat.Host, before <-chan struct{}) worker {
	ctx, cancel := context.WithCancel(ctx)
	w := worker{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		if before != nil {
			<-before
		}
		p.maintain(ctx, host)
	}()
	return w
}

// maintain reconnects to a host until ctx is done.
func (p *Pool) maintain(ctx context.Context, host plat.Host) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialBackoff
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if p.connect(ctx, host) {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// connect opens one session and runs it until it ends. It reports whether the
// session was established.
func (p *Pool) connect(ctx context.Context, host plat.Host) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := p.dial(dialCtx, host)
	if err != nil {
		p.reportError(ctx, host, err)
		return false
	}
	p.handler.OnUp(host, session)
	err = session.Run(ctx, func(message *wirepb.Envelope) { p.handler.OnMessage(host, session, message) })
	p.handler.OnDown(host, session)
	p.reportError(ctx, host, err)
	return true
}

// reportError reports the error of a session that the pool has not ended itself.
func (p *Pool) reportError(ctx context.Context, host plat.Host, err error) {
	if ctx.Err() == nil && err != nil {
		p.handler.OnError(host, err)
	}
}
