package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is how long the requests take that run while a gateway is stopped.
	longWork   = 5 * time.Second
	longPieces = 50
	// longDeadline is the deadline of their clients and the timeout of their routes.
	longDeadline = 15 * time.Second
	// stopClients is the number of clients for each kind of request, sendGap the time between
	// the requests of two of them.
	stopClients = 10
	sendGap     = 300 * time.Millisecond
	// raisedGrace is the grace period at the time of the stop, lastSixth the time after
	// SIGTERM from which a worker may still be at work on a request that is cut.
	raisedGrace = 8 * time.Second
	lastSixth   = raisedGrace * 5 / 6
)

// graceRaised plays a planned stop after a change of the settings that raises the grace period.
// Without the disruption the gateways have had the grace period from their start.
func graceRaised(p *play) (broken bool, err error) {
	first := usualBounds
	if p.trouble {
		first.graceS = 4
	}
	workers, err := p.startStopPlay(first)
	if err != nil {
		return false, err
	}
	if p.trouble {
		for _, f := range p.fronts {
			if err := f.write(usualBounds); err != nil {
				return false, err
			}
			p.record.say("the settings of %s change: graceS is 8", f.name)
			f.signal(syscall.SIGHUP)
		}
		time.Sleep(3 * time.Second)
	}
	return p.stopUnderLoad(workers)
}

// startStopPlay starts two gateways before workers with long requests.
func (p *play) startStopPlay(b bounds) ([]*worker, error) {
	charges := newWorker("charges-1", "charges", p.store, p.record)
	charges.work = longWork
	drafts := newWorker("drafts-1", "drafts", p.store, p.record)
	drafts.work, drafts.pieces = longWork, longPieces
	drafts.adapters["m0"] = make(map[string]bool)
	workers := []*worker{charges, drafts}
	for _, w := range workers {
		go w.register(p.ctx)
	}
	timeout := int(longDeadline.Milliseconds())
	p.store.put(topicOperator, keyConfig, configuration(3,
		[]any{
			route("charge", "nonidempotent", "charges", timeout, 6000, 1),
			route("draft", "stream", "drafts", timeout, 6000, 1),
		},
		[]any{plainService("charges"), engineService("drafts", "m0", 8)}, "key-a"))
	storeAddress := serveHTTP(p.store)
	for i := range 2 {
		if _, err := p.addFront(fmt.Sprint("front-", i+1), storeAddress, b); err != nil {
			return nil, err
		}
	}
	return workers, waitReady(p.fronts, 20*time.Second)
}

// stopUnderLoad stops the first gateway while requests run, and reports whether one of them was
// lost.
func (p *play) stopUnderLoad(workers []*worker) (broken bool, err error) {
	f := p.fronts[0]
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var all []sent
	var group sync.WaitGroup
	for i := range stopClients {
		for _, path := range []string{"charge", "draft"} {
			group.Go(func() {
				time.Sleep(time.Duration(i) * sendGap)
				c := newClient(f, p.record)
				defer c.close()
				var headers []string
				if path == "draft" {
					headers = []string{"X-Model", "m0", "X-Token-Usage", "200,50", "X-Prompt-Prefix", "5c1e07a2:200"}
				}
				s := c.send(p.ctx, path, "key-a", longDeadline, headers...)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			})
		}
	}
	time.Sleep(stopClients * sendGap)
	stoppedAt := time.Now()
	f.signal(syscall.SIGTERM)
	kill := time.AfterFunc(raisedGrace, func() { f.signal(syscall.SIGKILL) })
	defer kill.Stop()
	group.Wait()
	return p.checkLost(all, workers, stoppedAt)
}

// checkLost reports whether the connection of a request that had been passed on to a worker ended
// without a complete answer. A request at which its worker would still have been at work in the last
// sixth of the grace period doesn't count.
func (p *play) checkLost(all []sent, workers []*worker, stoppedAt time.Time) (broken bool, err error) {
	lost, passedOn := 0, 0
	for _, s := range all {
		for _, w := range workers {
			ranAt, ran := w.ranAt(s.id)
			if !ran {
				continue
			}
			passedOn++
			if s.complete || ranAt.Add(w.work).Sub(stoppedAt) > lastSixth {
				continue
			}
			lost++
			p.record.say("LOST: %s ran at %s from %.1f s before SIGTERM on, and its connection ended %.1f s after SIGTERM: %v",
				s.id, w.id, stoppedAt.Sub(ranAt).Seconds(), s.endedAt.Sub(stoppedAt).Seconds(), s.failure)
		}
	}
	p.record.say("%d of %d requests were passed on, %d of these lost", passedOn, len(all), lost)
	if passedOn < stopClients {
		return false, fmt.Errorf("only %d requests were passed on", passedOn)
	}
	return lost > 0, nil
}
