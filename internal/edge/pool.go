package edge

import (
	"bufio"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// endpointReadBuffer is the read buffer size of a connection to an endpoint.
	endpointReadBuffer = 4 << 10
	// maxIdleTime is the longest time that an idle connection is kept.
	maxIdleTime = 4 * time.Second
	// keepAliveFraction is the fraction of the endpoint's own idle timeout after
	// which an idle connection is no longer used.
	keepAliveFraction = 0.5
	// endpointDialTimeout bounds the time to open a connection to an endpoint.
	endpointDialTimeout = 400 * time.Millisecond
	// maxCarried is the number of requests after which a connection isn't kept.
	maxCarried = 256
)

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	reader *bufio.Reader
	// idleTimeout is how long the connection may stay idle, lastUsed when it
	// became idle.
	idleTimeout time.Duration
	lastUsed    time.Time
	reused      bool
	// outOfSync is true once a response to another request than the current one has
	// arrived.
	outOfSync bool
	// carried are the IDs of the requests that were sent on the connection.
	carried map[string]bool
}

// connPool keeps idle connections to endpoints.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*endpointConn
}

func newConnPool() *connPool {
	return &connPool{idle: make(map[string][]*endpointConn)}
}

// get returns a connection for a request, an idle one that is still open or a new one. A
// request gets no connection twice: its ID wouldn't tell a second response to the first
// attempt from the response to the next one.
func (p *connPool) get(
	now time.Time, endpoint string, address netip.AddrPort, requestID string, timeout time.Duration,
) (*endpointConn, error) {
	for {
		conn := p.pop(endpoint, requestID)
		if conn == nil {
			break
		}
		if now.Sub(conn.lastUsed) < conn.idleTimeout && isOpenAndIdle(conn) {
			conn.reused = true
			conn.carried[requestID] = true
			return conn, nil
		}
		_ = conn.Close() // expired, closed by the endpoint or with unsolicited data
	}
	raw, err := net.DialTimeout("tcp4", address.String(), min(timeout, endpointDialTimeout))
	if err != nil {
		return nil, err
	}
	return &endpointConn{
		Conn:        raw,
		reader:      bufio.NewReaderSize(raw, endpointReadBuffer),
		idleTimeout: maxIdleTime,
		carried:     map[string]bool{requestID: true},
	}, nil
}

// pop removes the connection that was used last and hasn't carried the request, and
// returns it, nil if there is none.
func (p *connPool) pop(endpoint, requestID string) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[endpoint]
	for i, conn := range slices.Backward(conns) {
		if !conn.carried[requestID] {
			p.idle[endpoint] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

// put adds a connection to the pool, or closes it if it has carried maxCarried requests.
func (p *connPool) put(now time.Time, endpoint string, conn *endpointConn) {
	if len(conn.carried) >= maxCarried {
		_ = conn.Close() // idle
		return
	}
	conn.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[endpoint] = append(p.idle[endpoint], conn)
}

// drop closes all idle connections to an endpoint.
func (p *connPool) drop(endpoint string) {
	p.mu.Lock()
	conns := p.idle[endpoint]
	delete(p.idle, endpoint)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // idle
	}
}

// sweep closes the connections whose idle timeout has passed.
func (p *connPool) sweep(now time.Time) {
	var expired []*endpointConn
	p.mu.Lock()
	for endpoint, conns := range p.idle {
		live := conns[:0]
		for _, c := range conns {
			if now.Sub(c.lastUsed) < c.idleTimeout {
				live = append(live, c)
				continue
			}
			expired = append(expired, c)
		}
		clear(conns[len(live):])
		p.idle[endpoint] = live
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close() // idle
	}
}

// isOpenAndIdle reports whether a connection is open and has no data to read.
// Unsolicited data from an endpoint belongs to no request and must not be taken
// for a response.
func isOpenAndIdle(conn *endpointConn) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var peeked [1]byte
	err = rawConn.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// keepAliveTimeout returns how long a connection may stay idle, given the
// endpoint's Keep-Alive header.
func keepAliveTimeout(value string) time.Duration {
	for field := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := time.ParseDuration(number + "s")
		if err == nil {
			return min(maxIdleTime, time.Duration(float64(seconds)*keepAliveFraction))
		}
	}
	return maxIdleTime
}
