package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// caseSmuggle sends requests whose body holds the text of an order. In half of them the
// header that gives the length of the body has a space before its colon, which HTTP/1.1
// forbids (RFC 9112, 5.1: to be answered 400). Nobody sends the orders in the bodies.
func caseSmuggle(w *world) bool {
	const (
		rounds = 20
		work   = 20 * time.Millisecond
	)
	for n := range 3 {
		w.newUpstream(newID(), "pedidos", zones[n], 4, work)
		w.newUpstream(newID(), "recetario", zones[n], 4, work)
	}
	w.store.put("op/config", manifest(7, []string{"key-1"}, route{"r-order", "/order/", "unsafe", "pedidos", 1.2}, route{"r-recipe", "/recipe/", "safe", "recetario", 1.2}))
	for n := range 2 {
		w.newInstance(n, true).start()
	}
	for _, i := range w.instances {
		i.awaitReady()
	}
	time.Sleep(2 * time.Second)
	colons := []string{":"}
	if w.trouble {
		colons = append(colons, " :")
	}
	sent, hidden := map[string]bool{}, map[string]string{}
	foreign := 0
	for n := range rounds {
		i := w.instances[n%len(w.instances)]
		for _, colon := range colons {
			outer, inner, next := newID(), newID(), newID()
			sent[outer], sent[next], hidden[inner] = true, true, outer
			order := fmt.Sprintf("POST /order/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 1000\r\nCredential: key-1\r\nContent-Length: 0\r\n\r\n", n, host, inner, names["timeLeft"])
			first := fmt.Sprintf("POST /recipe/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 1000\r\nCredential: key-1\r\nContent-Length%s %d\r\n\r\n%s", n, host, outer, names["timeLeft"], colon, len(order), order)
			second := fmt.Sprintf("GET /recipe/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 1000\r\nCredential: key-1\r\n\r\n", n, host, next, names["timeLeft"])
			c, err := net.DialTimeout("tcp4", i.front, time.Second)
			must(err)
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			reader := bufio.NewReader(c)
			// The client sends a request, reads its answer, and sends another one.
			for k, text := range []string{first, second} {
				if _, err := io.WriteString(c, text); err != nil {
					w.note("request %d of channel %s: %v", k+1, outer, err)
					break
				}
				resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
				if err != nil {
					w.note("request %d of channel %s: %v", k+1, outer, err)
					break
				}
				body, _ := io.ReadAll(resp.Body)
				id := resp.Header.Get("Request-Id")
				w.note("request %s (%q): answered %d with Request-Id %s: %.60q", []string{outer, next}[k], "Content-Length"+colon, resp.StatusCode, id, body)
				if k == 1 && resp.StatusCode == http.StatusOK && hidden[id] != "" {
					foreign++
					w.log("MIXED: the request %s on the same channel got the answer to %s, an order that stood in the body of %s", next, id, outer)
				}
			}
			c.Close()
		}
	}
	time.Sleep(time.Second)
	unasked, fine := 0, 0
	w.mu.Lock()
	runs := append([]*run(nil), w.runs...)
	w.mu.Unlock()
	for _, r := range runs {
		w.note("run of %s at %s (%s) for tenant %s", r.id, r.upstream, r.service, r.tenant)
		switch {
		case sent[r.id]:
			fine++
		default:
			unasked++
			w.log("UNASKED: %s (%s) ran order %s for tenant %s, which no client sent: it stood in the body of request %s", r.upstream, r.service, r.id, r.tenant, hidden[r.id])
		}
	}
	w.log("runs of requests that a client sent: %d, of orders that nobody sent: %d; foreign answers: %d", fine, unasked, foreign)
	if fine == 0 {
		panic("no request ran")
	}
	return unasked > 0
}
