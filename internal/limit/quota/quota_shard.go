package quota

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// ShardState is the state that moves with a shard to its next holder: tokens and outstanding
// loans.
type ShardState struct {
	Balances    []lacewingramp.Balance     `json:"levels,omitempty"`
	Outstanding []lacewingramp.Outstanding `json:"owed,omitempty"`
}

// Hold adds a shard with the state that the previous holder handed over. The state is empty
// if the previous holder has crashed.
func (b *Ledger) Hold(now time.Time, shard int, state ShardState) {
	if shard < 0 || shard >= Shards || b.held[shard] {
		return
	}
	b.held[shard] = true
	b.trace(now, CallHold, Args{Shard: shard, ShardState: &state}, Want{})
	for s, k := range b.buckets {
		k.expireLoans(now)
		k.addShare(b.shardFraction(s))
	}
	for _, o := range state.Outstanding {
		if k, ok := b.buckets[o.Subject]; ok && o.Allocation.Check() == nil {
			k.takeOverLoan(now, o)
		}
	}
	for _, l := range state.Balances {
		if k, ok := b.buckets[l.Subject]; ok && l.Tokens > 0 {
			k.level += min(l.Tokens, b.shardFraction(l.Subject).Of(k.limit.Burst))
			k.clamp()
		}
	}
}

// takeOverLoan records an outstanding loan that was lent out of a shard. The loan may exceed
// the instance's own quota if the domain's share is smaller here than it was at the previous
// holder. The excess is not recorded, because the smaller share already excludes it.
func (k *bucket) takeOverLoan(now time.Time, o lacewingramp.Outstanding) {
	p := lacewingramp.Allocation{Rate: min(o.Allocation.Rate, k.own.Rate), Burst: min(o.Allocation.Burst, k.own.Burst)}
	k.own.Rate -= p.Rate
	k.own.Burst -= p.Burst
	k.lent = append(k.lent, lent{id: o.ID, allocation: p, fixedTerm: true, until: now.Add(min(o.Remaining, Term+ReclaimMargin))})
	k.clamp()
}

// Drop removes a shard and returns the state to hand over. Quota of the shard that is lent
// becomes an outstanding loan of the next holder. It returns false if the instance does not
// hold the shard.
func (b *Ledger) Drop(now time.Time, shard int) (ShardState, bool) {
	if shard < 0 || shard >= Shards || !b.held[shard] {
		return ShardState{}, false
	}
	n := b.heldCount()
	b.held[shard] = false
	var state ShardState
	for s, k := range b.buckets {
		k.expireLoans(now)
		u := b.shardFraction(s)
		rate, burst := u, u
		for rate > k.own.Rate || burst > k.own.Burst {
			o, ok := k.splitLoan(now, s, saturatingSubtract(rate, k.own.Rate), saturatingSubtract(burst, k.own.Burst))
			if !ok {
				break
			}
			rate -= o.Allocation.Rate
			burst -= o.Allocation.Burst
			state.Outstanding = append(state.Outstanding, o)
		}
		k.removeShare(saturatingSubtract(rate, k.own.Rate), saturatingSubtract(burst, k.own.Burst))
		p := k.splitAllocation(min(rate, k.own.Rate), min(burst, k.own.Burst), k.level/float64(n))
		if p.Balance > 0 {
			state.Balances = append(state.Balances, lacewingramp.Balance{Subject: s, Tokens: p.Balance})
		}
	}
	sort.Slice(state.Balances, func(i, j int) bool { return state.Balances[i].Subject.Name < state.Balances[j].Subject.Name })
	sort.SliceStable(state.Outstanding, func(i, j int) bool { return state.Outstanding[i].Subject.Name < state.Outstanding[j].Subject.Name })
	if b.tracer != nil {
		b.trace(now, CallDrop, Args{Shard: shard}, Want{ShardState: &state})
	}
	return state, true
}

// splitLoan moves up to rate and burst out of one of the outstanding loans, for a shard that
// is handed over. The rest of the loan remains with this instance. It returns false if there
// is no suitable loan.
func (k *bucket) splitLoan(now time.Time, s lacewingramp.Subject, rate, burst lacewingramp.LimitFraction) (lacewingramp.Outstanding, bool) {
	for i := range k.lent {
		l := &k.lent[i]
		p := lacewingramp.Allocation{Rate: min(rate, l.allocation.Rate), Burst: min(burst, l.allocation.Burst)}
		if p.Empty() || l.source != (lacewingramp.LoanID{}) {
			continue
		}
		l.allocation.Rate -= p.Rate
		l.allocation.Burst -= p.Burst
		l.fixedTerm = true
		return lacewingramp.Outstanding{ID: l.id, Subject: s, Allocation: p, Remaining: l.until.Sub(now)}, true
	}
	return lacewingramp.Outstanding{}, false
}

// Forfeit removes a shard that another instance has taken over. Only the tokens that fit into
// the remaining burst are kept.
func (b *Ledger) Forfeit(now time.Time, shard int) {
	if shard < 0 || shard >= Shards || !b.held[shard] {
		return
	}
	b.held[shard] = false
	b.trace(now, CallForfeit, Args{Shard: shard}, Want{})
	for s, k := range b.buckets {
		k.expireLoans(now)
		u := b.shardFraction(s)
		k.removeShare(u, u)
	}
}
