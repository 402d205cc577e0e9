package message

import (
	"net/http"
	"sync"
	"time"
)

// RequestBudget bounds the memory of all request bodies that are being read, or were read and
// not released, at one time. Bodies take memory as their bytes arrive, whatever length they
// have announced. A part is reserved for small bodies. While memory is short, a body that needs
// some cuts the one that has been longest without progress. It is safe for concurrent use.
type RequestBudget struct {
	mu   sync.Mutex
	free int
	// reserve is the part that only small bodies may take.
	reserve int
	// reading holds the bodies that have not been read to their end.
	reading map[*requestBody]struct{}
}

const (
	// requestBudgetEighths is the part of a process's memory that its RequestBudget holds, in
	// eighths: with 184 MB, enough for a body of 64 MiB and the reserve. Response bodies take
	// up to a quarter of the memory.
	requestBudgetEighths = 3
	// reserveFraction is the part of the budget that is reserved for small bodies: one in
	// reserveFraction.
	reserveFraction = 16
	// smallBody is the maximum size of a body that may take memory of the reserve, in bytes.
	smallBody = 512 << 10
	// minIdleTime is how long a body has to be without progress before it is cut. A process
	// with a small share of a CPU leaves bytes unread for some tenths of a second.
	minIdleTime = 500 * time.Millisecond
	// A body waits for up to maxWaits times waitInterval for the memory of one that was cut,
	// and a small body for that of any other.
	waitInterval = 5 * time.Millisecond
	maxWaits     = 20
)

var (
	errRequestBudget error = &FormatError{Status: http.StatusServiceUnavailable, Detail: "too many large request bodies at one time"}
	errRequestCut    error = &FormatError{Status: http.StatusServiceUnavailable, Detail: "the request body made no progress while memory was short"}
)

// NewRequestBudget returns a RequestBudget for a process with the given memory limit in
// bytes.
func NewRequestBudget(memory int64) *RequestBudget {
	size := int(memory / 8 * requestBudgetEighths)
	return &RequestBudget{free: size, reserve: size / reserveFraction, reading: make(map[*requestBody]struct{})}
}

// acquire takes n bytes for a body that is being read. It may wait for them.
func (r *RequestBudget) acquire(b *requestBody, n int) error {
	for range maxWaits {
		if r.take(b, n) {
			return nil
		}
		if !r.cutIdle(time.Now(), n) && !b.small(n) {
			return errRequestBudget
		}
		time.Sleep(waitInterval)
	}
	return errRequestBudget
}

func (r *RequestBudget) take(b *requestBody, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.free - n
	if left < 0 || left < r.reserve && !b.small(n) {
		return false
	}
	r.free = left
	b.taken += n
	return true
}

// cutIdle cuts the body that has been longest without progress among those that hold at least
// n bytes. It reports false if there is none; a body that was cut before and still holds its
// memory counts as one.
func (r *RequestBudget) cutIdle(now time.Time, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var idlest *requestBody
	for b := range r.reading {
		if b.taken < n || now.Sub(b.lastRead) < minIdleTime {
			continue
		}
		if b.wasCut {
			return true
		}
		if idlest == nil || b.lastRead.Before(idlest.lastRead) {
			idlest = b
		}
	}
	if idlest == nil {
		return false
	}
	idlest.wasCut = true
	idlest.cut()
	return true
}

// begin adds a body that is being read.
func (r *RequestBudget) begin(b *requestBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.lastRead = time.Now()
	r.reading[b] = struct{}{}
}

// progress records that bytes of a body have arrived.
func (r *RequestBudget) progress(b *requestBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.lastRead = time.Now()
}

// end removes a body that is no longer being read, and reports whether it was cut.
func (r *RequestBudget) end(b *requestBody) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reading, b)
	return b.wasCut
}

// giveBack gives back all memory of a body.
func (r *RequestBudget) giveBack(b *requestBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += b.taken
	b.taken = 0
}
