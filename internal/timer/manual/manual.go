// Package manual implements lacewingramp.Timer with a clock that only Advance moves,
// for tests and for replays of traces.
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

// Timer is a timer whose time changes only in Advance. It is not safe for concurrent
// use.
type Timer struct {
	now      time.Time
	events   []*event
	sequence int
}

type event struct {
	due      time.Time
	period   time.Duration
	sequence int
	stopped  bool
	f        func(now time.Time)
}

// New returns a Timer whose time is start.
func New(start time.Time) *Timer {
	return &Timer{now: start}
}

// Now returns the current time of the Timer.
func (t *Timer) Now() time.Time {
	return t.now
}

// Every calls f once per period until stop is called.
func (t *Timer) Every(period time.Duration, f func(now time.Time)) (stop func()) {
	return t.schedule(period, period, f)
}

// After calls f once after d, unless stop is called before.
func (t *Timer) After(d time.Duration, f func(now time.Time)) (stop func()) {
	return t.schedule(d, 0, f)
}

func (t *Timer) schedule(d, period time.Duration, f func(now time.Time)) func() {
	t.sequence++
	e := &event{due: t.now.Add(d), period: period, sequence: t.sequence, f: f}
	t.events = append(t.events, e)
	return func() { e.stopped = true }
}

// Advance moves the time forward by d and runs all callbacks that become due. They
// run in the order in which they are due, and those due at the same time in the order
// in which Every or After was called.
func (t *Timer) Advance(d time.Duration) {
	end := t.now.Add(d)
	for {
		e := t.nextDue(end)
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

func (t *Timer) nextDue(end time.Time) *event {
	active := t.events[:0]
	for _, e := range t.events {
		if !e.stopped {
			active = append(active, e)
		}
	}
	t.events = active
	sort.SliceStable(active, func(i, j int) bool {
		if active[i].due.Equal(active[j].due) {
			return active[i].sequence < active[j].sequence
		}
		return active[i].due.Before(active[j].due)
	})
	if len(active) == 0 || active[0].due.After(end) {
		return nil
	}
	return active[0]
}
