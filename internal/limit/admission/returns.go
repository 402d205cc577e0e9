package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rememberedReturns is the number of refused callers that are remembered, a power of two.
	rememberedReturns = 4096
	// earlyReturn and lateReturn are how much earlier and later than told a caller may return.
	earlyReturn = 50 * time.Millisecond
	lateReturn  = time.Second
)

// Returns recognizes callers that have been refused and return. Its zero value remembers
// none. A newer entry replaces an older one, so that its memory is bounded.
type Returns struct {
	entries [rememberedReturns]expectedReturn
}

type expectedReturn struct {
	key uint64
	due time.Time
}

// ReturnKey returns the key of a caller. A repeated request has another ID, but the same customer,
// route, path and object.
func ReturnKey(customer, route, path, object string) uint64 {
	key := xxhash.Sum64String(customer)
	for _, s := range [...]string{route, path, object} {
		key = key*31 + xxhash.Sum64String(s)
	}
	return key
}

// Refused records that a caller was told to return after a time.
func (r *Returns) Refused(now time.Time, key uint64, after time.Duration) {
	r.entries[key%rememberedReturns] = expectedReturn{key: key, due: now.Add(after)}
}

// Returned reports whether a caller was told to return about now. It counts once.
func (r *Returns) Returned(now time.Time, key uint64) bool {
	e := &r.entries[key%rememberedReturns]
	if e.due.IsZero() || e.key != key {
		return false
	}
	late := now.Sub(e.due)
	if late < -earlyReturn || late > lateReturn {
		return false
	}
	*e = expectedReturn{}
	return true
}
