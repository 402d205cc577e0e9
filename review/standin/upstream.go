package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that reached an upstream and began to run there.
type run struct {
	id, upstream, service, path, tenant string
	arrived, began, ended               time.Time
	// complete says that the run came to its end and its answer was written, dropped that
	// the channel closed before.
	complete, dropped bool
}

// entry is what an upstream says of itself in the store.
type entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	Cold     float64 `json:"-"`
	Sequence int64   `json:"sequence"`
	Born     int64   `json:"born"`
}

// MarshalJSON adds the field whose name is in names.json.
func (e entry) MarshalJSON() ([]byte, error) {
	type plain entry
	raw, err := json.Marshal(plain(e))
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(raw[:len(raw)-1], ",%q:%g}", names["cold"], e.Cold), nil
}

// upstream is a stand-in of an upstream. It runs up to slots requests at a time, queues as
// many more, and refuses the rest as not run.
type upstream struct {
	w        *world
	id       string
	work     time.Duration
	slots    chan struct{}
	queue    chan struct{}
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	entry entry
	// leaving says that all answers have Server-Leaving: 1.
	leaving   bool
	leavingAt time.Time
	silent    bool
	padding   int
	patient   bool
	gone      bool
	wake      chan struct{}
	// nextReport is when the upstream next writes to the store, if that is set.
	nextReport time.Time
}

const heartbeat = 1500 * time.Millisecond

func (w *world) newUpstream(id, service, zone string, slots int, work time.Duration) *upstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	u := &upstream{w: w, id: id, work: work, slots: make(chan struct{}, slots), queue: make(chan struct{}, 3*slots), listener: l, wake: make(chan struct{}, 1)}
	u.entry = entry{Service: service, Address: l.Addr().String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(l) }()
	go u.report()
	return u
}

// report keeps the upstream's entry in the store. The entry changes when more than the
// sequence does. While the store is away, it tries again every 100 ms, or at its next
// status report if patient is set.
func (u *upstream) report() {
	// The upstreams write at different moments.
	first := rand.N(heartbeat)
	for {
		u.mu.Lock()
		e, stopped, next, patient := u.entry, u.gone || u.silent, u.nextReport, u.patient
		u.mu.Unlock()
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
			continue
		}
		if stopped {
			return
		}
		pause := heartbeat
		if first > 0 {
			pause, first = first, 0
		}
		same, answers := u.w.store.has("servers/"+u.id, e)
		if answers && !same {
			_, answers = u.w.store.put("servers/"+u.id, e)
		}
		if !answers && !patient {
			pause = 100 * time.Millisecond
		}
		select {
		case <-u.wake:
		case <-time.After(pause):
		}
	}
}

// drain reports the upstream as draining. It returns when the store has accepted that.
func (u *upstream) drain() time.Time {
	u.mu.Lock()
	u.entry.State = "draining"
	e := u.entry
	u.mu.Unlock()
	for {
		if at, ok := u.w.store.put("servers/"+u.id, e); ok {
			return at
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// leave removes the upstream's entry. It serves on, and may say in its answers that it leaves.
func (u *upstream) leave(says bool) {
	u.mu.Lock()
	u.silent, u.leaving = true, says
	u.mu.Unlock()
	u.w.store.remove("servers/" + u.id)
}

// end ends the upstream: its entry is removed and its channels close.
func (u *upstream) end() {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	u.w.store.remove("servers/" + u.id)
	_ = u.server.Close()
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", len(u.slots), len(u.queue), cap(u.slots))
}

func (u *upstream) serve(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h := rw.Header()
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	u.mu.Lock()
	e, leaving := u.entry, u.leaving
	u.mu.Unlock()
	h.Set("Instance-Id", u.id)
	h.Set(names["load"], u.load())
	h.Set("Keep-Alive", "timeout=10")
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		if e.State != "ready" || leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get(names["expected"]); want != "" && want != u.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(status int) {
		h.Set(names["notRun"], "1")
		rw.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(names["timeLeft"])); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	timeout := time.After(limit)
	select {
	case u.queue <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		<-u.queue
	case <-timeout:
		<-u.queue
		refuse(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		<-u.queue
		return
	}
	defer func() { <-u.slots }()
	run := &run{id: id, upstream: u.id, service: e.Service, path: r.URL.Path, tenant: r.Header.Get("Tenant"), arrived: arrived, began: time.Now()}
	u.w.mu.Lock()
	u.w.runs = append(u.w.runs, run)
	u.w.byID[id] = append(u.w.byID[id], run)
	u.w.mu.Unlock()
	finish := func(complete, dropped bool) {
		u.w.mu.Lock()
		run.ended, run.complete, run.dropped = time.Now(), complete, dropped
		u.w.mu.Unlock()
	}
	select {
	case <-time.After(u.work):
	case <-timeout:
		rw.WriteHeader(http.StatusGatewayTimeout)
		finish(false, false)
		return
	case <-r.Context().Done():
		finish(false, true)
		return
	}
	h.Set(names["signature"], "sig-"+id)
	h.Set(names["load"], u.load())
	body := "done by " + u.id + " for " + id + strings.Repeat("x", u.padding)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(rw, body)
	finish(err == nil, err != nil)
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []run
	for _, r := range w.byID[id] {
		list = append(list, *r)
	}
	return list
}
