package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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
	head := fmt.Sprintf("POST /sign/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\nContent-Length: 1\r\n", host, id, deadlineMs, key)
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

// Doses of the case lateHealth: the largest of the site for `garble` with how = "extra late"
// (share = 0.6, x = 0.03, for_s = 5) and for `herd_kill` (share = 1.0, for_s = 1.0).
const (
	garbleShare   = 0.6
	garbleX       = 30000
	garbleFor     = 5 * time.Second
	lateRounds    = 10
	lateClients   = 40
	latePause     = 200 * time.Millisecond
	lateUpstreams = 12
	lateWork      = 60 * time.Millisecond
)

// lateHealth kills the processes of the machines while some upstreams hand out a few of their
// answers twice.
func lateHealth(r *record, trouble bool) int {
	s, ok := awaitSite(options{machines: 2, work: lateWork, upstreams: lateUpstreams, faulty: true, seed: uint64(time.Now().UnixNano())}, r)
	if !ok {
		return exitFailed
	}
	defer s.close()
	a, end := s.ordinary(lateClients, latePause)
	time.Sleep(3 * time.Second)
	rounds := lateRounds
	if !trouble {
		rounds = 3
	}
	for round := range rounds {
		if !trouble {
			time.Sleep(garbleFor + time.Second)
			continue
		}
		chosen := rand.Perm(len(s.faulty))[:int(garbleShare*float64(len(s.faulty)))]
		for _, n := range chosen {
			s.faulty[n].extraShare.Store(garbleX)
		}
		r.line("round %d: %d of %d upstreams repeat 3 of 100 answers, for %s; the processes are killed", round+1, len(chosen), len(s.faulty), garbleFor)
		for _, m := range s.machines {
			m.kill()
		}
		time.Sleep(garbleFor)
		for _, n := range chosen {
			s.faulty[n].extraShare.Store(0)
		}
		time.Sleep(2 * time.Second)
	}
	end()
	answers, extras, health := 0, 0, 0
	for _, u := range s.faulty {
		u.mu.Lock()
		answers, extras, health = answers+u.answers, extras+u.extras, health+u.healthExtras
		u.mu.Unlock()
	}
	answered, unanswered, _ := s.report(a)
	r.line("the upstreams sent %d answers, and %d once more, %d of these to liveness checks", answers, extras, health)
	r.line("ordinary requests: %d answered, %d not answered", answered, unanswered)
	return s.judgeMixed(a)
}

// judgeMixed judges the rule MIXED: "A client gets a success (2xx) without the upstream's
// `Response-Signature`, or with a body that isn't the upstream's whole body, [...] or any answer
// that belongs to another request".
func (s *site) judgeMixed(a *attempts) int {
	mixed := 0
	for _, t := range a.list {
		if t.status/100 == 2 && t.note != "" {
			mixed++
			s.record.line("MIXED: request %s %s %s got status %d: %s; it ran %d times", t.id, t.method, t.path, t.status, t.note, s.record.runsOf(t.id))
		}
	}
	s.record.line("%d answers break the rule MIXED", mixed)
	if mixed > 0 {
		return exitBroken
	}
	return exitHeld
}

// Figures of the case stopUploads. The pause between two stops is the gap_s of the site's
// `roll_term`; the time that a body takes is well inside headerTimeoutS, and with the work inside
// the route's timeoutS.
const (
	uploadClients = 30
	uploadWork    = 300 * time.Millisecond
	minUpload     = 700 * time.Millisecond
	moreUpload    = 700 * time.Millisecond
	uploadPieces  = 6
	stopGap       = 2 * time.Second
	stopsFor      = 85 * time.Second
	graceTime     = 6 * time.Second
)

// upload is a client attempt whose body arrives in pieces.
type upload struct {
	attempt
	machine *machine
	// written is when its last byte was sent, and ended when the answer or the end of the channel
	// came.
	written time.Time
	ended   time.Time
}

// stopUploads stops the machines in turn, gracefully, while clients send bodies piece by piece.
func stopUploads(r *record, trouble bool) int {
	s, ok := awaitSite(options{machines: 2, work: uploadWork, upstreams: 4}, r)
	if !ok {
		return exitFailed
	}
	defer s.close()
	var mu sync.Mutex
	var all []upload
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range uploadClients {
		wg.Go(func() {
			c := &client{number: n, site: s, patient: n%3 == 0}
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(200 * time.Millisecond)):
				}
				c.resolve()
				if len(c.addresses) == 0 {
					continue
				}
				c.sent++
				u := s.upload(c.addresses[rand.IntN(len(c.addresses))], fmt.Sprintf("u%02d-%04d", n, c.sent))
				mu.Lock()
				all = append(all, u)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(stopsFor)
	if !trouble {
		until = time.Now().Add(20 * time.Second)
	}
	for n := 0; time.Now().Before(until); n++ {
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		s.machines[n%len(s.machines)].restart(graceTime)
		time.Sleep(stopGap)
	}
	close(stop)
	wg.Wait()
	return s.judgeLost(all)
}

// upload sends a request whose body of a sign-off arrives in pieces, on a channel of its own.
func (s *site) upload(address, id string) upload {
	u := upload{attempt: attempt{id: id, at: time.Now(), method: "POST", path: "/sign/1", channel: "new"}}
	for _, m := range s.machines {
		if m.front() == address {
			u.machine = m
		}
	}
	u.status, u.note = u.send(address)
	u.ended = time.Now()
	return u
}

func (u *upload) send(address string) (status int, note string) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, "no channel: " + short(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadlineMs * time.Millisecond))
	piece := bytes.Repeat([]byte("x"), 200)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n", u.path, host, u.id, deadlineMs, key, uploadPieces*len(piece))
	if _, err := io.WriteString(c, head); err != nil {
		return 0, "not written: " + short(err)
	}
	pause := (minUpload + rand.N(moreUpload)) / uploadPieces
	for range uploadPieces {
		time.Sleep(pause)
		if _, err := c.Write(piece); err != nil {
			return 0, "not written: " + short(err)
		}
	}
	u.written = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "no answer: " + short(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, "no whole answer: " + short(err)
	}
	return resp.StatusCode, ""
}

// judgeLost judges the rule LOST around planned work: "a process has read a whole request and the
// channel ends without a complete answer, [...] once it has been passed on to an upstream",
// around "a SIGTERM of the machine that took the request from the client, until 1 s after
// `graceS`". Not counted are requests at which the upstream was still at work in the last sixth of
// graceS, and those that reached their time limit.
func (s *site) judgeLost(all []upload) int {
	lost, answered, unread := 0, 0, 0
	for _, u := range all {
		runs := s.record.runsOf(u.id)
		after := u.machine.sinceStop(u.ended)
		s.record.line("request %s %s %s to %s: sent from %.3f s to %.3f s, ended at %.3f s (%.3f s after a SIGTERM there), status %d, ran %d times %s",
			u.id, u.method, u.path, u.machine.name, s.record.at(u.at), s.record.at(u.written), s.record.at(u.ended), after.Seconds(), u.status, runs, u.note)
		switch {
		case u.status != 0:
			answered++
		case runs == 0:
			unread++
		case after > 0 && after < graceTime*5/6 && u.ended.Sub(u.at) < 2500*time.Millisecond:
			lost++
			s.record.line("LOST: request %s was sent whole, reached an upstream and ran, and its channel ended %.3f s after the SIGTERM without an answer", u.id, after.Seconds())
		}
	}
	s.record.line("%d requests were answered, %d ended without having been passed on, %d break the rule LOST", answered, unread, lost)
	for _, m := range s.machines {
		ends, _ := m.state()
		s.record.line("%s: ended by itself %d times", m.name, ends)
	}
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
