package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func caseExpect(w *world) bool {
	const padding = 60_000
	w.put(7, []string{orderKey}, route{"r-6sz9frg", orderPath, "safe", "pedidos", 2})
	for n := range 4 {
		w.newUpstream(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "pedidos", zones[n%len(zones)], 64, 5*time.Millisecond).padding = padding
	}
	i := w.newInstance(0, true)
	i.start()
	i.awaitReady()
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	total, mixed, failed := 0, 0, 0
	end := time.Now().Add(90 * time.Second)
	var clients sync.WaitGroup
	for range 24 {
		clients.Go(func() {
			for time.Now().Before(end) {
				ok, bad, err := w.pipelined(i, padding)
				mu.Lock()
				total += ok
				if bad != "" {
					if mixed++; mixed < 5 {
						w.log("MIXED: %s", bad)
					}
				}
				if err != nil {
					if failed++; failed < 5 {
						w.log("failed: %v", err)
					}
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	w.log("%d answers, %d with a body that isn't the upstream's, %d channels failed", total, mixed, failed)
	return mixed > 0
}

// pipelined sends two safe requests at a time on a channel, the second with a body that it
// announces with Expect.
func (w *world) pipelined(i *instance, padding int) (ok int, bad string, err error) {
	c, err := dial(i.front)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for range 20 {
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		first, second := newID(), newID()
		head := func(method, id string) string {
			return fmt.Sprintf("%s %sstatus HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 2000\r\nCredential: %s\r\n", method, orderPath, host, id, names["timeLeft"], orderKey)
		}
		io.WriteString(c, head("GET", first)+"\r\n")
		if w.trouble {
			time.Sleep(4500*time.Microsecond + rand.N(1500*time.Microsecond))
			io.WriteString(c, head("POST", second)+"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n")
		}
		resp, body, continued, err := readAnswer(reader, "GET")
		if err != nil {
			return ok, "", err
		}
		ok++
		want := " for " + first + strings.Repeat("x", padding)
		if resp.StatusCode == 200 && !strings.HasSuffix(body, want) {
			at := strings.Index(body, "HTTP/1.1 100")
			return ok, fmt.Sprintf("the success for %s has %d bytes; %q stands in its body at %d", first, len(body), "HTTP/1.1 100 Continue", at), nil
		}
		if !w.trouble {
			continue
		}
		if !continued {
			if r, err := http.ReadResponse(reader, &http.Request{Method: "POST"}); err != nil || r.StatusCode != 100 {
				return ok, "", fmt.Errorf("no interim answer: %v", err)
			}
		}
		io.WriteString(c, "0123456789")
		if _, _, _, err := readAnswer(reader, "POST"); err != nil {
			return ok, "", err
		}
		ok++
	}
	return ok, "", nil
}

func readAnswer(reader *bufio.Reader, method string) (resp *http.Response, body string, continued bool, err error) {
	for {
		resp, err = http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, "", continued, err
		}
		if resp.StatusCode == 100 {
			continued = true
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		return resp, string(raw), continued, err
	}
}
