package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetsPerObject is how many warm targets serve an object.
	targetsPerObject = 2
	// maxFallbackUtilization is the maximum utilization of a target, in requests
	// per slot, when no candidate for an object fits by maxUtilizationByRank.
	maxFallbackUtilization = 1.7
)

// maxUtilizationByRank is the maximum utilization, in requests per slot, of the
// first and of all further targets in an object's ranking.
var maxUtilizationByRank = [...]float64{2.0, 1.5}

// usable reports whether a target may be sent the query's request now.
func (p *Placer) usable(now time.Time, t *target, q *Query) bool {
	if p.paused(now, t) || (t.inflight > 0 && p.onTrial(now, t)) {
		return false
	}
	return p.eligible(now, t, q)
}

// eligible reports whether a target may be sent the query's request, but for a pause.
func (p *Placer) eligible(now time.Time, t *target, q *Query) bool {
	if p.leaving(t) || t.addressTaken || p.evacuated[t.Domain] || now.Before(t.suspendedUntil) {
		return false
	}
	if q.Version != "" && t.Version != q.Version {
		return false
	}
	if !q.RouteRegions.Allows(t.region) || !q.CustomerRegions.Allows(t.region) {
		return false
	}
	for _, n := range q.Tried {
		if n == t.Name {
			return false
		}
	}
	return true
}

// ranked is a target with its score for an object.
type ranked struct {
	*target
	score float64
}

// order ranks the usable targets by rendezvous hashing, weighted by slots. Without an object it
// ranks those with a free slot in an order that differs for each request, so that the instances
// of a large deployment do not all choose the same one, and behind them the others by
// utilization.
func (p *Placer) order(now time.Time, q *Query) []ranked {
	key := p.rankingKey(q.Object)
	weights := p.regionWeights(now, q.Service)
	var all []ranked
	for _, t := range p.services[q.Service] {
		if p.usable(now, t, q) {
			all = append(all, ranked{target: t, score: weightOf(weights, t.region) * score(key, t)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score == all[j].score {
			return all[i].Name < all[j].Name
		}
		return all[i].score > all[j].score
	})
	if q.Object == "" {
		sort.SliceStable(all, func(i, j int) bool { return all[i].excess(now) < all[j].excess(now) })
	}
	return all
}

// rankingKey returns the key by which targets are ranked for an object, one of its own for each
// request without an object.
func (p *Placer) rankingKey(object string) uint64 {
	if object != "" {
		return xxhash.Sum64String(object)
	}
	p.unnamed++
	return mix(xxhash.Sum64String(p.Self) + p.unnamed)
}

func score(key uint64, t *target) float64 {
	const unit = 1 << 53
	h := mix(key ^ t.hash)
	u := (float64(h>>11) + 0.5) / unit
	return -float64(max(1, t.Slots)) / math.Log(u)
}

// mix spreads the bits of a hash like the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// candidates returns the targets that may serve an object: the first warm ones without a
// limit, and those ranked above them that are cold, name a limit or have failed a probe.
// Targets further down have not handled the object lately, and would evict another object
// from their cache for it. The targets of few regions have to be warm for all objects of
// a request that is bound to them, so it goes to the second target only if that has a free slot.
func (p *Placer) candidates(now time.Time, q *Query, all []ranked) []ranked {
	warm := 0
	for i, t := range all {
		if t.cold(now) || p.slow(now, t.target) || t.limit > 0 || (t.probeFailed && p.mayBeCold(now, t.target)) {
			continue
		}
		if warm++; warm < targetsPerObject {
			continue
		}
		if q.bound() && t.excess(now) > 0 {
			return all[:i]
		}
		return all[:i+1]
	}
	return all
}
