package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stand-in of a sound upstream. It runs slots requests at a time, queues queue
// more and turns away the others with Not-Executed.
type upstream struct {
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	work    time.Duration
	// bodyBytes is the size of its response bodies.
	bodyBytes int
	born      int64
	record    *record

	running chan struct{}
	waiting atomic.Int32
}

func (u *upstream) start() error {
	u.running = make(chan struct{}, u.slots)
	u.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: u, IdleTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

// register writes the entry of the upstream into the store about every heartbeat.
func (u *upstream) register(s *store) {
	for sequence := 1; ; sequence++ {
		s.put("servers/"+u.id, map[string]any{
			"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
			"state": "ready", "coldRemainingS": 0, "sequence": sequence, "born": u.born,
		})
		time.Sleep(1500 * time.Millisecond)
	}
}

func signature(id, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id+" "+body)
	return fmt.Sprintf("%016x", h.Sum64())
}

func (u *upstream) body(id string) string {
	text := id + " " + u.id + " "
	return text + strings.Repeat("x", max(0, u.bodyBytes-len(text)))
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(u.running), u.waiting.Load(), u.slots))
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", u.id)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		h.Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(u.waiting.Load()) >= u.queue {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	u.waiting.Add(1)
	select {
	case u.running <- struct{}{}:
		u.waiting.Add(-1)
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	defer func() { <-u.running }()
	u.record.ran(id)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	body := u.body(id)
	h.Set("Response-Signature", signature(id, body))
	_, _ = io.WriteString(w, body)
}

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file io.Writer
	runs map[string]int
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

func (r *record) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
