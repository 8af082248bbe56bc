package http1_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/http1"
)

const (
	soundHead   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	interimHead = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
)

// readers are the ways in which the bytes of a response may arrive.
var readers = map[string]func(string) io.Reader{
	"at once":      func(text string) io.Reader { return strings.NewReader(text) },
	"byte by byte": func(text string) io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
	"by halves":    func(text string) io.Reader { return iotest.HalfReader(strings.NewReader(text)) },
}

// conn is a connection on which a response arrives.
type conn struct {
	net.Conn
	io.Reader
}

func (c conn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c conn) Write(p []byte) (int, error) { return len(p), nil }

// soundHeads are heads that must be read as they are.
var soundHeads = map[string]string{
	"answer":               soundHead,
	"version 1.0":          "HTTP/1.0 200 OK\r\n\r\n",
	"no reason":            "HTTP/1.1 404\r\n\r\n",
	"no headers":           "HTTP/1.1 599 X\r\n\r\n",
	"empty lines before":   "\r\n\r\n" + soundHead,
	"line feeds alone":     "HTTP/1.1 200 OK\nA: b\r\n\r\n",
	"colon in a value":     "HTTP/1.1 200 OK\r\nA: b:c d\r\n\r\n",
	"empty value":          "HTTP/1.1 200 OK\r\nA:\r\n\r\n",
	"each byte of a token": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0AZaz: b\r\n\r\n",
	"long lines":           "HTTP/1.1 200 " + strings.Repeat("x", 900) + "\r\nA: " + strings.Repeat("y: ", 300) + "\r\n\r\n",
}

// Guards against reading a head that the protocol doesn't allow as a sound one.
func TestMalformedHeadIsRejected(t *testing.T) {
	for name, head := range fakes.MalformedHeads() {
		head += "\r\n"
		for way, reader := range readers {
			if err := http1.ReadHead(new(fasthttp.ResponseHeader), bufio.NewReader(reader(head+"ok"))); err == nil {
				t.Errorf("%s, %s: was read", name, way)
			}
			r := bufio.NewReader(http1.NewConn(conn{Reader: reader(head + "ok")}))
			if err := new(fasthttp.ResponseHeader).Read(r); err == nil {
				t.Errorf("%s, %s: was read from a connection", name, way)
			}
			r = bufio.NewReader(http1.NewConn(conn{Reader: reader(interimHead + head + "ok")}))
			if err := errors.Join(new(fasthttp.ResponseHeader).Read(r), new(fasthttp.ResponseHeader).Read(r)); err == nil {
				t.Errorf("%s, %s: was read from a connection after another head", name, way)
			}
		}
	}
}

// A sound head is read to its end and not beyond, and a connection passes on what it gets.
func TestSoundHeadIsRead(t *testing.T) {
	for name, head := range soundHeads {
		for way, reader := range readers {
			r := bufio.NewReader(reader(head + "ok"))
			if err := http1.ReadHead(new(fasthttp.ResponseHeader), r); err != nil {
				t.Errorf("%s, %s: %v", name, way, err)
			}
			if rest, _ := io.ReadAll(r); string(rest) != "ok" {
				t.Errorf("%s, %s: %q follows, want ok", name, way, rest)
			}
			for _, text := range []string{head + "ok\nA B: c\r\n\r\n", interimHead + interimHead + head + "ok"} {
				if got, err := readConn(reader(text)); got != text || err != nil {
					t.Errorf("%s, %s: %q was read (%v), want %q", name, way, got, err, text)
				}
			}
		}
	}
}

// readConn reads a response from a connection that checks heads.
func readConn(r io.Reader) (string, error) {
	got, err := io.ReadAll(http1.NewConn(conn{Reader: r}))
	return string(got), err
}

// Guards against checking only the first response on a connection that is kept.
func TestEachResponseOnConnectionIsChecked(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = far.Read(make([]byte, 1))
		_, _ = io.WriteString(far, soundHead+"ok")
		_, _ = far.Read(make([]byte, 1))
		_, _ = io.WriteString(far, "HTTP/1.1 000 OK\r\n\r\n")
		_ = far.Close()
	}()
	c := http1.NewConn(near)
	_, _ = c.Write([]byte("1"))
	if _, err := io.ReadFull(c, make([]byte, len(soundHead+"ok"))); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write([]byte("2"))
	if rest, err := io.ReadAll(c); !errors.Is(err, http1.ErrMalformed) {
		t.Errorf("%q was read (%v), want an error", rest, err)
	}
}

// Guards against a head that the parser ends elsewhere than the check, so that the lines between go
// unchecked, and against a check that fails on any input.
func FuzzReadHead(f *testing.F) {
	for _, head := range soundHeads {
		f.Add(head)
	}
	for _, head := range fakes.MalformedHeads() {
		f.Add(head + "\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReader(strings.NewReader(text))
		h := new(fasthttp.ResponseHeader)
		if http1.ReadHead(h, r) != nil {
			return
		}
		rest, _ := io.ReadAll(r)
		head := strings.TrimLeft(strings.TrimSuffix(text, string(rest)), "\r\n")
		end := strings.Index(strings.ReplaceAll(head, "\r\n", "\n"), "\n\n")
		if length := len(strings.ReplaceAll(head, "\r\n", "\n")); end != length-len("\n\n") {
			t.Errorf("the head %q of %q isn't a whole one", head, text)
		}
		if status := h.StatusCode(); status < 100 || status > 599 {
			t.Errorf("the status of %q is %d", text, status)
		}
	})
}
