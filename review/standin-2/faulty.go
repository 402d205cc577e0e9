package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// faulty is a stand-in of an upstream that may hand out an answer a second time, late: where the
// next answer on its channel is expected. Apart from that it is sound. It writes its answers
// itself, as no library would send these.
type faulty struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	record                     *record

	running chan struct{}
	// extraShare is the share of its answers that it repeats, in millionths.
	extraShare atomic.Int64
	mu         sync.Mutex
	random     *rand.Rand
	answers    int
	extras     int
	// healthExtras counts the repeated answers to liveness checks.
	healthExtras int
}

func (u *faulty) start() error {
	u.running = make(chan struct{}, u.slots)
	u.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return nil
}

func (u *faulty) register(s *store) {
	for sequence := 1; ; sequence++ {
		s.put("servers/"+u.id, map[string]any{
			"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
			"state": "ready", "coldRemainingS": 0, "sequence": sequence, "born": u.born,
		})
		time.Sleep(1500 * time.Millisecond)
	}
}

func (u *faulty) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var extra []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if extra != nil {
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := u.answer(r)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if u.repeats(r.URL.Path == "/health") {
			extra = answer
		}
	}
}

// repeats decides whether an answer is sent once more, late.
func (u *faulty) repeats(health bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	if u.random.Int64N(1000000) >= u.extraShare.Load() {
		return false
	}
	u.extras++
	if health {
		u.healthExtras++
	}
	return true
}

func (u *faulty) answer(r *http.Request) []byte {
	var b bytes.Buffer
	id := r.Header.Get("Request-Id")
	head := func(status string) {
		fmt.Fprintf(&b, "HTTP/1.1 %s\r\nServer-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n", status, len(u.running), u.slots)
		if id != "" {
			fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
		}
	}
	if r.URL.Path == "/health" {
		head("200 OK")
		fmt.Fprintf(&b, "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		return b.Bytes()
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		head("421 Misdirected Request")
		fmt.Fprintf(&b, "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		return b.Bytes()
	}
	select {
	case u.running <- struct{}{}:
	case <-time.After(200 * time.Millisecond):
		head("503 Service Unavailable")
		fmt.Fprintf(&b, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return b.Bytes()
	}
	defer func() { <-u.running }()
	u.record.ran(id)
	time.Sleep(u.work)
	body := id + " " + u.id
	head("200 OK")
	fmt.Fprintf(&b, "Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", signature(id, body), len(body), body)
	return b.Bytes()
}
