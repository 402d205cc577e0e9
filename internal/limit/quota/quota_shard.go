package quota

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Load is what goes with a shard: tokens, and loans that are still out.
type Load struct {
	Levels []lacewingramp.Level `json:"levels,omitempty"`
	Owed   []lacewingramp.Owed  `json:"owed,omitempty"`
}

// Hold adds a shard with what its former holder handed over. A shard taken
// from a dead holder comes with nothing.
func (b *Book) Hold(now time.Time, shard int, load Load) {
	if shard < 0 || shard >= Shards || b.held[shard] {
		return
	}
	b.held[shard] = true
	b.trace(now, CallHold, Args{Shard: shard, Load: &load}, Want{})
	for s, k := range b.buckets {
		k.expire(now)
		k.gain(b.shardUnits(s))
	}
	for _, o := range load.Owed {
		if k, ok := b.buckets[o.Subject]; ok && o.Parcel.Check() == nil {
			k.owe(now, o)
		}
	}
	for _, l := range load.Levels {
		if k, ok := b.buckets[l.Subject]; ok && l.Tokens > 0 {
			k.level += min(l.Tokens, b.shardUnits(l.Subject).Of(k.limit.Burst))
			k.clamp()
		}
	}
}

// owe takes over a loan that was lent out of a shard. What this instance has
// not got of it, because its part is smaller, is owed already.
func (k *bucket) owe(now time.Time, o lacewingramp.Owed) {
	p := lacewingramp.Parcel{Rate: min(o.Parcel.Rate, k.own.Rate), Burst: min(o.Parcel.Burst, k.own.Burst)}
	k.own.Rate -= p.Rate
	k.own.Burst -= p.Burst
	k.lent = append(k.lent, lent{id: o.ID, parcel: p, parted: true, until: now.Add(min(o.Remaining, Term+Margin))})
	k.clamp()
}

// Drop gives up a shard and returns what goes with it. Parts of it that are
// lent out go along as loans of the next holder.
func (b *Book) Drop(now time.Time, shard int) (Load, bool) {
	if shard < 0 || shard >= Shards || !b.held[shard] {
		return Load{}, false
	}
	n := b.heldCount()
	b.held[shard] = false
	var load Load
	for s, k := range b.buckets {
		k.expire(now)
		u := b.shardUnits(s)
		rate, burst := u, u
		for rate > k.own.Rate || burst > k.own.Burst {
			o, ok := k.release(now, s, without(rate, k.own.Rate), without(burst, k.own.Burst))
			if !ok {
				break
			}
			rate -= o.Parcel.Rate
			burst -= o.Parcel.Burst
			load.Owed = append(load.Owed, o)
		}
		k.lose(without(rate, k.own.Rate), without(burst, k.own.Burst))
		p := k.split(min(rate, k.own.Rate), min(burst, k.own.Burst), k.level/float64(n))
		if p.Level > 0 {
			load.Levels = append(load.Levels, lacewingramp.Level{Subject: s, Tokens: p.Level})
		}
	}
	sort.Slice(load.Levels, func(i, j int) bool { return load.Levels[i].Subject.Name < load.Levels[j].Subject.Name })
	sort.SliceStable(load.Owed, func(i, j int) bool { return load.Owed[i].Subject.Name < load.Owed[j].Subject.Name })
	if b.tracer != nil {
		b.trace(now, CallDrop, Args{Shard: shard}, Want{Load: &load})
	}
	return load, true
}

// release takes up to rate and burst units out of the loans, for a shard that
// is handed over. The rest of the loan stays with this instance.
func (k *bucket) release(now time.Time, s lacewingramp.Subject, rate, burst lacewingramp.LimitFraction) (lacewingramp.Owed, bool) {
	for i := range k.lent {
		l := &k.lent[i]
		p := lacewingramp.Parcel{Rate: min(rate, l.parcel.Rate), Burst: min(burst, l.parcel.Burst)}
		if p.Empty() || l.source != (lacewingramp.LoanID{}) {
			continue
		}
		l.parcel.Rate -= p.Rate
		l.parcel.Burst -= p.Burst
		l.parted = true
		return lacewingramp.Owed{ID: l.id, Subject: s, Parcel: p, Remaining: l.until.Sub(now)}, true
	}
	return lacewingramp.Owed{}, false
}

// Forfeit drops a shard that another instance has taken. Tokens of it that
// are still here are spent.
func (b *Book) Forfeit(now time.Time, shard int) {
	if shard < 0 || shard >= Shards || !b.held[shard] {
		return
	}
	b.held[shard] = false
	b.trace(now, CallForfeit, Args{Shard: shard}, Want{})
	for s, k := range b.buckets {
		k.expire(now)
		u := b.shardUnits(s)
		k.lose(u, u)
	}
}
