package completion

const (
	// warmthWeight is the weight of the latest run in the fraction of warm runs of a rank.
	warmthWeight = 0.05
	// LatelyWarmth is the probability that a target is warm to which the object was sent lately.
	LatelyWarmth = 0.97
	minWarmth    = 0.02
	maxWarmth    = 0.99
)

// initialWarmth is the warmth of the ranks before responses are seen.
var initialWarmth = [MaxCandidates]float64{0.95, 0.88, 0.7, 0.5, 0.35, 0.25, 0.2, 0.15, 0.1, 0.1, 0.1, 0.1}

// Warmth learns with which probability the targets at each rank are warm for an object. It does not
// depend on the object, as an instance of a large deployment sees each object rarely.
type Warmth struct {
	learned [MaxCandidates]float64
	known   [MaxCandidates]bool
}

// At returns the probability for a rank.
func (w *Warmth) At(rank int) float64 {
	rank = min(max(rank, 0), MaxCandidates-1)
	if !w.known[rank] {
		return initialWarmth[rank]
	}
	return w.learned[rank]
}

// Add adds a run at a rank.
func (w *Warmth) Add(rank int, warm bool) {
	if rank < 0 || rank >= MaxCandidates {
		return
	}
	sample := 0.0
	if warm {
		sample = 1
	}
	at := w.At(rank)
	w.learned[rank] = min(max(at+warmthWeight*(sample-at), minWarmth), maxWarmth)
	w.known[rank] = true
}
