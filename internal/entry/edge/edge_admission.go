package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/admission"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// maxReturnPart is the part of the time that a caller has left, as a divisor, after which it is
// told to return at the latest.
const maxReturnPart = 3

// maxKeptTargets is the number of targets that a request passes over because their room is kept.
const maxKeptTargets = 2

// maxLateTokens is the number of requests for tokens whose replies are awaited after their
// timeout.
const maxLateTokens = 256

// admissionState holds the queues of the load-aware services, by name, and what is remembered of
// refused callers, nil if there are none. lateTokens maps the IDs of token requests whose
// reply did not come in time to their customers.
type admissionState struct {
	queues     map[string]*admission.Queue
	returns    *admission.Returns
	lateTokens map[uint64]string
}

// roomReport describes the latest wait of a request for room, or why it did not wait, for the log:
// the number of requests ahead, the expected wait, how long it waited, and for each class
// the number of waiting requests and those that got room in about the last second.
type roomReport struct {
	reported   bool
	ahead      int
	expected   time.Duration
	waited     time.Duration
	waiting    [admission.Classes]int
	admitted   [admission.Classes]float64
	retryAfter time.Duration
}

func (r *roomReport) log(l *zerolog.Event) *zerolog.Event {
	return l.Int("ahead", r.ahead).Dur("expected", r.expected).Dur("waited", r.waited).
		Ints("waiting", r.waiting[:]).Floats64("admitted", r.admitted[:])
}

// routeClasses is the number of priority classes of routes that are told apart, and
// customerClasses that of customers.
const (
	routeClasses    = 3
	customerClasses = admission.Classes / routeClasses
)

// class returns the class of a request in the queue: by the priority class of its customer, and
// among requests of one customer class by that of its route. A request without a customer counts
// as one of the highest customer class.
func (j *job) class() int {
	customer := 0
	if j.customer != nil {
		customer = min(max(j.customer.PriorityClass, 0), customerClasses-1)
	}
	return customer*routeClasses + min(max(j.route.PriorityClass, 0), routeClasses-1)
}

// callerUntil returns until when the caller waits for the response.
func (j *job) callerUntil() time.Time {
	if j.headers.Timeout > 0 && !j.relayed {
		return j.receivedAt.Add(j.headers.Timeout)
	}
	return j.deadline
}

// weight returns the weight of the customer in the queue: requests of a customer with a higher
// rate get room as often, in proportion.
func (j *job) weight() float64 {
	if j.customer == nil {
		return 1
	}
	weight := j.customer.Weight
	if weight <= 0 {
		weight = 1
	}
	if j.customer.Rate > 0 {
		weight *= j.customer.Rate
	}
	return weight
}

// returnKey returns the key by which the caller is recognized when it returns.
func (j *job) returnKey() uint64 {
	return admission.ReturnKey(j.customerName(), j.route.Name, j.request.Path, j.headers.Object)
}

// queue returns the queue of a load-aware service, nil for any other one. The caller must
// hold e.mu.
func (e *Edge) queue(service string) *admission.Queue {
	if !e.placer.LoadAware(service) {
		return nil
	}
	q, ok := e.admission.queues[service]
	if !ok {
		if e.admission.queues == nil {
			e.admission.queues = make(map[string]*admission.Queue)
		}
		q = &admission.Queue{}
		e.admission.queues[service] = q
	}
	return q
}

// defers reports whether a request has to let others go first. The caller must hold e.mu.
func (e *Edge) defers(now time.Time, j *job) bool {
	q := e.queue(j.service)
	if q == nil || j.waiter != nil {
		return false
	}
	return q.Defers(now, j.class(), j.goesFirst())
}

// goesFirst reports whether a request goes before new ones of its class: its caller has
// returned, or a target has refused it.
func (j *job) goesFirst() bool {
	return j.returned || j.attempts > 0
}

// passKeptRoom returns a choice, or another one if the room at its target is kept for more urgent
// requests. The caller must hold e.mu.
func (e *Edge) passKeptRoom(now time.Time, j *job, q placement.Query, c placement.Choice) placement.Choice {
	queue := e.queue(j.service)
	if queue == nil || c.Target == nil {
		return c
	}
	for passed := 0; c.Target != nil; passed++ {
		if c.NeedsProbe || c.NeedsToken || !queue.KeepsRoom(now, j.class(), c.Load) {
			return c
		}
		e.placer.Cancel(c.Target.Name)
		if passed == maxKeptTargets {
			break
		}
		q.Tried = append(slices.Clone(q.Tried), c.Target.Name)
		c = e.placer.Choose(now, q)
	}
	return placement.Choice{Full: true, RoomIn: c.RoomIn}
}

// recordAdmitted records that a request got room. The caller must hold e.mu.
func (e *Edge) recordAdmitted(now time.Time, j *job, c placement.Choice) {
	if q := e.queue(j.service); q != nil {
		q.Admit(now, j.class(), c.Load)
	}
}

// recordRoom records that an attempt to run a request has ended, which may leave room for another
// one. The caller must hold e.mu.
func (e *Edge) recordRoom(now time.Time, j *job, a attempt) {
	q := e.queueOf(j)
	if q == nil {
		return
	}
	if a.result.Verdict == lacewingramp.NotRun {
		q.Ended(now, 0)
		return
	}
	q.Ended(now, a.took)
	q.Wake(now)
}

// wakeWaiting lets the next requests choose again, as heartbeats may have shown room. The
// caller must hold e.mu.
func (e *Edge) wakeWaiting(now time.Time) {
	if e.admission.queues == nil {
		return
	}
	var waiting [admission.Classes]int
	for _, q := range e.admission.queues {
		q.Wake(now)
		for c := range waiting {
			waiting[c] += q.Waiting(c)
		}
	}
	for c, n := range waiting {
		e.Meter.AdmissionQueue(c, n)
	}
}

// chooseOrWait is like choose. If all targets of a load-aware service are full, the request
// waits for room if that is expected in time.
func (e *Edge) chooseOrWait(ctx context.Context, j *job) (placement.Choice, bool) {
	choice, ok := e.choose(j)
	if ok || !j.noRoom || !e.enqueue(j) {
		return choice, ok
	}
	gotRoom := false
	defer func() { e.leaveQueue(j, gotRoom) }()
	for e.awaitRoom(ctx, j) {
		choice, ok = e.choose(j)
		if ok || !j.noRoom {
			gotRoom = ok
			return choice, ok
		}
		e.returnToQueue(j)
	}
	return placement.Choice{}, false
}

// enqueue adds a request to the queue of its service. It returns false if the request is to be
// refused at once.
func (e *Edge) enqueue(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, q := e.Timer.Now(), e.queue(j.service)
	if q == nil {
		return false
	}
	w, refusal := q.Offer(now, e.admissionRequest(j))
	j.waiter = w
	j.room = roomReport{reported: true, ahead: refusal.Ahead, expected: refusal.Wait, retryAfter: refusal.RetryAfter}
	j.room.record(now, q)
	if w == nil {
		return false
	}
	if j.deferred {
		// There may be room for those that it let go first.
		q.Wake(now)
	}
	return true
}

func (r *roomReport) record(now time.Time, q *admission.Queue) {
	for c := range r.waiting {
		r.waiting[c], r.admitted[c] = q.Waiting(c), q.Admitted(now, c)
	}
}

func (e *Edge) admissionRequest(j *job) admission.Request {
	return admission.Request{
		Class: j.class(), Customer: j.customerName(), Weight: j.weight(), Returned: j.goesFirst(), Deadline: j.deadline,
		Timeout: j.deadline.Sub(j.receivedAt), CallerUntil: j.callerUntil(), RoomIn: j.roomIn, Bytes: len(j.request.Body),
	}
}

// awaitRoom waits until a request may choose again. It returns false if its wait is over:
// its caller has left, it has lost its place, its time is up, or the instance stops.
func (e *Edge) awaitRoom(ctx context.Context, j *job) bool {
	for ctx.Err() == nil && !e.mayNotEnd() {
		left := j.waiter.Until.Sub(e.Timer.Now())
		if left <= 0 {
			return false
		}
		if _, ready := await(ctx, j.waiter.Ready, min(left, heartbeat.Period)); ready {
			return !e.displaced(j)
		}
	}
	return false
}

func (e *Edge) displaced(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.waiter.Displaced()
}

// returnToQueue keeps the place of a request that has found no room again.
func (e *Edge) returnToQueue(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queueOf(j).Return(e.Timer.Now(), j.waiter)
}

// queueOf returns the queue in which a request has waited or been counted, also if its
// service is no longer load-aware, nil for none. The caller must hold e.mu.
func (e *Edge) queueOf(j *job) *admission.Queue {
	return e.admission.queues[j.service]
}

// leaveQueue ends the wait of a request.
func (e *Edge) leaveQueue(j *job, gotRoom bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, q, w := e.Timer.Now(), e.queueOf(j), j.waiter
	q.Leave(now, w, gotRoom)
	j.waiter = nil
	j.room.waited, j.room.retryAfter = now.Sub(w.QueuedAt), 0
	j.room.record(now, q)
	e.Meter.AdmissionWait(w.Class, gotRoom, j.room.waited)
}

// recognizeReturn recognizes a caller that was refused before. The caller must hold e.mu.
func (e *Edge) recognizeReturn(now time.Time, j *job) {
	if e.admission.returns != nil {
		j.returned = e.admission.returns.Returned(now, j.returnKey())
	}
}

// rememberRefusal remembers a caller that is refused. The caller must hold e.mu.
func (e *Edge) rememberRefusal(now time.Time, j *job, after time.Duration) {
	if e.admission.returns == nil {
		e.admission.returns = &admission.Returns{}
	}
	e.admission.returns.Refused(now, j.returnKey(), after)
}

// retryAfter returns the delay after which a caller that found no target with room may retry.
func (e *Edge) retryAfter(j *job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, q := e.Timer.Now(), e.queue(j.service)
	if q == nil {
		return placement.ReturnAfter(j.roomIn, rand.Float64())
	}
	after := j.room.retryAfter
	if after == 0 {
		after = q.RetryAfter(now, e.admissionRequest(j))
	}
	e.rememberRefusal(now, j, after)
	return after
}

// boundRetryAfter bounds a delay by what callers of a load-aware service wait.
func (e *Edge) boundRetryAfter(j *job, after time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.placer.LoadAware(j.service) {
		return after
	}
	after = e.boundReturn(j, after)
	e.rememberRefusal(e.Timer.Now(), j, after)
	return after
}

// rateRetryAfter is like boundRetryAfter for a request over its customer's rate, whose service
// is not known yet. Its caller does not go first when it returns.
func (e *Edge) rateRetryAfter(j *job, after time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.placer.AnyLoadAware() {
		return after
	}
	return e.boundReturn(j, after)
}

// boundReturn bounds a delay by a part of the time that the caller has left.
func (e *Edge) boundReturn(j *job, after time.Duration) time.Duration {
	return min(after, max(0, j.callerUntil().Sub(e.Timer.Now())/maxReturnPart))
}

// expectLateToken remembers a request for a token of a customer's pool that had no reply in
// time: the keeper may have granted it. The caller must hold e.mu.
func (e *Edge) expectLateToken(id uint64, customer string) {
	if !e.placer.AnyLoadAware() {
		return
	}
	if e.admission.lateTokens == nil || len(e.admission.lateTokens) >= maxLateTokens {
		e.admission.lateTokens = make(map[uint64]string)
	}
	e.admission.lateTokens[id] = customer
}

// takeLateToken adds a token that was granted too late for its request to this instance's share of
// the customer's limit. Otherwise it would be lost to the customer, which happens most often
// to one that uses its whole rate. The caller must hold e.mu.
func (e *Edge) takeLateToken(r *lacewingramp.TokenReply) {
	customer, ok := e.admission.lateTokens[r.ID]
	if !ok {
		return
	}
	delete(e.admission.lateTokens, r.ID)
	if r.Granted {
		e.quota.Refund(customer)
	}
}
