package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRankings bounds the memory of the rankings: 1.6 MB at 400 targets.
	maxRankings = 2048
	// latelySent is how many of an object's targets are remembered, and latelySentAge for how long
	// the object is assumed to be warm there.
	latelySent    = 4
	latelySentAge = 5 * time.Second
	// maxRankedTargets is the number of targets of a service that a ranking can hold.
	maxRankedTargets = math.MaxUint16
)

// objectRanking holds the targets of a service, as indices, in the order for an object, and the
// targets that the object was sent to lately.
type objectRanking struct {
	version int
	order   []uint16
	sent    [latelySent]sentTo
}

type sentTo struct {
	target *target
	at     time.Time
}

// rankingOf returns the ranking of an object. It is computed again when the targets or the
// weights of the regions have changed.
func (p *Placer) rankingOf(now time.Time, q *Query, s *serviceWork) *objectRanking {
	weights := p.regionWeights(now, q.Service)
	if at := p.divisions[q.Service].steppedAt; !at.Equal(s.weightsAt) {
		s.weightsAt = at
		if !maps.Equal(weights, s.weights) {
			s.weights = weights
			p.completions.version++
		}
	}
	key := objectKey{service: q.Service, object: q.Object}
	r, ok := p.completions.rankings[key]
	if !ok {
		r = p.addRanking(key)
	}
	if !ok || r.version != p.completions.version {
		p.rank(r, q, weights)
	}
	return r
}

// addRanking adds a ranking, in place of another one if there are too many.
func (p *Placer) addRanking(key objectKey) *objectRanking {
	if p.completions.rankings == nil {
		p.completions.rankings = make(map[objectKey]*objectRanking)
	}
	for k := range p.completions.rankings {
		if len(p.completions.rankings) < maxRankings {
			break
		}
		delete(p.completions.rankings, k)
	}
	r := &objectRanking{}
	p.completions.rankings[key] = r
	return r
}

// rank computes a ranking as order does.
func (p *Placer) rank(r *objectRanking, q *Query, weights map[string]float64) {
	r.version = p.completions.version
	targets := p.services[q.Service]
	key := xxhash.Sum64String(q.Object)
	scores := make([]float64, len(targets))
	r.order = make([]uint16, len(targets))
	for i, t := range targets {
		r.order[i] = uint16(i)
		scores[i] = weightOf(weights, t.region) * score(key, t)
	}
	slices.SortFunc(r.order, func(a, b uint16) int {
		if c := cmp.Compare(scores[b], scores[a]); c != 0 {
			return c
		}
		return cmp.Compare(targets[a].Name, targets[b].Name)
	})
}

// sentLately reports whether the object was sent to a target lately.
func (r *objectRanking) sentLately(now time.Time, t *target) bool {
	for i := range r.sent {
		if r.sent[i].target == t {
			return now.Sub(r.sent[i].at) < latelySentAge
		}
	}
	return false
}

// recordSent records that the object is sent to a target, in place of the one that it was
// sent to the longest time ago.
func (r *objectRanking) recordSent(now time.Time, t *target) {
	oldest := 0
	for i := range r.sent {
		if r.sent[i].target == t {
			oldest = i
			break
		}
		if r.sent[i].at.Before(r.sent[oldest].at) {
			oldest = i
		}
	}
	r.sent[oldest] = sentTo{target: t, at: now}
}
