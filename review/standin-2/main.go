// Command standin2 plays the cases of the second review that are scripts: it holds stand-ins of
// the platform, the upstreams and the clients, and starts the program of the deploy file as
// processes of its own.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitFailed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r := &record{startedAt: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*record, bool) int{"directory-heads": directoryHeads, "front-heads": frontHeads, "foreign-entry": foreignEntry}
	play, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(exitFailed)
	}
	r.line("case %s, with the disruption: %v", os.Args[1], trouble)
	go func() {
		time.Sleep(maxTime)
		r.line("cannot run: the case takes too long")
		os.Exit(exitFailed)
	}()
	code := play(r, trouble)
	r.line("exit code %d", code)
	_ = file.Close()
	os.Exit(code)
}

// ordinary starts ordinary clients and returns a function that ends them.
func (s *site) ordinary(n int, pause time.Duration) (*attempts, func()) {
	a, stop := &attempts{}, make(chan struct{})
	var wg sync.WaitGroup
	for i := range n {
		c := &client{number: i, site: s, attempts: a}
		wg.Go(func() { c.run(stop, pause) })
	}
	return a, func() { close(stop); wg.Wait() }
}

// report writes the attempts of the ordinary clients into the record.
func (s *site) report(a *attempts) (answered, unanswered, lost int) {
	byID := s.record.runsOf()
	for _, t := range a.list {
		runs := len(byID[t.id])
		s.record.mu.Lock()
		_, _ = fmt.Fprintf(s.record.file, "%8.3f s  request %s %s %s to %s on a %s channel: status %d, ran %d times, after %.3f s %s\n",
			t.at.Sub(s.record.startedAt).Seconds(), t.id, t.method, t.path, s.nameOf(t.to), t.channel, t.status, runs, t.took.Seconds(), t.note)
		s.record.mu.Unlock()
		if t.status == 0 {
			unanswered++
			if runs > 0 {
				lost++
			}
		} else {
			answered++
		}
	}
	return answered, unanswered, lost
}

func (s *site) nameOf(front string) string {
	for _, m := range s.machines {
		if m.front() == front {
			return m.name
		}
	}
	return front
}
