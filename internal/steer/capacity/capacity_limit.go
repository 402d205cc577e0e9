package capacity

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// A shed or a timeout multiplies the limit by decrease, once in a round trip.
	decrease = 0.7
	// riseTime is the time in which good responses raise the limit by slots and queue, and
	// maxRiseStep the longest time that one of them counts for.
	riseTime    = 10 * time.Second
	maxRiseStep = time.Second
	// maxLowest is the lowest fraction of slots and queue that a limit falls to while
	// neither is known.
	maxLowest = 0.1
	// usualRoundTrip is assumed while no duration is known, the others bound the one that is.
	usualRoundTrip = 500 * time.Millisecond
	minRoundTrip   = 200 * time.Millisecond
	maxRoundTrip   = 2 * time.Second
	// maxQueuePerSlot bounds the queue that is believed, in requests per slot.
	maxQueuePerSlot = 16

	// levels is the number of levels by which mean work is kept: the numbers of running
	// requests, or ranges of them if there are more slots.
	levels = 8
	// levelTime is the time constant with which the evidence on a level is forgotten, so that a
	// level that the limit rules out is tried again.
	levelTime = 8 * time.Second
	// The weight of a level's evidence is at most maxLevelWeight. It counts from minLevelWeight.
	minLevelWeight = 8
	maxLevelWeight = 20
	// sufficientThroughput is the fraction of the highest throughput from which a level
	// suffices. Slow phases that do not depend on load coincide with many running requests,
	// as these then take longer: with phases of 2.5 times the work in 15% of the time, work
	// at three running requests seems up to 1.12 times that at two. From 1.5 x
	// sufficientThroughput on it limits them to two.
	sufficientThroughput = 0.95
)

// limit is the concurrency limit of a target.
type limit struct {
	slots int
	// queue is the longest queue that the target has reported.
	queue int
	// reduction is the fraction by which sheds and timeouts have lowered the limit.
	reduction   float64
	decreasedAt time.Time
	goodAt      time.Time
	byLevel     [levels]level
	// maxRunning is the number of running requests beyond which throughput does not rise, 0 if
	// not known.
	maxRunning float64
}

// level holds the mean work factor while a number of requests ran.
type level struct {
	mean   float64
	weight float64
	at     time.Time
}

// weightAt returns the weight of the evidence on a level.
func (l *level) weightAt(now time.Time) float64 {
	return l.weight * remaining(now.Sub(l.at), levelTime)
}

// reported records the slots and the queue of a report.
func (l *limit) reported(load lacewingramp.TargetLoad) {
	if load.Slots > 0 {
		l.slots = load.Slots
	}
	l.queue = max(l.queue, min(load.Waiting, maxQueuePerSlot*max(1, l.slots)))
}

// maximum returns the limit of a target that handles all that it accepts well.
func (l *limit) maximum(slots int) float64 {
	slots = min(max(1, slots), maxFigure)
	return float64(slots + min(l.queue, maxQueuePerSlot*slots))
}

// observe records a work factor that was seen with a number of running requests.
func (l *limit) observe(at time.Time, running int, factor float64) {
	if l.slots == 0 {
		return
	}
	v := &l.byLevel[l.levelOf(running)]
	w := v.weightAt(at)
	v.mean = (v.mean*w + factor) / (w + 1)
	v.weight, v.at = min(w+1, maxLevelWeight), at
	l.findMaxRunning(at)
}

// levelCount returns the number of levels in use.
func (l *limit) levelCount() int {
	return min(l.slots, levels)
}

func (l *limit) levelOf(running int) int {
	running = min(max(1, running), l.slots)
	n := l.levelCount()
	return (running*n+l.slots-1)/l.slots - 1
}

// runningAt returns the highest number of running requests of a level.
func (l *limit) runningAt(i int) float64 {
	return float64((i + 1) * l.slots / l.levelCount())
}

// findMaxRunning sets maxRunning to the lowest level with sufficient throughput, if there
// is evidence on a higher one.
func (l *limit) findMaxRunning(now time.Time) {
	best, highest := 0.0, -1
	var throughput [levels]float64
	for i := range l.levelCount() {
		v := &l.byLevel[i]
		if v.weightAt(now) < minLevelWeight {
			continue
		}
		throughput[i] = l.runningAt(i) / v.mean
		best, highest = max(best, throughput[i]), i
	}
	l.maxRunning = 0
	for i := range highest {
		if throughput[i] >= sufficientThroughput*best {
			l.maxRunning = l.runningAt(i)
			return
		}
	}
}

// value returns the current limit, without regard to throughput.
func (l *limit) value(slots int) float64 {
	return max(1, l.maximum(slots)*(1-l.reduction))
}

// good raises the limit after a good response.
func (l *limit) good(now time.Time) {
	step := min(max(0, now.Sub(l.goodAt)), maxRiseStep)
	l.goodAt = now
	l.reduction = max(0, l.reduction-float64(step)/float64(riseTime))
}

// decreaseOnce lowers the limit unless that has been done within the round trip.
func (l *limit) decreaseOnce(now time.Time, roundTrip time.Duration) {
	since := now.Sub(l.decreasedAt)
	if !l.decreasedAt.IsZero() && since >= 0 && since < roundTrip {
		return
	}
	lowest := min(maxLowest, 1/l.maximum(l.slots))
	l.reduction = 1 - max(lowest, (1-l.reduction)*decrease)
	l.decreasedAt, l.goodAt = now, now
}

// Overloaded records that the target has shed a request, or that one has timed out there.
func (t *Target) Overloaded(now time.Time) {
	t.limit.decreaseOnce(now, t.roundTrip())
}

func (t *Target) roundTrip() time.Duration {
	if t.work.duration == 0 {
		return usualRoundTrip
	}
	return min(max(t.work.duration, minRoundTrip), maxRoundTrip)
}

// Full records that the target shed a request an age ago as its slots and its queue were occupied,
// without a report of its load. It returns the load that this shows.
func (t *Target) Full(now time.Time, age time.Duration, slots int) lacewingramp.TargetLoad {
	load := lacewingramp.TargetLoad{Running: min(max(1, slots), maxFigure), Waiting: t.limit.queue, Slots: min(max(1, slots), maxFigure)}
	t.Report(now, age, load)
	t.Overloaded(now)
	return load
}

// Limit returns how many concurrent requests of all instances the target takes well.
func (t *Target) Limit(_ time.Time, slots int) float64 {
	l := &t.limit
	if l.maxRunning > 0 {
		return min(l.value(slots), l.maxRunning)
	}
	return l.value(slots)
}
