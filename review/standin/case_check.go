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

// caseCheck stops and starts the machines in turn while upstreams send some of their answers
// a second time. A machine that has just started checks the health of upstreams.
func caseCheck(w *world) bool {
	const (
		machines = 8
		perKind  = 12
		clients  = 160
		share    = 0.6  // of the upstreams of a service
		spoilt   = 7    // 0.6 of them, rounded down
		x        = 0.03 // of their answers
		period   = 5 * time.Second
		limit    = 1500 * time.Millisecond
		lasts    = 95 * time.Second
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
		i.forgetBootstrap()
	}
	w.log("all machines are ready")
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	var list requests
	w.siteClients(&wg, done, &list, clients, limit)
	// Disruption: for 5 s at a time, again and again, upstreams send answers a second time.
	wg.Go(func() {
		if !w.trouble {
			return
		}
		for {
			for _, s := range services {
				perm := rand.Perm(perKind)
				for k, n := range perm {
					if k < spoilt {
						all[s][n].garble(x)
					} else {
						all[s][n].garble(0)
					}
				}
			}
			w.note("%g of the upstreams of each service send %g of their answers once more", share, x)
			select {
			case <-done:
				return
			case <-time.After(period):
			}
		}
	})
	// Planned work: the machines are stopped and started in turn, one every 2 s.
	wg.Go(func() {
		var restarts sync.WaitGroup
		defer restarts.Wait()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Second):
			}
			i := w.instances[n%machines]
			restarts.Go(func() { i.restart(200 * time.Millisecond) })
		}
	})
	time.Sleep(lasts)
	close(done)
	wg.Wait()
	extra, extraChecks, checks, answered := 0, 0, 0, 0
	for _, s := range services {
		for _, u := range all[s] {
			u.mu.Lock()
			extra, extraChecks, checks, answered = extra+u.extra, extraChecks+u.extraChecks, checks+u.checks, answered+u.answered
			u.mu.Unlock()
		}
	}
	mixed, fine := 0, 0
	for _, q := range list.all {
		w.noteRequest(q)
		if q.status < 200 || q.status > 299 {
			continue
		}
		if q.signature == "sig-"+q.id && belongs(q.answer, q.id) {
			fine++
			continue
		}
		mixed++
		w.log("MIXED: request %s %s at %s got %d with signature %q and body %q", q.id, q.path, q.instance.name, q.status, q.signature, q.answer)
	}
	w.log("%d requests, %d successes, %d successes that are not the upstream's answer; upstreams answered %d requests and %d health checks, and sent %d of these answers once more, late, %d of them to health checks", len(list.all), fine, mixed, answered, checks, extra, extraChecks)
	if fine == 0 {
		panic("no request was served")
	}
	return mixed > 0
}

// siteClients starts clients that ask for recipes, orders and the state of benches about as
// often as those of the site bact-ramp.
func (w *world) siteClients(wg *sync.WaitGroup, done chan struct{}, list *requests, clients int, limit time.Duration) {
	prefixes := []string{"/recipe/", "/order/", "/bench/"}
	for n := range clients {
		wg.Go(func() {
			r := &resolver{w: w, zone: zones[n%3], keepTimes: 1}
			var c net.Conn
			var reader *bufio.Reader
			var at *instance
			kept := 0
			for {
				select {
				case <-done:
					return
				case <-time.After(200*time.Millisecond + rand.N(600*time.Millisecond)):
				}
				if c == nil {
					i, err := r.pick()
					if err != nil {
						continue
					}
					if c, err = dial(i.front); err != nil {
						r.failed(i)
						c = nil
						continue
					}
					at, reader, kept = i, bufio.NewReader(c), 0
				}
				k := []int{0, 0, 0, 1, 2}[rand.N(5)]
				q := &request{id: newID(), path: prefixes[k] + fmt.Sprint(rand.N(1000)), key: "key-1", instance: at, limit: limit, kept: kept > 0, object: fmt.Sprint(rand.N(500))}
				method := []string{http.MethodGet, http.MethodPost, http.MethodGet}[k]
				body := []byte("{}")
				if method == http.MethodGet {
					body = nil
				}
				again := q.exchange(c, reader, method, body, 1, 0)
				list.add(q)
				kept++
				// Half of the clients open a new channel for each request.
				if !again || n%2 == 0 || kept > 20 {
					c.Close()
					c = nil
				}
			}
		})
	}
}
