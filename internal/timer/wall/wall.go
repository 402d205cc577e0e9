// Package wall implements lacewingramp.Timer with the system clock.
//
// # Usage
//
//	var timer wall.Timer
//	stop := timer.Every(time.Second, func(now time.Time) { quota.Tick(now) })
//	defer stop()
package wall

import (
	"sync"
	"time"
)

// Timer follows the machine's monotonic clock. Its zero value is ready for use.
type Timer struct{}

// Now returns the current time.
func (Timer) Now() time.Time {
	return time.Now()
}

// Every calls f once per period in a goroutine of its own until stop is called. Calls
// never overlap. stop does not wait: a call that is running then, or has just become
// due, may still complete.
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

// After calls f once after d, unless stop is called before.
func (Timer) After(d time.Duration, f func(now time.Time)) (stop func()) {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}
