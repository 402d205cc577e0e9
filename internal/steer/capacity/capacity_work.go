package capacity

import "time"

const (
	minFactor = 0.25
	maxFactor = 16
	// percent is the WorkPercent of work that takes as long as usual.
	percent = 100
	// phaseTime is the time constant with which a work factor returns to the average of the target:
	// the mean duration of a phase in which a target is slow.
	phaseTime = 600 * time.Millisecond
	// durationTime takes the place of phaseTime if the factor is known from durations, as
	// it is then an average over several requests.
	durationTime = 2 * time.Second
	// reportRetention is how long after a report of WorkPercent durations are not used.
	reportRetention = 2 * time.Second
	// runRetention is how long after a duration of work the relation of work to load is
	// learned from durations only.
	runRetention = 5 * time.Second
	// durationWeight is the weight of the latest duration. maxStep bounds its ratio to the
	// estimate, as a few requests take many times as long as others.
	durationWeight = 0.3
	maxStep        = 3
)

// workFactor estimates how long work takes relative to what is usual.
type workFactor struct {
	// latest is the factor at latestAt, and timeConstant that with which it returns to the average.
	latest       float64
	latestAt     time.Time
	timeConstant time.Duration
	// usual is the average of the target.
	usual average
	// reportedAt is when the target last reported WorkPercent, and ranAt when work ended of which
	// the duration is known. duration is its average.
	reportedAt time.Time
	ranAt      time.Time
	duration   time.Duration
}

func boundFactor(f float64) float64 {
	return min(max(f, minFactor), maxFactor)
}

// reported records a WorkPercent, 0 if the target reported none.
func (w *workFactor) reported(at time.Time, workPercent int) {
	if workPercent <= 0 {
		return
	}
	w.reportedAt = at
	w.set(at, boundFactor(float64(workPercent)/percent), phaseTime)
}

func (w *workFactor) set(at time.Time, factor float64, timeConstant time.Duration) {
	w.latest, w.latestAt, w.timeConstant = factor, at, timeConstant
	if w.usual.at.IsZero() {
		w.usual = average{value: 1, at: at.Add(-maxAverageStep)}
	}
	w.usual.add(at, factor)
}

func (w *workFactor) at(now time.Time) float64 {
	if w.latestAt.IsZero() {
		return 1
	}
	usual := w.usual.value
	return boundFactor(usual + (w.latest-usual)*remaining(now.Sub(w.latestAt), w.timeConstant))
}

// hasRun reports whether the duration of work has been known lately.
func (w *workFactor) hasRun(now time.Time) bool {
	return !w.ranAt.IsZero() && now.Sub(w.ranAt) < runRetention
}

// Ran records how long the work of a request took, without the wait before it, and how long it
// usually takes at a target of the service.
func (t *Target) Ran(now time.Time, work, usual time.Duration) {
	if work <= 0 || usual <= 0 {
		return
	}
	w := &t.work
	ratio := boundFactor(float64(work) / float64(usual))
	if w.duration == 0 {
		w.duration = work
	}
	w.duration += time.Duration(durationWeight * float64(work-w.duration))
	w.ranAt = now
	if w.reportedAt.IsZero() || now.Sub(w.reportedAt) > reportRetention {
		known := w.at(now)
		step := min(max(ratio, known/maxStep), known*maxStep) - known
		w.set(now, boundFactor(known+durationWeight*step), durationTime)
	}
	// The report that came with the response no longer counts the request.
	t.limit.observe(now, t.running+1, ratio)
	t.limit.good(now)
}

// WorkFactor returns how long work takes, relative to what is usual.
func (t *Target) WorkFactor(now time.Time) float64 {
	return t.work.at(now)
}
