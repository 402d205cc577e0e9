package message

import (
	"net/http"
	"sync"
	"time"
)

// RequestBudget bounds the memory of all requests that are being read, or were read and not
// released, at one time. They take memory as their bytes arrive, whatever length they have
// announced. A part is reserved for small requests. While memory is short, a request that needs
// some cuts the one that has been longest without progress. It is safe for concurrent use.
type RequestBudget struct {
	// MaxHeap is the maximum memory of the Go runtime, in bytes, beyond which nothing more is
	// held on its heap, 0 for no maximum. It must be set before the first use.
	MaxHeap int64

	gauge heapGauge
	mu    sync.Mutex
	free  int
	// freeHeads is the part of free that heads may take.
	freeHeads int
	// reserve is the part of free that only small requests may take, and headReserve the part
	// of freeHeads that only small heads may take.
	reserve     int
	headReserve int
	// reading holds the requests that have not been read to their end.
	reading map[*requestMemory]struct{}
}

const (
	// requestBudgetPart is the part of a process's memory that its RequestBudget holds, in parts
	// of 32: with 184 MB, enough for a body of 64 MiB beside some hundred ordinary requests and
	// the reserve.
	requestBudgetPart = 13
	// minRequestBudget is enough for a few ordinary requests, in bytes.
	minRequestBudget = 1 << 20
	// reserveFraction is the part of the budget that is reserved for small requests: one in
	// reserveFraction.
	reserveFraction = 16
	// headFraction is the part of the budget that heads may take, and headReserveFraction the
	// part of that which is reserved for small ones: one in each.
	headFraction        = 2
	headReserveFraction = 4
	// smallRequest is the maximum size of a request that may take memory of the reserve, and
	// smallHead that of a small head, in bytes of memory.
	smallRequest = 512 << 10
	smallHead    = 48 << 10
	// minIdleTime is how long a request has to be without progress before it is cut. A process
	// with a small share of a CPU leaves bytes unread for some tenths of a second.
	minIdleTime = 500 * time.Millisecond
	// A request waits for up to maxWaits times waitInterval for the memory of one that was
	// cut, and a small request for that of any other.
	waitInterval = 5 * time.Millisecond
	maxWaits     = 20
)

var (
	errRequestBudget error = &FormatError{Status: http.StatusServiceUnavailable, Detail: "too many large requests at one time"}
	errRequestCut    error = &FormatError{Status: http.StatusServiceUnavailable, Detail: "the request made no progress while memory was short"}
)

// NewRequestBudget returns a RequestBudget for a process with the given memory limit in
// bytes.
func NewRequestBudget(memory int64) *RequestBudget {
	size := max(minRequestBudget, int(memory/32*requestBudgetPart))
	heads := size / headFraction
	return &RequestBudget{
		free: size, reserve: size / reserveFraction,
		freeHeads: heads, headReserve: heads / headReserveFraction,
		reading: make(map[*requestMemory]struct{}),
	}
}

// begin adds a request that is being read. It takes no memory yet, also for a nil budget.
func (r *RequestBudget) begin(cut func()) *requestMemory {
	if r == nil {
		return nil
	}
	m := &requestMemory{budget: r, cut: cut, lastRead: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading[m] = struct{}{}
	return m
}

// acquire takes n bytes for the body of a request that is being read. It may wait for them.
func (r *RequestBudget) acquire(m *requestMemory, n int) error {
	return r.await(m, n, m.small, r.take, func(o *requestMemory) int { return o.taken })
}

// acquireOnHeap takes n bytes for a part of a body that is held on the heap. It may wait for them.
func (r *RequestBudget) acquireOnHeap(m *requestMemory, n int) error {
	take := func(m *requestMemory, n int) bool { return !r.gauge.over(r.MaxHeap) && r.take(m, n) }
	return r.await(m, n, m.small, take, func(o *requestMemory) int { return o.taken })
}

// acquireHead takes n bytes for the head of a request that is being read. It may wait for them.
func (r *RequestBudget) acquireHead(m *requestMemory, n int) error {
	return r.await(m, n, m.smallHead, r.takeHead, func(o *requestMemory) int { return o.head })
}

// await takes n bytes by take. While there are none, it cuts the request that has been longest
// without progress among those that hold as many. A small request also waits if there is none.
func (r *RequestBudget) await(m *requestMemory, n int, small func(n int) bool, take func(m *requestMemory, n int) bool, held func(*requestMemory) int) error {
	for range maxWaits {
		if take(m, n) {
			return nil
		}
		if !r.cutIdle(m, n, held) && !small(n) {
			return errRequestBudget
		}
		time.Sleep(waitInterval)
	}
	return errRequestBudget
}

// small reports whether the request is still a small one with n bytes more.
func (m *requestMemory) small(n int) bool {
	return m.taken+n <= smallRequest
}

// smallHead reports whether the head is still a small one with n bytes more.
func (m *requestMemory) smallHead(n int) bool {
	return m.head+n <= smallHead
}

func (r *RequestBudget) take(m *requestMemory, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takeLocked(m, n)
}

func (r *RequestBudget) takeLocked(m *requestMemory, n int) bool {
	left := r.free - n
	if left < 0 || left < r.reserve && !m.small(n) {
		return false
	}
	r.free = left
	m.taken += n
	m.lastRead = time.Now()
	return true
}

func (r *RequestBudget) takeHead(m *requestMemory, n int) bool {
	if r.gauge.over(r.MaxHeap) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.freeHeads - n
	if left < 0 || left < r.headReserve && !m.smallHead(n) || !r.takeLocked(m, n) {
		return false
	}
	r.freeHeads = left
	m.head += n
	return true
}

// cutIdle cuts the request that has been longest without progress among those that hold at least
// n bytes, other than m. It reports false if there is none; one that was cut before and still
// holds its memory counts.
func (r *RequestBudget) cutIdle(m *requestMemory, n int, held func(*requestMemory) int) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var idlest *requestMemory
	for o := range r.reading {
		if o == m || held(o) < n || now.Sub(o.lastRead) < minIdleTime {
			continue
		}
		if o.wasCut {
			return true
		}
		if idlest == nil || o.lastRead.Before(idlest.lastRead) {
			idlest = o
		}
	}
	if idlest == nil {
		return false
	}
	idlest.wasCut = true
	idlest.cut()
	return true
}

// progress records that bytes of a body have arrived.
func (r *RequestBudget) progress(m *requestMemory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.lastRead = time.Now()
}

// end removes a request that is no longer being read, and reports whether it was cut.
func (r *RequestBudget) end(m *requestMemory) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reading, m)
	return m.wasCut
}

// giveBackHead gives back n bytes of the memory of a head.
func (r *RequestBudget) giveBackHead(m *requestMemory, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freeHeads += n
	r.free += n
	m.head -= n
	m.taken -= n
}

// hold takes n bytes for the head of a request, also if there are none left.
func (r *RequestBudget) hold(m *requestMemory, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freeHeads -= n
	r.free -= n
	m.head += n
	m.taken += n
}

// giveBackBody gives back the memory of the body of a request.
func (r *RequestBudget) giveBackBody(m *requestMemory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += m.taken - m.head
	m.taken = m.head
}

// giveBack gives back all memory of a request.
func (r *RequestBudget) giveBack(m *requestMemory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += m.taken
	r.freeHeads += m.head
	m.taken, m.head = 0, 0
}
