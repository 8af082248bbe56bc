// Command stand plays the cases of the review: it starts gateways as the deploy file does, in
// front of stand-ins of the platform's store, the workers and the clients, and checks one rule.
//
//	stand CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it plays the same without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// play is what all cases share.
type play struct {
	ctx     context.Context
	dir     string
	record  *record
	store   *store
	trouble bool

	mu     sync.Mutex
	fronts []*front
}

// maxPlayTime bounds a play.
const maxPlayTime = 110 * time.Second

var cases = map[string]func(*play) (broken bool, err error){
	"leaseRaised":          leaseRaised,
	"removedBehindSilence": removedBehindSilence,
	"movedBehindSilence":   movedBehindSilence,
	"graceRaised":          graceRaised,
	"revokedBehindCut":     revokedBehindCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxPlayTime)
	defer cancel()
	p := &play{
		ctx:     ctx,
		dir:     dir,
		record:  r,
		store:   newStore(),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	go p.stopOnSignal()
	r.say("%s, with the disruption: %v", name, p.trouble)
	broken, err := cases[name](p)
	p.close()
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return 2
	case broken:
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}

// stopOnSignal ends the gateways with the play if it is told to stop early.
func (p *play) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	p.close()
	os.Exit(2)
}

// close ends the gateways.
func (p *play) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.fronts {
		f.close()
	}
	p.fronts = nil
}

// addFront starts a gateway that reaches the store at an address.
func (p *play) addFront(name, store string, b bounds) (*front, error) {
	f, err := newFront(name, store, p.dir, b, p.record)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fronts = append(p.fronts, f)
	return f, nil
}
