package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// uploader sends orders whose bodies take 0.3 to 0.8 s to be sent, on a channel of its own for
// each, to the instances that the directory names.
func (w *world) uploader(zone string, keepTimes int, all *requests, until time.Time) {
	r := &resolver{w: w, zone: zone, keepTimes: time.Duration(keepTimes)}
	time.Sleep(rand.N(2 * time.Second))
	for time.Now().Before(until) {
		i, err := r.pick()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c, err := net.DialTimeout("tcp4", i.front, time.Second)
		if err != nil {
			r.failed(i)
			continue
		}
		q := &request{id: newID(), path: orderPath + "order", key: orderKey, instance: i, limit: 1500 * time.Millisecond}
		q.exchange(c, bufio.NewReader(c), http.MethodPost, []byte(q.id+strings.Repeat("o", 1_784)), 6, 300*time.Millisecond+rand.N(500*time.Millisecond))
		c.Close()
		all.add(q)
		w.noteRequest(q)
		if q.status == 0 {
			r.failed(i)
		}
	}
}

// caseUpload stops and starts the machines in turn, one every 1.3 s, while clients send bodies
// slowly: as many orders, machines and upstreams as at the site.
func caseUpload(w *world) bool {
	w.put(7, []string{orderKey}, route{"r-e9itfrz", orderPath, "unsafe", "pedidos", routeTimeoutS})
	for n := range 12 {
		w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "pedidos", zones[n%len(zones)], 3, 312*time.Millisecond)
	}
	for n := range 8 {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	begin := time.Now()
	end := begin.Add(85 * time.Second)
	var all requests
	var clients sync.WaitGroup
	for n := range 48 {
		clients.Go(func() { w.uploader(zones[n%len(zones)], 1+2*(n%4/3), &all, end) })
	}
	time.Sleep(5 * time.Second)
	var stops sync.WaitGroup
	count := 0
	for n := 0; w.trouble && time.Until(end) > 8*time.Second; n++ {
		i := w.instances[n%len(w.instances)]
		stops.Go(func() { i.restart(300 * time.Millisecond) })
		count++
		time.Sleep(1300 * time.Millisecond)
	}
	stops.Wait()
	clients.Wait()
	lost, cutUnread := 0, 0
	for _, q := range all.all {
		if !q.cutByNode() {
			continue
		}
		if q.lastByteAt.IsZero() || len(w.runsOf(q.id)) == 0 {
			cutUnread++
			continue
		}
		stopped := q.stoppedBefore(q.endedAt)
		if q.excused(stopped) {
			w.log("excused: %s, %.2f s after SIGTERM, %.2f s after its first byte", q.id, stopped.Seconds(), q.endedAt.Sub(q.sentAt).Seconds())
			continue
		}
		w.log("LOST: %s read %s whole at %s and passed it on; the channel ended at %s, %.2f s after SIGTERM, with no answer (%s)",
			q.instance.name, q.id, w.at(q.lastByteAt), w.at(q.endedAt), stopped.Seconds(), q.err)
		if stopped <= (graceS+1)*time.Second {
			lost++
		}
	}
	w.log("%d stops of a machine; %d orders; %d were read whole and passed on, and then lost as the machine stopped; %d channels closed before the order was read or passed on", count, len(all.all), lost, cutUnread)
	return lost > 0
}

// routeTimeoutS is the route's timeout, as for order-place at the site.
const routeTimeoutS = 1.2

// excused says that the rule doesn't count the request: the route's timeout was reached, the
// upstream ended the run itself, or it may have been at work in the last sixth of graceS.
func (q *request) excused(stopped time.Duration) bool {
	for _, r := range q.instance.w.runsOf(q.id) {
		if r.complete || !r.dropped {
			return true
		}
	}
	return q.endedAt.Sub(q.sentAt).Seconds() >= routeTimeoutS || stopped.Seconds() >= graceS*5/6
}

// stoppedBefore returns how long before a time the instance of the request last got SIGTERM.
func (q *request) stoppedBefore(at time.Time) time.Duration {
	q.instance.mu.Lock()
	defer q.instance.mu.Unlock()
	since := time.Duration(1<<62 - 1)
	for _, s := range q.instance.stops {
		if d := at.Sub(s); d >= 0 && d < since {
			since = d
		}
	}
	return since
}
