package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// brokenEnds is how often processes have to end by themselves on at least two machines to
// break the rule Fault.
const brokenEnds = 3

// judgeEnds judges the rule Fault as it is written: "if on a tenth of the machines in use (two
// at least) processes end by themselves three times in the day with no disturbance there (memory
// over the limit counts)".
func (s *site) judgeEnds() int {
	over := 0
	for _, m := range s.machines {
		ends, peak := m.state()
		s.record.line("%s: ended by itself %d times, took %d MB at the most", m.name, ends, peak)
		if ends >= brokenEnds {
			over++
		}
	}
	if over >= 2 {
		return exitBroken
	}
	return exitHeld
}

// lines returns header lines without values and with names that differ, size bytes at most.
func lines(size int) []byte {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	for n := 0; ; n++ {
		name := []byte{digits[n%26], digits[n/26%36], digits[n/936%36]}
		if rest := n / 33696; rest > 0 {
			name = append(name, digits[rest%36])
		}
		if b.Len()+len(name)+3 > size {
			return b.Bytes()
		}
		b.Write(name)
		b.WriteString(":\r\n")
	}
}

// until waits until all machines have ended often enough, or a time has passed.
func (s *site) untilEnds(limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		done := 0
		for _, m := range s.machines {
			if ends, _ := m.state(); ends >= brokenEnds {
				done++
			}
		}
		if done == len(s.machines) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func awaitSite(o options, r *record) (*site, bool) {
	s, err := newSite(o, r)
	if err != nil {
		r.line("cannot run: %v", err)
		return nil, false
	}
	if !s.awaitReady(15 * time.Second) {
		r.line("cannot run: the machines did not get ready")
		s.close()
		return nil, false
	}
	r.line("all machines answer the directory's question")
	return s, true
}

// hold opens a channel, writes the text and keeps the channel for a time.
func hold(address string, text []byte, keep time.Duration) error {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(keep))
	if _, err := c.Write(text); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 64))
	return err
}

// Sizes of the case directoryHeads.
const (
	directoryClients = 120
	directoryHead    = 1000000
)

// directoryHeads lets a few clients ask the directory with long heads that do not end.
func directoryHeads(r *record, trouble bool) int {
	s, ok := awaitSite(options{machines: 2, work: 20 * time.Millisecond, rate: 135, upstreams: 4}, r)
	if !ok {
		return exitFailed
	}
	defer s.close()
	a, end := s.ordinary(10, 200*time.Millisecond)
	time.Sleep(3 * time.Second)
	if trouble {
		head := append([]byte(fmt.Sprintf("GET /lacewingramp/resolve?name=%s&region=kerala&zone=kochi-a HTTP/1.1\r\nHost: directory\r\n", host)), lines(directoryHead)...)
		r.line("from now on %d clients at each machine ask the directory with a head of %d bytes that does not end", directoryClients, len(head))
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for _, m := range s.machines {
			for range directoryClients {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(200 * time.Millisecond):
						}
						_ = hold(m.directory(), head, 10*time.Second)
					}
				})
			}
		}
		s.untilEnds(60 * time.Second)
		close(stop)
	} else {
		time.Sleep(20 * time.Second)
	}
	r.line("the disruption is over")
	time.Sleep(3 * time.Second)
	end()
	answered, unanswered, lost := s.report(a)
	r.line("ordinary requests: %d answered, %d not answered, %d of these had run", answered, unanswered, lost)
	return s.judgeEnds()
}

// Sizes of the case frontHeads. A head of frontHead bytes is inside maxHeaderBytes, also if the
// white space is counted that its lines do not have.
const (
	frontClients = 1800
	frontHead    = 13500
	frontPause   = 2 * time.Second
)

// frontHeads lets clients that stay inside all limits of the manifest send requests with many
// header lines, and the last byte of their body two seconds after the rest.
func frontHeads(r *record, trouble bool) int {
	s, ok := awaitSite(options{machines: 2, work: 20 * time.Millisecond, rate: 135, upstreams: 4}, r)
	if !ok {
		return exitFailed
	}
	defer s.close()
	a, end := s.ordinary(10, 200*time.Millisecond)
	time.Sleep(3 * time.Second)
	if trouble {
		filler := lines(frontHead)
		r.line("from now on %d clients at each machine send heads of %d bytes in %d lines, and the last byte of the body %s later", frontClients, len(filler), bytes.Count(filler, []byte("\n")), frontPause)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var seen statuses
		for i, m := range s.machines {
			for n := range frontClients {
				wg.Go(func() {
					for turn := 0; ; turn++ {
						select {
						case <-stop:
							return
						case <-time.After(200*time.Millisecond + rand.N(200*time.Millisecond)):
						}
						id := fmt.Sprintf("h%d-%d-%d", i, n, turn)
						seen.add(slowBody(m.front(), id, filler))
					}
				})
			}
		}
		s.untilEnds(60 * time.Second)
		close(stop)
		wg.Wait()
		r.line("answers to these clients by status (0: none): %v", seen.counts)
	} else {
		time.Sleep(20 * time.Second)
	}
	r.line("the disruption is over")
	time.Sleep(3 * time.Second)
	end()
	answered, unanswered, lost := s.report(a)
	r.line("ordinary requests: %d answered, %d not answered, %d of these had run", answered, unanswered, lost)
	return s.judgeEnds()
}

// statuses counts answers by status.
type statuses struct {
	mu     sync.Mutex
	counts map[int]int
}

func (s *statuses) add(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[int]int)
	}
	s.counts[status]++
}

// slowBody sends a request whose body of one byte follows frontPause after its head, inside
// headerTimeoutS, and returns the status of the answer.
func slowBody(address, id string, filler []byte) int {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(frontPause + deadlineMs*time.Millisecond))
	head := fmt.Sprintf("POST /sign/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\nCredential: %s\r\nContent-Length: 1\r\n", host, id, names["timeLeft"], deadlineMs, key)
	if _, err := c.Write(append(append([]byte(head), filler...), "\r\n"...)); err != nil {
		return 0
	}
	time.Sleep(frontPause)
	if _, err := c.Write([]byte("x")); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Figures of the case foreignEntry: the work is that of the site's sign-offs, and stayLonger is how
// much longer than drainS an upstream that leaves goes on ("a little longer").
const (
	foreignRounds  = 14
	foreignLeave   = 2
	foreignClients = 24
	foreignWork    = 1160 * time.Millisecond
	drainTime      = 2 * time.Second
	foreignAfter   = 200 * time.Millisecond
	stayLonger     = time.Second
)

// foreignEntry lets upstreams leave whose entries are removed, and another writer write these
// entries once more, with a field missing.
func foreignEntry(r *record, trouble bool) int {
	o := options{machines: 2, work: foreignWork, upstreams: 10, further: foreignRounds * foreignLeave, rate: 135}
	s, ok := awaitSite(o, r)
	if !ok {
		return exitFailed
	}
	defer s.close()
	a, end := s.ordinary(foreignClients, 400*time.Millisecond)
	gone := make(map[string]time.Time)
	for round := range foreignRounds {
		var leaving []*upstream
		for n := range foreignLeave {
			u, err := s.addUpstream(o, "signoff-ledger", s.machines[n%2].zone, 100+round*foreignLeave+n)
			if err != nil {
				r.line("cannot run: %v", err)
				return exitFailed
			}
			leaving = append(leaving, u)
		}
		time.Sleep(4 * time.Second)
		for _, u := range leaving {
			u.leave(s.store)
			gone[u.id] = time.Now()
		}
		r.line("round %d: %d upstreams leave, their entries are removed; they go on for %s", round+1, len(leaving), drainTime+stayLonger)
		time.Sleep(drainTime + foreignAfter)
		if trouble {
			for _, u := range leaving {
				entry := u.entry()
				delete(entry, names["cold"])
				s.store.put("servers/"+u.id, entry)
			}
			r.line("another writer writes their entries once more, without %s", names["cold"])
		}
		time.Sleep(stayLonger - foreignAfter)
		for _, u := range leaving {
			u.end()
			s.store.remove("servers/" + u.id)
		}
		r.line("they have ended")
	}
	end()
	return s.judgeDrain(a, gone)
}

// judgeDrain judges the rule DRAIN: "A request reaches an upstream later than `drainS` after a
// machine in touch acknowledged that the upstream is `draining` or gone, taken from the client and
// sent on by machines in touch." gone holds when the store acknowledged the removal of the entry.
func (s *site) judgeDrain(a *attempts, gone map[string]time.Time) int {
	answered, unanswered, _ := s.report(a)
	byID := s.record.runsOf()
	late, failed := 0, 0
	for _, t := range a.list {
		for _, x := range byID[t.id] {
			ack, ok := gone[x.upstream]
			if !ok || x.at.Sub(ack) <= drainTime || t.at.Before(ack) {
				continue
			}
			late++
			if t.status != 200 {
				failed++
			}
			s.record.line("DRAIN: request %s %s %s reached %s %.3f s after its entry was removed; the client got %d", t.id, t.method, t.path, x.upstream, x.at.Sub(ack).Seconds(), t.status)
		}
	}
	s.record.line("requests: %d answered, %d not; %d break the rule DRAIN, %d of these were not served", answered, unanswered, late, failed)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
