package main

import (
	"fmt"
	"time"
)

const (
	// linkBytesPerSecond is the bandwidth of the gateway's link, 1,000 Mbit/s.
	linkBytesPerSecond = 1000e6 / 8
	// cutTime is how long the gateway is partitioned from the store.
	cutTime = 7 * time.Second
	// changes is the number of versions that the operator writes, one each changeGap, and
	// withdrawal the one that takes the key away.
	changes    = 8
	changeGap  = 330 * time.Millisecond
	withdrawal = 5
	// grownRoutes is the number of routes after the configuration has grown.
	grownRoutes = 920
	// revokeBound is revokeMs.
	revokeBound = 5 * time.Second
	keyGap      = 3 * time.Millisecond
	keyClients  = 6
)

// revokedBehindCut plays the withdrawal of a key in one of several versions of a large configuration
// while the only gateway is partitioned from the store. Without the disruption there is no
// partition.
func revokedBehindCut(p *play) (broken bool, err error) {
	w := newWorker("lookups-1", "lookups", p.store, p.record)
	w.work = 5 * time.Millisecond
	go w.register(p.ctx)
	p.putConfig(10, "key-a", "key-b")
	link := newProxy(serveHTTP(p.store), linkBytesPerSecond)
	if _, err := p.addFront("front-1", link.address(), usualBounds); err != nil {
		return false, err
	}
	if err := waitReady(p.fronts, 20*time.Second); err != nil {
		return false, err
	}
	stop := p.load(keyClients, keyGap, "lookup", "key-a", 3*time.Second)
	time.Sleep(3 * time.Second)
	if p.trouble {
		link.cut()
		p.record.say("front-1 is partitioned from the store")
	}
	cutAt := time.Now()
	var withdrawnAt time.Time
	for i := 1; i <= changes; i++ {
		keys := []string{"key-a", "key-b"}
		if i >= withdrawal {
			keys = keys[1:]
		}
		size := p.putConfig(10+i, keys...)
		p.record.add("the store has acknowledged version %d, %d bytes, with the keys %v", 10+i, size, keys)
		if i == withdrawal {
			withdrawnAt = time.Now()
			p.record.say("version %d takes key-a away", 10+i)
		}
		time.Sleep(changeGap)
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if p.trouble {
		link.heal()
		p.record.say("the partition is over")
	}
	time.Sleep(8 * time.Second)
	return p.checkWithdrawal(stop(), w, withdrawnAt)
}

// putConfig writes a version of the configuration and returns its size.
func (p *play) putConfig(version int, keys ...string) int {
	routes := []any{route("lookup", "idempotent", "lookups", 3000, 300, 2)}
	for i := range grownRoutes {
		r := route(fmt.Sprintf("lookup-of-the-troupe-%04d", i), "idempotent", "lookups", 3000, 300, 2)
		r["sticky"] = false
		r["resumable"] = false
		r["public"] = false
		routes = append(routes, r)
	}
	return p.store.put(topicOperator, keyConfig, configuration(version, routes, []any{plainService("lookups")}, keys...))
}

// checkWithdrawal reports whether a request with the withdrawn key ran that was sent later than
// revokeMs after the acknowledgement of the version that took it away.
func (p *play) checkWithdrawal(all []sent, w *worker, withdrawnAt time.Time) (broken bool, err error) {
	ranBefore, late := 0, 0
	for _, s := range all {
		_, ran := w.ranAt(s.id)
		switch after := s.at.Sub(withdrawnAt); {
		case !ran:
		case after <= revokeBound:
			ranBefore++
		default:
			late++
			if late <= 5 {
				p.record.say("CONFIG: %s was sent %.3f s after the key was withdrawn, and ran: answer %d", s.id, after.Seconds(), s.status)
			}
		}
	}
	p.record.say("%d requests with the key; %d ran that were sent until revokeMs after its withdrawal, %d that were sent later",
		len(all), ranBefore, late)
	if ranBefore == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return late > 0, nil
}
