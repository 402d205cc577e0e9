package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// caseSpoil lets upstreams hand out some of their answers with one wrong byte. Counted are
// successes that reach a client without any MAC. A wrong byte elsewhere, which
// a machine can't see, counts for nothing.
func caseSpoil(w *world) bool {
	const (
		machines = 8
		perKind  = 12
		clients  = 160
		share    = 0.35 // of the upstreams of a service
		spoilt   = 4    // 0.35 of them, rounded down
		x        = 0.02 // of their answers
		period   = 5500 * time.Millisecond
		limit    = 1500 * time.Millisecond
		lasts    = 80 * time.Second
	)
	services := []string{"recetario", "pedidos", "bancos"}
	all := map[string][]*rawUpstream{}
	for n := range perKind {
		for k, s := range services {
			work := []time.Duration{60, 80, 100}[k] * time.Millisecond
			all[s] = append(all[s], w.newRawUpstream(fmt.Sprintf("i-%s-%d", s, n), s, zones[n%3], 3, work))
		}
	}
	w.store.put("op/config", manifest(7, []string{"key-1"}, route{"r-recipe", "/recipe/", "safe", "recetario", 1.2}, route{"r-order", "/order/", "unsafe", "pedidos", 1.5}, route{"r-bench", "/bench/", "safe", "bancos", 3}))
	for n := range machines {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	var list requests
	w.siteClients(&wg, done, &list, clients, limit)
	wg.Go(func() {
		if !w.trouble {
			return
		}
		for {
			for _, s := range services {
				for k, n := range rand.Perm(perKind) {
					if k < spoilt {
						all[s][n].spoil(x)
					} else {
						all[s][n].spoil(0)
					}
				}
			}
			w.note("%g of the upstreams of each service spoil %g of their answers", share, x)
			select {
			case <-done:
				return
			case <-time.After(period):
			}
		}
	})
	time.Sleep(lasts)
	close(done)
	wg.Wait()
	spoiled := 0
	for _, s := range services {
		for _, u := range all[s] {
			u.mu.Lock()
			spoiled += u.spoiled
			u.mu.Unlock()
		}
	}
	mixed, fine := 0, 0
	for _, q := range list.all {
		w.noteRequest(q)
		if q.status < 200 || q.status > 299 {
			continue
		}
		if q.signature != "" {
			fine++
			continue
		}
		mixed++
		w.log("MIXED: request %s %s at %s got the success %d with no %s", q.id, q.path, q.instance.name, q.status, names["signature"])
	}
	w.log("%d requests, %d successes with a signature, %d without; upstreams spoiled %d answers", len(list.all), fine, mixed, spoiled)
	if fine == 0 {
		panic("no request was served")
	}
	return mixed > 0
}
