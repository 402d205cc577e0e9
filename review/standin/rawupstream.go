package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rawUpstream is a stand-in of an upstream that writes its answers itself, so that it can
// send one of them a second time. It runs all requests at once.
type rawUpstream struct {
	w        *world
	id       string
	listener net.Listener
	entry    entry
	work     time.Duration

	// garbles is the share of its answers that it sends once more, late: at the point where
	// the next response on the channel is expected.
	garbles atomic.Pointer[float64]
	// spoils is the share of its answers to requests that it hands out with a wrong byte.
	spoils atomic.Pointer[float64]

	mu                 sync.Mutex
	running            int
	checks             int
	extra, extraChecks int
	spoiled            int
	answered           int
}

func (w *world) newRawUpstream(id, service, zone string, slots int, work time.Duration) *rawUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	u := &rawUpstream{w: w, id: id, listener: l, work: work}
	u.entry = entry{Service: service, Address: l.Addr().String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()}
	u.w.store.put("servers/"+id, u.entry)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *rawUpstream) garble(share float64) { u.garbles.Store(&share) }

// spoil lets the upstream hand out a share of its answers with one wrong byte.
func (u *rawUpstream) spoil(share float64) { u.spoils.Store(&share) }

// spoiled returns an answer with one wrong byte behind its status line.
func spoiled(answer []byte) []byte {
	wrong := bytes.Clone(answer)
	first := bytes.IndexByte(answer, '\n') + 1
	i := first + rand.N(len(answer)-first)
	for wrong[i] == answer[i] {
		wrong[i] = byte('!' + rand.N('~'-'!'))
	}
	return wrong
}

// serve answers the requests of one channel, one after the other.
func (u *rawUpstream) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte
	var lateOf string
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			// The extra answer comes where the answer to this request is expected.
			if _, err := c.Write(late); err != nil {
				return
			}
			u.mu.Lock()
			u.extra++
			if lateOf == "" {
				u.extraChecks++
			}
			u.mu.Unlock()
			u.w.note("%s: sent its answer to request %q once more, late, before its answer to request %q (a health check has no id)", u.id, lateOf, r.Header.Get("Request-Id"))
			late = nil
		}
		answer := u.answer(r, body)
		if share := u.spoils.Load(); share != nil && rand.Float64() < *share && r.Header.Get("Request-Id") != "" {
			answer = spoiled(answer)
			u.mu.Lock()
			u.spoiled++
			u.mu.Unlock()
			u.w.note("%s: spoiled its answer to request %q: %q", u.id, r.Header.Get("Request-Id"), answer)
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if share := u.garbles.Load(); share != nil && rand.Float64() < *share {
			late, lateOf = answer, r.Header.Get("Request-Id")
		}
	}
}

func (u *rawUpstream) load() string {
	return fmt.Sprintf("%d,0,%d", u.running, u.entry.Slots)
}

func (u *rawUpstream) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get("Request-Id")
	var b bytes.Buffer
	head := func(status int, text string, more ...string) []byte {
		fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), u.id)
		if id != "" {
			fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
		}
		for _, m := range more {
			b.WriteString(m + "\r\n")
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(text), text)
		return b.Bytes()
	}
	u.mu.Lock()
	load := names["load"] + ": " + u.load()
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		u.mu.Lock()
		u.checks++
		u.mu.Unlock()
		return head(200, "ok", load)
	}
	if want := r.Header.Get(names["expected"]); want != "" && want != u.id {
		return head(421, "", names["notRun"]+": 1")
	}
	if id == "" {
		return head(400, "", names["notRun"]+": 1")
	}
	run := &run{id: id, upstream: u.id, service: u.entry.Service, path: r.URL.Path, tenant: r.Header.Get("Tenant"), arrived: time.Now(), began: time.Now()}
	u.w.mu.Lock()
	u.w.runs = append(u.w.runs, run)
	u.w.byID[id] = append(u.w.byID[id], run)
	u.w.mu.Unlock()
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.answered++
	u.mu.Unlock()
	u.w.mu.Lock()
	run.ended, run.complete = time.Now(), true
	u.w.mu.Unlock()
	return head(200, bodyFor(u.id, id), names["signature"]+": sig-"+id, load)
}

func bodyFor(upstream, id string) string { return "done by " + upstream + " for " + id }

// belongs reports whether a body is the answer to a request.
func belongs(body, id string) bool { return strings.HasSuffix(body, " for "+id) }
