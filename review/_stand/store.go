package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	keyConfig     = "config"

	// storeLatency is how long the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// maxReadKB is the size of the records in one answer to log-read.
	maxReadKB = 1024
	// maxPageItems and maxPageBytes bound one page of log-newest.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// store is a stand-in of the platform's store. All topics are keyed and have one partition.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	// appended is closed and replaced whenever a record is appended.
	appended chan struct{}
	// serversRead receives the name of a gateway, if there is a receiver, after an answer to its
	// read of the workers' entries.
	serversRead chan string
}

func newStore() *store {
	return &store{
		topics:   make(map[string][][]byte),
		appended: make(chan struct{}),

		serversRead: make(chan string),
	}
}

// put appends a record for a key, as the operator and the workers do, and returns its size.
func (s *store) put(topic, key string, value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	record := append(append([]byte{byte(len(key))}, key...), data...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, record)
	return len(record)
}

// remove removes a key.
func (s *store) remove(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, append([]byte{byte(len(key))}, key...))
}

func (s *store) append(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve("", w, r) }

// address serves the store to a gateway on a port of its own and returns the address.
func (s *store) address(gateway string) string {
	return serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(gateway, w, r) }))
}

func (s *store) serve(gateway string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	w.Header().Set("Store-Era", "0")
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, topic, query.Get("at"))
	case "/v1/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		kb, err := strconv.Atoi(query.Get("maxKb"))
		if err != nil || kb > maxReadKB {
			kb = maxReadKB
		}
		s.serveRead(w, topic, from, kb<<10, time.Duration(wait)*time.Millisecond)
		if topic == topicServers {
			w.(http.Flusher).Flush()
			select {
			case s.serversRead <- gateway:
			default:
			}
		}
	case "/v1/log-newest":
		s.serveNewest(w, topic, query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for _, record := range records {
		s.append(topic, record)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": end + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, topic string, from, limit int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, appended := s.topics[topic], s.appended
		s.mu.Unlock()
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(records) {
			writeRecords(w, len(records), records[from:], limit)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeRecords(w, len(records), nil, limit)
			return
		}
	}
}

// writeRecords answers log-read with as many of the records as the limit in bytes allows, the
// first one in any case.
func writeRecords(w http.ResponseWriter, end int, records [][]byte, limit int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	size := 0
	for i, record := range records {
		size += 4 + len(record)
		if i > 0 && size > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := make(map[string]int)
	for i, record := range records {
		newest[string(record[1:1+int(record[0])])] = i
	}
	keys := make([]string, 0, len(newest))
	for key := range newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items, size, truncated := []item{}, 0, false
	for _, key := range keys {
		record := records[newest[key]]
		value := record[1+len(key):]
		if key <= after || len(value) == 0 {
			continue
		}
		size += len(value)
		if len(items) > 0 && (len(items) == maxPageItems || size > maxPageBytes) {
			truncated = true
			break
		}
		items = append(items, item{
			Key:    key,
			Value:  base64.StdEncoding.EncodeToString(value),
			Offset: newest[key],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
