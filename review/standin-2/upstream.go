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
// more and turns away the others with a header that says so.
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
	// leaving says that it leaves, as all its answers then say too. It writes nothing into the
	// store any more.
	leaving  atomic.Bool
	server   *http.Server
	sequence atomic.Int64
}

func (u *upstream) start() error {
	u.running = make(chan struct{}, u.slots)
	u.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	return nil
}

// register writes the entry of the upstream into the store about every heartbeat.
func (u *upstream) register(s *store) {
	for !u.leaving.Load() {
		u.sequence.Add(1)
		s.put("servers/"+u.id, u.entry())
		time.Sleep(1500 * time.Millisecond)
	}
}

func (u *upstream) entry() map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", names["cold"]: 0, "sequence": u.sequence.Load(), "born": u.born,
	}
}

// leave removes the entry of the upstream, which serves on until end.
func (u *upstream) leave(s *store) {
	u.leaving.Store(true)
	s.remove("servers/" + u.id)
}

// end ends the upstream: its channels close.
func (u *upstream) end() { _ = u.server.Close() }

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
	h.Set(names["load"], fmt.Sprintf("%d,%d,%d", len(u.running), u.waiting.Load(), u.slots))
	h.Set("Keep-Alive", "timeout=10")
	if u.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", u.id)
		if u.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != u.id {
		h.Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(u.waiting.Load()) >= u.queue {
		h.Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	arrived := time.Now()
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
	u.record.ran(id, u.id, arrived)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	body := u.body(id)
	h.Set(names["signature"], signature(id, body))
	_, _ = io.WriteString(w, body)
}

// run is one request that an upstream began to work on. at is when it reached the upstream.
type run struct {
	id, upstream string
	at           time.Time
}

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file io.Writer
	runs []run
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

func (r *record) ran(id, upstream string, arrived time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{id: id, upstream: upstream, at: arrived})
}

// runsOf returns the runs of each request.
func (r *record) runsOf() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string][]run)
	for _, x := range r.runs {
		all[x.id] = append(all[x.id], x)
	}
	return all
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.startedAt).Seconds() }
