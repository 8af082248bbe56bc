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
	// Broken counts answers that began with status 200 and were cut.
	Broken int `json:"broken"`
	// Events counts the events of streams.
	Events  int           `json:"events"`
	Elapsed time.Duration `json:"elapsed"`
	// FirstByte and Whole are latencies of answers with status 200 in
	// microseconds, Between the mean gap between events of a stream.
	FirstByte *hdrhistogram.Histogram `json:"-"`
	Whole     *hdrhistogram.Histogram `json:"-"`
	Between   *hdrhistogram.Histogram `json:"-"`
}

const (
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
	maxConns      = 16 << 10
	readChunk     = 16 << 10
)

// Driver carries out plans.
type Driver struct {
	client *fasthttp.Client
}

// New returns a driver with its own connections.
func New() *Driver {
	return &Driver{client: &fasthttp.Client{
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Run sends the plan's requests and waits for all answers. The plan ends early
// with ctx.
func (d *Driver) Run(ctx context.Context, p Plan) *Report {
	r := newReport()
	random := rand.New(rand.NewPCG(p.Seed, 0))
	started := time.Now()
	var mu sync.Mutex
	var answers sync.WaitGroup
	due := started
	for due.Sub(started) < p.Duration && ctx.Err() == nil {
		time.Sleep(time.Until(due))
		url, at := p.URLs[r.Sent%len(p.URLs)], due
		r.Sent++
		answers.Go(func() {
			o := d.send(p, url, at)
			mu.Lock()
			defer mu.Unlock()
			r.add(o)
		})
		due = due.Add(time.Duration(random.ExpFloat64() / p.RatePerSecond * float64(time.Second)))
	}
	answers.Wait()
	r.Elapsed = time.Since(started)
	return r
}

func newReport() *Report {
	return &Report{
		Statuses:  make(map[int]int),
		Verdicts:  make(map[string]int),
		FirstByte: hdrhistogram.New(1, longestMicros, digits),
		Whole:     hdrhistogram.New(1, longestMicros, digits),
		Between:   hdrhistogram.New(1, longestMicros, digits),
	}
}

// outcome is one answer.
type outcome struct {
	status  int
	verdict string
	events  int
	broken  bool
	first   time.Duration
	whole   time.Duration
}

func (r *Report) add(o outcome) {
	r.Statuses[o.status]++
	r.Verdicts[o.verdict]++
	r.Events += o.events
	if o.broken {
		r.Broken++
		return
	}
	if o.status != fasthttp.StatusOK {
		return
	}
	record(r.FirstByte, o.first)
	record(r.Whole, o.whole)
	if o.events > 1 {
		record(r.Between, (o.whole-o.first)/time.Duration(o.events-1))
	}
}

// record adds a latency; one beyond the histogram's range counts as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), longestMicros)) // never out of range
}

// send makes one request that was due at a time.
func (d *Driver) send(p Plan, url string, due time.Time) outcome {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(p.Method)
	request.SetRequestURI(url)
	for _, h := range p.Headers {
		request.Header.Set(h[0], h[1])
	}
	request.SetBodyRaw(p.Body)
	if err := d.client.DoTimeout(request, response, p.Timeout); err != nil {
		return outcome{}
	}
	o := outcome{
		status:  response.StatusCode(),
		verdict: string(response.Header.Peek("Dogwoodfold-Verdict")),
	}
	o.read(response.BodyStream(), due)
	if err := response.CloseBodyStream(); err != nil {
		o.broken = true
	}
	return o
}

// read takes the body and notes when its parts came.
func (o *outcome) read(body io.Reader, due time.Time) {
	buffer := make([]byte, readChunk)
	for {
		n, err := body.Read(buffer)
		if n > 0 && o.first == 0 {
			o.first = time.Since(due)
		}
		o.events += bytes.Count(buffer[:n], []byte("\n\n"))
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			o.broken = true
			break
		}
	}
	o.whole = time.Since(due)
}
