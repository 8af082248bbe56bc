package main

import (
	"net"
	"sync"
	"time"
)

// proxy is the link between a gateway and the store.
type proxy struct {
	listener net.Listener
	target   string
	// bytesPerSecond is the bandwidth towards the gateway, 0 if it is not limited.
	bytesPerSecond float64

	mu sync.Mutex
	// open is closed while bytes pass in both directions.
	open chan struct{}
	// silenced counts the times at which the connections that were open went silent.
	silenced int
	// freeAt is when the link towards the gateway has sent what it was given.
	freeAt time.Time
}

func newProxy(target string, bytesPerSecond float64) *proxy {
	p := &proxy{
		listener:       listen(),
		target:         target,
		bytesPerSecond: bytesPerSecond,
		open:           make(chan struct{}),
	}
	close(p.open)
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut holds all bytes back, in both directions, until heal.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// silence makes the connections that are open go silent for good, without a reset. New ones
// work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silenced++
}

// generation returns the number of a connection that opens now, for waitOpen.
func (p *proxy) generation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced
}

// waitOpen waits until bytes pass on a connection, for good on one that has gone silent.
func (p *proxy) waitOpen(generation int) {
	p.mu.Lock()
	open, silent := p.open, generation < p.silenced
	p.mu.Unlock()
	if silent {
		select {}
	}
	<-open
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			generation := p.generation()
			p.waitOpen(generation)
			server, err := net.Dial("tcp4", p.target)
			if err != nil {
				_ = client.Close()
				return
			}
			go p.copy(server, client, generation, false)
			p.copy(client, server, generation, true)
		}()
	}
}

// copy passes bytes on until one side closes, then closes both.
func (p *proxy) copy(to, from net.Conn, generation int, limited bool) {
	defer func() {
		p.waitOpen(generation)
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitOpen(generation)
			if limited {
				p.waitForLink(n)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForLink waits until the link has sent n more bytes.
func (p *proxy) waitForLink(n int) {
	if p.bytesPerSecond == 0 {
		return
	}
	p.mu.Lock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	until := p.freeAt
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}
