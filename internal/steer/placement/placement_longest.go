package placement

import "time"

const (
	// minDurations is the number of responses from which the longest usual duration is known.
	minDurations = 100
	// The longest usual duration follows a longer one by the fraction longestRise of the
	// difference. It rises by outlierRise of itself with one of a target that may be slow, so
	// that a part of the targets that turns slow does not soon look usual, and falls by
	// longestFall of itself with each shorter one.
	longestRise = 0.3
	outlierRise = 0.003
	longestFall = 0.0003
)

// longestUsual is the longest time that targets of a service usually take for a request,
// including its wait for a slot.
type longestUsual struct {
	count int
	value time.Duration
	// respondedAt is when a target has last responded.
	respondedAt time.Time
}

func (l *longestUsual) record(took time.Duration) {
	l.count++
	switch {
	case took <= l.value:
		l.value -= fractionOf(l.value, longestFall)
	case l.count <= minDurations || took < fractionOf(l.value, slowRatio):
		l.value += fractionOf(took-l.value, longestRise)
	default:
		l.value += fractionOf(l.value, outlierRise)
	}
}

// times returns a multiple of the longest usual duration, false if that is not known yet.
func (l *longestUsual) times(ratio float64) (time.Duration, bool) {
	if l == nil || l.count < minDurations {
		return 0, false
	}
	return fractionOf(l.value, ratio), true
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
