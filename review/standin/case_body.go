package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	orderPath = "/xapu221/ny95/"
	orderKey  = "tnfzs989anu6wsjnbanf"
)

// residentMb returns the resident memory of the process.
func (i *instance) residentMb() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.pid()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// enforceMemory does what the platform does to a process that exceeds its memory limit: it
// kills it, and starts it again after a short delay. It returns how often that happened.
func (i *instance) enforceMemory(until <-chan struct{}) (kills int, peak float64) {
	for {
		select {
		case <-until:
			return kills, peak
		case <-time.After(2 * time.Millisecond):
		}
		mb := i.residentMb()
		peak = max(peak, mb)
		if mb > memoryMb {
			kills++
			i.w.log("%s: %.0f MB resident, more than its %.0f MB: killed by the platform", i.name, mb, memoryMb)
			i.kill()
			time.Sleep(500 * time.Millisecond)
			i.start()
		}
	}
}

// orders keeps a channel to an instance and sends one small order after the other on it.
func (w *world) orders(i *instance, all *requests, until time.Time) {
	var c net.Conn
	var reader *bufio.Reader
	for time.Now().Before(until) {
		kept := c != nil
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", i.front, time.Second); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(c)
		}
		q := &request{id: newID(), path: orderPath + "order", key: orderKey, instance: i, limit: 6 * time.Second, kept: kept}
		again := q.exchange(c, reader, http.MethodPost, []byte(q.id+strings.Repeat("o", 284)), 1, 0)
		all.add(q)
		w.noteRequest(q)
		if !again {
			c.Close()
			c = nil
			time.Sleep(100 * time.Millisecond)
		}
	}
	if c != nil {
		c.Close()
	}
}

// upload sends one order with a body of the given size, and returns the status of its answer.
func (w *world) upload(i *instance, size, uploads int) (status int, sent int64, err error) {
	c, err := net.DialTimeout("tcp4", i.front, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(c, "POST %sphotos HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 6000\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n", orderPath, host, newID(), names["timeLeft"], orderKey, size)
	// The machine's link carries 1,000 Mbit/s for all together.
	const piece = 256 << 10
	pause := time.Duration(float64(piece*uploads) / linkBytesPerS * float64(time.Second))
	for next := time.Now(); sent < int64(size); next = next.Add(pause) {
		time.Sleep(time.Until(next))
		n, err := io.CopyN(c, zeros{}, min(piece, int64(size)-sent))
		if sent += n; err != nil {
			return 0, sent, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, sent, err
	}
	return resp.StatusCode, sent, nil
}

// linkBytesPerS is what a link of 1,000 Mbit/s carries, less a tenth for headers.
const linkBytesPerS = 0.9 * 1000e6 / 8

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// caseBody lets a few clients send one body each, within the limit of the manifest, at the
// same moment to one machine. Other clients send small orders on kept channels meanwhile.
func caseBody(w *world) bool {
	useKavach()
	uploads, size := 4, 64<<20
	if v := os.Getenv("UPLOADS"); v != "" {
		uploads, _ = strconv.Atoi(v)
	}
	if !w.trouble {
		size = 1800
	}
	w.put(7, []string{orderKey}, route{"r-e9itfrz", orderPath, "unsafe", "pedidos", 2.5})
	for n := range 6 {
		w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "pedidos", zones[n%len(zones)], 4, 1160*time.Millisecond)
	}
	for n := range 3 {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	machine := w.instances[0]
	stop := make(chan struct{})
	var kills int
	var peak float64
	var enforcer, clients sync.WaitGroup
	enforcer.Go(func() { kills, peak = machine.enforceMemory(stop) })
	begin := time.Now()
	end := begin.Add(20 * time.Second)
	var all requests
	for range 16 {
		clients.Go(func() { w.orders(machine, &all, end) })
	}
	time.Sleep(8 * time.Second)
	w.log("%d clients send %d bytes each to %s", uploads, size, machine.name)
	for n := range uploads {
		clients.Go(func() {
			status, sent, err := w.upload(machine, size, uploads)
			w.log("upload %d: %d bytes sent, status %d %v", n, sent, status, err)
		})
	}
	clients.Wait()
	close(stop)
	enforcer.Wait()
	w.log("%s: peak %.0f MB, killed %d times", machine.name, peak, kills)
	lost := 0
	for _, q := range all.all {
		runs := w.runsOf(q.id)
		if q.kept && len(runs) > 0 && q.cutByNode() && q.sentAt.Sub(begin) > time.Duration(stableWindowS*float64(time.Second)) {
			lost++
		}
	}
	w.log("%d small orders; %d of them were passed on from a kept channel, which was closed without an answer (the rule allows 3)", len(all.all), lost)
	return lost > 3
}

// put writes a manifest as the operator does.
func (w *world) put(version int, keys []string, routes ...route) {
	if _, ok := w.store.put("op/config", manifest(version, keys, routes...)); !ok {
		panic("the store is away")
	}
}
