// Package lines bounds how many log lines of each kind are written a second,
// and counts those that are left out.
//
// The first lines of a kind in a second are always written, so that a new kind
// of trouble is seen at once, however many others there are.
//
// # Usage
//
//	var l lines.Limiter
//	if l.Allow(now, "slots") {
//		log.Info().Msg("...")
//	}
//	for kind, n := range l.Omitted() {
//		log.Info().Str("kind", kind).Int("omitted", n).Msg("lines left out")
//	}
package lines

import (
	"sync"
	"time"
)

// MostASecond is how many lines of one kind are written a second.
const MostASecond = 40

// Limiter bounds log lines. Its zero value is ready and safe for use by many
// goroutines.
type Limiter struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
	left   map[string]int
}

// Allow reports whether a line of a kind should be written now.
func (l *Limiter) Allow(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second || l.counts == nil {
		l.second = s
		l.counts = make(map[string]int)
	}
	l.counts[kind]++
	if l.counts[kind] <= MostASecond {
		return true
	}
	if l.left == nil {
		l.left = make(map[string]int)
	}
	l.left[kind]++
	return false
}

// Omitted returns how many lines of each kind have been left out since the
// last call.
func (l *Limiter) Omitted() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.left
	l.left = nil
	return left
}
