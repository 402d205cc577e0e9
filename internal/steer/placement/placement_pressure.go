package placement

import (
	"math"
	"time"
)

const (
	// pressureTime is over how long a target's fill is averaged, and
	// pressureKept what one answer leaves of the average at least, as answers
	// come seldom from some targets.
	pressureTime = time.Second
	pressureKept = 0.8
	// pressureFresh is how long a target's pressure counts.
	pressureFresh = 3 * time.Second
	// pressureHigh is the fill above which a target gives objects away, to one
	// with at most pressurePart of its own.
	pressureHigh = 0.8
	pressurePart = 0.5
	// relieveTime is the time between two objects that a target gives away.
	relieveTime = 200 * time.Millisecond
	// movesMost bounds how many moved objects are remembered.
	movesMost = 8192
)

// moveKey is an object of a service.
type moveKey struct {
	service string
	object  string
}

// swap puts an object's second target first, if the object has been moved there
// or is moved now: from a target that has been full for a while to one that has
// not. It stays there, so that both keep what they know.
func (p *Placer) swap(now time.Time, q *Query, all []ranked) {
	if q.Object == "" || len(all) < spread {
		return
	}
	first, second := all[0], all[1]
	key := moveKey{service: q.Service, object: q.Object}
	if m, ok := p.moves[key]; ok && m == second.Name {
		all[0], all[1] = second, first
		return
	}
	if !first.mayRelieve(now, second.target) {
		return
	}
	if p.moves == nil || len(p.moves) >= movesMost {
		p.moves = make(map[moveKey]string)
	}
	p.moves[key] = second.Name
	first.relieved = now
	all[0], all[1] = second, first
}

// mayRelieve reports whether an object of a target should move to another.
func (t *target) mayRelieve(now time.Time, other *target) bool {
	return t.pressed(now) > pressureHigh && other.pressed(now) < pressurePart*t.pressed(now) &&
		now.Sub(t.relieved) >= relieveTime
}

// pressed returns how full a target has been lately.
func (t *target) pressed(now time.Time) float64 {
	if now.Sub(t.pressureAt) > pressureFresh {
		return 0
	}
	return t.pressure
}

// press takes in how full a target said it was.
func (t *target) press(now time.Time, fill float64) {
	kept := math.Exp(-now.Sub(t.pressureAt).Seconds() / pressureTime.Seconds())
	kept = min(max(kept, pressureKept), 1)
	t.pressure = kept*t.pressure + (1-kept)*fill
	t.pressureAt = now
}
