package emulator

import "time"

// Scenario describes a deployment and its load. Slots is the maximum number of
// requests that a target processes concurrently, MaxQueued the maximum number that
// wait there. Callers send requests for LoadDuration. The simulation then continues
// until all of them have ended.
type Scenario struct {
	Name        string
	Description string
	// Targets is the number of targets in each region.
	Targets []int
	// InstancesPerRegion is the same for all regions.
	InstancesPerRegion int
	Slots              int
	MaxQueued          int
	// CacheSize is the number of objects that a target caches.
	CacheSize int
	// ObjectsPerRegion is the number of objects that a region's callers request.
	ObjectsPerRegion int
	// RequestRate is the number of requests a second from each region's callers.
	RequestRate float64
	// BoundFractions holds, for each region, the fraction of all requests that only its
	// targets may serve. It may be shorter than Targets.
	BoundFractions []float64
	// ProcessingTime is the mean processing time of a request for an object that the
	// target has not cached. CacheHitSavings is the fraction of this time that is saved
	// if the object is cached.
	ProcessingTime  time.Duration
	CacheHitSavings float64
	// LatencyObjective is the latency up to which a response is in time. Timeout is the
	// latency at which an instance cancels a request, which has then failed. Responses
	// between the two are late. A target drops a request that is cancelled.
	LatencyObjective time.Duration
	Timeout          time.Duration
	// InterRegionLatency is the one-way network latency between two regions.
	InterRegionLatency time.Duration
	// ConnectionIdle is how long an instance keeps an idle connection to a target. A request on a
	// new connection takes the latency three times to arrive. If it is 0, all connections are open.
	ConnectionIdle time.Duration
	LoadDuration   time.Duration
	// During an outage, from OutageFrom until OutageUntil, no instance accepts
	// requests. There is no outage if OutageUntil is 0.
	OutageFrom  time.Duration
	OutageUntil time.Duration
	// RemovedTargets is the number of targets that stop permanently at RemovedAt.
	RemovedTargets int
	RemovedAt      time.Duration
	// SlowTargets is the number of targets, spread over all regions, that process a request
	// SlowFactor times as long from SlowFrom until SlowUntil.
	SlowTargets int
	SlowFactor  float64
	SlowFrom    time.Duration
	SlowUntil   time.Duration

	// Kinds replaces ObjectsPerRegion, RequestRate, ProcessingTime, LatencyObjective and
	// Timeout if it is not empty. CallerFractions holds the fraction of the requests from
	// each region. Their rates rise and fall in turn by the fraction WaveAmplitude, unless
	// WavePeriod is 0, and fall to the fraction LoadDropTo at LoadDropAt, unless that is 0.
	// Only the requests that callers send from CountFrom on are counted, as no target has
	// cached an object at first.
	Kinds           []Kind
	CountFrom       time.Duration
	CallerFractions []float64
	WavePeriod      time.Duration
	WaveAmplitude   float64
	LoadDropAt      time.Duration
	LoadDropTo      float64
	Noise           Noise
}

// Result counts the outcomes of the callers' requests. Each request has exactly one
// outcome: InTime if it was answered within the latency objective, Late if within the
// timeout, Failed if it was cancelled then, and Refused if it was refused and its retry too.
type Result struct {
	Requests int
	InTime   int
	Late     int
	Refused  int
	Failed   int
	// CrossRegion is the number of requests that a target in another region answered.
	CrossRegion int
	// CacheHits is the number of requests whose target had cached their object.
	// Processed is the number of all requests that a target processed.
	CacheHits int
	Processed int
	// InTimeRatios has an element for each window of 2 s (WindowLength): of the
	// answered requests that were sent in the window, the fraction that was answered
	// in time. Windows without answered requests are left out.
	InTimeRatios []float64
	// MaxRegionShift is the largest change, from one window to the next, of the fraction of a
	// region's answered requests that each region answered, for scenarios with several kinds.
	MaxRegionShift float64
	// Arrivals holds, for each window and region of callers, how many requests arrived at the
	// targets of each region, for scenarios with several kinds. The last windows are those after
	// callers have sent the last request.
	Arrivals [][][]int
	// UnderWay holds, for each region of callers, how many requests were under way to the targets
	// of each region when callers sent the last one.
	UnderWay [][]int
}

// WindowLength is the length of the windows of Result.InTimeRatios.
const WindowLength = 2 * time.Second
