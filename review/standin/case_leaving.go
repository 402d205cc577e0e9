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

// caseLeaving lets three upstreams report that they are draining, and the store come back
// from a copy that is some seconds old while they still drain. The machines had started
// just after the copy was made.
func caseLeaving(w *world) bool {
	const (
		clients = 48
		limit   = 1500 * time.Millisecond
		work    = 200 * time.Millisecond
		// away is how long the store is away, and longer how long the upstream goes on after
		// drainS.
		away   = 600 * time.Millisecond
		longer = 600 * time.Millisecond
	)
	var ups []*upstream
	for n := range 12 {
		ups = append(ups, w.newUpstream(newID(), "pedidos", zones[n%3], 3, work))
	}
	time.Sleep(100 * time.Millisecond)
	w.store.put("op/config", manifest(7, []string{"key-1"}, route{"r-order", "/order/", "unsafe", "pedidos", 1.2}))
	time.Sleep(100 * time.Millisecond)
	copied, copiedAt := w.store.copy(), time.Now()
	w.log("the copy of the store is made at revision %d", copied.revision)
	for n := range 3 {
		w.newInstance(n, true).start()
	}
	for n := range 6 {
		ups = append(ups, w.newUpstream(newID(), "pedidos", zones[n%3], 3, work))
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	w.log("all machines are ready, the store is at revision %d", w.store.revision())
	var list requests
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			i := w.instances[n%len(w.instances)]
			var c net.Conn
			var reader *bufio.Reader
			for {
				select {
				case <-done:
					return
				case <-time.After(100*time.Millisecond + rand.N(400*time.Millisecond)):
				}
				if c == nil {
					var err error
					if c, err = net.DialTimeout("tcp4", i.front, time.Second); err != nil {
						continue
					}
					reader = bufio.NewReader(c)
				}
				q := &request{id: newID(), path: fmt.Sprintf("/order/%d", n), key: "key-1", instance: i, limit: limit}
				if !q.exchange(c, reader, http.MethodPost, make([]byte, 300), 1, 0) {
					c.Close()
					c = nil
				}
				list.add(q)
			}
		})
	}
	// The upstream drains once all machines are in touch: stableWindowS after their start.
	time.Sleep(time.Until(w.instances[2].startedAt().Add(time.Duration(stableWindowS*float64(time.Second)) + 200*time.Millisecond)))
	for _, u := range ups {
		u.mu.Lock()
		u.patient = true
		u.mu.Unlock()
	}
	var ack time.Time
	leaving := map[string]bool{}
	for _, x := range ups[:3] {
		ack = x.drain()
		x.mu.Lock()
		x.nextReport = ack.Add(heartbeat)
		x.mu.Unlock()
		leaving[x.id] = true
	}
	drained := ack.Add(time.Duration(drainS * float64(time.Second)))
	w.log("three upstreams are draining, acknowledged by the store; they go on until %s", w.at(drained.Add(longer)))
	time.Sleep(time.Until(ack.Add(1200 * time.Millisecond)))
	if w.trouble {
		w.log("the store is away")
		w.store.goAway()
		time.Sleep(away)
		w.store.comeBack(copied)
		w.log("the store is back from the copy, which is %.1f s old, at revision %d", time.Since(copiedAt).Seconds(), copied.revision)
	}
	time.Sleep(time.Until(drained.Add(longer)))
	for _, x := range ups[:3] {
		x.end()
	}
	w.log("the three upstreams have ended")
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()
	late, lost, answered := 0, 0, 0
	for _, q := range list.all {
		w.noteRequest(q)
		if q.status == http.StatusOK {
			answered++
		}
		for _, r := range w.runsOf(q.id) {
			if leaving[r.upstream] && r.began.After(drained) && q.sentAt.After(ack) {
				late++
				what := ""
				if !r.complete {
					lost++
					what = ", and was lost there"
				}
				w.log("DRAIN: order %s, sent at %s to %s, reached %s %.2f s after the ack of its draining%s; the client got %d", q.id, w.at(q.sentAt), q.instance.name, r.upstream, r.began.Sub(ack).Seconds(), what, q.status)
			}
		}
	}
	w.log("orders: %d, answered with 200: %d, at a draining upstream later than drainS: %d, of these lost as they ended: %d", len(list.all), answered, late, lost)
	if answered < 100 {
		panic("too few orders were answered")
	}
	return late > 0
}
