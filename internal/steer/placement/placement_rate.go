package placement

import (
	"math"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/bucket"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

// The request rate of a target is limited while the target is cold and while its
// responses name a limit. Either limit holds for all instances together and for one
// incarnation of the target. Each request needs a token of the target's bucket, which one
// instance owns. The others request tokens from it.

const (
	// A bucket holds at most burstTokens tokens, or those of burstTime if they are more.
	burstTokens = 2.0
	burstTime   = 200 * time.Millisecond
	// tokenLifetime is how long a token that another instance granted may be used.
	tokenLifetime = 300 * time.Millisecond
	// Limits that targets name are taken for at least minLimit requests a second, so
	// that a response can show that a limit of 0 is over, and for none from maxLimit on.
	minLimit = 0.2
	maxLimit = 10_000.0
	// minTokenRetry and maxTokenRetry bound the time for which an instance requests no
	// token of a target after it got none. lostTokenRetry applies if there was no reply.
	minTokenRetry  = 50 * time.Millisecond
	maxTokenRetry  = 2 * time.Second
	lostTokenRetry = 500 * time.Millisecond
)

// rateState is the state of a target's rate limit at this instance.
type rateState struct {
	// limit is the limit that the target last named, in requests per second, 0 if none,
	// and limitAt is when its last response with or without one was received.
	limit   float64
	limitAt time.Time
	// bucket holds the tokens if this instance owns the rate. offeredUntil is the time
	// for which tokens have been promised to instances that got none.
	bucket       bucket.Bucket
	offeredUntil time.Time
	// granted holds the times at which tokens from the owner expire. requested is the
	// number of requests for tokens that wait for a reply, and retryAt the time before
	// which no further token is requested.
	granted   []time.Time
	requested int
	retryAt   time.Time
	// owner is the owner of the rate as of ownerVersion, the Placer's instanceVersion.
	owner        string
	ownerVersion int
}

// admission says whether a request may be sent to a target now.
type admission int

const (
	admitted admission = iota
	// rejected says that there is no token for the request.
	rejected
	// tokenNeeded says that a token has to be requested from the owner of the rate.
	tokenNeeded
)

// maxRate returns the number of requests per second that all instances together may send
// to a target, +Inf if it is not limited.
func (p *Placer) maxRate(t *target, cold bool) float64 {
	rate := math.Inf(1)
	if t.limit > 0 {
		rate = t.limit
	}
	if coldRate := p.settings[t.Service].ColdRate; cold && coldRate > 0 {
		rate = min(rate, coldRate)
	}
	return rate
}

// admit takes the token that a request to a target needs. Shortly after its start an
// instance knows neither which targets are cold nor which instance owns their rates.
func (p *Placer) admit(now time.Time, t *target, cold, mayRequest bool) admission {
	uncertain := now.Sub(p.StartedAt) < startupUncertainty && (cold || !t.confirmed)
	if uncertain && !p.takeStartupToken(now, t) {
		return rejected
	}
	rate := p.maxRate(t, cold && !uncertain)
	if math.IsInf(rate, 1) {
		return admitted
	}
	owned := p.owns(t)
	if (owned && p.takeOwnToken(now, t, rate)) || t.takeGranted(now) {
		return admitted
	}
	maxRequested := max(1, rate*lacewingramp.TokenTimeout.Seconds())
	if owned || !mayRequest || now.Before(t.retryAt) || float64(t.requested) >= maxRequested {
		return rejected
	}
	t.requested++
	return tokenNeeded
}

// rateOwner returns the name of the instance that owns a target's rate: a live one in
// the target's region, if there is one there. It is empty if no instance is known.
func (p *Placer) rateOwner(t *target) string {
	if t.ownerVersion == p.instanceVersion {
		return t.owner
	}
	near := slices.DeleteFunc(slices.Clone(p.instances), func(i lacewingramp.Endpoint) bool { return p.Regions[i.Domain] != t.region })
	if len(near) == 0 {
		near = p.instances
	}
	t.owner, t.ownerVersion = rendezvous.Owner(t.Name, lacewingramp.EndpointNames(near)), p.instanceVersion
	return t.owner
}

func (p *Placer) owns(t *target) bool {
	owner := p.rateOwner(t)
	return owner == p.Self || owner == ""
}

// takeOwnToken takes a token of a rate that this instance owns.
func (p *Placer) takeOwnToken(now time.Time, t *target, rate float64) bool {
	if t.bucket.FilledAt.IsZero() {
		t.bucket = bucket.Bucket{Level: 1, FilledAt: now}
	}
	t.bucket.Rate = rate * p.reachableFraction()
	t.bucket.Capacity = max(burstTokens, t.bucket.Rate*burstTime.Seconds())
	t.bucket.Fill(now)
	return t.bucket.Take(0)
}

// reachableFraction returns the fraction of a rate that its owner may use: that of the
// instances that it knows to be alive. Instances that have lost each other choose an
// owner on each side, and the two fractions together do not exceed the rate.
func (p *Placer) reachableFraction() float64 {
	if p.maxInstances <= len(p.instances) {
		return 1
	}
	return float64(len(p.instances)) / float64(p.maxInstances)
}

// takeGranted takes a token that the owner has granted and that has not expired.
func (t *target) takeGranted(now time.Time) bool {
	for len(t.granted) > 0 {
		expiresAt := t.granted[0]
		t.granted = t.granted[1:]
		if now.Before(expiresAt) {
			return true
		}
	}
	return false
}

// TokenRequest returns the name of the owner of a target's rate and the request for a
// token that a Choice with NeedsToken calls for. RecordToken has to follow.
func (p *Placer) TokenRequest(now time.Time, name string) (owner string, r lacewingramp.TargetTokenRequest) {
	t, ok := p.targets[name]
	if !ok {
		return "", r
	}
	return p.rateOwner(t), lacewingramp.TargetTokenRequest{
		Target: name, StartMillis: t.StartMillis, Cold: t.cold(now), Limit: t.knownLimit(now),
	}
}

// GrantToken replies to another instance's request for a token.
func (p *Placer) GrantToken(now time.Time, r lacewingramp.TargetTokenRequest) lacewingramp.TokenReply {
	t, ok := p.targets[r.Target]
	if !ok || t.StartMillis != r.StartMillis {
		return lacewingramp.TokenReply{RetryAfter: lostTokenRetry}
	}
	t.mergeLimit(now, r.Limit)
	reply := lacewingramp.TokenReply{Limit: t.knownLimit(now)}
	rate := p.maxRate(t, r.Cold || t.cold(now))
	switch {
	case math.IsInf(rate, 1):
		reply.Granted = true
	case !p.owns(t):
		reply.RetryAfter = lostTokenRetry
	case p.takeOwnToken(now, t, rate):
		reply.Granted = true
	default:
		reply.RetryAfter = t.offer(now)
	}
	return reply
}

// offer returns the time after which an instance that got no token may request one again.
// Each gets a later time than the one before, so that they do not all return at once.
func (t *target) offer(now time.Time) time.Duration {
	next := now.Add(t.bucket.Wait())
	if t.offeredUntil.After(next) {
		next = t.offeredUntil
	}
	wait := min(next.Sub(now), maxTokenRetry)
	if t.bucket.Rate > 0 {
		interval := min(time.Duration(float64(time.Second)/t.bucket.Rate), maxTokenRetry)
		t.offeredUntil = now.Add(wait + interval)
	}
	return wait
}

// RecordToken records the reply to a request for a token that was sent at sentAt, or nil
// if there was none.
func (p *Placer) RecordToken(now, sentAt time.Time, r lacewingramp.TargetTokenRequest, reply *lacewingramp.TokenReply) {
	t, ok := p.targets[r.Target]
	if !ok || t.StartMillis != r.StartMillis {
		return
	}
	t.requested = max(0, t.requested-1)
	if reply == nil {
		t.retryAt = now.Add(lostTokenRetry)
		return
	}
	t.mergeLimit(now, reply.Limit)
	if reply.Granted {
		t.granted = append(t.granted, sentAt.Add(tokenLifetime))
		return
	}
	t.retryAt = now.Add(min(max(reply.RetryAfter, minTokenRetry), maxTokenRetry))
}

// Limit returns the limit that a target last named, in requests per second, 0 if none.
func (p *Placer) Limit(name string) float64 {
	t, ok := p.targets[name]
	if !ok {
		return 0
	}
	return t.limit
}

// knownLimit returns what this instance knows of the limit that a target names.
func (t *target) knownLimit(now time.Time) lacewingramp.TargetLimit {
	if t.limitAt.IsZero() {
		return lacewingramp.TargetLimit{}
	}
	return lacewingramp.TargetLimit{Rate: t.limit, Age: max(1, now.Sub(t.limitAt))}
}

// mergeLimit adopts what another instance knows of the limit of a target, if it learned
// it later.
func (t *target) mergeLimit(now time.Time, l lacewingramp.TargetLimit) {
	if at := now.Add(-l.Age); l.Age > 0 && at.After(t.limitAt) {
		t.limit, t.limitAt = l.Rate, at
	}
}

// recordLimit records the limit that a response names. A response without one ends the
// limit if its request ran and was sent after the limit was last received, as responses
// may overtake each other.
func (t *target) recordLimit(now time.Time, r Report) {
	switch {
	case r.AddressTaken || r.InvalidRateLimit:
	case r.RateLimit != nil:
		t.limit, t.limitAt = effectiveLimit(*r.RateLimit), now
	case t.limit > 0 && r.Ran && r.SentAt.After(t.limitAt):
		t.limit, t.limitAt = 0, now
	}
}

// effectiveLimit returns the limit to apply for one that a target names, 0 for none.
func effectiveLimit(named float64) float64 {
	if named >= maxLimit {
		return 0
	}
	return max(minLimit, named)
}
