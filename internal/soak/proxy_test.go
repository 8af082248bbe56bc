package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// cut says what a proxy does with the bytes of its connections.
type cut int

const (
	pass cut = iota
	// silent holds all bytes back, inward and outward those of one direction.
	silent
	inward
	outward
	// refuse closes new connections; entering it resets the open ones.
	refuse
	// slow delays all bytes.
	slow
)

const (
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy stands between two processes and harms their connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  cut
	since chan struct{}
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, since: make(chan struct{}), conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.set(refuse)
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what happens to the bytes, also on open connections.
func (p *proxy) set(mode cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.since)
	p.since = make(chan struct{})
	if mode == refuse {
		p.reset(1)
	}
}

// resetSome resets a part of the open connections.
func (p *proxy) resetSome(part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset(part)
}

func (p *proxy) reset(part float64) {
	for c := range p.conns {
		if rand.Float64() < part {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.mode
		p.conns[in] = true
		p.mu.Unlock()
		if mode == refuse {
			p.drop(in)
			continue
		}
		go p.join(in)
	}
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) join(in net.Conn) {
	defer p.drop(in)
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.conns[out] = true
	p.mu.Unlock()
	defer p.drop(out)
	ended := make(chan struct{}, 2)
	go func() { p.copy(out, in, inward); ended <- struct{}{} }()
	go func() { p.copy(in, out, outward); ended <- struct{}{} }()
	<-ended
}

// copy passes bytes on, held up or delayed as the mode says.
func (p *proxy) copy(to io.Writer, from io.Reader, direction cut) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(direction)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) hold(direction cut) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.since
		p.mu.Unlock()
		switch mode {
		case silent, direction:
			<-changed
		case slow:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}
