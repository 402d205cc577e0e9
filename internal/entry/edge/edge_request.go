package edge

import (
	"context"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

const (
	// unreachableMost is how many targets may turn out to be unreachable
	// before a request is given up: none of them has got it.
	unreachableMost = 3
	// crashTimeout is how long a target whose connection broke has to take
	// another, before it counts as crashed.
	crashTimeout = 200 * time.Millisecond
	// leftLeast is the least time for which a request is worth sending.
	leftLeast = 5 * time.Millisecond
)

// attempt is one sending of a request to a target.
type attempt struct {
	choice placement.Choice
	result exchange.Result
	took   time.Duration
	// crashed says that the target broke the connection and refuses another.
	crashed bool
}

// run sends an admitted request to targets until one has answered.
func (e *Edge) run(ctx context.Context, j *job) *message.Answer {
	died := false
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ward.Leave(e.Timer.Now(), j.print, died)
	}()
	for ctx.Err() == nil {
		choice, ok := e.choose(j)
		if !ok {
			break
		}
		if choice.Ask {
			e.confirm(ctx, choice.Target)
			continue
		}
		t := e.send(ctx, j, choice)
		died = died || t.crashed
		e.report(ctx, j, t)
		if a := e.settle(ctx, j, t.result); a != nil {
			return a
		}
	}
	return e.finish(ctx, j)
}

// choose finds the next target of a request, if it may have one.
func (e *Edge) choose(j *job) (placement.Choice, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	if j.deadline.Sub(now) < leftLeast || j.sent >= j.route.Attempts || j.unreachable >= unreachableMost {
		return placement.Choice{}, false
	}
	q := placement.Query{Service: j.service, RouteRegions: j.route.Regions, CustomerRegions: j.customerRegions(), Tried: j.tried}
	if j.route.Affinity {
		q.Object = j.call.Object
	}
	prefer, fallback := e.version(now, j.service)
	q.Version = prefer
	choice := e.place.Choose(now, q)
	if choice.Target == nil && fallback != prefer {
		q.Version = fallback
		choice = e.place.Choose(now, q)
	}
	if choice.Target == nil {
		j.full = choice.Full
		return choice, false
	}
	if choice.Ask {
		return choice, true
	}
	if j.sent > 0 && !e.budget.Take(now, j.service, e.roll.Count(now)) {
		e.place.Cancel(choice.Target.Name)
		if e.lines.Allow(now, "budget") {
			e.Log.Info().Str("id", j.call.ID).Str("service", j.service).Int("sent", j.sent).Msg("not repeated: the retry budget is used up")
		}
		return placement.Choice{}, false
	}
	j.tried = append(j.tried, choice.Target.Name)
	j.rank = choice.Rank
	return choice, true
}

// send sends a request to the chosen target.
func (e *Edge) send(ctx context.Context, j *job, c placement.Choice) attempt {
	begun := e.Timer.Now()
	h := maps.Clone(j.request.Header)
	message.Strip(h)
	e.Wire.Forward(h, lacewingramp.Sending{
		Left: j.deadline.Sub(begun), Target: c.Target.Name, Customer: j.customerName(),
	})
	r := e.client.Do(ctx, exchange.Order{
		Address: c.Target.Address, Request: j.request, Header: h, ID: j.call.ID, Once: !j.route.Idempotent,
		Allowed: func() bool { return e.mayServe(c.Target) },
	})
	took := e.Timer.Now().Sub(begun)
	e.Meter.Attempt(r.Verdict, took)
	if r.Dialled {
		e.Meter.Dialled()
	}
	crashed := r.Died && e.crashed(c.Target.Address)
	return attempt{choice: c, result: r, took: took, crashed: crashed}
}

// mayServe reports whether a target that was chosen before is still listed and
// neither leaving nor in a failure domain that is evacuated.
func (e *Edge) mayServe(t *lacewingramp.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.place.MayServe(t)
}

// crashed reports whether a target whose connection broke refuses another.
func (e *Edge) crashed(address string) bool {
	c, err := net.DialTimeout("tcp4", address, crashTimeout)
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}

// report takes in what became of a request on a target.
func (e *Edge) report(ctx context.Context, j *job, t attempt) {
	r, target := t.result, t.choice.Target
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	cancelled := r.Answer == nil && ctx.Err() != nil
	ran := r.Verdict != lacewingramp.NotRun && !cancelled
	failed := ran && (r.Answer == nil || r.Answer.Status >= http.StatusInternalServerError)
	e.place.Done(now, placement.Report{
		Target: target.Name, Unreachable: r.Unreachable || t.crashed, Failed: failed,
		Shed: r.Sign.NotRun, Gone: r.Sign.Elsewhere, Load: r.Sign.Load, Cold: r.Sign.Cold,
	})
	if ran {
		e.rollouts.Observe(j.route.Name, j.service, target.Version, failed, t.judged())
	}
	well := !failed && !r.Unreachable && !r.Sign.Elsewhere && !cancelled
	if well || !e.lines.Allow(now, "attempt") {
		return
	}
	e.Log.Info().Str("id", j.call.ID).Str("target", target.Name).Str("verdict", r.Verdict.String()).
		AnErr("error", r.Err).Int("status", status(r.Answer)).Dur("took", t.took).Bool("crashed", t.crashed).
		Bool("cancelled", cancelled).Msg("a target did not answer well")
}

// judged is the time by which a version is judged: a cold target is slow
// whatever its version.
func (t attempt) judged() time.Duration {
	if t.choice.Cold {
		return 0
	}
	return t.took
}

func status(a *message.Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// settle returns the caller's answer if there is one after an attempt.
func (e *Edge) settle(ctx context.Context, j *job, r exchange.Result) *message.Answer {
	if r.Unreachable || r.Withdrawn {
		j.unreachable++
		return nil
	}
	j.sent++
	switch {
	case r.Verdict == lacewingramp.NotRun:
		return nil
	case r.Answer == nil:
		j.mayHaveRun = true
		if j.route.Idempotent {
			return nil
		}
		return e.finish(ctx, j)
	}
	message.Strip(r.Answer.Header)
	r.Answer.Close = false
	if r.Answer.Status >= http.StatusInternalServerError && j.route.Idempotent {
		j.mayHaveRun = true
		j.fallback = r.Answer
		return nil
	}
	return e.relay(j, r.Answer)
}

// relay counts a target's answer on its way to the caller.
func (e *Edge) relay(j *job, a *message.Answer) *message.Answer {
	took := e.Timer.Now().Sub(j.begun)
	e.Meter.Request(a.Status, lacewingramp.CauseNone, took)
	e.logAnswer(j, a, took)
	return a
}

// leave ends a request whose caller has left: nobody reads the answer.
func (e *Edge) leave(j *job) *message.Answer {
	if j.mayHaveRun || j.sent > 0 {
		return e.fail(j, http.StatusBadGateway, lacewingramp.CauseLeft, "the caller has left")
	}
	e.mu.Lock()
	e.quota.Refund(j.customerName())
	e.mu.Unlock()
	return e.reject(j, http.StatusServiceUnavailable, lacewingramp.CauseLeft, "the caller has left")
}

// finish answers a request that no target has answered well.
func (e *Edge) finish(ctx context.Context, j *job) *message.Answer {
	if errors.Is(ctx.Err(), context.Canceled) {
		return e.leave(j)
	}
	if j.fallback != nil {
		return e.relay(j, j.fallback)
	}
	if j.mayHaveRun {
		if !e.Timer.Now().Before(j.deadline) {
			return e.fail(j, http.StatusGatewayTimeout, lacewingramp.CauseDeadline, "no answer in time")
		}
		return e.fail(j, http.StatusBadGateway, lacewingramp.CauseTarget, "no whole answer")
	}
	e.mu.Lock()
	e.quota.Refund(j.customerName())
	e.mu.Unlock()
	cause, detail := lacewingramp.CauseTarget, "no target could be reached"
	if j.full || j.sent > 0 {
		cause, detail = lacewingramp.CauseSlots, "all targets are full"
	}
	return e.refuse(j, http.StatusServiceUnavailable, cause, fullRetry(), detail)
}
