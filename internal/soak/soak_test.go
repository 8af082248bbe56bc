package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seeds = flag.Int("soak.seeds", 1, "how many seeds to play")
	first = flag.Uint64("soak.first", 0, "the first seed; 0 plays the seeds of CI")
	side  = flag.Int("soak.beside", 3, "how many seeds to play at once")
	keep  = flag.String("soak.keep", "", "where to keep the logs of failed seeds")
	other = flag.String("soak.other", "", "a program of another release that runs every second entry")
)

const (
	startTime    = 4 * time.Second
	faultTime    = 14 * time.Second
	recoverTime  = 12 * time.Second
	recoverWatch = 3 * time.Second
	// recoverPart is the part of the requests that must succeed in the end.
	recoverPart = 0.5
	meanPause   = 900 * time.Millisecond
	resetPause  = 150 * time.Millisecond
	// longCut is longer than a withdrawn key may work.
	longCut = revokeBound + 3*time.Second
)

// ciSeeds are played in each run of the tests: the one of CI first, then each
// seed that has ever failed, with its cause.
var ciSeeds = []uint64{
	1,    // a fixed one
	1004, // two entries of two fleets got the same port from the soak
	5006, // an endpoint that started anew still counted as leaving in the soak
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dogwoodfold")
	build := exec.Command("go", "build", "-o", program, "dogwoodfold/cmd/dogwoodfold")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	list := ciSeeds
	if *first > 0 {
		list = nil
		for i := range uint64(*seeds) {
			list = append(list, *first+i)
		}
	}
	turn := make(chan struct{}, *side)
	var group sync.WaitGroup
	defer group.Wait()
	for _, seed := range list {
		turn <- struct{}{}
		group.Go(func() {
			defer func() { <-turn }()
			t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, program, seed) })
		})
	}
}

// play runs the fleet through the faults of a seed and judges it.
func play(t *testing.T, program string, seed uint64) {
	logs := t.TempDir()
	w := newWorld(t, program, logs)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.beat(ctx) })
	time.Sleep(startTime)
	for n := range callers {
		group.Go(func() { w.caller(ctx, n) })
	}
	w.harm(rand.New(rand.NewPCG(seed, 5)), t)
	time.Sleep(recoverTime)
	from := time.Now()
	time.Sleep(recoverWatch)
	until := time.Now()
	cancel()
	group.Wait()
	part, n := w.book.served(from, until.Add(-patience/3))
	t.Logf("seed %d: %d requests, %.2f of the last %d served", seed, len(w.book.sent), part, n)
	if n < callers || part < recoverPart {
		w.book.broken("RECOVER: %.2f of %d requests served %v after the last fault", part, n, recoverTime)
	}
	for _, fault := range w.book.judge() {
		t.Error(fault)
	}
	if t.Failed() && *keep != "" {
		if err := os.CopyFS(filepath.Join(*keep, fmt.Sprint(seed)), os.DirFS(logs)); err != nil {
			t.Error(err)
		}
	}
}

// harm draws faults that overlap, and waits until all have ended.
func (w *world) harm(random *rand.Rand, t *testing.T) {
	end := time.Now().Add(faultTime)
	last := time.Now()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
		lasts := time.Duration(200+random.IntN(4500)) * time.Millisecond
		name := w.fault(random, lasts)
		t.Logf("%v %s for %v", time.Now().Format("05.000"), name, lasts)
		if until := time.Now().Add(lasts); until.After(last) {
			last = until
		}
	}
	time.Sleep(max(time.Until(last), longCut))
}

// fault begins one fault and has it end after a time.
func (w *world) fault(random *rand.Rand, lasts time.Duration) string {
	e := w.entries[random.IntN(len(w.entries))]
	k := w.workers[random.IntN(len(w.workers))]
	until := time.Now().Add(lasts)
	mode := []cut{silent, inward, outward, refuse, slow}[random.IntN(5)]
	switch random.IntN(15) {
	case 0:
		w.book.disturb(e.name, time.Now().Add(restartPause))
		e.signal(syscall.SIGKILL)
		return "kill " + e.name
	case 1:
		w.book.disturb(e.name, time.Now().Add(graceTime+restartPause))
		e.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { e.signal(syscall.SIGCONT) })
		return "stop " + e.name
	case 2, 3:
		w.book.disturb(e.name, until)
		e.signal(syscall.SIGSTOP)
		time.AfterFunc(lasts, func() { e.signal(syscall.SIGCONT) })
		return "pause " + e.name
	case 4:
		e.signal(syscall.SIGHUP)
		return "reload " + e.name
	case 5, 6:
		w.book.disturb(e.name, until)
		e.proxy.set(mode)
		time.AfterFunc(lasts, func() { e.proxy.set(pass) })
		return fmt.Sprintf("cut %d of %s from the store", mode, e.name)
	case 7:
		w.book.disturb("", until)
		w.store.Fail([]int{503, 429}[random.IntN(2)])
		time.AfterFunc(lasts, func() { w.store.Fail(0) })
		return "the store refuses"
	case 8:
		w.book.disturb("", until)
		w.store.LoseAnswers(true)
		time.AfterFunc(lasts, func() { w.store.LoseAnswers(false) })
		return "the store loses answers"
	case 9:
		w.store.Forget([]string{"keyed.servers", "keyed.op", "keyed.dogwoodfold"}[random.IntN(3)])
		return "the store forgets"
	case 10:
		k.proxy.set(mode)
		time.AfterFunc(lasts, func() { k.proxy.set(pass) })
		return fmt.Sprintf("cut %d of %s", mode, k.service)
	case 11:
		if random.IntN(2) == 0 {
			k.drain(drainBound + lasts)
			return "drain " + k.service
		}
		k.crash(lasts)
		return "crash " + k.service
	case 12:
		return w.resetAgain(k, until)
	case 13:
		return w.withdrawBehindCut(random)
	default:
		if random.IntN(2) == 0 {
			w.lateOrders.Store(true)
			time.AfterFunc(lasts, func() { w.lateOrders.Store(false) })
			return "orders act late"
		}
		w.withdraw(random)
		return "withdraw a key"
	}
}

// resetAgain resets connections to an endpoint until a time.
func (w *world) resetAgain(k *worker, until time.Time) string {
	go func() {
		for time.Now().Before(until) {
			k.proxy.resetSome(0.5)
			time.Sleep(resetPause)
		}
	}()
	return "reset connections of " + k.service
}

// withdrawBehindCut takes a key away while the store answers no entry.
func (w *world) withdrawBehindCut(random *rand.Rand) string {
	until := time.Now().Add(longCut)
	w.book.disturb("", until)
	for _, e := range w.entries {
		w.book.disturb(e.name, until)
		e.proxy.set(silent)
		time.AfterFunc(longCut, func() { e.proxy.set(pass) })
	}
	w.withdraw(random)
	return fmt.Sprintf("cut all entries from the store for %v and withdraw a key", longCut)
}
