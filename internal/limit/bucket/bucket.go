// Package bucket is a token bucket on a clock that its user gives.
//
// # Usage
//
//	b := bucket.Bucket{Rate: 10, Most: 20, Moment: now}
//	b.Fill(later)
//	if !b.Take(0) {
//		wait := b.Wait()
//	}
package bucket

import (
	"math"
	"time"
)

// Bucket holds tokens: Level at Moment, Rate more each second, up to Most.
type Bucket struct {
	Rate   float64
	Most   float64
	Level  float64
	Moment time.Time
}

// Fill adds the tokens of the time that has passed.
func (b *Bucket) Fill(now time.Time) {
	passed := now.Sub(b.Moment).Seconds()
	if passed <= 0 {
		return
	}
	b.Moment = now
	b.Level = math.Min(b.Most, b.Level+b.Rate*passed)
}

// Take takes one token, if the level does not fall below a floor by it.
func (b *Bucket) Take(floor float64) bool {
	if b.Level-1 < floor {
		return false
	}
	b.Level--
	return true
}

// Wait returns how long it takes until there is a token, 0 where there is one or
// never will be.
func (b *Bucket) Wait() time.Duration {
	lack := 1 - b.Level
	if b.Rate <= 0 || lack <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(lack / b.Rate * float64(time.Second)))
}
