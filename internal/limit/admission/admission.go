// Package admission decides which of the requests that find no target with room wait, in which
// order they get room, and when the callers of the others should return.
//
// A Queue holds the waiting requests of one service at one instance. It orders them by
// priority class, then callers that have returned before new ones, then fairly among
// customers, then by deadline. Less urgent classes are guaranteed a small share. The
// expected wait follows from the rate at which requests of the instance end.
//
// # Usage
//
//	var q admission.Queue
//	if !q.Defers(now, class, returned) {
//		// Choose a target. If there is one with room:
//		q.Admit(now, class)
//	}
//	w, refusal := q.Offer(now, request)
//	if w == nil {
//		// Refuse, and tell the caller to return after refusal.RetryAfter.
//	}
//	...
//	q.Ended(now, took) // when a request ends
//	q.Wake(now)  // signals w.Ready of the next request
//	// That request chooses a target and calls q.Leave or, if there is still none, q.Return.
//
// A Queue is not safe for use by more than one goroutine, but Ready may be received from by
// another one.
package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Classes is the number of priority classes that are told apart. Those beyond count as
	// the last one.
	Classes = 9
	// maxWaiting and maxBytes limit the number of waiting requests and the size of their
	// bodies.
	maxWaiting = 128
	maxBytes   = 4 << 20
	// guaranteedShare is what a less urgent class gets of each admission of a more urgent one,
	// and maxCredit the maximum that it accumulates.
	guaranteedShare = 0.1
	maxCredit       = 4
	// urgentMemory is how long after its latest arrival a class has room kept for it.
	urgentMemory = 2 * time.Second
	// lastRoomLoad is the number of requests per slot of a target above which its room is
	// kept for more urgent classes.
	lastRoomLoad = 2.0
	// maxWaitFraction is the maximum part of its time that a request waits, and
	// runFraction the part that it needs to run if that is not known.
	maxWaitFraction = 0.35
	runFraction     = 0.3
	// maxTries is the number of waiting requests that may try to get the same room. Those that
	// are not allowed at its target must not block the others.
	maxTries = 8
	// maxDuration is the maximum duration of a request that is counted.
	maxDuration = time.Minute
)

// Request describes a request that found no room. Class is its priority class, 0 for the
// highest. Returned says that its caller was refused before and has returned. Timeout is its
// whole time, from its arrival to its Deadline. Expected is how long it runs, and RoomIn the
// time until a target has room for it, both 0 if not known. CallerUntil is until when its
// caller waits for a response. Bytes is the size of its body.
type Request struct {
	Class       int
	Customer    string
	Weight      float64
	Returned    bool
	Deadline    time.Time
	Timeout     time.Duration
	CallerUntil time.Time
	Expected    time.Duration
	RoomIn      time.Duration
	Bytes       int
}

// Refusal says why a request does not wait. Ahead is the number of waiting requests before
// it and Wait the expected time until it would get room. RetryAfter is when its caller should
// return.
type Refusal struct {
	Ahead      int
	Wait       time.Duration
	RetryAfter time.Duration
}

// Waiter is a waiting request. Ready receives a value when it may choose a target, or when it was
// displaced. Until is when it should give up.
type Waiter struct {
	Request
	Ready    chan struct{}
	Until    time.Time
	QueuedAt time.Time

	queued bool
	// trying is set while it chooses, and round is the latest one in which it tried.
	trying bool
	round  uint64
}

// Displaced reports whether the request lost its place to a more urgent one.
func (w *Waiter) Displaced() bool {
	return !w.queued
}

// Queue holds the waiting requests of one service. Its zero value is empty.
type Queue struct {
	// Random spreads the times after which callers return, nil for a random seed.
	Random *rand.Rand

	levels [Classes][2]level
	count  int
	bytes  int
	// credits is what the classes have of their guaranteed shares.
	credits  [Classes]float64
	arrivals [Classes]time.Time
	admitted [Classes]rate
	ends     rate
	// running is the number of requests that have got room and not ended, and duration the
	// average time that they take.
	running  int
	duration time.Duration
	round    uint64
	tries    int
	outcomes outcomes
	// returns holds until when the callers of each class have been told to return.
	returns [Classes]time.Time
}

func clampClass(class int) int {
	return min(max(class, 0), Classes-1)
}

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(class int) int {
	l := &q.levels[clampClass(class)]
	return l[0].count + l[1].count
}

// Admitted returns the number of requests of a class that got room in about the last second.
func (q *Queue) Admitted(now time.Time, class int) float64 {
	return q.admitted[clampClass(class)].perSecond(now)
}

// Defers reports whether a request has to let others go first: more urgent ones, and if its caller
// is new, those of its class whose callers have returned. A class with credit goes first.
func (q *Queue) Defers(now time.Time, class int, returned bool) bool {
	class = clampClass(class)
	q.arrivals[class] = now
	if q.count == 0 {
		return false
	}
	if !returned && q.levels[class][0].count > 0 {
		return true
	}
	return q.moreUrgent(class) && q.credits[class] < 1
}

// moreUrgent reports whether a request of a more urgent class waits.
func (q *Queue) moreUrgent(class int) bool {
	for c := range class {
		if q.Waiting(c) > 0 {
			return true
		}
	}
	return false
}

// KeepsRoom reports whether the room at a target with the given number of requests per slot, the
// new one included, is kept for more urgent classes.
func (q *Queue) KeepsRoom(now time.Time, class int, load float64) bool {
	class = clampClass(class)
	return load > lastRoomLoad && q.credits[class] < 1 && q.urgentArrived(now, class)
}

// urgentArrived reports whether requests of a more urgent class have arrived recently.
func (q *Queue) urgentArrived(now time.Time, class int) bool {
	for c := range class {
		if !q.arrivals[c].IsZero() && now.Sub(q.arrivals[c]) < urgentMemory {
			return true
		}
	}
	return false
}

// Admit records that a request of a class got room at a target with the given number of requests
// per slot.
func (q *Queue) Admit(now time.Time, class int, load float64) {
	class = clampClass(class)
	q.admitted[class].add(now)
	q.running++
	if q.credits[class] >= 1 && (q.moreUrgent(class) || (load > lastRoomLoad && q.urgentArrived(now, class))) {
		q.credits[class]--
	}
	for c := class + 1; c < Classes; c++ {
		q.credits[c] = min(maxCredit, q.credits[c]+guaranteedShare)
	}
}

// Ended records that a request of the service that got room has ended. It took some time at a
// target, 0 if that did not run it.
func (q *Queue) Ended(now time.Time, took time.Duration) {
	q.running = max(0, q.running-1)
	if took <= 0 {
		return
	}
	q.ends.add(now)
	took = min(took, maxDuration)
	if q.duration == 0 {
		q.duration = took
	}
	q.duration += fraction(took-q.duration, durationWeight)
}

// Offer lets a request wait if it is expected to get room in time. Otherwise the Waiter is nil.
func (q *Queue) Offer(now time.Time, r Request) (*Waiter, Refusal) {
	r.Class = clampClass(r.Class)
	ahead := q.ahead(&r)
	wait := q.expectedWait(now, ahead, r.RoomIn)
	until := r.latestStart(now)
	if now.Add(wait).After(until) || q.outcomes.inVain(r.Customer) || !q.makePlace(&r) {
		return nil, Refusal{Ahead: ahead, Wait: wait, RetryAfter: q.RetryAfter(now, r)}
	}
	w := &Waiter{Request: r, Ready: make(chan struct{}, 1), Until: until, QueuedAt: now, queued: true, round: q.round}
	q.levelOf(w).push(w)
	q.count++
	q.bytes += r.Bytes
	q.outcomes.begin(r.Customer)
	return w, Refusal{Ahead: ahead, Wait: wait}
}

// latestStart returns until when a request may wait.
func (r *Request) latestStart(now time.Time) time.Time {
	left := r.Deadline.Sub(now)
	run := r.Expected
	if run <= 0 {
		run = fraction(r.Timeout, runFraction)
	}
	return now.Add(min(left-run, fraction(left, maxWaitFraction)))
}

// ahead returns the number of waiting requests that go before a new one.
func (q *Queue) ahead(r *Request) int {
	n := q.levels[r.Class][0].ahead(r.Customer)
	if !r.Returned {
		n = q.levels[r.Class][0].count + q.levels[r.Class][1].ahead(r.Customer)
	}
	for c := range r.Class {
		n += q.Waiting(c)
	}
	return n
}

// expectedWait returns the expected time until a request with a number of others before it gets
// room.
func (q *Queue) expectedWait(now time.Time, ahead int, roomIn time.Duration) time.Duration {
	return max(0, roomIn, fraction(q.gap(now), float64(ahead+1)))
}

func (w *Waiter) signal() {
	select {
	case w.Ready <- struct{}{}:
	default:
	}
}

func (q *Queue) levelOf(w *Waiter) *level {
	if w.Returned {
		return &q.levels[w.Class][0]
	}
	return &q.levels[w.Class][1]
}

func (q *Queue) remove(w *Waiter) {
	if !w.queued {
		return
	}
	q.levelOf(w).remove(w)
	w.queued, w.trying = false, false
	q.count--
	q.bytes -= w.Bytes
}

// Wake lets the next request choose a target, as there may be room.
func (q *Queue) Wake(now time.Time) {
	if q.count == 0 {
		return
	}
	q.round++
	q.tries = maxTries
	q.wakeNext(now)
}

func (q *Queue) wakeNext(now time.Time) {
	if q.tries == 0 {
		return
	}
	w := q.next(now)
	if w == nil {
		return
	}
	w.trying, w.round = true, q.round
	w.signal()
}

// next returns the request that goes next: one of a class that has credit, else the most urgent.
func (q *Queue) next(now time.Time) *Waiter {
	for c := Classes - 1; c > 0; c-- {
		if q.credits[c] >= 1 && q.moreUrgent(c) {
			if w := q.nextOf(now, c); w != nil {
				return w
			}
		}
	}
	for c := range Classes {
		if w := q.nextOf(now, c); w != nil {
			return w
		}
	}
	return nil
}

func (q *Queue) nextOf(now time.Time, class int) *Waiter {
	for s := range q.levels[class] {
		if w := q.levels[class][s].next(now, q.round); w != nil {
			return w
		}
	}
	return nil
}

// Leave removes a request that has got room, or that waits no longer. In the first case, the next
// one tries as well.
func (q *Queue) Leave(now time.Time, w *Waiter, gotRoom bool) {
	if !w.queued {
		return
	}
	tried := w.trying
	q.outcomes.end(w.Customer, gotRoom)
	if gotRoom {
		q.levelOf(w).served(w)
	}
	q.remove(w)
	switch {
	case gotRoom:
		q.tries = maxTries
		q.wakeNext(now)
	case tried:
		q.wakeNext(now)
	}
}

// Return keeps the place of a request that has found no room, and lets the next one try: it may
// be allowed at other targets.
func (q *Queue) Return(now time.Time, w *Waiter) {
	if !w.queued {
		return
	}
	w.trying = false
	q.tries = max(0, q.tries-1)
	q.wakeNext(now)
}

func fraction(d time.Duration, f float64) time.Duration {
	return time.Duration(math.Min(float64(d)*f, math.MaxInt64/2))
}
