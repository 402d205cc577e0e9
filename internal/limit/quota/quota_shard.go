package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Hold adds a shard. levels are what its former holder handed over; a shard
// taken from a dead holder comes without.
func (b *Book) Hold(now time.Time, shard int, levels []lacewingramp.Level) {
	if shard < 0 || shard >= Shards || b.held[shard] {
		return
	}
	b.held[shard] = true
	b.leaving[shard] = time.Time{}
	for s, k := range b.buckets {
		k.accrue(now)
		k.gain(b.shardUnits(s))
	}
	for _, l := range levels {
		if k, ok := b.buckets[l.Subject]; ok && l.Tokens > 0 {
			k.level += min(l.Tokens, b.shardUnits(l.Subject).Of(k.limit.Burst))
			k.clamp()
		}
	}
}

// Drop gives up a shard and returns the tokens that go with it. While a part
// of the shard is lent out it returns false, lends no more of it, and is to
// be called again.
func (b *Book) Drop(now time.Time, shard int) ([]lacewingramp.Level, bool) {
	if shard < 0 || shard >= Shards || !b.held[shard] {
		return nil, false
	}
	b.leaving[shard] = now
	for s, k := range b.buckets {
		k.expire(now)
		u := b.shardUnits(s)
		if k.own.Rate < u || k.own.Burst < u {
			return nil, false
		}
	}
	return b.release(shard), true
}

func (b *Book) release(shard int) []lacewingramp.Level {
	n := b.heldCount()
	b.held[shard] = false
	b.leaving[shard] = time.Time{}
	var levels []lacewingramp.Level
	for s, k := range b.buckets {
		u := b.shardUnits(s)
		p := k.split(u, u, k.level/float64(n))
		if p.Level > 0 {
			levels = append(levels, lacewingramp.Level{Subject: s, Tokens: p.Level})
		}
	}
	return levels
}

// Forfeit drops a shard that another instance has taken. Tokens of it that
// are still here are spent.
func (b *Book) Forfeit(now time.Time, shard int) {
	if shard < 0 || shard >= Shards || !b.held[shard] {
		return
	}
	b.held[shard] = false
	b.leaving[shard] = time.Time{}
	for s, k := range b.buckets {
		k.expire(now)
		k.lose(b.shardUnits(s))
	}
}

// kept is how much of subject must stay unlent because its shards are about
// to be given up.
func (b *Book) kept(s lacewingramp.Subject) lacewingramp.Units {
	n := 0
	for i, h := range b.held {
		if h && !b.leaving[i].IsZero() {
			n++
		}
	}
	return b.shardUnits(s) * lacewingramp.Units(n)
}
