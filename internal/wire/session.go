// Package wire carries messages and calls between the system's processes: one
// yamux session for each pair, with a control stream of protobuf envelopes and
// one stream for each call.
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

// Protocol is the version of the messages; peers of another one are refused.
const Protocol = 1

const (
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 10 * time.Second
	controlBacklog   = 1024
	callBacklog      = 4096
	maxMessageBytes  = 32 << 20
)

// Errors of a session.
var (
	ErrProtocol = errors.New("wire: peer speaks another protocol version")
	ErrBacklog  = errors.New("wire: peer reads its control stream too slowly")
)

// Session is a connection to a peer. Its owner must call Run.
type Session struct {
	conn    *coalescer
	mux     *yamux.Session
	control net.Conn
	reader  *bufio.Reader
	peer    *wirepb.Hello
	out     chan *wirepb.Envelope
	ages    *ages
	done    chan struct{}
	close   sync.Once
}

// Dial connects to a peer. The connection is plain if secure is nil.
func Dial(ctx context.Context, address netip.AddrPort, self *wirepb.Hello, secure *tls.Config) (*Session, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if secure != nil {
		conn = tls.Client(conn, secure)
	}
	return handshake(conn, self, true)
}

// Accept takes a connection from a peer. The connection is plain if secure is
// nil.
func Accept(conn net.Conn, self *wirepb.Hello, secure *tls.Config) (*Session, error) {
	if secure != nil {
		conn = tls.Server(conn, secure)
	}
	return handshake(conn, self, false)
}

// handshake opens the control stream and exchanges hellos.
func handshake(conn net.Conn, self *wirepb.Hello, dialed bool) (*Session, error) {
	s, err := newSession(conn, dialed)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := s.exchange(self); err != nil {
		return nil, errors.Join(err, s.mux.Close())
	}
	return s, nil
}

func newSession(conn net.Conn, dialed bool) (*Session, error) {
	settings := yamux.DefaultConfig()
	settings.AcceptBacklog = callBacklog
	settings.ConnectionWriteTimeout = writeTimeout
	settings.EnableKeepAlive = false
	settings.LogOutput = io.Discard
	open := yamux.Server
	if dialed {
		open = yamux.Client
	}
	coalesced := newCoalescer(conn)
	mux, err := open(coalesced, settings)
	if err != nil {
		return nil, err
	}
	s := &Session{
		conn: coalesced,
		mux:  mux,
		out:  make(chan *wirepb.Envelope, controlBacklog),
		ages: newAges(time.Now()),
		done: make(chan struct{}),
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

func (s *Session) exchange(self *wirepb.Hello) error {
	s.reader = bufio.NewReader(s.control)
	if err := s.control.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	hello := proto.CloneOf(self)
	hello.Protocol = Protocol
	if _, err := protodelim.MarshalTo(s.control, hello); err != nil {
		return err
	}
	s.peer = &wirepb.Hello{}
	if err := decode(s.reader, s.peer); err != nil {
		return err
	}
	if s.peer.GetProtocol() != Protocol {
		return fmt.Errorf("%w: %d", ErrProtocol, s.peer.GetProtocol())
	}
	return s.control.SetDeadline(time.Time{})
}

// Peer returns what the peer said of itself.
func (s *Session) Peer() *wirepb.Hello { return s.peer }

// Send queues a control message. A peer that doesn't read loses the session.
func (s *Session) Send(message *wirepb.Envelope) {
	select {
	case s.out <- s.ages.stamped(time.Now(), message):
	case <-s.done:
	default:
		s.Close()
	}
}

// Run passes control messages to handle until the session ends or ctx does,
// then closes Done and returns the cause.
func (s *Session) Run(ctx context.Context, handle func(*wirepb.Envelope)) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	written := make(chan error, 1)
	go func() { written <- s.write() }()
	err := s.read(handle)
	s.Close()
	err = errors.Join(err, <-written)
	_ = s.mux.Close() // the peer sees the end either way
	<-s.conn.done
	return err
}

// Close ends the session. It may be called more than once. It closes only the
// connection, at which the multiplexer ends by itself: while that is told to
// end and not yet done, readers of its streams poll without pause.
func (s *Session) Close() {
	s.close.Do(func() {
		close(s.done)
		_ = s.conn.Close() // the peer sees the end either way
	})
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

func (s *Session) read(handle func(*wirepb.Envelope)) error {
	for {
		message := &wirepb.Envelope{}
		if err := decode(s.reader, message); err != nil {
			return err
		}
		s.ages.received(time.Now(), message)
		handle(message)
	}
}

func (s *Session) write() error {
	writer := bufio.NewWriter(s.control)
	for {
		select {
		case <-s.done:
			return nil
		case message := <-s.out:
			if _, err := protodelim.MarshalTo(writer, message); err != nil {
				return err
			}
			if len(s.out) > 0 {
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

// decode reads one delimited message.
func decode(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}
