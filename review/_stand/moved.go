package main

import (
	"fmt"
	"time"
)

const (
	// configBound is configMs.
	configBound = 2 * time.Second
	// silences is how often the connections go silent, silenceGap the time between two of these,
	// and changeDelay the time from there to the next change of the configuration.
	silences     = 11
	silenceGap   = 7500 * time.Millisecond
	changeDelay  = 800 * time.Millisecond
	movedFronts  = 3
	movedClients = 9
	lookupGap    = 20 * time.Millisecond
)

// move is a change of the configuration that moves the route to a service.
type move struct {
	silentAt, changedAt time.Time
	service             string
}

// movedBehindSilence plays changes of the configuration that move a public route to another service,
// each soon after the connections to the store have gone silent. Without the disruption they don't.
func movedBehindSilence(p *play) (broken bool, err error) {
	services := []string{"lookups-a", "lookups-b"}
	workers := make(map[string]*worker)
	for _, service := range services {
		w := newWorker(service+"-1", service, p.store, p.record)
		w.work = 15 * time.Millisecond
		workers[service] = w
		go w.register(p.ctx)
	}
	p.putPublicRoute(3, services[0])
	var links []*proxy
	for i := range movedFronts {
		link := newProxy(serveHTTP(p.store), 0)
		links = append(links, link)
		if _, err := p.addFront(fmt.Sprint("front-", i+1), link.address(), usualBounds); err != nil {
			return false, err
		}
	}
	if err := waitReady(p.fronts, 20*time.Second); err != nil {
		return false, err
	}
	stop := p.load(movedClients, lookupGap, "lookup", "", 1500*time.Millisecond)
	var moves []move
	for i := range silences {
		m := move{
			silentAt: time.Now(),
			service:  services[(i+1)%len(services)],
		}
		if p.trouble {
			for _, link := range links {
				link.silence()
			}
			p.record.add("the open connections to the store go silent; new ones work")
		}
		time.Sleep(changeDelay)
		p.putPublicRoute(4+i, m.service)
		m.changedAt = time.Now()
		p.record.add("the store has acknowledged version %d, which moves the route to %s", 4+i, m.service)
		moves = append(moves, m)
		time.Sleep(time.Until(m.silentAt.Add(silenceGap)))
	}
	return p.checkMoved(stop(), workers, moves)
}

// putPublicRoute writes a configuration whose only route is public.
func (p *play) putPublicRoute(version int, service string) {
	r := route("lookup", "idempotent", service, 1500, 300, 2)
	r["public"] = true
	p.store.put(topicOperator, keyConfig,
		configuration(version, []any{r}, []any{plainService("lookups-a"), plainService("lookups-b")}, "key-a"))
}

// checkMoved reports whether a request that was sent later than configMs after a change ran at the
// service of before, by a gateway in touch.
func (p *play) checkMoved(all []sent, workers map[string]*worker, moves []move) (broken bool, err error) {
	ran, late := 0, 0
	for i, m := range moves {
		until := m.silentAt.Add(silenceGap)
		lateHere := 0
		var last time.Duration
		for _, s := range all {
			if s.at.Before(m.silentAt) || !s.endedAt.Before(until) {
				continue
			}
			for service, w := range workers {
				if _, ranThere := w.ranAt(s.id); !ranThere {
					continue
				}
				ran++
				if service == m.service {
					continue
				}
				last = max(last, s.at.Sub(m.changedAt))
				if s.at.Sub(m.changedAt) > configBound && s.at.Sub(m.silentAt) > contactBound {
					lateHere++
				}
			}
		}
		p.record.add("change %d: the last request ran at the service of before %.2f s after it", i+1, last.Seconds())
		if lateHere > 0 {
			p.record.say("CONFIG: %d requests ran at the service of before though they were sent over configMs after change %d, the last one %.2f s, and over contactMs after the silence",
				lateHere, i+1, last.Seconds())
		}
		late += lateHere
	}
	p.record.say("%d requests, %d ran, %d of these at the service of before too late", len(all), ran, late)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return late > 0, nil
}
