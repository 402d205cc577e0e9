// Package quota manages an instance's share of every fleet-wide limit, and lends quota
// to other instances and borrows it from them for short terms.
//
// Every limit is divided into allocations. An allocation is a token bucket that exactly one
// instance uses at a time. Splitting an allocation divides its rate, burst and balance, and
// merging adds them. Apart from that, tokens are only created at the rates of the
// allocations. In any window the fleet therefore admits at most rate × window + burst, even
// if instances join, crash or pause, messages are lost and the Table is edited, in any order.
//
// An instance owns the allocations of the shards that it holds (internal/limit/assignment)
// and may borrow others. The lender splits a loan off before it replies. It takes the loan
// back, with a balance of 0, when the term and a margin have passed on its own clock. The
// borrower counts the term from when it sent the request. A lost message therefore makes
// quota unusable for one term and never lets the fleet exceed a limit.
//
// # Usage
//
//	ledger := quota.NewLedger("uy1-a")
//	ledger.Configure(now, config)
//	ledger.Hold(now, 3, quota.ShardState{})
//	if ledger.Take(now, subject) == nil {
//		// The request may run.
//	}
//	for _, need := range ledger.Needs(now) {
//		for _, n := range ledger.ChooseLenders(need, reports) {
//			request := ledger.LoanRequest(now, n.Need)
//			// Send request to n.Lender and pass the reply to ledger.Borrow.
//		}
//	}
//
// A Ledger must not be used by several goroutines concurrently.
package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Shards is the number of shards that the quota of a failure domain is divided into.
const Shards = 16

// Durations of loans, and time-outs after which an instance may lose its shards.
const (
	// Term is how long a borrower may use a loan.
	Term = 2 * time.Second
	// ReclaimMargin is how much longer than Term a lender waits before it uses the quota
	// again. It allows for clock drift and for a borrower that stops slightly late.
	ReclaimMargin = 200 * time.Millisecond
	// TakeoverDelay is how long an instance must have been silent before another one takes
	// over its shards. It is longer than Term plus ReclaimMargin, so that loans that
	// were made before the silence have ended by then.
	TakeoverDelay = 5 * time.Second
	// MaxTickGap is the maximum time between two calls of Tick. After a longer time
	// the instance must confirm that it still holds its shards.
	MaxTickGap = TakeoverDelay / 2
)

// DomainShares has the share of each kind of limit that a failure domain owns.
type DomainShares struct {
	// Customers is the domain's share of every customer's limit.
	Customers lacewingramp.LimitFraction `json:"customers"`
	// Caps is the domain's share of the caps of its region.
	Caps lacewingramp.LimitFraction `json:"caps"`
	// Region is the region whose caps the domain has a share of.
	Region string `json:"region"`
}

// Config is the part of the current Table that a Ledger uses, with the domain's shares.
type Config struct {
	Limits map[lacewingramp.Subject]lacewingramp.Limit
	// Caps is the set of caps that apply to the domain's own region.
	Caps         map[string]bool
	DomainShares DomainShares
}

// Ledger tracks the quota of an instance: what it owns, borrows and lends.
//
// siblings are the other live instances of its failure domain, remotes the live instances
// of other domains. A suspended Ledger admits no requests.
type Ledger struct {
	name            string
	config          Config
	buckets         map[lacewingramp.Subject]*bucket
	held            [Shards]bool
	lastSerial      uint64
	pendingRequests map[lacewingramp.LoanID]pendingRequest
	lastTick        time.Time
	suspended       bool
	siblings        []string
	remotes         []string
	leaving         bool
	tracer          Tracer
}

// pendingRequest is a request for a loan whose reply has not been received yet. all is set if
// it asks for everything that the lender has.
type pendingRequest struct {
	subject lacewingramp.Subject
	sent    time.Time
	all     bool
}

// NewLedger returns a Ledger without any quota for the named instance. The name must be
// different after every restart of an instance.
func NewLedger(name string) *Ledger {
	return &Ledger{
		name:            name,
		buckets:         make(map[lacewingramp.Subject]*bucket),
		pendingRequests: make(map[lacewingramp.LoanID]pendingRequest),
	}
}

// Configure applies a new Table. Allocations are fractions of a limit, so an edited limit
// scales them and does not change the fractions. An edit therefore never creates tokens.
func (b *Ledger) Configure(now time.Time, c Config) {
	if b.tracer != nil {
		shares := c.DomainShares
		b.trace(now, CallConfigure, Args{Limits: c.limitList(), DomainShares: &shares}, Want{})
	}
	old := b.config
	b.config = c
	for s, l := range c.Limits {
		k, ok := b.buckets[s]
		if !ok {
			k = &bucket{accruedAt: now}
			b.buckets[s] = k
		}
		k.accrue(now)
		b.resize(k, shardFraction(s, old), shardFraction(s, c), ok)
		k.limit = l
		k.clamp()
	}
	for s, k := range b.buckets {
		if _, ok := c.Limits[s]; !ok {
			k.accrue(now)
			k.limit = lacewingramp.Limit{}
			k.clamp()
		}
	}
}

// shardFraction returns the share of a limit that belongs to one shard.
func shardFraction(s lacewingramp.Subject, c Config) lacewingramp.LimitFraction {
	if s.Kind != lacewingramp.SubjectCap {
		return c.DomainShares.Customers / Shards
	}
	if !c.Caps[s.Name] {
		return 0
	}
	return c.DomainShares.Caps / Shards
}

func (b *Ledger) shardFraction(s lacewingramp.Subject) lacewingramp.LimitFraction {
	return shardFraction(s, b.config)
}

// resize changes the share that each held shard has of a limit. If the instance owns less
// than the reduction because it has lent quota, the rest becomes a debt that is deducted
// from the loans when they end.
func (b *Ledger) resize(k *bucket, before, after lacewingramp.LimitFraction, known bool) {
	n := lacewingramp.LimitFraction(b.heldCount())
	if !known {
		before = 0
	}
	if after >= before {
		k.addShare((after - before) * n)
		return
	}
	k.removeShare((before-after)*n, (before-after)*n)
}

func (b *Ledger) heldCount() int {
	n := 0
	for _, h := range b.held {
		if h {
			n++
		}
	}
	return n
}

// HeldShards returns the numbers of the shards that the instance holds.
func (b *Ledger) HeldShards() []int {
	return shardNumbers(b.held)
}

func shardNumbers(held [Shards]bool) []int {
	var all []int
	for i, h := range held {
		if h {
			all = append(all, i)
		}
	}
	return all
}

// DomainShares returns the current shares of the domain.
func (b *Ledger) DomainShares() DomainShares {
	return b.config.DomainShares
}

// Tick does the periodic work: it takes expired loans back and updates the demand. The
// Ledger is suspended until the next Confirm if more than MaxTickGap has passed since the
// last Tick, because another instance may have taken over its shards meanwhile.
func (b *Ledger) Tick(now time.Time) {
	b.trace(now, CallTick, Args{}, Want{})
	b.checkTickGap(now)
	b.lastTick = now
	for s, k := range b.buckets {
		k.expireLoans(now)
		k.updateDemand(now)
		if _, ok := b.config.Limits[s]; !ok && len(k.lent) == 0 && len(k.borrowed) == 0 {
			delete(b.buckets, s)
		}
	}
	for id, r := range b.pendingRequests {
		if now.Sub(r.sent) > Term {
			delete(b.pendingRequests, id)
		}
	}
}

func (b *Ledger) checkTickGap(now time.Time) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > MaxTickGap {
		b.suspended = true
	}
}

// Suspended reports whether the Ledger admits no requests because its process was paused.
func (b *Ledger) Suspended(now time.Time) bool {
	b.checkTickGap(now)
	return b.suspended
}

// Confirm ends a suspension. held are the shards that this instance holds according to the
// domain's key in the store or to the other instances of the domain; all others are
// forfeited. checked is when the confirmation was requested. A confirmation that is older
// than MaxTickGap is ignored, because the process may have been paused again since then.
func (b *Ledger) Confirm(now, checked time.Time, held [Shards]bool) {
	if b.tracer != nil {
		b.trace(now, CallConfirm, Args{Time: &checked, Held: shardNumbers(held)}, Want{})
	}
	if now.Sub(checked) > MaxTickGap {
		return
	}
	for i := range held {
		if b.held[i] && !held[i] {
			b.Forfeit(now, i)
		}
	}
	b.lastTick = now
	b.suspended = false
}
