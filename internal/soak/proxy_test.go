package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode says what a proxy does with the bytes of its connections.
type proxyMode int

const (
	forwardAll proxyMode = iota
	// blockBoth holds all bytes back, inward and outward those of one direction.
	blockBoth
	blockInbound
	blockOutbound
	// refuseConns closes new connections; entering it resets the open ones.
	refuseConns
	// delayAll delays all bytes.
	delayAll
)

const (
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy stands between two processes and harms their connections.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        proxyMode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, modeChanged: make(chan struct{}), conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		p.setMode(refuseConns)
	})
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes what happens to the bytes, also on open connections.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if mode == refuseConns {
		p.resetLocked(1)
	}
}

// resetFraction resets a part of the open connections.
func (p *proxy) resetFraction(fraction float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked(fraction)
}

func (p *proxy) resetLocked(fraction float64) {
	for c := range p.conns {
		if rand.Float64() < fraction {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.mode
		p.conns[client] = true
		p.mu.Unlock()
		if mode == refuseConns {
			p.closeConn(client)
			continue
		}
		go p.relay(client)
	}
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) relay(client net.Conn) {
	defer p.closeConn(client)
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.conns[server] = true
	p.mu.Unlock()
	defer p.closeConn(server)
	ended := make(chan struct{}, 2)
	go func() { p.copy(server, client, blockInbound); ended <- struct{}{} }()
	go func() { p.copy(client, server, blockOutbound); ended <- struct{}{} }()
	<-ended
}

// copy passes bytes on, held up or delayed as the mode says.
func (p *proxy) copy(to io.Writer, from io.Reader, direction proxyMode) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyMode(direction)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) applyMode(direction proxyMode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		switch mode {
		case blockBoth, direction:
			<-changed
		case delayAll:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}
