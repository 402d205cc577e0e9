package emulator

import (
	"fmt"
	"math"
	"time"
)

// Kind is a kind of requests of a scenario with several of them. Its requests concern objects of
// their own, which callers of all regions request. Rate is for all regions together.
type Kind struct {
	Name             string
	Rate             float64
	Objects          int
	ProcessingTime   time.Duration
	LatencyObjective time.Duration
	Timeout          time.Duration
	// The kind's rate is multiplied by BurstFactor from BurstFrom until BurstUntil.
	BurstFactor float64
	BurstFrom   time.Duration
	BurstUntil  time.Duration
	// HotFraction is the fraction of the requests that concern the first HotObjects objects.
	HotObjects  int
	HotFraction float64
}

// Noise slows down a part of the targets at each moment, each for a while: a target's processing
// takes Factor times as long in a phase. Long requests are a fraction LongFraction of all, and take
// LongFactor times as long.
type Noise struct {
	Fraction     float64
	Factor       float64
	Duration     time.Duration
	LongFraction float64
	LongFactor   float64
}

// maxShiftRequests is the minimum number of requests of a region in a window for its part in
// Result.MaxRegionShift, so that chance contributes little.
const maxShiftRequests = 400

// scheduleKinds schedules the first request of each kind from each region.
func (sim *simulation) scheduleKinds() {
	sim.result.UnderWay = newRegionCounts(1, len(sim.Targets))[0]
	sim.shifts = newRegionCounts(len(sim.windowCounts), len(sim.Targets))
	// Requests arrive at targets for up to their timeout after callers have sent the last one.
	sim.arrivals = newRegionCounts(len(sim.windowCounts)+int(maxTimeout/WindowLength), len(sim.Targets))
	for region := range sim.Targets {
		for i := range sim.Kinds {
			sim.scheduleKind(region, &sim.Kinds[i])
		}
	}
	if sim.Noise.Fraction > 0 {
		for _, t := range sim.targets {
			sim.scheduleNoise(t)
		}
	}
}

// maxTimeout is the longest timeout of a kind.
const maxTimeout = 10 * time.Second

func newRegionCounts(windows, regions int) [][][]int {
	counts := make([][][]int, windows)
	for w := range counts {
		counts[w] = make([][]int, regions)
		for r := range counts[w] {
			counts[w][r] = make([]int, regions)
		}
	}
	return counts
}

// scheduleKind schedules candidates for arrivals at the highest rate of a kind. Each
// becomes a request with the probability that makes the current rate.
func (sim *simulation) scheduleKind(region int, k *Kind) {
	highest := k.Rate * sim.CallerFractions[region] * (1 + sim.WaveAmplitude) * max(1, k.BurstFactor)
	interval := time.Duration(sim.random.ExpFloat64() / highest * float64(time.Second))
	if sim.now.Add(interval).Sub(startTime) >= sim.LoadDuration {
		return
	}
	sim.after(interval, func() {
		if sim.random.Float64()*highest < sim.rateOf(region, k) {
			r := &request{
				object: sim.drawObject(k), region: region, boundTo: sim.drawBound(), kind: k,
				instance: region*sim.InstancesPerRegion + sim.random.IntN(sim.InstancesPerRegion), sentAt: sim.now,
			}
			sim.count(r, &sim.result.Requests)
			sim.dispatch(r)
		}
		sim.scheduleKind(region, k)
	})
}

// rateOf returns the current rate of a kind from a region. The regions rise and fall in
// turn, and the load falls to a part of it at once at LoadDropAt.
func (sim *simulation) rateOf(region int, k *Kind) float64 {
	elapsed := sim.now.Sub(startTime)
	rate := k.Rate * sim.CallerFractions[region]
	if sim.WavePeriod > 0 {
		phase := elapsed.Seconds()/sim.WavePeriod.Seconds() + float64(region)/float64(len(sim.Targets))
		rate *= 1 + sim.WaveAmplitude*math.Sin(2*math.Pi*phase)
	}
	if sim.LoadDropAt > 0 && elapsed >= sim.LoadDropAt {
		rate *= sim.LoadDropTo
	}
	if k.BurstFactor > 0 && elapsed >= k.BurstFrom && elapsed < k.BurstUntil {
		rate *= k.BurstFactor
	}
	return rate
}

func (sim *simulation) drawObject(k *Kind) string {
	if k.HotFraction > 0 && sim.random.Float64() < k.HotFraction {
		return fmt.Sprintf("%s-%d", k.Name, sim.random.IntN(k.HotObjects))
	}
	return fmt.Sprintf("%s-%d", k.Name, sim.random.IntN(k.Objects))
}

// scheduleNoise alternates between phases in which a target is slow and in which it is not.
func (sim *simulation) scheduleNoise(t *target) {
	if sim.now.Sub(startTime) >= sim.LoadDuration {
		return
	}
	mean := float64(sim.Noise.Duration)
	if !t.noisy {
		mean *= (1 - sim.Noise.Fraction) / sim.Noise.Fraction
	}
	sim.after(time.Duration(sim.random.ExpFloat64()*mean), func() {
		t.noisy = !t.noisy
		sim.scheduleNoise(t)
	})
}

// processingTime returns the mean processing time of a request at a target, for an object
// that it has not cached.
func (sim *simulation) processingTime(r *request, t *target) float64 {
	if r.kind == nil {
		return float64(sim.ProcessingTime)
	}
	d := float64(r.kind.ProcessingTime)
	if t.noisy {
		d *= sim.Noise.Factor
	}
	if sim.Noise.LongFraction > 0 && sim.random.Float64() < sim.Noise.LongFraction {
		d *= sim.Noise.LongFactor
	}
	return d
}

// workPercent returns how long processing takes at a target as it reports it, 0 if it does not.
func (sim *simulation) workPercent(t *target) int {
	const usual = 100
	switch {
	case sim.Noise.Fraction == 0:
		return 0
	case t.noisy:
		return int(usual * sim.Noise.Factor)
	}
	return usual
}

func (sim *simulation) objectiveOf(r *request) time.Duration {
	if r.kind == nil {
		return sim.LatencyObjective
	}
	return r.kind.LatencyObjective
}

func (sim *simulation) timeoutOf(r *request) time.Duration {
	if r.kind == nil {
		return sim.Timeout
	}
	return r.kind.Timeout
}

// recordRegion records the region that a request of a kind ran in.
func (sim *simulation) recordRegion(r *request, t *target) {
	if r.kind != nil {
		sim.shifts[int(r.sentAt.Sub(startTime)/WindowLength)][r.region][t.region]++
	}
}

// recordArrival records the region in which a request of a kind arrives at a target.
func (sim *simulation) recordArrival(r *request, t *target) {
	if r.kind != nil {
		sim.arrivals[int(sim.now.Sub(startTime)/WindowLength)][r.region][t.region]++
	}
}

// recordUnderWay records a request that is on its way to a target as callers send the last one.
func (sim *simulation) recordUnderWay(r *request, t *target, arrival time.Duration) {
	elapsed := sim.now.Sub(startTime)
	if r.kind != nil && elapsed < sim.LoadDuration && elapsed+arrival >= sim.LoadDuration {
		sim.result.UnderWay[r.region][t.region]++
	}
}

// summarizeRegions sets Result.MaxRegionShift.
func (sim *simulation) summarizeRegions() {
	for w := 1 + int(sim.CountFrom/WindowLength); w < len(sim.shifts); w++ {
		for region := range sim.shifts[w] {
			before, after := sim.shifts[w-1][region], sim.shifts[w][region]
			n, m := sum(before), sum(after)
			if n < maxShiftRequests || m < maxShiftRequests {
				continue
			}
			shift := 0.0
			for i := range before {
				shift += max(0, float64(after[i])/float64(m)-float64(before[i])/float64(n))
			}
			sim.result.MaxRegionShift = max(sim.result.MaxRegionShift, shift)
		}
	}
	sim.result.Arrivals = sim.arrivals
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}

// describe returns what an instance knows of a request.
func (sim *simulation) describe(r *request) Request {
	elapsed := sim.now.Sub(r.sentAt)
	sim.attempts++
	r.attempt = sim.attempts
	return Request{
		Attempt: r.attempt, Object: r.object, BoundTo: r.boundTo, Tried: r.tried, Route: routeOf(r),
		Objective: max(1, sim.objectiveOf(r)-elapsed), Remaining: max(1, sim.timeoutOf(r)-elapsed),
	}
}

func routeOf(r *request) string {
	if r.kind == nil {
		return ""
	}
	return r.kind.Name
}

// count adds a request to a number of the result, if it is counted.
func (sim *simulation) count(r *request, n *int) {
	if r.sentAt.Sub(startTime) >= sim.CountFrom {
		*n++
	}
}
