package usage

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// minWorkPercent and maxWorkPercent bound the work time that a target reports.
	minWorkPercent = 25
	maxWorkPercent = 1600
	// workWeight is the weight of a new sample in the usual work of a route.
	workWeight = 0.1
	// maxWork bounds the usual work of a route.
	maxWork = 30 * time.Second
	// maxInFlight bounds the attempts that are tracked. Further ones are not counted.
	maxInFlight = 100_000
)

// Attempt is an attempt to run a request on a target. OneWay is the network delay to the target,
// and Load the estimated number of requests per slot there, with this one not included.
type Attempt struct {
	Customer string
	Route    string
	SentAt   time.Time
	OneWay   time.Duration
	Load     float64
	Slots    int
}

// Result is how an attempt ended, with the load that the target reported, nil if none. OneWay
// is the network delay as it is known now, and Connecting the time that it took to open a
// connection before the request was sent.
type Result struct {
	Outcome    lacewingramp.Verdict
	Load       *lacewingramp.TargetLoad
	OneWay     time.Duration
	Connecting time.Duration
}

// WindowCounts are the counts of one window. Settled is set if no attempt in flight can change
// them any more.
type WindowCounts struct {
	ID      int64
	Counts  map[string]uint64
	Settled bool
}

// Counter counts the attempts of one instance. Window has to be set.
type Counter struct {
	// Window is the duration of a window, and Retention how long after its end counts are kept.
	Window    time.Duration
	Retention time.Duration
	// SettleTimeout is how long after the end of a window its counts wait for the end of attempts
	// that may have begun in it.
	SettleTimeout time.Duration

	ended    map[int64]map[string]uint64
	inFlight map[uint64]Attempt
	last     uint64
	// work is the usual work of each route, without the way.
	work map[string]time.Duration
}

// Start records that an attempt is sent, and returns its ID for End.
func (c *Counter) Start(a Attempt) uint64 {
	if a.Customer == "" || len(c.inFlight) >= maxInFlight {
		return 0
	}
	if c.inFlight == nil {
		c.inFlight = make(map[uint64]Attempt)
	}
	a.OneWay = max(0, a.OneWay)
	c.last++
	c.inFlight[c.last] = a
	return c.last
}

// End records the end of an attempt. It does nothing for an ID of 0.
func (c *Counter) End(now time.Time, id uint64, r Result) {
	a, ok := c.inFlight[id]
	if !ok {
		return
	}
	delete(c.inFlight, id)
	a.SentAt = a.SentAt.Add(max(0, r.Connecting))
	a.OneWay = max(0, r.OneWay)
	switch r.Outcome {
	case lacewingramp.NotRun:
		return
	case lacewingramp.Ran:
		c.learn(now, a, r.Load)
		c.add(now, c.begin(now, a, r.Load), a.Customer)
	default:
		if begin := c.expectedBegin(a); !begin.After(now) {
			c.add(now, begin, a.Customer)
		}
	}
}

func (c *Counter) add(now, begin time.Time, customer string) {
	w := WindowOf(begin, c.Window)
	if w < c.oldest(now) {
		return
	}
	if c.ended == nil {
		c.ended = make(map[int64]map[string]uint64)
	}
	if c.ended[w] == nil {
		c.ended[w] = make(map[string]uint64)
	}
	c.ended[w][customer]++
}

// oldest returns the oldest window that is kept.
func (c *Counter) oldest(now time.Time) int64 {
	return WindowOf(now.Add(-c.Retention-c.Window), c.Window)
}

// begin estimates when a target began a request that ended now.
func (c *Counter) begin(now time.Time, a Attempt, load *lacewingramp.TargetLoad) time.Time {
	earliest := a.SentAt.Add(a.OneWay)
	if !queued(a, load) {
		return earliest
	}
	work, ok := c.usualWork(a.Route, load)
	if !ok {
		return earliest
	}
	begin := now.Add(-a.OneWay - work)
	if begin.Before(earliest) {
		return earliest
	}
	return begin
}

// queued reports whether a request may have waited at its target.
func queued(a Attempt, load *lacewingramp.TargetLoad) bool {
	if load == nil {
		return a.Load >= 1
	}
	return load.Waiting > 0 || load.Running >= max(1, load.Slots) || a.Load >= 1
}

// usualWork returns the expected time of work of a route at a target with a load.
func (c *Counter) usualWork(route string, load *lacewingramp.TargetLoad) (time.Duration, bool) {
	work, ok := c.work[route]
	return time.Duration(float64(work) * workFactor(load)), ok
}

func workFactor(load *lacewingramp.TargetLoad) float64 {
	if load == nil || load.WorkPercent <= 0 {
		return 1
	}
	return float64(min(max(load.WorkPercent, minWorkPercent), maxWorkPercent)) / 100
}

// learn updates the usual work of a route by a request that has not waited at its target.
func (c *Counter) learn(now time.Time, a Attempt, load *lacewingramp.TargetLoad) {
	took := now.Sub(a.SentAt) - 2*a.OneWay
	if took <= 0 || queued(a, load) {
		return
	}
	sample := min(maxWork, time.Duration(float64(took)/workFactor(load)))
	if c.work == nil {
		c.work = make(map[string]time.Duration)
	}
	known, ok := c.work[a.Route]
	if !ok {
		c.work[a.Route] = sample
		return
	}
	c.work[a.Route] = known + time.Duration(workWeight*float64(sample-known))
}

// expectedBegin estimates when a target begins a request that has no response yet. One that has
// to wait has as many requests ahead of it as there are beyond the slots.
func (c *Counter) expectedBegin(a Attempt) time.Time {
	earliest := a.SentAt.Add(a.OneWay)
	if a.Load < 1 {
		return earliest
	}
	slots := float64(max(1, a.Slots))
	turns := a.Load - 1 + 1/slots
	return earliest.Add(min(maxWork, time.Duration(turns*float64(c.work[a.Route]))))
}

// Windows returns the counts of the windows from a time on that have begun, oldest first.
func (c *Counter) Windows(now, from time.Time) []WindowCounts {
	var all []WindowCounts
	for id := max(c.oldest(now), WindowOf(from, c.Window)); id <= WindowOf(now, c.Window); id++ {
		all = append(all, c.At(now, id))
	}
	return all
}

// At returns the counts of a window, with the attempts in flight that were probably begun in it.
func (c *Counter) At(now time.Time, id int64) WindowCounts {
	end := EndOf(id, c.Window)
	w := WindowCounts{ID: id, Counts: make(map[string]uint64), Settled: !now.Before(end)}
	for name, n := range c.ended[id] {
		w.Counts[name] = n
	}
	for _, a := range c.inFlight {
		if !a.SentAt.Add(a.OneWay).Before(end) {
			continue
		}
		if now.Before(end.Add(c.SettleTimeout)) {
			w.Settled = false
		}
		begin := c.expectedBegin(a)
		if !begin.After(now) && WindowOf(begin, c.Window) == id {
			w.Counts[a.Customer]++
		}
	}
	return w
}

// Sweep forgets the windows that are no longer kept.
func (c *Counter) Sweep(now time.Time) {
	for id := range c.ended {
		if id < c.oldest(now) {
			delete(c.ended, id)
		}
	}
}
