package fakes

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
)

// Log is a fake of the platform's log.
type Log struct {
	fakeServer
	retention time.Duration

	stateMu sync.Mutex
	streams map[string]*stream
}

// stream holds the retained records of a stream. The channel appended is closed
// and replaced at each append.
type stream struct {
	first    uint64
	records  []plat.Record
	appended chan struct{}
}

const (
	maxReadWait    = 5 * time.Second
	maxPageRecords = 1000
)

// NewLog returns an empty log that retains records for the given time, or
// indefinitely if it is zero.
func NewLog(retention time.Duration) *Log {
	return &Log{
		retention: retention,
		streams:   make(map[string]*stream),
	}
}

// Handler returns the HTTP handler of the log.
func (l *Log) Handler() fasthttp.RequestHandler { return l.withFaults(l.handle) }

// handle serves the streams: POST appends a record, GET reads.
func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(ctx.Path()), "/streams/")
	if !ok || name == "" {
		ctx.NotFound()
		return
	}
	if ctx.IsPost() {
		l.append(ctx, name)
		return
	}
	l.read(ctx, name)
}

// appendResponse is the response body of an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

// append handles the append of a record to a stream.
func (l *Log) append(ctx *fasthttp.RequestCtx, name string) {
	data := append([]byte{}, ctx.PostBody()...)
	if !json.Valid(data) {
		ctx.Error("record is not JSON", fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, appendResponse{Offset: l.Append(name, data)})
}

// Append appends a record to a stream and returns its offset.
func (l *Log) Append(name string, data []byte) uint64 {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, plat.Record{
		Offset: offset,
		Time:   time.Now(),
		Data:   data,
	})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// stream returns a stream after removing its expired records. It creates the
// stream if there is none.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{
			first:    1,
			appended: make(chan struct{}),
		}
		l.streams[name] = s
	}
	for l.retention > 0 && len(s.records) > 0 && time.Since(s.records[0].Time) > l.retention {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

// read handles a read of a stream. Without a record it waits as long as the reader asks,
// up to maxReadWait.
func (l *Log) read(ctx *fasthttp.RequestCtx, name string) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		ctx.Error("from is not an offset", fasthttp.StatusBadRequest)
		return
	}
	wait := min(time.Duration(ctx.QueryArgs().GetUintOrZero("waitMs"))*time.Millisecond, maxReadWait)
	page, appended := l.page(name, from)
	if len(page.Records) == 0 && wait > 0 {
		select {
		case <-appended:
		case <-time.After(wait):
		}
		page, _ = l.page(name, from)
	}
	writeJSON(ctx, page)
}

// page returns the records from an offset on, and a channel that is closed at the
// next append to the stream.
func (l *Log) page(name string, from uint64) (plat.Page, <-chan struct{}) {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	s := l.stream(name)
	page := plat.Page{
		First:   s.first,
		Next:    s.first + uint64(len(s.records)),
		Records: []plat.Record{},
	}
	for _, r := range s.records {
		if r.Offset >= from && len(page.Records) < maxPageRecords {
			page.Records = append(page.Records, r)
		}
	}
	return page, s.appended
}
