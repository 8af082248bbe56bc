// Package crowd tests that processes of the program stay within their memory and
// descriptors while many uncontrolled clients are connected. Each test starts a process
// whose settings allow it little, so that a small crowd suffices. Tests run one at a time.
package crowd

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	// The program is built by its own command: without this import, a result would be taken
	// from the cache after the program has changed.
	_ "dogwoodfold/internal/cmds"
)

const (
	mebibyte  = 1 << 20
	bodyBytes = 4 * mebibyte
	// sendTime bounds the time in which the clients of a crowd send what they send, stayTime
	// is how long the crowd stays connected afterwards.
	sendTime = 8 * time.Second
	stayTime = time.Second
	// pauseBeforeRetry is the time after which a client that was refused comes again.
	pauseBeforeRetry = 20 * time.Millisecond
	// clientVisits is how often a client that was refused connects in all.
	clientVisits = 4
	// answerTime bounds the wait for an answer to an ordinary request after the crowd.
	answerTime = 30 * time.Second
)

// programPath is the path of the binary under test.
var programPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program once for all tests, runs them and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dogwoodfold")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "dogwoodfold")
	build := exec.Command("go", "build", "-o", programPath, "dogwoodfold/cmd/dogwoodfold")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// requestHead returns a request line and header lines without those that frame the body
// and without the empty line at the end. Each call returns new IDs and keys.
type requestHead func(method, path string) string

// client is one client of a crowd.
type client struct {
	conn net.Conn
	// number distinguishes the clients of a crowd.
	number int
	head   requestHead
	// sent is called once the client has sent what it sends.
	sent func()
	// done is closed when the crowd ends.
	done <-chan struct{}
}

func (c *client) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// stay keeps the connection open, reading nothing, until the process closes it or the
// crowd ends.
func (c *client) stay() {
	c.sent()
	for !c.ended() {
		time.Sleep(50 * time.Millisecond)
		_ = c.conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		if connClosed(c.conn) {
			return
		}
	}
}

// write sends p and reports whether the connection still accepts bytes.
func (c *client) write(p []byte) bool {
	for !c.ended() {
		_ = c.conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := c.conn.Write(p)
		p = p[n:]
		if len(p) == 0 {
			return true
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return false
}

func (c *client) writeString(s string) bool { return c.write([]byte(s)) }

// connClosed reports whether the peer has closed a connection.
func connClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	var p [512]byte
	_, err := conn.Read(p[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// act is what a client does on one connection. It returns when it has nothing more to do
// or the connection is closed.
type act func(c *client)

// kind is a kind of uncontrolled client, and how many of them make a crowd.
type kind struct {
	name    string
	clients int
	act     act
}

var zeros = make([]byte, bodyBytes)

// stalledChunks sends a chunked body of bodyBytes in chunks of a size, all but the last
// byte, and stays.
func stalledChunks(chunk int) act {
	return func(c *client) {
		var part bytes.Buffer
		for sent := 0; sent+chunk < bodyBytes && part.Len() < 64<<10; sent += chunk {
			fmt.Fprintf(&part, "%x\r\n%s\r\n", chunk, zeros[:chunk])
		}
		perPart := part.Len() / (chunk + len(fmt.Sprintf("%x", chunk)) + 4) * chunk
		ok := c.writeString(c.head("POST", bodyPath) + "Transfer-Encoding: chunked\r\n\r\n")
		sent := 0
		for ; ok && sent+perPart < bodyBytes; sent += perPart {
			ok = c.write(part.Bytes())
		}
		if rest := bodyBytes - 1 - sent; ok && rest > 0 {
			ok = c.writeString(fmt.Sprintf("%x\r\n", rest)) && c.write(zeros[:rest]) && c.writeString("\r\n1\r\n")
		}
		if ok {
			c.stay()
		}
	}
}

// stalledLength sends a body of declared length, all but the last byte, and stays.
func stalledLength(c *client) {
	if c.writeString(c.head("POST", bodyPath)+"Content-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n") && c.write(zeros[:bodyBytes-1]) {
		c.stay()
	}
}

// endlessChunks sends a chunked body without end.
func endlessChunks(c *client) {
	ok := c.writeString(c.head("POST", bodyPath) + "Transfer-Encoding: chunked\r\n\r\n")
	for ok {
		ok = c.writeString("10000\r\n") && c.write(zeros[:64<<10]) && c.writeString("\r\n")
	}
}

// tooLongDeclared sends a body of 16 times the limit with its length.
func tooLongDeclared(c *client) {
	ok := c.writeString(c.head("POST", bodyPath) + "Content-Length: " + strconv.Itoa(16*bodyBytes) + "\r\n\r\n")
	for sent := 0; ok && sent < 16*bodyBytes; sent += bodyBytes {
		ok = c.write(zeros)
	}
	if ok {
		c.stay()
	}
}

// pipelined sends requests with new IDs and keys and reads no response.
func pipelined(c *client) {
	for range 400 {
		if !c.writeString(c.head("GET", answerPath) + "\r\n") {
			return
		}
	}
	c.stay()
}

// byteReader sends requests and reads the responses a byte at a time.
func byteReader(c *client) {
	if !c.writeString(c.head("GET", answerPath) + "\r\n" + c.head("GET", answerPath) + "\r\n") {
		return
	}
	c.sent()
	var p [1]byte
	for !c.ended() {
		_ = c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.conn.Read(p[:])
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// endlessHeader sends 15 KB of a request header and then goes on by a byte at a time.
func endlessHeader(c *client) {
	if !c.writeString(c.head("POST", bodyPath) + "X-Filler: " + strings.Repeat("a", 15<<10)) {
		return
	}
	c.sent()
	for !c.ended() && c.writeString("a") && !connClosed(c.conn) {
		time.Sleep(100 * time.Millisecond)
	}
}

// idle sends nothing.
func idle(c *client) { c.stay() }

// kinds are the kinds of clients with which each test crowds a process. Their numbers and
// the bounds below were set before anything bounded the memory of a process.
var kinds = []kind{
	{"stalled large chunks", 48, stalledChunks(64 << 10)},
	{"stalled chunks of a byte", 32, stalledChunks(1)},
	{"stalled declared length", 48, stalledLength},
	{"endless chunks", 48, endlessChunks},
	{"too long declared", 48, tooLongDeclared},
	{"pipelined unread", 100, pipelined},
	{"reads a byte at a time", 100, byteReader},
	{"endless headers", 600, endlessHeader},
	{"idle", 600, idle},
	{"mixed", 128, mixed},
}

// mixed is each of the other kinds in turn, by the client's number.
func mixed(c *client) {
	acts := []act{
		stalledChunks(64 << 10), stalledLength, endlessChunks, stalledChunks(1),
		tooLongDeclared, pipelined, byteReader, endlessHeader, idle, stalledLength,
	}
	acts[c.number%len(acts)](c)
}

// run connects a crowd to an address until stayTime after its clients have sent what they
// send.
func (k *kind) run(address string, head requestHead) {
	done := make(chan struct{})
	var group, sending sync.WaitGroup
	for number := range k.clients {
		sending.Add(1)
		sent := sync.OnceFunc(sending.Done)
		group.Go(func() {
			defer sent()
			for range clientVisits {
				conn, err := net.DialTimeout("tcp4", address, time.Second)
				if err == nil {
					k.act(&client{conn: conn, number: number, head: head, sent: sent, done: done})
					_ = conn.Close()
				}
				select {
				case <-done:
					return
				case <-time.After(pauseBeforeRetry):
				}
			}
		})
	}
	allSent := make(chan struct{})
	go func() {
		defer close(allSent)
		sending.Wait()
	}()
	select {
	case <-allSent:
		time.Sleep(stayTime)
	case <-time.After(sendTime):
	}
	close(done)
	group.Wait()
}

// watched is a process under test.
type watched struct {
	cmd    *exec.Cmd
	exited atomic.Bool
	// most is the highest number of open descriptors that was seen.
	most atomic.Int64
	stop chan struct{}
	idle sync.WaitGroup
}

// start runs the program and counts its descriptors until the end of the test.
func start(t *testing.T, stdout io.Writer, args ...string) *watched {
	t.Helper()
	p := &watched{cmd: exec.Command(programPath, args...), stop: make(chan struct{})}
	logPath := filepath.Join(t.TempDir(), "log")
	logFile, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		_ = p.cmd.Wait()
		p.exited.Store(true)
	}()
	p.idle.Go(func() {
		for {
			select {
			case <-p.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if entries, err := os.ReadDir(p.procPath("fd")); err == nil {
				p.most.Store(max(p.most.Load(), int64(len(entries))))
			}
		}
	})
	t.Cleanup(func() {
		close(p.stop)
		p.idle.Wait()
		_ = p.cmd.Process.Kill()
		<-waited
		_ = logFile.Close()
		if t.Failed() && p.cmd.Stdout == logFile {
			text, _ := os.ReadFile(logPath)
			t.Logf("end of the log of %s:\n%s", args[0], text[max(0, len(text)-1500):])
		}
	})
	return p
}

func (p *watched) procPath(file string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), file)
}

// peakMB returns the process's peak resident memory in MB, 0 if it has ended.
func (p *watched) peakMB() int {
	status, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kilobytes >> 10
}

// check checks that the process lives and has stayed under its bounds.
func (p *watched) check(t *testing.T, name string, memoryMB, descriptors int) {
	t.Helper()
	if p.exited.Load() {
		t.Errorf("%s: the process has ended", name)
		return
	}
	peak, most := p.peakMB(), int(p.most.Load())
	t.Logf("%s: peak %d MB of %d, descriptors %d of %d", name, peak, memoryMB, most, descriptors)
	if peak > memoryMB {
		t.Errorf("%s: peak memory %d MB, %d allowed", name, peak, memoryMB)
	}
	if most > descriptors {
		t.Errorf("%s: %d open descriptors, %d allowed", name, most, descriptors)
	}
}

// eventually polls until a condition holds, and fails the test after answerTime.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(answerTime); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", answerTime, what)
		}
	}
}

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
