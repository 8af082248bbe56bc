package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	raisedLeaseMs = 6000
	// orderTime is how long requests for changing adapters make the leader give orders before
	// it is stopped, takeOverTime how long afterwards.
	orderTime    = 5 * time.Second
	takeOverTime = 15 * time.Second
	adapterCount = 32
	// adapterGap is the time between two requests for adapters of one client.
	adapterGap = 150 * time.Millisecond
)

// leaseRaised plays a planned stop of the gateway that gives the orders, after a change of the
// settings that raises the time between the orders of two holders. Without the disruption the
// gateways have had it from their start.
func leaseRaised(p *play) (broken bool, err error) {
	raised := usualBounds
	raised.leaseMs = raisedLeaseMs
	first := raised
	if p.trouble {
		first = usualBounds
	}
	w := newWorker("drafts-1", "drafts", p.store, p.record)
	w.work, w.pieces = 100*time.Millisecond, 5
	w.adapters["m0"] = make(map[string]bool)
	go w.register(p.ctx)
	p.store.put(topicOperator, keyConfig, configuration(3,
		[]any{route("draft", "stream", "drafts", 5000, 1500, 1)},
		[]any{engineService("drafts", "m0", adapterCount)}, "key-a"))
	storeAddress := serveHTTP(p.store)
	for i := range 3 {
		if _, err := p.addFront(fmt.Sprint("front-", i+1), storeAddress, first); err != nil {
			return false, err
		}
	}
	if err := waitReady(p.fronts, 20*time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, f := range p.fronts {
		group.Go(func() { p.requestAdapters(f, i, stop) })
	}
	defer group.Wait()
	defer close(stop)
	time.Sleep(orderTime)
	if p.trouble {
		for _, f := range p.fronts {
			if err := f.write(raised); err != nil {
				return false, err
			}
			p.record.say("the settings of %s change: leaseMs is %d", f.name, raisedLeaseMs)
			f.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(orderTime + usualBounds.leaseGap()) // no order of before counts
	holder := p.lastHolder(w)
	if holder == nil {
		return false, fmt.Errorf("no gateway has given an order")
	}
	p.record.say("%s gives the orders and is stopped", holder.name)
	holder.signal(syscall.SIGTERM)
	kill := time.AfterFunc(raisedGrace, func() { holder.signal(syscall.SIGKILL) })
	defer kill.Stop()
	time.Sleep(takeOverTime)
	return p.checkTurns(w, raised.leaseGap())
}

func (b bounds) leaseGap() time.Duration { return time.Duration(b.leaseMs) * time.Millisecond }

// requestAdapters asks a gateway for one adapter after the other until stop is closed.
func (p *play) requestAdapters(f *front, n int, stop chan struct{}) {
	c := newClient(f, p.record)
	defer c.close()
	for i := n * adapterCount / 3; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(adapterGap):
		}
		model := fmt.Sprint("m0/a", i%adapterCount+1)
		c.send(p.ctx, "draft", "key-a", 5*time.Second, "X-Model", model, "X-Token-Usage", "200,5", "X-Prompt-Prefix", "5c1e07a2:200")
	}
}

// lastHolder returns the gateway that has given the last order to a worker.
func (p *play) lastHolder(w *worker) *front {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.orders) == 0 {
		return nil
	}
	for _, f := range p.fronts {
		if f.name == w.orders[len(w.orders)-1].holder {
			return f
		}
	}
	return nil
}

// checkTurns reports whether two holders have given a worker orders within leaseMs.
func (p *play) checkTurns(w *worker, leaseGap time.Duration) (broken bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	turns := 0
	for i := 1; i < len(w.orders); i++ {
		before, next := w.orders[i-1], w.orders[i]
		if before.holder == next.holder {
			continue
		}
		turns++
		gap := next.at.Sub(before.at)
		p.record.say("%s got the order %q of %s with fence %d, and %.2f s later %q of %s with fence %d", w.id,
			before.text, before.holder, before.fence, gap.Seconds(), next.text, next.holder, next.fence)
		if gap < leaseGap {
			p.record.say("ONE: two holders took turns within leaseMs, %v", leaseGap)
			broken = true
		}
	}
	p.record.say("%d orders, %d changes of the holder", len(w.orders), turns)
	if turns == 0 {
		return false, fmt.Errorf("nobody took over the orders")
	}
	return broken, nil
}
