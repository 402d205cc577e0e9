// Package wall is the time service of a running process.
//
// # Usage
//
//	var timer wall.Timer
//	stop := timer.Every(time.Second, func(now time.Time) { book.Tick(now) })
//	defer stop()
package wall

import (
	"sync"
	"time"
)

// Timer follows the machine's monotonic clock. Its zero value is ready.
type Timer struct{}

// Now returns the current time.
func (Timer) Now() time.Time {
	return time.Now()
}

// Every calls f once a period on a goroutine of its own until stop is called.
// Calls never overlap. stop returns when no further call can begin.
func (Timer) Every(period time.Duration, f func(now time.Time)) (stop func()) {
	done := make(chan struct{})
	ticker := time.NewTicker(period)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				f(time.Now())
			}
		}
	}()
	var once sync.Once
	return func() { once.Do(func() { close(done) }) }
}

// After calls f once when d has passed, unless stop is called before.
func (Timer) After(d time.Duration, f func(now time.Time)) (stop func()) {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}
