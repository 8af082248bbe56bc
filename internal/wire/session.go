// Package wire transports messages and calls between the processes of the system.
// Each pair of processes shares one yamux session, with a control stream of
// protobuf envelopes and one stream for each call.
package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/wire/wirepb"
)

// ProtocolVersion is the version of the message protocol. Peers with a different
// version are rejected.
const ProtocolVersion = 1

const (
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 10 * time.Second
	// maxQueuedMessages is the number of control messages that may wait to be sent.
	maxQueuedMessages = 1024
	// acceptBacklog is the number of calls that the peer may open before they are
	// accepted.
	acceptBacklog   = 4096
	maxMessageBytes = 32 << 20
)

// Errors of a session.
var (
	ErrProtocolVersion = errors.New("wire: peer uses a different protocol version")
	ErrBacklog         = errors.New("wire: peer reads its control stream too slowly")
)

// Session is a multiplexed connection to a peer. Its owner must call Run.
type Session struct {
	conn *coalescingConn
	mux  *yamux.Session
	// control is the stream of control messages, reader its buffered input.
	control net.Conn
	reader  *bufio.Reader
	peer    *wirepb.Hello
	// outgoing holds the control messages to send.
	outgoing chan *wirepb.Envelope
	age      *ageTracker
	done     chan struct{}
	close    sync.Once
}

// Dial connects to a peer. The connection is not encrypted if tlsConfig is nil.
func Dial(ctx context.Context, address netip.AddrPort, self *wirepb.Hello, tlsConfig *tls.Config) (*Session, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if tlsConfig != nil {
		conn = tls.Client(conn, tlsConfig)
	}
	// The deadline of ctx bounds only the connection: a busy peer may take longer to answer.
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			_ = conn.Close() // the handshake fails
		}
	})
	defer stop()
	return handshake(conn, self, true)
}

// Accept opens a session on a connection accepted from a peer. The connection is
// not encrypted if tlsConfig is nil.
func Accept(conn net.Conn, self *wirepb.Hello, tlsConfig *tls.Config) (*Session, error) {
	if tlsConfig != nil {
		conn = tls.Server(conn, tlsConfig)
	}
	return handshake(conn, self, false)
}

// handshake opens the control stream and exchanges Hello messages.
func handshake(conn net.Conn, self *wirepb.Hello, dialed bool) (*Session, error) {
	s, err := newSession(conn, dialed)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := s.exchangeHello(self); err != nil {
		return nil, errors.Join(err, s.mux.Close())
	}
	return s, nil
}

// muxConfig returns the configuration of the multiplexer. The ends of its streams report
// its errors, so it writes no log of its own.
func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.ConnectionWriteTimeout = writeTimeout
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	return config
}

// newSession starts the multiplexer and opens the control stream, which the side that
// dialed does.
func newSession(conn net.Conn, dialed bool) (*Session, error) {
	newMux := yamux.Server
	if dialed {
		newMux = yamux.Client
	}
	coalesced := newCoalescingConn(conn)
	mux, err := newMux(coalesced, muxConfig())
	if err != nil {
		return nil, err
	}
	s := &Session{
		conn:     coalesced,
		mux:      mux,
		outgoing: make(chan *wirepb.Envelope, maxQueuedMessages),
		age:      newAgeTracker(time.Now()),
		done:     make(chan struct{}),
	}
	if dialed {
		s.control, err = mux.Open()
		return s, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	stream, err := mux.AcceptStreamWithContext(ctx)
	s.control = stream
	return s, err
}

// exchangeHello sends this process's Hello and reads the peer's.
func (s *Session) exchangeHello(self *wirepb.Hello) error {
	s.reader = bufio.NewReader(s.control)
	if err := s.control.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	hello := proto.CloneOf(self)
	hello.Protocol = ProtocolVersion
	if _, err := protodelim.MarshalTo(s.control, hello); err != nil {
		return err
	}
	s.peer = &wirepb.Hello{}
	if err := readMessage(s.reader, s.peer); err != nil {
		return err
	}
	if s.peer.GetProtocol() != ProtocolVersion {
		return fmt.Errorf("%w: %d", ErrProtocolVersion, s.peer.GetProtocol())
	}
	return s.control.SetDeadline(time.Time{})
}

// Peer returns the peer's Hello.
func (s *Session) Peer() *wirepb.Hello { return s.peer }

// Send queues a control message without blocking. If the queue is full because
// the peer does not read, it closes the session.
func (s *Session) Send(message *wirepb.Envelope) {
	select {
	case s.outgoing <- s.age.stamp(time.Now(), message):
	case <-s.done:
	default:
		s.Close()
	}
}

// Run passes control messages to handle until the session ends or ctx is done. It
// then closes the session and returns the cause.
func (s *Session) Run(ctx context.Context, handle func(*wirepb.Envelope)) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	writeResult := make(chan error, 1)
	go func() { writeResult <- s.writeLoop() }()
	err := s.readLoop(handle)
	s.Close()
	err = errors.Join(err, <-writeResult)
	_ = s.mux.Close() // the peer sees the connection end regardless of an error
	<-s.conn.done
	return err
}

// Close closes the session. It may be called more than once. It closes only the
// connection, which makes the multiplexer shut down by itself: while an explicit
// shutdown of the multiplexer is in progress, readers of its streams busy-wait.
func (s *Session) Close() {
	s.close.Do(func() {
		close(s.done)
		_ = s.conn.Close() // the peer sees the connection end regardless of an error
	})
}

// Done returns a channel that is closed when the session is closed.
func (s *Session) Done() <-chan struct{} { return s.done }

// readLoop passes control messages to handle until one can't be read.
func (s *Session) readLoop(handle func(*wirepb.Envelope)) error {
	for {
		message := &wirepb.Envelope{}
		if err := readMessage(s.reader, message); err != nil {
			return err
		}
		s.age.receive(time.Now(), message)
		handle(message)
	}
}

// writeLoop sends the queued control messages until the session is closed. It flushes
// them when no other message waits.
func (s *Session) writeLoop() error {
	writer := bufio.NewWriter(s.control)
	for {
		select {
		case <-s.done:
			return nil
		case message := <-s.outgoing:
			if _, err := protodelim.MarshalTo(writer, message); err != nil {
				return err
			}
			if len(s.outgoing) > 0 {
				continue
			}
			if err := writer.Flush(); err != nil {
				return err
			}
		}
	}
}

// OpenCall opens a stream for one call.
func (s *Session) OpenCall() (*Call, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return newCall(stream), nil
}

// AcceptCall waits for the peer to open a call.
func (s *Session) AcceptCall(ctx context.Context) (*Call, error) {
	stream, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	return newCall(stream), nil
}

// readMessage reads one length-delimited message.
func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}
