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

// caseForeign lets three upstreams leave: their entries are removed, and they serve on for
// drainS and a little longer. Meanwhile another writer writes their entries once more, as
// it had read them, without the fields that it doesn't know.
func caseForeign(w *world) bool {
	const (
		clients = 72
		limit   = 1500 * time.Millisecond
		work    = 200 * time.Millisecond
		longer  = 600 * time.Millisecond
		written = 200 * time.Millisecond // after drainS
	)
	var ups []*upstream
	for n := range 18 {
		ups = append(ups, w.newUpstream(newID(), "pedidos", zones[n%3], 3, work))
	}
	time.Sleep(100 * time.Millisecond)
	w.store.put("op/config", manifest(7, []string{"key-1"}, route{"r-order", "/order/", "unsafe", "pedidos", 1.2}))
	for n := range 3 {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
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
	time.Sleep(time.Until(w.instances[2].startedAt().Add(time.Duration(stableWindowS*float64(time.Second)) + 200*time.Millisecond)))
	leaving := map[string]bool{}
	for _, x := range ups[:3] {
		x.leave(true)
		leaving[x.id] = true
	}
	ack := time.Now()
	drained := ack.Add(time.Duration(drainS * float64(time.Second)))
	w.log("three upstreams leave, their entries are removed, acknowledged by the store; they go on until %s", w.at(drained.Add(longer)))
	time.Sleep(time.Until(drained.Add(written)))
	if w.trouble {
		for _, x := range ups[:3] {
			x.mu.Lock()
			e := x.entry
			x.mu.Unlock()
			w.store.put("servers/"+x.id, map[string]any{
				"service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": "ready", names["cold"]: 0,
			})
		}
		w.log("another writer writes their entries again, without sequence and born")
	}
	time.Sleep(time.Until(drained.Add(longer)))
	for _, x := range ups[:3] {
		_ = x.server.Close()
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
				w.log("DRAIN: order %s, sent at %s to %s, reached %s %.2f s after it was gone%s; the client got %d", q.id, w.at(q.sentAt), q.instance.name, r.upstream, r.began.Sub(ack).Seconds(), what, q.status)
			}
		}
	}
	w.log("orders: %d, answered with 200: %d, at an upstream that is gone later than drainS: %d, of these lost as they ended: %d", len(list.all), answered, late, lost)
	if answered < 100 {
		panic("too few orders were answered")
	}
	return late > 0
}
