package placement

import (
	"math"
	"time"
)

const (
	// utilizationTimeConstant is the time constant of the moving average of a
	// target's utilization. minHistoryWeight is the minimum weight that the previous
	// average keeps when a response arrives, so that a single response of a target
	// that responds rarely does not replace the average.
	utilizationTimeConstant = time.Second
	minHistoryWeight        = 0.8
	// maxUtilizationAge is how long the average is valid after the last response.
	maxUtilizationAge = 3 * time.Second
	// moveThreshold is the average utilization above which a target's objects are
	// moved, provided that the average utilization of the target that they are moved
	// to is less than maxUtilizationRatio times as high.
	moveThreshold       = 0.8
	maxUtilizationRatio = 0.5
	// minMoveInterval is the minimum time between two moves away from a target.
	minMoveInterval = 200 * time.Millisecond
	// maxMoves is how many moved objects are remembered before all are forgotten.
	maxMoves = 8192
)

// objectKey identifies an object of a service.
type objectKey struct {
	service string
	object  string
}

// applyMoves puts an object's second target first if the object has been moved
// there, or is moved now because the first target has been full for a while and the
// second, of the same region, has not. The object is not moved back later, as this would
// cost cache misses again. It reports whether the second target is first now.
func (p *Placer) applyMoves(now time.Time, q *Query, all []ranked) bool {
	if q.Object == "" || len(all) < targetsPerObject {
		return false
	}
	first, second := all[0], all[1]
	key := objectKey{service: q.Service, object: q.Object}
	if preferred, ok := p.moves[key]; ok && preferred == second.Name {
		all[0], all[1] = second, first
		return true
	}
	if !first.mayMoveObject(now, second.target) {
		return false
	}
	if p.moves == nil || len(p.moves) >= maxMoves {
		p.moves = make(map[objectKey]string)
	}
	p.moves[key] = second.Name
	first.movedAt = now
	all[0], all[1] = second, first
	return true
}

// mayMoveObject reports whether an object of t should move to another target.
func (t *target) mayMoveObject(now time.Time, other *target) bool {
	return t.region == other.region && t.recentUtilization(now) > moveThreshold && other.recentUtilization(now) < maxUtilizationRatio*t.recentUtilization(now) &&
		now.Sub(t.movedAt) >= minMoveInterval
}

// recentUtilization returns a target's average utilization, 0 if it is out of date.
func (t *target) recentUtilization(now time.Time) float64 {
	if now.Sub(t.averageUtilizationAt) > maxUtilizationAge {
		return 0
	}
	return t.averageUtilization
}

// recordUtilization adds a utilization that a target reported to its average.
func (t *target) recordUtilization(now time.Time, sample float64) {
	historyWeight := math.Exp(-now.Sub(t.averageUtilizationAt).Seconds() / utilizationTimeConstant.Seconds())
	historyWeight = min(max(historyWeight, minHistoryWeight), 1)
	t.averageUtilization = historyWeight*t.averageUtilization + (1-historyWeight)*sample
	t.averageUtilizationAt = now
}
