// Package load implements an open-loop load generator. It sends requests at a fixed
// mean rate, whether or not the responses keep up, and measures latencies from the
// time at which each request was due.
package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// Plan describes the requests to send.
type Plan struct {
	// URLs are used in round-robin order.
	URLs   []string
	Method string
	// Headers are pairs of a name and a value.
	Headers [][2]string
	Body    []byte
	// RatePerSecond is the mean rate of requests. The intervals between them are
	// exponentially distributed.
	RatePerSecond float64
	Duration      time.Duration
	Timeout       time.Duration
	Seed          uint64
}

// Report summarizes the responses.
type Report struct {
	Sent int `json:"sent"`
	// Statuses counts responses by HTTP status. Requests without a response are
	// counted as status 0.
	Statuses map[int]int `json:"statuses"`
	// Verdicts counts responses by their Dogwoodfold-Verdict header.
	Verdicts map[string]int `json:"verdicts"`
	// Truncated counts responses whose body could not be read to its end.
	Truncated int `json:"broken"`
	// Events counts the server-sent events of streams.
	Events  int           `json:"events"`
	Elapsed time.Duration `json:"elapsed"`
	// FirstByte and Total are the latencies, in microseconds, of complete
	// responses with status 200 up to the first and last byte of the body.
	// EventGap is the mean time between the events of a stream.
	FirstByte *hdrhistogram.Histogram `json:"-"`
	Total     *hdrhistogram.Histogram `json:"-"`
	EventGap  *hdrhistogram.Histogram `json:"-"`
}

const (
	// maxLatencyMicros and significantDigits are the range and the precision of the
	// histograms.
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxConns          = 16 << 10
	readBufferBytes   = 16 << 10
)

// Generator executes plans.
type Generator struct {
	client *fasthttp.Client
}

// New returns a generator with its own connection pool.
func New() *Generator {
	return &Generator{client: &fasthttp.Client{
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Run sends the requests of a plan and waits for all responses. It stops sending
// early if ctx is done.
func (g *Generator) Run(ctx context.Context, p Plan) *Report {
	r := newReport()
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	started := time.Now()
	var mu sync.Mutex
	var pending sync.WaitGroup
	due := started
	for due.Sub(started) < p.Duration && ctx.Err() == nil {
		time.Sleep(time.Until(due))
		url, dueAt := p.URLs[r.Sent%len(p.URLs)], due
		r.Sent++
		pending.Go(func() {
			res := g.send(p, url, dueAt)
			mu.Lock()
			defer mu.Unlock()
			r.add(res)
		})
		due = due.Add(time.Duration(rng.ExpFloat64() / p.RatePerSecond * float64(time.Second)))
	}
	pending.Wait()
	r.Elapsed = time.Since(started)
	return r
}

// newReport returns a report of no requests.
func newReport() *Report {
	return &Report{
		Statuses:  make(map[int]int),
		Verdicts:  make(map[string]int),
		FirstByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Total:     hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		EventGap:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// result describes the response to one request.
type result struct {
	status    int
	verdict   string
	events    int
	truncated bool
	firstByte time.Duration
	total     time.Duration
}

// add counts the response to one request.
func (r *Report) add(res result) {
	r.Statuses[res.status]++
	r.Verdicts[res.verdict]++
	r.Events += res.events
	if res.truncated {
		r.Truncated++
		return
	}
	if res.status != fasthttp.StatusOK {
		return
	}
	record(r.FirstByte, res.firstByte)
	record(r.Total, res.total)
	if res.events > 1 {
		record(r.EventGap, (res.total-res.firstByte)/time.Duration(res.events-1))
	}
}

// record adds a latency to a histogram, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros)) // the value is always in range
}

// send sends one request and measures the response from the time at which the
// request was due.
func (g *Generator) send(p Plan, url string, due time.Time) result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(p.Method)
	req.SetRequestURI(url)
	for _, h := range p.Headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBodyRaw(p.Body)
	if err := g.client.DoTimeout(req, resp, p.Timeout); err != nil {
		return result{} // counted with status 0
	}
	res := result{
		status:  resp.StatusCode(),
		verdict: string(resp.Header.Peek("Dogwoodfold-Verdict")),
	}
	if body := resp.BodyStream(); body != nil { // else the status leaves it none
		res.read(body, due)
	}
	if err := resp.CloseBodyStream(); err != nil {
		res.truncated = true
	}
	return res
}

// read reads the body, counts its events, and records the latencies of its first
// and last byte.
func (r *result) read(body io.Reader, due time.Time) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 && r.firstByte == 0 {
			r.firstByte = time.Since(due)
		}
		r.events += bytes.Count(buffer[:n], []byte("\n\n"))
		if err != nil {
			r.truncated = !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
			break
		}
	}
	r.total = time.Since(due)
}
