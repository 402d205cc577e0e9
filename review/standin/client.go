package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const host = "jepu9.example"

// request is one client attempt with what the client saw of it.
type request struct {
	id, path, key string
	instance      *instance
	sentAt        time.Time // its first byte
	lastByteAt    time.Time // its last byte, zero if not sent whole
	endedAt       time.Time
	status        int // 0: no complete answer
	signature     string
	leaving       bool
	err           string
	limit         time.Duration
	// kept says that the channel had carried an answered request before.
	kept bool
	// object is what the request concerns, if it says so.
	object string
	// answer is the body of the answer.
	answer string
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// exchange sends one request on a channel and reads the answer. The body is sent in
// pieces over upload. It reports whether the channel may be used again.
func (q *request) exchange(c net.Conn, reader *bufio.Reader, method string, body []byte, pieces int, upload time.Duration) bool {
	q.sentAt = time.Now()
	_ = c.SetDeadline(q.sentAt.Add(q.limit))
	fail := func(err error) bool {
		q.endedAt, q.err = time.Now(), err.Error()
		return false
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\nCredential: %s\r\n", method, q.path, host, q.id, names["timeLeft"], q.limit.Milliseconds(), q.key)
	if q.object != "" {
		head += "Cookie: " + names["affinity"] + "=" + q.object + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return fail(err)
	}
	for n := 0; n < pieces && len(body) > 0; n++ {
		time.Sleep(upload / time.Duration(pieces))
		if _, err := c.Write(body[len(body)*n/pieces : len(body)*(n+1)/pieces]); err != nil {
			return fail(err)
		}
	}
	q.lastByteAt = time.Now()
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err)
	}
	q.answer = string(answer)
	q.endedAt, q.status, q.signature = time.Now(), resp.StatusCode, resp.Header.Get(names["signature"])
	q.leaving = resp.Header.Get("Server-Leaving") == "1"
	return !resp.Close
}

// cutByNode says that the channel ended without a complete answer before the client's limit.
func (q *request) cutByNode() bool {
	return q.status == 0 && q.endedAt.Sub(q.sentAt) < q.limit-20*time.Millisecond
}

func (w *world) noteRequest(q *request) {
	where := "-"
	if q.instance != nil {
		where = q.instance.name
	}
	last := "-"
	if !q.lastByteAt.IsZero() {
		last = w.at(q.lastByteAt)
	}
	ran := ""
	for _, r := range w.runsOf(q.id) {
		ran += fmt.Sprintf(" [ran at %s (%s) from %s, complete=%v dropped=%v]", r.upstream, r.service, w.at(r.began), r.complete, r.dropped)
	}
	w.note("request %s %s key=%s to %s: first byte %s, last byte %s, ended %s, status %d %s%s", q.id, q.path, q.key, where, w.at(q.sentAt), last, w.at(q.endedAt), q.status, q.err, ran)
}

// resolver is a client's view of the directory.
type resolver struct {
	w         *world
	zone      string
	keepTimes time.Duration // 1, or 3 for clients that keep answers three times as long
	addresses []string
	until     time.Time
	avoid     map[string]time.Time
}

var errNoAddress = errors.New("no address")

// pick returns the instance to use for a new channel.
func (r *resolver) pick() (*instance, error) {
	if time.Now().After(r.until) {
		r.resolve()
	}
	var usable []string
	for _, a := range r.addresses {
		if time.Now().After(r.avoid[a]) {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		r.until = time.Time{}
		return nil, errNoAddress
	}
	a := usable[rand.IntN(len(usable))]
	for _, i := range r.w.instances {
		if i.front == a {
			return i, nil
		}
	}
	return nil, errNoAddress
}

func (r *resolver) failed(i *instance) {
	if r.avoid == nil {
		r.avoid = map[string]time.Time{}
	}
	r.avoid[i.front] = time.Now().Add(time.Second)
}

func (r *resolver) resolve() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range rand.Perm(len(r.w.instances)) {
		resp, err := client.Get(fmt.Sprintf("http://%s/lacewingramp/resolve?name=%s&region=%s&zone=%s", r.w.instances[n].directory, host, regionOf(r.zone), r.zone))
		if err != nil {
			continue
		}
		var out struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&out)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(out.Addresses) > 0 {
			r.addresses = out.Addresses
			r.until = time.Now().Add(r.keepTimes * time.Duration(min(5, out.TTLS)*float64(time.Second)))
			return
		}
	}
}

// requests collects the requests of all clients.
type requests struct {
	mu  sync.Mutex
	all []*request
}

func (l *requests) add(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, q)
}

// route and manifest are what the operator writes.
type route struct {
	name, prefix, kind, service string
	timeoutS                    float64
}

func manifest(version int, keys []string, routes ...route) map[string]any {
	var policy []any
	services := map[string]bool{}
	for _, r := range routes {
		services[r.service] = true
		policy = append(policy, map[string]any{
			"name": r.name, "routeType": r.kind, "targetLatencyS": 0.3, "priority": 1, "public": false, "affinity": true, "match": map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "maxAttempts": 2, "allowedRegions": []string{}},
		})
	}
	clusters := []any{}
	for _, name := range []string{"pedidos", "recetario", "bancos"} {
		clusters = append(clusters, map[string]any{"name": name, "healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 7.3})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []any{
			map[string]any{"name": "yefi830", names["keys"]: keys, "priority": 0, names["rate"]: 0, "burst": 0, "allowedRegions": []string{}},
		},
		"listeners": []any{map[string]any{"host": host, "policy": policy}},
		"clusters":  clusters,
	}
}

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, time.Second) }
