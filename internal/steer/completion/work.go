package completion

import (
	"math"
	"slices"
	"time"
)

const (
	// workSamples is how many responses of a route are kept, and workPeriod after how many of
	// them the estimate is made again.
	workSamples = 64
	workPeriod  = 8
	// minWorkSamples is how many responses an estimate needs.
	minWorkSamples = 16
	// minGroup is how many of the samples make a group of their own. Fewer are outliers.
	minGroup = 4
	// usualColdRatio is the time of a cold run relative to a warm one until it is learned.
	// minColdRatio and maxColdRatio bound what is learned, as a part of the targets being slow
	// looks like a group of longer runs.
	usualColdRatio = 1 / 0.3
	minColdRatio   = 2.5
	maxColdRatio   = 5.0
	// separateRatio is the ratio of the medians from which two groups are warm and cold runs.
	separateRatio = 1.8
	// maxWorkStep bounds how much one estimate differs from the one before.
	maxWorkStep = 1.25
	// minWork and maxWork bound the samples.
	minWork = 100 * time.Microsecond
	maxWork = time.Minute
)

// Estimate is the usual time of work of a route at a target that is warm for the object and at one
// that is not, without waiting. Both are 0 if not known.
type Estimate struct {
	Warm time.Duration
	Cold time.Duration
}

// at returns the expected work at a target with a probability of being warm.
func (e Estimate) at(warmth float64) time.Duration {
	return e.Cold - time.Duration(warmth*float64(e.Cold-e.Warm))
}

// IsWarm reports whether a run of a duration was a warm one.
func (e Estimate) IsWarm(took time.Duration) bool {
	return float64(took)*float64(took) < float64(e.Warm)*float64(e.Cold)
}

// Nearest returns the usual time of a run that took a duration: that of a warm one or of a
// cold one.
func (e Estimate) Nearest(took time.Duration) time.Duration {
	if e.IsWarm(took) {
		return e.Warm
	}
	return e.Cold
}

// Known reports whether there is an estimate.
func (e Estimate) Known() bool { return e.Warm > 0 }

// Work learns the Estimate of a route. The zero value knows nothing. It takes the medians
// of the two groups of the latest samples, so that garbage and a small part of slow targets
// do not move it.
type Work struct {
	samples  [workSamples]time.Duration
	count    int
	estimate Estimate
}

// Estimate returns the current estimate.
func (w *Work) Estimate() Estimate { return w.estimate }

// Add adds how long a target worked that had a free slot.
func (w *Work) Add(took time.Duration) {
	if took < minWork || took > maxWork {
		return
	}
	w.samples[w.count%workSamples] = took
	w.count++
	if w.count >= minWorkSamples && w.count%workPeriod == 0 {
		w.learn()
	}
}

// learn makes a new estimate from the samples.
func (w *Work) learn() {
	sorted := w.samples
	s := sorted[:min(w.count, workSamples)]
	slices.Sort(s)
	split := splitGroups(s)
	if split > 0 {
		low, high := s[split/2], s[split+(len(s)-split)/2]
		if float64(high) >= separateRatio*float64(low) {
			w.set(low, high)
			return
		}
	}
	middle := s[len(s)/2]
	if w.estimate.Known() && !w.estimate.IsWarm(middle) {
		w.set(w.estimate.Warm, middle)
		return
	}
	cold := time.Duration(usualColdRatio * float64(middle))
	if w.estimate.Known() {
		cold = time.Duration(float64(w.estimate.Cold) / float64(w.estimate.Warm) * float64(middle))
	}
	w.set(middle, cold)
}

// set moves the estimate towards new values. Warm runs that come up below what was taken
// for warm runs show that those were cold, so the estimate then changes at once.
func (w *Work) set(warm, cold time.Duration) {
	if old := w.estimate; old.Known() && float64(warm)*separateRatio > float64(old.Warm) {
		warm, cold = step(old.Warm, warm), step(old.Cold, cold)
	}
	ratio := min(max(float64(cold)/float64(warm), minColdRatio), maxColdRatio)
	w.estimate = Estimate{Warm: warm, Cold: time.Duration(ratio * float64(warm))}
}

func step(from, to time.Duration) time.Duration {
	low, high := float64(from)/maxWorkStep, float64(from)*maxWorkStep
	return time.Duration(min(max(float64(to), low), high))
}

// splitGroups returns where sorted samples fall into two groups, so that the logarithms
// differ as little as possible within each, 0 if one group would be smaller than minGroup.
func splitGroups(s []time.Duration) int {
	if len(s) < 2*minGroup {
		return 0
	}
	var logs [workSamples]float64
	total := 0.0
	for i, d := range s {
		logs[i] = math.Log(float64(d))
		total += logs[i]
	}
	split, most, low := 0, 0.0, 0.0
	for i := range s {
		if i >= minGroup && i <= len(s)-minGroup {
			a, b := float64(i), float64(len(s)-i)
			distance := low/a - (total-low)/b
			between := a * b * distance * distance
			if between > most {
				split, most = i, between
			}
		}
		low += logs[i]
	}
	return split
}
