package soak

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// clientStream is what a client has received of one stream, in one request or
// several.
type clientStream struct {
	// firstRequest is the ID of the request that brought the first event.
	firstRequest string
	lastEvent    int
	versions     []string
	// run is the run at an endpoint that wrote the newest event, earlierRuns are those
	// before it.
	run         string
	earlierRuns []string
	// leaveAfter is the event after which the client closes its connection once, 0 if it
	// doesn't.
	leaveAfter int
}

// errLeft reports that the client closed its connection within a stream.
var errLeft = errors.New("the client left")

// maxResumptions is how often a client resumes one stream.
const maxResumptions = 2

// resumeStream continues a stream that broke off, at entries drawn anew.
func (en *environment) resumeStream(ctx context.Context, client *http.Client, broken *clientRequest, random *rand.Rand) {
	for n := range maxResumptions {
		again := &clientRequest{
			id: broken.id + "-" + strconv.Itoa(n+1), kind: broken.kind, key: broken.key, at: time.Now(),
			model: broken.model, stream: broken.stream, prompt: broken.prompt,
		}
		en.history.recordRequest(again)
		before := broken.stream.lastEvent
		again.last = n == maxResumptions-1
		status, err := en.sendStream(ctx, client, en.entries[random.IntN(len(en.entries))], again)
		en.history.recordStatus(again, status)
		en.history.recordResumption(broken.stream.lastEvent > before)
		if err == nil && status == http.StatusOK {
			return
		}
		if again.retryAfter <= requestTimeout/3 {
			time.Sleep(again.retryAfter) // clients wait for a third of their time at most
		}
	}
}

// checkStream checks that the events arrive in order and without a gap, that the runs that
// wrote them follow each other, that all are of one software version, that there are no other
// lines, and that a stream that ends without an error has all its events.
func (en *environment) checkStream(response *http.Response, sent *clientRequest) (int, error) {
	stream := sent.stream
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return 0, err // a part of a line may have arrived
		}
		if errors.Is(err, io.EOF) && line == "" {
			break
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch {
		case name == "id" && value != strconv.Itoa(stream.lastEvent+1):
			en.history.addViolation("ORDER: %s got event %s after %d", sent.id, value, stream.lastEvent)
		case name == "id":
			stream.lastEvent++
			if sent.firstEventAt.IsZero() {
				sent.firstEventAt = time.Now()
			}
		case name == "data" && (slices.Contains(softwareVersions, value) || slices.Contains(releases, value)):
			en.checkVersion(sent, value)
		case name == "data" && strings.HasPrefix(value, runPrefix):
			en.checkRun(sent, value)
		case name == "" && stream.leaveAfter > 0 && stream.lastEvent >= stream.leaveAfter:
			stream.leaveAfter = 0
			return 0, errLeft
		case name == "data" && value != sent.id:
			en.history.addViolation("MIXED: %s got an event of %s", sent.id, value)
		case name != "data" && line != "\n":
			en.history.addViolation("MIXED: %s got the line %q, which no stream has", sent.id, line)
		}
	}
	if stream.lastEvent != eventsPerStream {
		en.history.addViolation("ORDER: stream %s ended without an error after event %d", sent.id, stream.lastEvent)
	}
	return response.StatusCode, nil
}

// checkRun checks that no run's events come again after those of another one, and that all
// events of a stream that may not be resumed are of one run.
func (en *environment) checkRun(sent *clientRequest, run string) {
	stream := sent.stream
	if run == stream.run {
		return
	}
	if slices.Contains(stream.earlierRuns, run) {
		en.history.addViolation("ORDER: stream %s has events of %s again after %s", sent.id, run, stream.run)
	}
	if stream.run != "" && sent.kind == "chat" {
		en.history.addViolation("ORDER: stream %s, which may not be resumed, has events of %s after %s", sent.id, run, stream.run)
	}
	stream.earlierRuns = append(stream.earlierRuns, stream.run)
	stream.run = run
}

// checkVersion checks that an event is of the same software version as those
// before it in the stream.
func (en *environment) checkVersion(sent *clientRequest, version string) {
	stream := sent.stream
	if slices.Contains(stream.versions, version) {
		return
	}
	stream.versions = append(stream.versions, version)
	if len(stream.versions) > 1 {
		en.history.addViolation("ORDER: stream %s, first asked for as %s, has events of %v",
			sent.id, stream.firstRequest, stream.versions)
	}
}
