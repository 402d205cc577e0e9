package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// watchersByLog returns the instances that don't follow another one.
func (w *world) watchersByLog() (list []*instance) {
	for _, i := range w.instances {
		raw, _ := os.ReadFile(filepath.Join(w.dir, i.name+".log"))
		from := ""
		for line := range strings.Lines(string(raw)) {
			if _, rest, ok := strings.Cut(line, `"from":"`); ok && strings.Contains(line, "now following") {
				from, _, _ = strings.Cut(rest, `"`)
			}
		}
		if from == "" {
			list = append(list, i)
		}
	}
	return list
}

// caseLeave lets machines lose power, and an upstream leave without a word shortly after. Again
// and again the two machines that watch the store are among those without power.
func caseLeave(w *world) bool {
	useKavach()
	const (
		dark = 2 * time.Second // for_s of herd_kill at the site
		stay = 0.4             // how long after drainS the upstream ends, in seconds
	)
	w.put(7, []string{orderKey}, route{"r-e9itfrz", orderPath, "unsafe", "pedidos", 2.5})
	for n := range 3 {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	// With the three that leave, 24 upstreams: an eighth leaves.
	for n := range 21 {
		w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "pedidos", zones[n%len(zones)], 9, 400*time.Millisecond)
	}
	var all requests
	end := time.Now().Add(110 * time.Second)
	late, lost := 0, 0
	for round := 0; time.Until(end) > 12*time.Second; round++ {
		var leaving []*upstream
		for n := range 3 {
			leaving = append(leaving, w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9200+3*round+n), "pedidos", zones[n], 9, 400*time.Millisecond))
		}
		time.Sleep(2500*time.Millisecond + rand.N(time.Second))
		var off []*instance
		if w.trouble {
			off = w.watchersByLog()
		}
		for _, i := range off {
			w.log("%s loses power", i.name)
			i.signal(syscall.SIGSTOP)
		}
		begin := time.Now()
		var clients sync.WaitGroup
		for _, i := range w.instances {
			if !slices.Contains(off, i) {
				for range 32 {
					clients.Go(func() { w.ordersOn(i, &all, begin.Add(4*time.Second)) })
				}
			}
		}
		time.Sleep(700*time.Millisecond + rand.N(200*time.Millisecond))
		for _, u := range leaving {
			u.leave(false)
		}
		ack := time.Now()
		w.log("three upstreams leave without a word: their entries are removed")
		time.Sleep(time.Until(begin.Add(dark)))
		for _, i := range off {
			i.kill()
			i.start()
		}
		time.Sleep(time.Until(ack.Add(time.Duration((drainS + stay) * float64(time.Second)))))
		for _, u := range leaving {
			u.end()
		}
		clients.Wait()
		n, m := 0, 0
		w.mu.Lock()
		for _, r := range w.runs {
			for _, u := range leaving {
				if r.upstream == u.id && r.arrived.Sub(ack).Seconds() > drainS {
					n++
					if !r.complete {
						m++
					}
				}
			}
		}
		w.mu.Unlock()
		w.log("round %d: %d orders reached them later than drainS, %d of these were lost as they ended", round, n, m)
		late, lost = late+n, lost+m
	}
	for _, q := range all.all {
		w.noteRequest(q)
	}
	w.log("%d orders reached an upstream later than drainS after its entry was removed, %d of these were lost", late, lost)
	return late > 0
}

// ordersOn sends one order after the other on a channel to an instance.
func (w *world) ordersOn(i *instance, all *requests, until time.Time) {
	c, err := dial(i.front)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for time.Now().Before(until) {
		time.Sleep(rand.N(200 * time.Millisecond))
		q := &request{id: newID(), path: orderPath + "order", key: orderKey, instance: i, limit: 6 * time.Second}
		again := q.exchange(c, reader, http.MethodPost, []byte(q.id+strings.Repeat("o", 284)), 1, 0)
		all.add(q)
		if !again {
			return
		}
		if q.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
	}
}
