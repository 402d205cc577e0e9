package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

const (
	// maxFailedConnects is how many targets may turn out to be unreachable or no longer
	// allowed before a request is refused. None of them has received the request.
	maxFailedConnects = 3
	// crashCheckTimeout is how long a target has to accept a new connection after one
	// failed. Otherwise it counts as gone.
	crashCheckTimeout = 200 * time.Millisecond
	// targetsPerConcentrated is the number of targets of a new version for each object that
	// stands for many while the version is tested under load.
	targetsPerConcentrated = 12
	// minTimeLeft is the minimum time to the deadline for another attempt.
	minTimeLeft = 5 * time.Millisecond
)

// attempt is one attempt to run a request on a target, with its result.
type attempt struct {
	choice placement.Choice
	sentAt time.Time
	result exchange.Result
	took   time.Duration
	// gone is set if the connection failed and the target accepts no new one, and crashed if
	// the target had closed or reset it. One that is silent may only have been cut off.
	gone    bool
	crashed bool
}

// run sends an admitted request to one target after another until there is a response
// for the caller.
func (e *Edge) run(ctx context.Context, j *job) *message.Response {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.poisonGuard.Finish(e.Timer.Now(), j.fingerprint, false)
	}()
	for ctx.Err() == nil && !e.mayNotEnd() {
		if e.shouldRelay(j) {
			if resp := e.relay(ctx, j); resp != nil {
				return resp
			}
			continue
		}
		choice, ok := e.chooseOrWait(ctx, j)
		if !ok && e.shouldRelay(j) {
			continue
		}
		if !ok {
			break
		}
		if choice.NeedsProbe {
			e.awaitProbe(ctx, choice.Target)
			continue
		}
		if choice.NeedsToken {
			e.awaitTargetToken(ctx, j, choice.Target)
			continue
		}
		a := e.send(ctx, j, choice)
		if a.crashed {
			go e.recordCrash(j.fingerprint, e.Timer.Now())
		}
		e.recordAttempt(ctx, j, a)
		if resp := e.handleResult(ctx, j, a.result); resp != nil {
			return resp
		}
	}
	return e.finish(ctx, j)
}

// choose returns the next target of a request, or false if no target is available or
// the request is out of time, attempts or retry budget.
func (e *Edge) choose(j *job) (placement.Choice, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	e.noticePause(now)
	j.noRoom, j.deferred = false, false
	if j.deadline.Sub(now) < e.minTimeLeft(j) || j.attempts >= j.route.AttemptLimit || j.failedConnects+j.refusedConnects >= maxFailedConnects {
		return placement.Choice{}, false
	}
	if e.defers(now, j) {
		j.allFull, j.noRoom, j.deferred, j.roomIn = true, true, true, 0
		return placement.Choice{}, false
	}
	q := placement.Query{Service: j.service, RouteRegions: j.route.Regions, CustomerRegions: j.customerRegions(), Tried: j.tried, NoTokenRequests: j.tokenRequests >= maxTargetTokenRequests}
	q.Object = j.object()
	j.setExpectations(now, &q)
	prefer, fallback := e.chooseVersions(now, j)
	q.Version = prefer
	if prefer != fallback && e.rollouts.Concentrates(now, j.service) {
		q.Object = e.concentratedObject(j, prefer)
	}
	choice := e.placer.Choose(now, q)
	if choice.Target == nil && fallback != prefer {
		q.Version, q.Object = fallback, j.object()
		choice = e.placer.Choose(now, q)
	}
	choice = e.passKeptRoom(now, j, q, choice)
	if choice.Target == nil {
		j.allFull, j.pauseLeft = choice.Full, choice.RetryAfter
		j.noRoom, j.roomIn = choice.Full && e.placer.LoadAware(j.service), choice.RoomIn
		return choice, false
	}
	if choice.NeedsProbe || choice.NeedsToken {
		return choice, true
	}
	if j.attempts > 0 && !e.retryBudget.Take(now, j.service, e.peers.FleetSize(now)) {
		e.placer.Cancel(choice.Target.Name)
		if e.loglimit.Allow(now, "budget") {
			e.Log.Info().Str("id", j.headers.ID).Str("service", j.service).Int("sent", j.attempts).Msg("not retried: the retry budget is used up")
		}
		return placement.Choice{}, false
	}
	e.recordAdmitted(now, j, choice)
	e.regions.begin(choice)
	e.Meter.Sent(choice.Region, choice.Reason.String())
	e.rollouts.RecordSent(now, j.service, choice.Target.Version)
	j.tried = append(j.tried, choice.Target.Name)
	j.rank = choice.RankingPosition
	return choice, true
}

// concentratedObject returns an object that stands for many, so that their requests go to the
// few targets of the version that rank first for it in each region.
func (e *Edge) concentratedObject(j *job, version string) string {
	objects := max(1, e.placer.VersionTargets(j.service, version)/targetsPerConcentrated)
	return "rollout-" + strconv.FormatUint(xxhash.Sum64String(j.headers.Object)%uint64(objects), 10)
}

// send sends a request to the chosen target.
func (e *Edge) send(ctx context.Context, j *job, c placement.Choice) attempt {
	e.mu.Lock()
	sentAt := e.Timer.Now()
	reachID := e.reach.Start(sentAt)
	e.mu.Unlock()
	usageID := e.startUsage(j, c, sentAt)
	h := maps.Clone(j.request.Header)
	message.RemoveHopByHopHeaders(h)
	e.HeaderCodec.SetTargetHeaders(h, lacewingramp.TargetHeaders{
		Remaining: j.deadline.Sub(sentAt), Target: c.Target.Name, Customer: j.customerName(),
	})
	req := exchange.TargetRequest{
		Address: c.Target.Address, Request: j.request, Header: h, ID: j.headers.ID, NonIdempotent: !j.route.Idempotent,
		Allowed: func() bool { return e.mayServe(c.Target) },
	}
	if e.loadAware(j.service) {
		req.Prove, req.DetectRefusals = e.proof(j, c.Target), true
	}
	r := e.client.Do(ctx, req)
	e.recordConnection(j.service, r)
	j.received = append(j.received, r.Response)
	took := e.Timer.Now().Sub(sentAt)
	e.endUsage(usageID, c, r)
	e.Meter.Attempt(r.Verdict, took)
	e.Meter.SentTo(c.Region, r.ConnectionOpened, r.Verdict == lacewingramp.NotRun)
	if r.ConnectionOpened {
		e.Meter.ConnectionOpened()
	}
	e.mu.Lock()
	e.reach.End(reachID, reachResult(ctx, r))
	if e.reach.CheckDue(e.Timer.Now()) {
		e.checkReach()
	}
	e.mu.Unlock()
	gone := (r.ConnectionBroken || r.ConnectionLost) && !e.acceptsAgain(c.Target.Address)
	return attempt{choice: c, sentAt: sentAt, result: r, took: took, gone: gone, crashed: gone && r.ConnectionBroken}
}

// mayServe reports whether a chosen target is still registered, is not leaving, and is
// not in an evacuated failure domain.
func (e *Edge) mayServe(t *lacewingramp.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placer.MayServe(e.Timer.Now(), t)
}

// acceptsAgain reports whether a target accepts a new connection after one has failed.
func (e *Edge) acceptsAgain(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return e.accepts(ctx, address)
}

// recordAttempt passes the result of an attempt to the target placement and to the
// rollout of the service, and logs a failed one.
func (e *Edge) recordAttempt(ctx context.Context, j *job, a attempt) {
	r, target := a.result, a.choice.Target
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	e.noticePause(now)
	cancelled := r.Response == nil && (ctx.Err() != nil || !now.Before(j.deadline))
	ran := r.Verdict != lacewingramp.NotRun && !cancelled
	failed := ran && (r.Response == nil || r.Response.Status >= http.StatusInternalServerError)
	limit, wasSlow := e.placer.Limit(target.Name), e.placer.Slow(now, target.Name)
	e.placer.Done(now, placement.Report{
		Target: target.Name, StartMillis: a.choice.StartMillis, ChosenAt: a.choice.ChosenAt, SentAt: a.sentAt, Took: now.Sub(a.choice.ChosenAt),
		TimedOut: timedOut(r, now, j.deadline), Ran: r.Verdict == lacewingramp.Ran, Unreachable: r.Unreachable || a.gone, Failed: failed,
		Shed: r.ResponseHeaders.NotRun || r.ConnectionRefused, AddressTaken: r.ResponseHeaders.WrongTarget, TargetLoad: r.ResponseHeaders.TargetLoad, WarmupRemaining: r.ResponseHeaders.WarmupRemaining,
		RateLimit: r.ResponseHeaders.RateLimit, InvalidRateLimit: r.ResponseHeaders.InvalidRateLimit,
		RetryAfter: r.ResponseHeaders.RetryAfter,
		Route:      j.route.Name, RankingPosition: a.choice.RankingPosition, Load: a.choice.Load,
	})
	e.regions.end(a)
	e.recordRoom(now, j, a)
	e.logPause(now, j, target, r.ResponseHeaders)
	e.logLimit(j.headers.ID, target.Name, limit)
	e.logSlow(now, j.headers.ID, target, wasSlow)
	e.recordLeaving(now, j, a.choice, r.ResponseHeaders)
	if r.Verdict != lacewingramp.NotRun {
		e.rollouts.Observe(lacewingramp.AttemptResult{
			Route: j.route.Name, Service: j.service, Version: target.Version, Target: target.Name, StartMillis: a.choice.StartMillis, Region: e.Regions[target.Domain],
			Object: j.object(), Load: a.load(), WarmingUp: a.choice.WarmingUp, Failed: failed, Unfinished: cancelled, EndedAt: now, Took: a.took,
		})
	}
	succeeded := !failed && !r.Unreachable && !r.ConnectionRefused && !r.ResponseHeaders.WrongTarget && !cancelled
	if succeeded || !e.loglimit.Allow(now, "attempt") {
		return
	}
	e.Log.Info().Str("id", j.headers.ID).Str("target", target.Name).Str("verdict", r.Verdict.String()).
		AnErr("error", r.Err).Int("status", statusOf(r.Response)).Dur("took", a.took).Bool("crashed", a.crashed).
		Bool("cancelled", cancelled).Msg("a target did not answer well")
}

// load returns the number of requests per slot at the target, as estimated when the request
// was sent or as reported with the response, whichever is higher.
func (a attempt) load() float64 {
	reported := a.result.ResponseHeaders.TargetLoad
	if reported == nil {
		return a.choice.Load
	}
	return max(a.choice.Load, float64(reported.Running+reported.Waiting)/float64(max(1, a.choice.Target.Slots)))
}

// timedOut reports whether a request reached its deadline at a target that may have been running
// it.
func timedOut(r exchange.Result, now, deadline time.Time) bool {
	if r.Response != nil {
		return r.Response.Status == http.StatusGatewayTimeout
	}
	return r.Verdict != lacewingramp.NotRun && !now.Before(deadline)
}

func statusOf(resp *message.Response) int {
	if resp == nil {
		return 0
	}
	return resp.Status
}

// handleResult returns the response to the caller, or nil if another target should be
// tried.
func (e *Edge) handleResult(ctx context.Context, j *job, r exchange.Result) *message.Response {
	if r.Unreachable || r.NotAllowed {
		j.failedConnects++
		return nil
	}
	if r.ConnectionRefused {
		j.refusedConnects++
		return nil
	}
	j.attempts++
	switch {
	case r.Verdict == lacewingramp.NotRun:
		return nil
	case r.Response == nil:
		j.mayHaveRun = true
		if j.route.Idempotent {
			return nil
		}
		return e.finish(ctx, j)
	}
	message.RemoveHopByHopHeaders(r.Response.Header)
	r.Response.Close = false
	if r.Response.Status >= http.StatusInternalServerError && j.route.Idempotent {
		j.mayHaveRun = true
		j.fallback = r.Response
		return nil
	}
	return e.respond(j, r.Response)
}

// respond records and returns the response of a target for the caller.
func (e *Edge) respond(j *job, resp *message.Response) *message.Response {
	took := e.Timer.Now().Sub(j.receivedAt)
	e.Meter.Request(resp.Status, lacewingramp.CauseNone, took)
	e.logTargetResponse(j, resp, took)
	j.setRelayOutcome(resp, lacewingramp.RelayResponded)
	return resp
}

// finishCancelled ends a request whose caller has disconnected. Nobody reads the
// response, which only counts in metrics and the log.
func (e *Edge) finishCancelled(j *job) *message.Response {
	if j.mayHaveRun || (j.attempts > 0 && !e.loadAware(j.service)) {
		return e.fail(j, http.StatusBadGateway, lacewingramp.CauseCallerGone, "the caller has left")
	}
	e.refundQuota(j)
	return e.reject(j, http.StatusServiceUnavailable, lacewingramp.CauseCallerGone, "the caller has left")
}

// finish returns the response to a request without a successful response of a target.
func (e *Edge) finish(ctx context.Context, j *job) *message.Response {
	if errors.Is(ctx.Err(), context.Canceled) {
		return e.finishCancelled(j)
	}
	if j.fallback != nil {
		return e.respond(j, j.fallback)
	}
	if j.mayHaveRun {
		if !e.Timer.Now().Before(j.deadline) {
			return e.fail(j, http.StatusGatewayTimeout, lacewingramp.CauseDeadline, "no answer in time")
		}
		return e.fail(j, http.StatusBadGateway, lacewingramp.CauseTarget, "no whole answer")
	}
	e.refundQuota(j)
	if e.mayNotEnd() {
		return e.refuse(j, http.StatusServiceUnavailable, lacewingramp.CauseStopping, stoppingRetryAfter, "the instance is stopping")
	}
	if !j.allFull && j.pauseLeft > 0 {
		return e.refuse(j, http.StatusServiceUnavailable, lacewingramp.CauseSlots, e.boundRetryAfter(j, j.pauseLeft+placement.ReturnAfter(0, rand.Float64())), "all targets have asked for a pause")
	}
	cause, detail := lacewingramp.CauseTarget, "no target could be reached"
	if j.failedConnects < maxFailedConnects && (j.allFull || j.attempts > 0 || j.refusedConnects > 0) {
		cause, detail = lacewingramp.CauseSlots, "all targets are full"
	}
	return e.refuse(j, http.StatusServiceUnavailable, cause, e.retryAfter(j), detail)
}
