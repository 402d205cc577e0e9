package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	host       = "jepu9.example"
	key        = "tnfzs989anu6wsjnbanf"
	tenant     = "yefi830"
	deadlineMs = 4000
	bodyText   = "passed"
)

// attempt is one client attempt as its client saw it. status is 0 if the channel ended without
// an answer.
type attempt struct {
	id     string
	at     time.Time
	to     string
	method string
	path   string
	// channel says how the attempt came by its channel: "new" or "kept".
	channel string
	status  int
	took    time.Duration
	note    string
}

// attempts holds the attempts of all ordinary clients.
type attempts struct {
	mu   sync.Mutex
	list []attempt
}

func (a *attempts) add(t attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, t)
}

// client is an ordinary client: it asks the directory, keeps its channel for many requests,
// and stays inside all limits.
type client struct {
	number    int
	site      *site
	attempts  *attempts
	addresses []string
	until     time.Time
	conn      net.Conn
	reader    *bufio.Reader
	at        string
	sent      int
}

// resolve asks the directory, the nearest machine first, one second each.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	for i := range c.site.machines {
		m := c.site.machines[(c.number+i)%len(c.site.machines)]
		found, ttl := ask(m, c.site.machines[c.number%len(c.site.machines)])
		if len(found) > 0 {
			c.addresses, c.until = found, time.Now().Add(ttl)
			return
		}
	}
}

func ask(m, own *machine) ([]string, time.Duration) {
	httpClient := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q := url.Values{"name": {host}, "region": {own.region}, "zone": {own.zone}}
	resp, err := httpClient.Get("http://" + m.directory() + "/lacewingramp/resolve?" + q.Encode())
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(min(5, answer.TTL) * float64(time.Second))
}

// run sends requests until stop is closed.
func (c *client) run(stop <-chan struct{}, pause time.Duration) {
	for {
		select {
		case <-stop:
			c.close()
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		c.resolve()
		if len(c.addresses) > 0 {
			c.send()
		}
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) send() {
	c.sent++
	t := attempt{id: fmt.Sprintf("c%02d-%04d", c.number, c.sent), at: time.Now(), method: "GET", path: "/scan/", channel: "kept"}
	switch c.sent % 3 {
	case 1:
		t.method, t.path = "POST", "/sign/"
	case 2:
		t.path = "/history/"
	}
	t.path += fmt.Sprintf("%x", rand.IntN(24))
	if c.conn == nil {
		t.channel = "new"
		c.at = c.addresses[rand.IntN(len(c.addresses))]
		conn, err := net.DialTimeout("tcp4", c.at, time.Second)
		if err != nil {
			t.to, t.note, t.took = c.at, "no channel: "+short(err), time.Since(t.at)
			c.attempts.add(t)
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	t.to = c.at
	var keep bool
	t.status, t.note, keep = exchange(c.conn, c.reader, t.id, t.method, t.path)
	t.took = time.Since(t.at)
	if !keep {
		c.close()
	}
	c.attempts.add(t)
}

// exchange sends a request and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, id, method, path string) (status int, note string, keep bool) {
	_ = conn.SetDeadline(time.Now().Add(deadlineMs * time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCookie: %s=%s\r\n%s: %d\r\nCredential: %s\r\n",
		method, path, host, id, names["affinity"], path[len(path)-1:], names["timeLeft"], deadlineMs, key)
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(bodyText), bodyText)
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "not written: " + short(err), false
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0, "no answer: " + short(err), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "no whole answer: " + short(err), false
	}
	mac := resp.Header.Get(names["signature"])
	switch {
	case resp.StatusCode/100 != 2:
	case mac == "":
		note = fmt.Sprintf("without a signature, with %d bytes of body, Instance-Id %q", len(body), resp.Header.Get("Instance-Id"))
	case mac != signature(id, string(body)) || resp.Header.Get("Request-Id") != id:
		note = "with the signature or the body of another request"
	}
	return resp.StatusCode, note, !resp.Close
}

// short returns the text of an error without addresses.
func short(err error) string {
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return "time limit"
	}
	if e, ok := err.(*net.OpError); ok {
		return e.Op + ": " + e.Err.Error()
	}
	return err.Error()
}
