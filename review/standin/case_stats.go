package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	hotTenant = "jera193"
	hotKey    = "qasnmgkcuyj8pjbvk9m6"
	hotRate   = 32.0 // the tenant's limit a second, 1.6 times what it usually sends (quota_x)
	hotBurst  = 32.0
)

// routedManifest returns a manifest with a number of routes to one service, and two tenants.
// The first route is there from the beginning.
func routedManifest(version, routes int) []byte {
	list := []route{}
	for n := range routes {
		list = append(list, route{fmt.Sprintf("r-g%06d", n), fmt.Sprintf("/gora%d/", n), "safe", "recetario", 4})
	}
	m := manifest(version, []string{orderKey}, list...)
	tenant := func(name, key string, rate, burst float64) any {
		return map[string]any{"name": name, names["keys"]: []string{key}, "priority": 0, names["rate"]: rate, "burst": burst, "allowedRegions": []string{}}
	}
	m["tenants"] = []any{tenant("yefi830", orderKey, 0, 0), tenant(hotTenant, hotKey, hotRate, hotBurst)}
	raw, err := json.Marshal(m)
	must(err)
	return raw
}

// reader sends requests to one machine at a steady rate on a kept channel, each on one of the
// first routes of the manifest, until a time.
func (w *world) reader(i *instance, all *requests, key string, routes int, perS float64, until time.Time) {
	var c net.Conn
	var reader *bufio.Reader
	period := time.Duration(float64(time.Second) / perS)
	next := time.Now().Add(rand.N(period))
	for ; time.Now().Before(until); next = next.Add(period) {
		time.Sleep(time.Until(next))
		if c == nil {
			var err error
			if c, err = dial(i.front); err != nil {
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		q := &request{id: newID(), path: fmt.Sprintf("/gora%d/%d", rand.N(routes), rand.N(1000)), key: key, instance: i, limit: 4 * time.Second, object: fmt.Sprint(rand.N(500))}
		again := q.exchange(c, reader, http.MethodGet, nil, 1, 0)
		all.add(q)
		if !again {
			c.Close()
			c = nil
		}
		if time.Since(next) > period {
			next = time.Now().Add(-period)
		}
	}
	if c != nil {
		c.Close()
	}
}

// caseStats brings in a new version of a service with many routes, and lets one tenant send
// many times its usual meanwhile.
func caseStats(w *world) bool {
	useKavach()
	const (
		machines  = 3
		readers   = 60  // of the other tenant
		readPerS  = 2.4 // each
		hotUsual  = 10  // readers of the tenant
		hotMore   = 65  // more readers of it while it is hot
		hotPerS   = 2.0 // each
		rolloutS  = 16.0
		hotForS   = 6.5
		hotAfterS = 9.5 // after the order
	)
	added := 700
	if v := os.Getenv("ROUTES"); v != "" {
		added, _ = strconv.Atoi(v)
	}
	if !w.trouble {
		added = 0
	}
	version := 7
	must2 := func(ok bool) {
		if !ok {
			panic("the store is away")
		}
	}
	_, ok := w.store.putRaw("op/config", routedManifest(version, 1))
	must2(ok)
	for n := range 12 {
		w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "recetario", zones[n%len(zones)], 8, 250*time.Millisecond)
	}
	for n := range machines {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	w.log("all machines are ready")
	for n := 350; n <= added; n += 350 {
		time.Sleep(time.Second)
		version++
		_, ok := w.store.putRaw("op/config", routedManifest(version, 1+n))
		must2(ok)
		w.log("the manifest has %d routes", 1+n)
	}
	time.Sleep(3 * time.Second)
	var all requests
	var clients sync.WaitGroup
	begin := time.Now()
	orderAt := begin.Add(5 * time.Second)
	end := orderAt.Add(time.Duration((rolloutS + 4) * float64(time.Second)))
	for n := range readers {
		clients.Go(func() { w.reader(w.instances[n%machines], &all, orderKey, 1+added, readPerS, end) })
	}
	for n := range hotUsual {
		clients.Go(func() { w.reader(w.instances[n%machines], &all, hotKey, 1+added, hotPerS, end) })
	}
	time.Sleep(time.Until(orderAt))
	for n := range 12 {
		u := w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9200+n), "recetario", zones[n%len(zones)], 8, 250*time.Millisecond)
		u.mu.Lock()
		u.entry.Version = "v2"
		u.mu.Unlock()
		w.store.put("servers/"+u.id, u.entry)
	}
	_, ok = w.store.put("op/rollout/recetario", map[string]any{"service": "recetario", names["newVersion"]: "v2", "durationS": rolloutS})
	must2(ok)
	w.log("the operator orders version v2 of recetario, to be done in %g s", rolloutS)
	hotFrom := orderAt.Add(time.Duration(hotAfterS * float64(time.Second)))
	time.Sleep(time.Until(hotFrom))
	w.log("%s sends 7.5 times its usual for %g s", hotTenant, hotForS)
	hotUntil := hotFrom.Add(time.Duration(hotForS * float64(time.Second)))
	for n := range hotMore {
		clients.Go(func() { w.reader(w.instances[n%machines], &all, hotKey, 1+added, hotPerS, hotUntil) })
	}
	clients.Wait()
	return w.checkQuota(&all)
}

// checkQuota looks for the 5 s in which most requests of the tenant were both sent and began
// to run at an upstream.
func (w *world) checkQuota(all *requests) bool {
	const window = 5 * time.Second
	type span struct{ sent, arrived time.Time }
	var spans []span
	sent, refused := 0, 0
	for _, q := range all.all {
		if q.key != hotKey {
			continue
		}
		w.noteRequest(q)
		sent++
		if q.status == http.StatusTooManyRequests {
			refused++
		}
		if runs := w.runsOf(q.id); len(runs) > 0 {
			spans = append(spans, span{q.sentAt, runs[0].arrived})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for k, s := range spans {
		n := 0
		for _, o := range spans[k:] {
			if o.arrived.Sub(s.sent) <= window {
				n++
			}
		}
		if n > most {
			most, at = n, s.sent
		}
	}
	allowed := (hotRate*window.Seconds()+hotBurst)*1.1 + 20
	w.log("%s: %d requests, %d refused with 429, %d ran; most in 5 s: %d, from %s s on; allowed are %.0f", hotTenant, sent, refused, len(spans), most, w.at(at), allowed)
	if len(spans) == 0 {
		panic("no request of the tenant was run")
	}
	return float64(most) > allowed
}
