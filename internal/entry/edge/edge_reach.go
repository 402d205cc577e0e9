package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/reach"
)

const (
	// maxCheckedTargets is the number of targets that are checked before the instance
	// counts as cut off from all of them.
	maxCheckedTargets = 6
	// firstCheckTimeout limits the check of the first target, and checkTimeout that of
	// all, which are checked concurrently. If there are signs that they only respond
	// slowly, slowCheckTimeout applies instead of checkTimeout.
	firstCheckTimeout = 300 * time.Millisecond
	checkTimeout      = 700 * time.Millisecond
	slowCheckTimeout  = 2 * time.Second
	// crashConfirmDelay is how long the instance waits for responses of other targets
	// before it counts a crash.
	crashConfirmDelay = 100 * time.Millisecond
)

// CutOff reports whether the instance reaches no target.
func (e *Edge) CutOff() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.CutOff()
}

// checkReach checks in the background whether targets respond, unless such a check is in
// progress. The channel is closed when the check ends. The caller must hold e.mu.
func (e *Edge) checkReach() <-chan struct{} {
	if e.reachCheck != nil {
		return e.reachCheck
	}
	done := make(chan struct{})
	e.reachCheck = done
	e.reach.CheckStarted(e.Timer.Now())
	targets := e.placer.Spread(e.Timer.Now(), e.Domain, maxCheckedTargets)
	go func() {
		reached := len(targets) == 0 || e.anyResponds(targets)
		e.mu.Lock()
		e.endReachCheck(reached, len(targets))
		e.mu.Unlock()
		close(done)
	}()
	return done
}

// endReachCheck records the result of a check. The caller must hold e.mu.
func (e *Edge) endReachCheck(reached bool, checked int) {
	e.reachCheck = nil
	now, since := e.Timer.Now(), e.reach.CutOffSince()
	if !e.reach.CheckEnded(now, reached) {
		return
	}
	e.lookupCache = lookupCache{}
	if !reached {
		e.Log.Warn().Int("checked", checked).Dur("after", now.Sub(e.reach.CutOffSince())).Msg("lost all targets, relaying requests to other instances")
		return
	}
	e.placer.ForgetUnreachable(since)
	e.Log.Info().Dur("after", now.Sub(since)).Msg("reached a target again")
}

// anyResponds reports whether a target responds on a new connection to the check in
// progress. Most checks end with the first target.
func (e *Edge) anyResponds(targets []lacewingramp.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), firstCheckTimeout)
	defer cancel()
	if e.responds(ctx, targets[0]) {
		return true
	}
	ctx, cancelAll := context.WithTimeout(context.Background(), slowCheckTimeout)
	defer cancelAll()
	results := make(chan bool, len(targets))
	for _, t := range targets {
		go func() { results <- e.responds(ctx, t) }()
	}
	timeout := time.After(checkTimeout)
	for ended := 0; ended < len(targets); {
		select {
		case responded := <-results:
			if responded {
				return true
			}
			ended++
		case <-timeout:
			if !e.mayBeSlow() {
				return false
			}
		}
	}
	return false
}

// mayBeSlow reports whether the check in progress should wait for slow targets.
func (e *Edge) mayBeSlow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.MayBeSlow()
}

// responds reports whether a target responds to a health check on a new connection, with
// any status. A target of a service without a health check path only has to accept the
// connection.
func (e *Edge) responds(ctx context.Context, t lacewingramp.Target) bool {
	path := e.healthPath(t.Service)
	if path == "" {
		return e.accepts(ctx, t.Address)
	}
	incarnation := e.incarnation(t.Name)
	r := e.client.Do(ctx, exchange.TargetRequest{
		Address: t.Address, NewConnection: true,
		Request: &message.Request{Method: http.MethodGet, URI: path, Host: t.Address},
	})
	defer r.Response.Release()
	if r.ResponseHeaders.Leaving && r.ResponseHeaders.Target == t.Name {
		e.mu.Lock()
		e.markLeaving(e.Timer.Now(), incarnation, "", "")
		e.mu.Unlock()
	}
	return r.Responded()
}

// accepts reports whether a connection to an address can be opened.
func (e *Edge) accepts(ctx context.Context, address string) bool {
	c, err := e.client.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// reachResult returns what the result of an attempt shows of the way to the targets.
func reachResult(ctx context.Context, r exchange.Result) reach.Result {
	return reach.Result{
		Responded:        r.Responded(),
		Cancelled:        r.NotAllowed || errors.Is(ctx.Err(), context.Canceled),
		OpenedConnection: r.ConnectionOpened || r.Unreachable,
	}
}

// recordCrash counts the crash of a target that ran a request, unless this instance turns
// out to be cut off from all targets: then all of them look as if they had crashed.
func (e *Edge) recordCrash(fingerprint uint64, at time.Time) {
	time.Sleep(crashConfirmDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.reach.CutOff() && !e.reach.RespondedSince(at) {
		check := e.checkReach()
		e.mu.Unlock()
		<-check
		e.mu.Lock()
	}
	if e.reach.CutOff() {
		return
	}
	e.poisonGuard.RecordCrash(e.Timer.Now(), fingerprint)
}
