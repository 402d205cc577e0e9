package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const statusPath = "/bapo31/"

// asker sends one safe request after the other on a kept channel to an instance, and waits as
// long as a refusal says.
func (w *world) asker(i *instance, path func() string, object string, all *requests, until time.Time) {
	var c net.Conn
	var reader *bufio.Reader
	for time.Now().Before(until) {
		time.Sleep(rand.N(300 * time.Millisecond))
		if c == nil {
			var err error
			if c, err = dial(i.front); err != nil {
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		q := &request{id: newID(), path: path(), key: orderKey, instance: i, object: object, limit: 3 * time.Second}
		again := q.exchange(c, reader, http.MethodGet, nil, 0, 0)
		all.add(q)
		w.noteRequest(q)
		if !again {
			c.Close()
			c = nil
		}
		if q.status != http.StatusOK {
			time.Sleep(500*time.Millisecond + rand.N(500*time.Millisecond))
		}
	}
}

// casePopular lets one upstream crash. Some clients ask for the same thing on a route that was
// added later, others for many things on the first route.
func casePopular(w *world) bool {
	first := route{"r-6sz9frg", "/lepu270/", "safe", "bancos", 2}
	w.put(7, []string{orderKey}, first)
	for n := range 3 {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	var upstreams []*upstream
	for n := range 12 {
		upstreams = append(upstreams, w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "bancos", zones[n%len(zones)], 3, 600*time.Millisecond))
	}
	time.Sleep(2 * time.Second)
	w.put(9, []string{orderKey}, first, route{"r-e9itfrz", statusPath, "safe", "bancos", 2})
	time.Sleep(3 * time.Second)
	begin := time.Now()
	end := begin.Add(50 * time.Second)
	var all requests
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() {
			w.asker(w.instances[n%3], func() string { return statusPath + "bench/17" }, "17", &all, end)
		})
		clients.Go(func() {
			w.asker(w.instances[n%3], func() string { return "/lepu270/" + newID() }, "", &all, end)
		})
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		u := upstreams[0]
		w.mu.Lock()
		busy := map[string]int{}
		for _, r := range w.runs {
			if r.ended.IsZero() && r.path == statusPath+"bench/17" {
				busy[r.upstream]++
			}
		}
		w.mu.Unlock()
		for _, other := range upstreams {
			if busy[other.id] > busy[u.id] {
				u = other
			}
		}
		w.log("%s crashes, with %d of the same request at work", u.id, busy[u.id])
		u.crash()
	}
	// An upstream that crashed is back after some seconds. The state is steady stableWindowS
	// after that.
	time.Sleep(4500 * time.Millisecond)
	if w.trouble {
		w.newUpstream("i-7f3a91ff", "bancos", zones[0], 3, 600*time.Millisecond)
	}
	steady := time.Now().Add(time.Duration((stableWindowS + 1) * float64(time.Second)))
	clients.Wait()
	var sent, served [2]int
	refused := map[int]int{}
	for _, q := range all.all {
		if q.sentAt.Before(steady) {
			continue
		}
		kind := 0
		if q.path == statusPath+"bench/17" {
			kind = 1
		}
		sent[kind]++
		if q.status == http.StatusOK {
			served[kind]++
		} else {
			refused[q.status]++
		}
	}
	w.log("in the steady state: first route %d of %d served; route added later %d of %d served; others by status: %v", served[0], sent[0], served[1], sent[1], refused)
	a, b := float64(served[0])/float64(max(1, sent[0])), float64(served[1])/float64(max(1, sent[1]))
	return sent[1] >= 20 && b < a/4
}

// crash ends the upstream without a word: its channels are closed, and its entry lapses after
// three status reports.
func (u *upstream) crash() {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	_ = u.server.Close()
	time.AfterFunc(3*heartbeat, func() { u.w.store.remove("servers/" + u.id) })
}
