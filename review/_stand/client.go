package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests one after the other on a kept connection.
type client struct {
	front  *front
	http   *http.Client
	record *record
}

func newClient(f *front, r *record) *client {
	return &client{
		front:  f,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		record: r,
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// sent is a request and what came of it.
type sent struct {
	id, path string
	at       time.Time
	status   int
	// complete is true if the whole answer has arrived, failure the error otherwise.
	complete bool
	failure  error
	endedAt  time.Time
}

var lastID atomic.Int64

// nextID returns the ID of a new request.
func nextID(name string) string { return fmt.Sprint(name, "-", lastID.Add(1)) }

// send sends a request and waits for its answer.
func (c *client) send(ctx context.Context, name, key string, deadline time.Duration, headers ...string) sent {
	s := sent{
		id:   nextID(name),
		path: "/" + name + "/x",
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.front.address+s.path, strings.NewReader("content of "+s.id))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // nothing is sent twice
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", s.id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	s.at = time.Now()
	c.record.add("client sends %s with key %s to %s", s.id, key, c.front.name)
	response, err := c.http.Do(request)
	if err == nil {
		s.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.endedAt = time.Now()
	s.complete, s.failure = err == nil, err
	if s.complete {
		c.record.add("client has the answer %d to %s", s.status, s.id)
	} else {
		c.record.add("client has no complete answer to %s (status %d): %v", s.id, s.status, err)
	}
	return s
}

// load sends requests of one kind with n clients, spread over the gateways, each one after the other
// with a gap between them. The returned function ends that and returns all requests.
func (p *play) load(n int, gap time.Duration, name, key string, deadline time.Duration) (stop func() []sent) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []sent
	for i := range n {
		c := newClient(p.fronts[i%len(p.fronts)], p.record)
		group.Go(func() {
			defer c.close()
			for {
				select {
				case <-ended:
					return
				case <-time.After(gap):
				}
				s := c.send(p.ctx, name, key, deadline)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	return func() []sent {
		close(ended)
		group.Wait()
		return all
	}
}
