package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainBound and contactBound are drainMs and contactMs.
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	// removalDelay is the time from the silence of the connections to the removal of a worker's
	// entry, serveTime how long the worker goes on serving.
	removalDelay = 100 * time.Millisecond
	serveTime    = drainBound + 1500*time.Millisecond
	chargeWork   = 150 * time.Millisecond
	drainClients = 12
	chargeGap    = 10 * time.Millisecond
)

// removedBehindSilence plays the removal of a worker's entry right after the connections to the
// store have gone silent. Without the disruption they don't.
func removedBehindSilence(p *play) (broken bool, err error) {
	var workers []*worker
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	leaving, leave := context.WithCancel(ctx)
	defer leave()
	for i := range 2 {
		w := newWorker(fmt.Sprint("charges-", i+1), "charges", p.store, p.record)
		w.work = chargeWork
		workers = append(workers, w)
	}
	go workers[0].register(leaving)
	go workers[1].register(ctx)
	p.store.put(topicOperator, keyConfig, configuration(3,
		[]any{route("charge", "nonidempotent", "charges", 1500, 300, 1)}, []any{plainService("charges")}, "key-a"))
	var links []*proxy
	for i := range 2 {
		name := fmt.Sprint("front-", i+1)
		link := newProxy(p.store.address(name), 0)
		links = append(links, link)
		if _, err := p.addFront(name, link.address(), usualBounds); err != nil {
			return false, err
		}
	}
	if err := waitReady(p.fronts, 20*time.Second); err != nil {
		return false, err
	}
	stop := p.load(drainClients, chargeGap, "charge", "key-a", 1500*time.Millisecond)
	time.Sleep(2 * time.Second)
	reader := p.frequentReader()
	for reader != <-p.store.serversRead {
	}
	silentAt := time.Now()
	p.record.say("%s has just read the workers' entries, as it does for all", reader)
	if p.trouble {
		for _, link := range links {
			link.silence()
		}
		p.record.say("the open connections to the store go silent; new ones work")
	}
	time.Sleep(removalDelay)
	leave()
	p.store.remove(topicServers, workers[0].id)
	removedAt := time.Now()
	p.record.say("the entry of %s is removed, which goes on serving for %v", workers[0].id, serveTime)
	time.Sleep(serveTime)
	workers[0].exit()
	p.record.say("%s ends", workers[0].id)
	time.Sleep(time.Second)
	return p.checkDrain(stop(), workers[0], silentAt, removedAt)
}

// frequentReader returns the gateway that reads the workers' entries most often.
func (p *play) frequentReader() string {
	counts := make(map[string]int)
	most := ""
	for end := time.After(3 * time.Second); ; {
		select {
		case name := <-p.store.serversRead:
			if counts[name]++; counts[name] > counts[most] {
				most = name
			}
		case <-end:
			return most
		}
	}
}

// checkDrain reports whether a request reached a worker that was sent later than drainMs after the
// removal of its entry, by a gateway that was in touch.
func (p *play) checkDrain(all []sent, w *worker, silentAt, removedAt time.Time) (broken bool, err error) {
	reached, late, cut := 0, 0, 0
	var last time.Duration
	for _, s := range all {
		if _, ran := w.ranAt(s.id); !ran {
			continue
		}
		reached++
		last = max(last, s.at.Sub(removedAt))
		if s.at.Sub(removedAt) <= drainBound || s.at.Sub(silentAt) <= contactBound {
			continue
		}
		late++
		if s.status != 200 {
			cut++
		}
		if late <= 3 {
			p.record.say("DRAIN: %s was sent %.2f s after the removal and %.2f s after the connections went silent, and reached %s: answer %d",
				s.id, s.at.Sub(removedAt).Seconds(), s.at.Sub(silentAt).Seconds(), w.id, s.status)
		}
	}
	p.record.say("%d requests; %d reached the worker, the last one sent %.2f s after the removal; %d too late, %d of these without its answer",
		len(all), reached, last.Seconds(), late, cut)
	if reached == 0 {
		return false, fmt.Errorf("no request reached the worker")
	}
	return late > 0, nil
}
