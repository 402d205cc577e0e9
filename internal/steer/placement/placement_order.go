package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spread is how many targets an object is kept at.
	spread = 2
	// fillLast is how full a target may be, in requests for each slot, when all
	// that an object may go to are full.
	fillLast = 1.7
	// homeWeight is how much a target of the instance's own region counts in
	// an object's order, against one elsewhere: its answers are sooner here and
	// cost nothing on the links between regions.
	homeWeight = 4.0
)

// fillMost is how full the first targets of an object's order may be, in
// requests for each slot.
var fillMost = [...]float64{2.0, 1.5}

// usable reports whether a target may get a request of the query at all.
func (p *Placer) usable(now time.Time, t *target, q *Query) bool {
	if t.Leaving || t.gone || p.evacuated[t.Domain] || now.Before(t.suspended) {
		return false
	}
	if q.Version != "" && t.Version != q.Version {
		return false
	}
	if !q.RouteRegions.Allow(t.region) || !q.CustomerRegions.Allow(t.region) {
		return false
	}
	for _, n := range q.Tried {
		if n == t.Name {
			return false
		}
	}
	return true
}

// ranked is a target with its place in an object's order.
type ranked struct {
	*target
	score float64
}

// order sorts the usable targets by rendezvous hashing, weighted by slots.
func (p *Placer) order(now time.Time, q *Query) []ranked {
	key := xxhash.Sum64String(q.Object)
	var all []ranked
	for _, t := range p.services[q.Service] {
		if p.usable(now, t, q) {
			w := score(key, t)
			if t.region == p.Home {
				w *= homeWeight
			}
			all = append(all, ranked{target: t, score: w})
		}
	}
	if q.Object == "" {
		sort.SliceStable(all, func(i, j int) bool { return all[i].fill(now) < all[j].fill(now) })
		return all
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score == all[j].score {
			return all[i].Name < all[j].Name
		}
		return all[i].score > all[j].score
	})
	return all
}

func score(key uint64, t *target) float64 {
	const unit = 1 << 53
	h := mix(key ^ t.hash)
	u := (float64(h>>11) + 0.5) / unit
	return -float64(max(1, t.Slots)) / math.Log(u)
}

// mix spreads the bits of a hash, as in the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// near returns the targets that an object may go to: the first few that are
// warm, and the cold or silent ones before them. Further ones do not know the object, and
// would forget another for it.
func (p *Placer) near(now time.Time, all []ranked) []ranked {
	warm := 0
	for i, t := range all {
		if now.Before(t.coldUntil) || (t.silent && p.doubtful(now, t.target)) {
			continue
		}
		if warm++; warm == spread {
			return all[:i+1]
		}
	}
	return all
}
