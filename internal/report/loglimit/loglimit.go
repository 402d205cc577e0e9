// Package loglimit limits the rate of log lines per kind and counts the lines that
// it omits.
//
// Each kind has its own limit, so the first lines of a new kind of fault are
// written at once even while lines of another kind are being omitted.
//
// # Usage
//
//	var l loglimit.Limiter
//	if l.Allow(now, "slots") {
//		log.Info().Msg("...")
//	}
//	for kind, n := range l.Omitted() {
//		log.Info().Str("kind", kind).Int("omitted", n).Msg("omitted log lines")
//	}
package loglimit

import (
	"sync"
	"time"
)

// MaxPerSecond is the maximum number of lines of one kind that are written per second.
const MaxPerSecond = 40

// Limiter limits log lines per kind and second. Its zero value is ready for use. It is
// safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	omitted map[string]int
}

// Allow reports whether a line of the given kind may be written at now. It counts
// the line as omitted if not.
func (l *Limiter) Allow(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second || l.counts == nil {
		l.second = s
		l.counts = make(map[string]int)
	}
	l.counts[kind]++
	if l.counts[kind] <= MaxPerSecond {
		return true
	}
	if l.omitted == nil {
		l.omitted = make(map[string]int)
	}
	l.omitted[kind]++
	return false
}

// Omitted returns the number of lines omitted per kind since the previous call.
func (l *Limiter) Omitted() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	omitted := l.omitted
	l.omitted = nil
	return omitted
}
