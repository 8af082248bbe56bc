package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// One in freshClients of the powerClientCount clients takes no stream up, but asks for
	// a new one.
	powerClientCount = 64
	freshClients     = 4
	// powerInterval is the time between two events of a stream here, so that a stream
	// lasts for two to three seconds.
	powerInterval = 180 * time.Millisecond
	// powerOutage is the time after which the entries start again.
	powerOutage = time.Second
	// beforePowerLoss is how long clients stream before the loss, versionLead how long
	// before it the engines of the old version leave in the plays in which they do.
	beforePowerLoss = 5 * time.Second
	versionLead     = 700 * time.Millisecond
	// takeUpTime is the time after the entries' start in which clients take up their
	// streams and ask for new ones.
	takeUpTime = 6 * time.Second
)

// Guards against LOST and ORDER after all entries have lost power at once while engines of
// two versions serve, or those of the old one have just left: no entry knew where a stream had
// begun, so that each one that clients took up was refused.
func TestSoakPowerLoss(t *testing.T) {
	program := buildProgram(t)
	seeds := []uint64{1, 2}
	if *firstSeed > 0 {
		seeds = chosenSeeds()
	}
	var group sync.WaitGroup
	defer group.Wait()
	semaphore := make(chan struct{}, *parallelSeeds)
	for _, seed := range seeds {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runPowerLoss(t, program, seed, seed%2 == 0) })
		})
	}
}

// powerPlay is a play in which all entries lose power at once.
type powerPlay struct {
	*environment
	mu sync.Mutex
	// lostAt is the time of the loss, startAt that at which the entries start again; both
	// are zero before it.
	lostAt, startAt time.Time
	// takenUp are the streams that the loss cut, and those of them that go on, begun the
	// new streams that clients asked for afterwards.
	takenUp, begun share
}

// runPowerLoss runs a play. If oldLeave is set, the engines of the old version leave just
// before the loss.
func runPowerLoss(t *testing.T, program string, seed uint64, oldLeave bool) {
	logDir := t.TempDir()
	random := rand.New(rand.NewPCG(seed, 21))
	env := newEnvironment(t, program, logDir, random)
	env.draftInterval = powerInterval
	env.restartDelay = powerOutage
	p := &powerPlay{environment: env}
	p.startNewVersion()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { env.publishRecords(ctx) })
	time.Sleep(startupTime)
	for n := range powerClientCount {
		group.Go(func() { p.runClient(ctx, n, rand.New(rand.NewPCG(seed, uint64(200+n)))) })
	}
	time.Sleep(beforePowerLoss + time.Duration(random.IntN(1000))*time.Millisecond)
	if oldLeave {
		p.endOldVersion()
		time.Sleep(versionLead)
	}
	p.losePower()
	time.Sleep(powerOutage + takeUpTime)
	cancel()
	group.Wait()
	t.Logf("seed %d, the old version leaves: %t: %v streams that were cut go on, %v new ones begin", seed, oldLeave, p.takenUp, p.begun)
	if p.takenUp.tried < minResumed {
		t.Errorf("the loss cut %d streams, want %d or more", p.takenUp.tried, minResumed)
	}
	if p.takenUp.ratio() < minResumedShare*p.begun.ratio() {
		t.Errorf("LOST: %v streams that were cut go on while %v new ones begin", p.takenUp, p.begun)
	}
	for _, violation := range env.history.check() {
		t.Error(violation)
	}
	keepLogs(t, logDir, fmt.Sprint("power-", seed))
}

// startNewVersion starts engines of drafts of a second version in the spare places.
func (p *powerPlay) startNewVersion() {
	for i, ep := range p.drafters[drafterCount:] {
		ep.spare.Store(false)
		ep.setRelease(releases[1])
		ep.start([]string{"m0", []string{"m1", "m2"}[i%2]})
		ep.proxy.setMode(forwardAll)
	}
}

// endOldVersion ends the engines of the first version, which leave the registry at once.
func (p *powerPlay) endOldVersion() {
	for _, ep := range p.drafters[:drafterCount] {
		id := ep.currentID()
		ep.end(id)
		ep.proxy.setMode(refuseConns)
		p.store.Put("keyed.servers", id, nil)
	}
}

// losePower kills all entries at once.
func (p *powerPlay) losePower() {
	p.mu.Lock()
	p.lostAt = time.Now()
	p.startAt = p.lostAt.Add(powerOutage)
	p.mu.Unlock()
	for _, e := range p.entries {
		p.history.recordFault(e.name, time.Now().Add(powerOutage))
		e.signal(syscall.SIGKILL)
	}
}

// runClient asks for streams and, unless it is one of the fresh clients, takes up those that
// break off, until ctx ends.
func (p *powerPlay) runClient(ctx context.Context, number int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.Int64N(int64(eventsPerStream * powerInterval))))
		id := fmt.Sprintf("p%d-%d", number, i)
		stream := &clientStream{firstRequest: id}
		prompt := fmt.Sprintf("system:10,topic%d:10,%s:5", random.IntN(promptTopics), id)
		model := []string{"m0", "m0", "m1"}[random.IntN(3)]
		sentAt := time.Now()
		cut := p.play(ctx, client, stream, model, prompt, random)
		if ctx.Err() == nil {
			p.countNew(sentAt, stream)
		}
		if cut && number%freshClients > 0 {
			p.takeUp(ctx, client, stream, model, prompt, random)
		}
	}
}

// play asks for a stream once, at an entry drawn anew. It reports whether the stream has
// begun and broke off. Each attempt has its own ID.
func (p *powerPlay) play(
	ctx context.Context, client *http.Client, stream *clientStream, model, prompt string, random *rand.Rand,
) (cut bool) {
	before := stream.lastEvent
	sent := &clientRequest{
		id: stream.firstRequest, kind: draftRoute, key: steadyKey, at: time.Now(), model: model, prompt: prompt, stream: stream,
	}
	if before > 0 {
		sent.id = fmt.Sprintf("%s-%d", stream.firstRequest, random.Uint32())
	}
	p.history.recordRequest(sent)
	status, err := p.sendRequest(ctx, client, p.entries[random.IntN(len(p.entries))].frontAddress, sent)
	p.history.recordStatus(sent, status)
	if stream.lastEvent == before {
		pause := max(min(sent.retryAfter, requestTimeout/3), 150*time.Millisecond)
		time.Sleep(pause)
	}
	return err != nil && stream.lastEvent > 0
}

// takeUp takes up a stream that broke off until it goes on or takeUpTime is over, and counts
// it if the loss cut it and two engines of its version serve.
func (p *powerPlay) takeUp(
	ctx context.Context, client *http.Client, stream *clientStream, model, prompt string, random *rand.Rand,
) {
	p.mu.Lock()
	counted := !p.lostAt.IsZero() && time.Since(p.lostAt) < powerOutage/2 && p.canServe(stream) && stream.lastEvent < eventsPerStream
	until := p.startAt.Add(takeUpTime)
	p.mu.Unlock()
	if !counted {
		return
	}
	before := stream.lastEvent
	for ctx.Err() == nil && time.Now().Before(until) && stream.lastEvent == before {
		p.play(ctx, client, stream, model, prompt, random)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takenUp.tried++
	if stream.lastEvent > before {
		p.takenUp.good++
		return
	}
	p.t.Logf("%s doesn't go on: of %v, had %d events at the loss", stream.firstRequest, stream.versions, before)
}

// countNew counts a new stream that was asked for once the entries had started again.
func (p *powerPlay) countNew(sentAt time.Time, stream *clientStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.startAt.IsZero() || sentAt.Before(p.startAt.Add(takeUpTime/4)) {
		return
	}
	p.begun.tried++
	if stream.lastEvent > 0 {
		p.begun.good++
	}
}
