// Package bucket implements a token bucket whose caller supplies the time.
//
// # Usage
//
//	b := bucket.Bucket{Rate: 10, Capacity: 20, FilledAt: now}
//	b.Fill(later)
//	if !b.Take(0) {
//		wait := b.Wait()
//	}
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. It holds Level tokens at FilledAt and gains Rate
// tokens a second, up to Capacity.
type Bucket struct {
	Rate     float64
	Capacity float64
	Level    float64
	FilledAt time.Time
}

// Fill adds the tokens that have accrued since FilledAt.
func (b *Bucket) Fill(now time.Time) {
	elapsed := now.Sub(b.FilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.FilledAt = now
	b.Level = math.Min(b.Capacity, b.Level+b.Rate*elapsed)
}

// Take takes one token, unless the level would fall below minLevel.
func (b *Bucket) Take(minLevel float64) bool {
	if b.Level-1 < minLevel {
		return false
	}
	b.Level--
	return true
}

// Wait returns the time until there is a token, 0 if there is one or never will
// be.
func (b *Bucket) Wait() time.Duration {
	missing := 1 - b.Level
	if b.Rate <= 0 || missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.Rate * float64(time.Second)))
}
