package edge

import (
	"bufio"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// endpointBuffer is the size of the read buffer of an endpoint's connection.
	endpointBuffer = 4 << 10
	// longestIdle is how long an endpoint's connection is kept unused.
	longestIdle = 4 * time.Second
	// idleShare is the part of the endpoint's own idle timeout that is used.
	idleShare = 0.5
	// dialTimeout bounds the opening of a connection to an endpoint.
	dialTimeout = 400 * time.Millisecond
)

// outbound is a connection to an endpoint.
type outbound struct {
	net.Conn
	reader *bufio.Reader
	// idle is how long the connection may stay unused, usedAt its last use.
	idle   time.Duration
	usedAt time.Time
	reused bool
}

// pool keeps idle connections to endpoints.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*outbound
}

func newPool() *pool {
	return &pool{idle: make(map[string][]*outbound)}
}

// get returns an idle connection that is still open, or dials one.
func (p *pool) get(now time.Time, endpoint string, address netip.AddrPort, limit time.Duration) (*outbound, error) {
	for {
		conn := p.pop(endpoint)
		if conn == nil {
			break
		}
		if now.Sub(conn.usedAt) < conn.idle && quiet(conn) {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close() // it was closed or spoiled by the endpoint
	}
	raw, err := net.DialTimeout("tcp4", address.String(), min(limit, dialTimeout))
	if err != nil {
		return nil, err
	}
	return &outbound{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, endpointBuffer),
		idle:   longestIdle,
	}, nil
}

func (p *pool) pop(endpoint string) *outbound {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[endpoint]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[endpoint] = conns[:len(conns)-1]
	return last
}

// put keeps a connection for later.
func (p *pool) put(now time.Time, endpoint string, conn *outbound) {
	conn.usedAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[endpoint] = append(p.idle[endpoint], conn)
}

// drop closes the idle connections to an endpoint.
func (p *pool) drop(endpoint string) {
	p.mu.Lock()
	conns := p.idle[endpoint]
	delete(p.idle, endpoint)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // idle
	}
}

// sweep closes the connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	var old []*outbound
	p.mu.Lock()
	for endpoint, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.usedAt) < c.idle {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(conns[len(kept):])
		p.idle[endpoint] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // idle
	}
}

// quiet reports whether an idle connection is open and has nothing to read. What
// an endpoint sends unasked belongs to no request.
func quiet(conn *outbound) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// keepAlive returns the idle timeout that a Keep-Alive header states.
func keepAlive(value string) time.Duration {
	for field := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := time.ParseDuration(number + "s")
		if err == nil {
			return min(longestIdle, time.Duration(float64(seconds)*idleShare))
		}
	}
	return longestIdle
}
