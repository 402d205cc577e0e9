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

// caseDrill plays three rounds, each with a new store, new upstreams and new machines. What
// the machines read first after the drill differs with their timers.
func caseDrill(w *world) bool {
	broken := 0
	for round := range 3 {
		w.log("round %d", round+1)
		if drillRound(w) {
			broken++
		}
		for _, i := range w.instances {
			i.kill()
		}
		w.instances = nil
		var err error
		w.store, err = newStore(w)
		must(err)
	}
	w.log("rounds in which the rule was broken: %d of 3", broken)
	return broken > 0
}

// drillRound lets the store come back from a copy that is a few seconds old, shortly after
// the machines have started. The operator had a change of the manifest at hand and writes
// it as the store answers again, as the upstreams do with their lost entries.
func drillRound(w *world) bool {
	const (
		clientsEach = 4
		away        = 1600 * time.Millisecond
		limit       = 1200 * time.Millisecond
		work        = 20 * time.Millisecond
		watched     = 14 * time.Second
	)
	var ups []*upstream
	scaleOut := func(count int, service string) {
		for range count {
			ups = append(ups, w.newUpstream(newID(), service, zones[len(ups)%3], 4, work))
		}
	}
	scaleOut(4, "recetario")
	scaleOut(4, "bancos")
	time.Sleep(200 * time.Millisecond)
	before := []route{
		{"r-move", "/move/", "safe", "recetario", 1}, {"r-stay", "/stay/", "safe", "recetario", 1},
	}
	w.store.put("op/config", manifest(7, []string{"key-1", "key-2"}, before...))
	time.Sleep(100 * time.Millisecond)
	copied, copiedAt := w.store.copy(), time.Now()
	w.log("the copy of the store is made at revision %d", copied.revision)
	// The machines start, and more upstreams beside them.
	for n := range 3 {
		w.newInstance(n, true).start()
	}
	scaleOut(6, "recetario")
	for _, i := range w.instances {
		i.awaitReady()
	}
	w.log("all machines are ready, the store is at revision %d", w.store.revision())

	var list requests
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clientsEach * len(w.instances) {
		wg.Go(func() {
			i := w.instances[n%len(w.instances)]
			var c net.Conn
			var reader *bufio.Reader
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(40*time.Millisecond + rand.N(40*time.Millisecond)):
				}
				if c == nil {
					var err error
					if c, err = net.DialTimeout("tcp4", i.front, time.Second); err != nil {
						continue
					}
					reader = bufio.NewReader(c)
				}
				q := &request{id: newID(), key: "key-1", instance: i, limit: limit}
				switch k % 4 {
				case 0:
					q.path = fmt.Sprintf("/move/%d", n)
				case 1:
					q.path, q.key = fmt.Sprintf("/stay/%d", n), "key-2"
				case 2:
					q.path = fmt.Sprintf("/new/%d", n)
				default:
					q.path = fmt.Sprintf("/stay/%d", n)
				}
				if !q.exchange(c, reader, http.MethodGet, nil, 0, 0) {
					c.Close()
					c = nil
				}
				list.add(q)
			}
		})
	}
	time.Sleep(time.Second)
	scaleOut(4, "bancos")
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.log("the store is away")
		w.store.goAway()
	}
	// The operator has a new manifest and tries until the store takes it.
	acked := make(chan time.Time, 1)
	go func() {
		after := []route{
			{"r-move", "/move/", "safe", "bancos", 1}, {"r-stay", "/stay/", "safe", "recetario", 1}, {"r-new", "/new/", "safe", "bancos", 1},
		}
		time.Sleep(away / 2)
		for {
			if at, ok := w.store.put("op/config", manifest(9, []string{"key-1"}, after...)); ok {
				acked <- at
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(away)
	backAt := time.Now()
	if w.trouble {
		w.store.comeBack(copied)
		backAt = time.Now()
		w.log("the store is back from the copy, which is %.1f s old, at revision %d, era %d", time.Since(copiedAt).Seconds(), copied.revision, 1)
	}
	ack := <-acked
	w.log("the store has acknowledged the manifest r9 (/move/ goes to bancos, key-2 is taken away, /new/ is added)")
	time.Sleep(watched)
	close(done)
	wg.Wait()

	// Machines are in touch from stableWindowS after the disturbance of the store and after
	// their own start.
	bound := ack.Add(time.Duration(configApplyS * float64(time.Second)))
	if t := backAt.Add(time.Duration(stableWindowS * float64(time.Second))); t.After(bound) {
		bound = t
	}
	for _, i := range w.instances {
		if t := i.startedAt().Add(time.Duration(stableWindowS * float64(time.Second))); t.After(bound) {
			bound = t
		}
	}
	w.log("all machines are in touch, and r9 binds, for requests sent from %s on", w.at(bound))
	old, fine := 0, 0
	byInstance := map[string]int{}
	for _, q := range list.all {
		w.noteRequest(q)
		if q.sentAt.Before(bound) {
			continue
		}
		runs := w.runsOf(q.id)
		what := ""
		switch {
		case q.path[:5] == "/move" && len(runs) > 0 && runs[0].service == "recetario":
			what = "was run by recetario"
		case q.key == "key-2" && len(runs) > 0:
			what = "was run with a key that r9 has dropped"
		case q.path[:4] == "/new" && q.status == http.StatusNotFound:
			what = "was refused with 404"
		}
		if what == "" {
			fine++
			continue
		}
		old++
		byInstance[q.instance.name]++
		if byInstance[q.instance.name] <= 3 {
			w.log("CONFIG: %s %s, sent to %s at %s, %.1f s after the ack, %s", q.id, q.path, q.instance.name, w.at(q.sentAt), q.sentAt.Sub(ack).Seconds(), what)
		}
	}
	var last time.Time
	for _, q := range list.all {
		if q.path[:4] == "/new" && q.status == http.StatusNotFound && q.sentAt.After(last) {
			last = q.sentAt
		}
	}
	for _, u := range ups {
		u.end()
	}
	w.log("requests in touch: %d as r9 says, %d as only r7 allows, by machine: %v; the last 404 of /new/ was sent %.1f s after the ack", fine, old, byInstance, last.Sub(ack).Seconds())
	if fine+old < 100 {
		panic("too few requests")
	}
	return old > 0
}
