// Package manual is a time service that moves only when it is told to.
//
// # Usage
//
//	timer := manual.New(start)
//	timer.Every(time.Second, tick)
//	timer.Advance(10 * time.Second) // calls tick ten times, in order
package manual

import (
	"sort"
	"time"
)

// Timer is a time service for tests and traces. It is not safe for use by
// more than one goroutine.
type Timer struct {
	now    time.Time
	events []*event
	serial int
}

type event struct {
	due     time.Time
	period  time.Duration
	serial  int
	stopped bool
	f       func(now time.Time)
}

// New returns a Timer that stands at start.
func New(start time.Time) *Timer {
	return &Timer{now: start}
}

// Now returns the time the Timer stands at.
func (t *Timer) Now() time.Time {
	return t.now
}

// Every calls f once a period until stop is called.
func (t *Timer) Every(period time.Duration, f func(now time.Time)) (stop func()) {
	return t.add(period, period, f)
}

// After calls f once when d has passed, unless stop is called before.
func (t *Timer) After(d time.Duration, f func(now time.Time)) (stop func()) {
	return t.add(d, 0, f)
}

func (t *Timer) add(d, period time.Duration, f func(now time.Time)) func() {
	t.serial++
	e := &event{due: t.now.Add(d), period: period, serial: t.serial, f: f}
	t.events = append(t.events, e)
	return func() { e.stopped = true }
}

// Advance moves the time forward by d and calls what falls due, in order of
// its time and then of its subscription.
func (t *Timer) Advance(d time.Duration) {
	end := t.now.Add(d)
	for {
		e := t.next(end)
		if e == nil {
			break
		}
		t.now = e.due
		if e.period > 0 {
			e.due = e.due.Add(e.period)
		} else {
			e.stopped = true
		}
		e.f(t.now)
	}
	t.now = end
}

func (t *Timer) next(end time.Time) *event {
	live := t.events[:0]
	for _, e := range t.events {
		if !e.stopped {
			live = append(live, e)
		}
	}
	t.events = live
	sort.SliceStable(live, func(i, j int) bool {
		if live[i].due.Equal(live[j].due) {
			return live[i].serial < live[j].serial
		}
		return live[i].due.Before(live[j].due)
	})
	if len(live) == 0 || live[0].due.After(end) {
		return nil
	}
	return live[0]
}
