// Package load sends requests at a fixed rate, whether or not the answers keep
// up, and measures them from the time at which each was due.
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

// Plan says what to send.
type Plan struct {
	// URLs are tried in turn.
	URLs    []string
	Method  string
	Headers [][2]string
	Body    []byte
	// RatePerSecond is the mean rate of requests, with exponential gaps.
	RatePerSecond float64
	Duration      time.Duration
	Timeout       time.Duration
	Seed          uint64
}

// Report is what came back.
type Report struct {
	Sent int `json:"sent"`
	// Statuses counts answers by HTTP status, 0 for none at all.
	Statuses map[int]int `json:"statuses"`
	// Verdicts counts answers by the header Dogwoodfold-Verdict.
	Verdicts map[string]int `json:"verdicts"`
	// Truncated counts answers that began with status 200 and were cut.
	Truncated int `json:"broken"`
	// Events counts the events of streams.
	Events  int           `json:"events"`
	Elapsed time.Duration `json:"elapsed"`
	// FirstByte and Whole are latencies of answers with status 200 in
	// microseconds, Between the mean gap between events of a stream.
	FirstByte *hdrhistogram.Histogram `json:"-"`
	Total     *hdrhistogram.Histogram `json:"-"`
	EventGap  *hdrhistogram.Histogram `json:"-"`
}

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxConns          = 16 << 10
	readBufferBytes   = 16 << 10
)

// Generator carries out plans.
type Generator struct {
	client *fasthttp.Client
}

// New returns a driver with its own connections.
func New() *Generator {
	return &Generator{client: &fasthttp.Client{
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Run sends the plan's requests and waits for all answers. The plan ends early
// with ctx.
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

func newReport() *Report {
	return &Report{
		Statuses:  make(map[int]int),
		Verdicts:  make(map[string]int),
		FirstByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Total:     hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		EventGap:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// result is one answer.
type result struct {
	status    int
	verdict   string
	events    int
	truncated bool
	firstByte time.Duration
	total     time.Duration
}

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

// record adds a latency; one beyond the histogram's range counts as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros)) // never out of range
}

// send makes one request that was due at a time.
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
		return result{}
	}
	res := result{
		status:  resp.StatusCode(),
		verdict: string(resp.Header.Peek("Dogwoodfold-Verdict")),
	}
	res.read(resp.BodyStream(), due)
	if err := resp.CloseBodyStream(); err != nil {
		res.truncated = true
	}
	return res
}

// read takes the body and notes when its parts came.
func (r *result) read(body io.Reader, due time.Time) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 && r.firstByte == 0 {
			r.firstByte = time.Since(due)
		}
		r.events += bytes.Count(buffer[:n], []byte("\n\n"))
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			r.truncated = true
			break
		}
	}
	r.total = time.Since(due)
}
