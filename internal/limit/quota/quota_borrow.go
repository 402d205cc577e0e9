package quota

import (
	"math"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Constants of the borrowing policy.
const (
	// borrowerRateFactor is the rate that a borrower wants to have, as a multiple of its
	// demand.
	borrowerRateFactor = 1.2
	// borrowerReserve determines how many tokens a borrower keeps in reserve: those that
	// its demand uses in this time.
	borrowerReserve = 400 * time.Millisecond
	// extendBefore is the remaining term below which the borrower asks to extend a loan.
	extendBefore = time.Second
	// expiringWithin is the remaining term up to which a loan is not counted when the need
	// is computed.
	expiringWithin = 300 * time.Millisecond
	// returnDemandFactor is the demand below which a borrower returns a loan, as a
	// fraction of the rate that remains without the loan.
	returnDemandFactor = 0.5
	// minInstanceBurst is the minimum burst of an instance's share, in tokens, with
	// which it can admit requests without collecting quota from its domain.
	// minDomainBurst is the minimum for the share of a domain.
	minInstanceBurst = 8
	minDomainBurst   = 6
	// returnBefore is the remaining term at which a loan of tokens is returned, so that
	// unused tokens are not lost.
	returnBefore = 300 * time.Millisecond
	// minReserveTokens is the minimum reserve in tokens. No tokens are borrowed in
	// advance if borrowerReserve results in a smaller one.
	minReserveTokens = 0.5
	// activePeriod is how long a subject counts as active after another instance requested
	// a loan of it.
	activePeriod = 10 * time.Second
	// minActiveDemand is the demand, in requests per second, above which a subject counts
	// as active.
	minActiveDemand = 0.01
)

// collectScope is the set of instances whose quota of a limit is collected at one of them,
// the collector, because the limit is too small to be divided among them.
type collectScope uint8

const (
	collectNone collectScope = iota
	collectDomain
	collectFleet
)

// collectScope returns collectDomain if an instance's share of the limit is too small, and
// collectFleet if the share of the whole domain is too small. It is computed from the
// Table and the number of instances only, so that all instances of a domain agree.
func (b *Ledger) collectScope(s lacewingramp.Subject, k *bucket) collectScope {
	shardBurst := b.shardFraction(s).Of(k.limit.Burst)
	switch {
	case shardBurst*Shards < minDomainBurst:
		return collectFleet
	case shardBurst*Shards/float64(len(b.siblings)+1) < minInstanceBurst:
		return collectDomain
	default:
		return collectNone
	}
}

func (k *bucket) active(now time.Time) bool {
	return k.waiting > 0 || k.demand > minActiveDemand || now.Sub(k.lastRequest) < activePeriod
}

// Need is the quota that an instance needs to borrow of one limit: Rate in tokens per second
// and Tokens immediately. All is set if the instance is the collector of a small limit and
// needs everything that the other instances have.
type Need struct {
	Subject lacewingramp.Subject `json:"subject"`
	Rate    float64              `json:"rate"`
	Tokens  float64              `json:"tokens"`
	All     bool                 `json:"all,omitempty"`
}

// Needs returns what the instance should borrow: quota of subjects with queued requests or
// with fewer tokens than the reserve, and of small limits that it has to collect.
func (b *Ledger) Needs(now time.Time) []Need {
	var all []Need
	for s, k := range b.buckets {
		if n, ok := b.need(now, s, k); ok {
			all = append(all, n)
		}
	}
	return all
}

// NeedOf returns what the instance should borrow of one subject, and false if nothing.
func (b *Ledger) NeedOf(now time.Time, s lacewingramp.Subject) (Need, bool) {
	k, ok := b.buckets[s]
	if !ok {
		return Need{}, false
	}
	return b.need(now, s, k)
}

func (b *Ledger) need(now time.Time, s lacewingramp.Subject, k *bucket) (Need, bool) {
	k.accrue(now)
	n := Need{Subject: s, All: b.mustCollect(now, s, k)}
	demand, waiting := k.totalDemand(now)
	demand = math.Min(demand, k.limit.Rate)
	rate := k.own.Rate
	for _, l := range k.borrowed {
		if l.until.Sub(now) > expiringWithin {
			rate += l.allocation.Rate
		}
	}
	reserve := demand * borrowerReserve.Seconds()
	if reserve < minReserveTokens || b.collectScope(s, k) != collectNone {
		reserve = 0
	}
	n.Rate = math.Max(0, demand*borrowerRateFactor-rate.Of(k.limit.Rate))
	n.Tokens = math.Ceil(math.Max(0, float64(waiting)+reserve-k.level))
	short := waiting > 0 || k.level < reserve
	if !n.All && (!short || n.Rate == 0 && n.Tokens == 0) {
		return n, false
	}
	n.Tokens = math.Max(1, n.Tokens)
	return n, true
}

// mustCollect reports whether the instance is the collector of a small limit that is active
// and not completely collected.
func (b *Ledger) mustCollect(now time.Time, s lacewingramp.Subject, k *bucket) bool {
	lenders := 0
	switch b.collectScope(s, k) {
	case collectDomain:
		lenders = len(b.siblings)
	case collectFleet:
		lenders = len(b.siblings) + len(b.remotes)
	default:
	}
	if lenders == 0 || !k.active(now) || b.collector(s, k) != b.name {
		return false
	}
	return k.countCollected(now) < lenders || b.hasUncollected(s, k)
}

// countCollected returns the number of loans by which other instances lent everything that
// they had.
func (k *bucket) countCollected(now time.Time) int {
	n := 0
	for _, l := range k.borrowed {
		if l.all && l.until.Sub(now) > expiringWithin {
			n++
		}
	}
	return n
}

// hasUncollected reports whether another instance has quota of a small limit, because a
// loan was returned to it after it had lent everything.
func (b *Ledger) hasUncollected(s lacewingramp.Subject, k *bucket) bool {
	lists := [][]string{b.siblings}
	if b.collectScope(s, k) == collectFleet {
		lists = append(lists, b.remotes)
	}
	for _, names := range lists {
		for _, n := range names {
			if k.peerSpares[n].Rate > 0 {
				return true
			}
		}
	}
	return false
}

// LoanRequest returns the request for a loan that covers n. The borrower counts the term of
// the loan from now.
func (b *Ledger) LoanRequest(now time.Time, n Need) lacewingramp.LoanRequest {
	b.lastSerial++
	id := lacewingramp.LoanID{Borrower: b.name, Serial: b.lastSerial}
	b.pendingRequests[id] = pendingRequest{subject: n.Subject, sent: now, all: n.All}
	request := lacewingramp.LoanRequest{ID: id, Subject: n.Subject, Rate: n.Rate, Tokens: n.Tokens, All: n.All}
	if k, ok := b.buckets[n.Subject]; ok {
		request.Demand, request.Waiting = k.demand, k.waiting
	}
	if b.tracer != nil {
		b.trace(now, CallLoanRequest, Args{Need: &n}, Want{})
	}
	return request
}

// Borrow adds a received loan and reports whether it did. It ignores an empty loan, one
// that does not match a pending LoanRequest, a duplicate, and one whose term has already ended.
func (b *Ledger) Borrow(now time.Time, lender string, loan lacewingramp.Loan) bool {
	done := b.borrow(now, lender, loan)
	if b.tracer != nil {
		b.trace(now, CallBorrow, Args{Name: lender, Loan: &loan}, Want{Done: done})
	}
	return done
}

func (b *Ledger) borrow(now time.Time, lender string, loan lacewingramp.Loan) bool {
	pending, ok := b.pendingRequests[loan.ID]
	if !ok || pending.subject != loan.Subject || loan.Allocation.Check() != nil {
		return false
	}
	delete(b.pendingRequests, loan.ID)
	k, ok := b.buckets[loan.Subject]
	until := pending.sent.Add(loan.Term)
	if !ok || loan.Allocation.Empty() || !now.Before(until) {
		return false
	}
	k.accrue(now)
	k.borrowed = append(k.borrowed, borrowed{id: loan.ID, lender: lender, allocation: loan.Allocation, until: until, all: pending.all && loan.All})
	k.borrowedRate += loan.Allocation.Rate
	k.borrowedBurst += loan.Allocation.Burst
	k.level += loan.Allocation.Balance
	k.clamp()
	return true
}

// ReturnRequest is a LoanReturn with the lender that it is sent to.
type ReturnRequest struct {
	Lender     string                  `json:"lender"`
	LoanReturn lacewingramp.LoanReturn `json:"return"`
}

// ReturnRequests ends the borrowed loans that are no longer needed and returns the messages
// to send to their lenders. The loans are not used again even if a message is lost.
func (b *Ledger) ReturnRequests(now time.Time) []ReturnRequest {
	var all []ReturnRequest
	for s, k := range b.buckets {
		k.accrue(now)
		if len(k.borrowed) == 0 {
			continue
		}
		small, collector := b.collectScope(s, k) != collectNone, b.collector(s, k) == b.name
		for i := 0; i < len(k.borrowed); {
			l := k.borrowed[i]
			if k.stillNeeded(now, l, small, collector) {
				i++
				continue
			}
			k.borrowed = append(k.borrowed[:i], k.borrowed[i+1:]...)
			all = append(all, ReturnRequest{Lender: l.lender, LoanReturn: lacewingramp.LoanReturn{ID: l.id, Subject: s, UnusedTokens: k.endBorrowed(l)}})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].LoanReturn.Subject.Name < all[j].LoanReturn.Subject.Name })
	if b.tracer != nil {
		b.trace(now, CallReturnRequests, Args{}, Want{LoanReturns: all})
	}
	return all
}

// endBorrowed deducts a borrowed loan from the bucket and returns the unused tokens to send
// back with it.
func (k *bucket) endBorrowed(l borrowed) float64 {
	keep := (k.own.Burst + k.borrowedBurst - l.allocation.Burst).Of(k.limit.Burst)
	returned := math.Min(math.Max(0, k.level-keep), l.allocation.Burst.Of(k.limit.Burst))
	if k.demand < minActiveDemand || l.allocation.Rate == 0 {
		returned = math.Min(k.level, l.allocation.Burst.Of(k.limit.Burst))
	}
	k.level -= returned
	k.borrowedRate -= l.allocation.Rate
	k.borrowedBurst -= l.allocation.Burst
	k.clamp()
	return returned
}

// stillNeeded reports whether to keep a borrowed loan. A loan of tokens without rate is kept
// while requests are queued or tokens remain, a loan of rate while the demand requires it.
// Tokens of a small limit are returned as soon as no requests are queued, because other
// instances may be waiting for them. Collected quota is kept while the limit is active and
// this instance is its collector.
func (k *bucket) stillNeeded(now time.Time, l borrowed, small, isCollector bool) bool {
	if k.hasSubloans(l.id) {
		return true
	}
	if l.all {
		return k.active(now) && isCollector
	}
	if small && l.allocation.Rate == 0 {
		return k.waiting > 0 && k.level >= 1
	}
	if _, waiting := k.totalDemand(now); waiting > 0 {
		return true
	}
	if l.allocation.Rate == 0 {
		return k.level >= 1 && k.demand > minActiveDemand && l.until.Sub(now) > returnBefore
	}
	left := (k.own.Rate + k.borrowedRate - l.allocation.Rate).Of(k.limit.Rate)
	demand, _ := k.totalDemand(now)
	return demand >= returnDemandFactor*left && demand > minActiveDemand
}

// ExtendRequest is a request to extend a loan, with the lender that it is sent to.
type ExtendRequest struct {
	Lender string
	Extend lacewingramp.Extend
}

// ExtendRequests returns the requests to extend the borrowed loans of rate that expire soon.
// Loans that are no longer needed are removed by ReturnRequests.
func (b *Ledger) ExtendRequests(now time.Time) []ExtendRequest {
	var all []ExtendRequest
	for s, k := range b.buckets {
		k.accrue(now)
		for _, l := range k.borrowed {
			if l.allocation.Rate > 0 && l.until.Sub(now) < extendBefore {
				all = append(all, ExtendRequest{Lender: l.lender, Extend: lacewingramp.Extend{ID: l.id, Subject: s}})
			}
		}
	}
	return all
}

// LoanExtension applies the reply to an Extend that was sent at the given time. A loan that has
// expired meanwhile is not extended.
func (b *Ledger) LoanExtension(now, sent time.Time, e lacewingramp.Extend, x lacewingramp.LoanExtension) {
	k, ok := b.buckets[e.Subject]
	if !ok || !x.Granted {
		return
	}
	b.trace(now, CallLoanExtension, Args{Time: &sent, Extend: &e, LoanExtension: &x}, Want{})
	k.accrue(now)
	for i := range k.borrowed {
		if l := &k.borrowed[i]; l.id == e.ID && sent.Add(x.Term).After(l.until) {
			l.until = sent.Add(x.Term)
		}
	}
}
