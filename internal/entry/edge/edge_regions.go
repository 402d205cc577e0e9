package edge

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

const (
	// regionLogPeriod is the time between two log lines on the requests sent to each region.
	regionLogPeriod = time.Second
	// roundTripWeight is the weight of the latest connection in the usual time to open one.
	roundTripWeight = 0.2
)

// regionCounts counts the requests of this instance by the region of the target that they are
// sent to, and the callers that it has refused. loggedAt is when they were last logged. The zero
// value is ready to use.
type regionCounts struct {
	regions  map[string]*regionCount
	loggedAt time.Time
	// refused is the number of callers that were told to return, and away the sum of the delays
	// after which they were told to, in nanoseconds, since the latest log line. Requests are refused
	// with and without the instance's lock held, so they are atomic.
	refused atomic.Int64
	away    atomic.Int64
}

// regionCount is the count of one region. running is the number of requests at its targets and
// roundTrip the usual time to open a connection to one of them. The others count since the
// latest log line: the requests sent, by reason, the sum of the requests per slot at the targets that
// they were sent to, and of the requests that have ended how many were sent on a new connection, how
// many were refused by their target, and the sum of the times from their choice to their arrival.
type regionCount struct {
	running   int
	roundTrip time.Duration
	sent      map[placement.Reason]int
	load      float64
	opened    int
	refused   int
	underWay  time.Duration
}

// begin counts a request that is sent to a target.
func (r *regionCounts) begin(c placement.Choice) {
	count, ok := r.regions[c.Region]
	if !ok {
		if r.regions == nil {
			r.regions = make(map[string]*regionCount)
		}
		count = &regionCount{sent: make(map[placement.Reason]int)}
		r.regions[c.Region] = count
	}
	count.running++
	count.sent[c.Reason]++
	count.load += c.Load
}

// end counts an attempt that has ended at a target of a region.
func (r *regionCounts) end(a attempt) {
	count, ok := r.regions[a.choice.Region]
	if !ok {
		return
	}
	count.running = max(0, count.running-1)
	if a.result.ConnectionOpened {
		count.opened++
		count.roundTrip += time.Duration(roundTripWeight * float64(a.result.Connecting-count.roundTrip))
	}
	if a.result.Verdict == lacewingramp.NotRun {
		count.refused++
	}
	// The request was sent when the connection was open, and took half a round trip from then on.
	count.underWay += max(0, a.sentAt.Sub(a.choice.ChosenAt)) + a.result.Connecting + count.roundTrip/2
}

// refuse counts a caller that is told to return after a delay. It is safe for concurrent use.
func (r *regionCounts) refuse(after time.Duration) {
	r.refused.Add(1)
	r.away.Add(int64(after))
}

// take returns the counts of the regions since the previous call, a time ago, for the log, and
// starts to count anew. It returns nil if no requests were sent, have ended or are running.
func (r *regionCounts) take(elapsed time.Duration) *zerolog.Event {
	var lines *zerolog.Event
	for name, count := range r.regions {
		if count.running == 0 && len(count.sent) == 0 && count.underWay == 0 {
			continue
		}
		if lines == nil {
			lines = zerolog.Dict()
		}
		lines.Dict(name, count.take(elapsed))
	}
	return lines
}

func (c *regionCount) take(elapsed time.Duration) *zerolog.Event {
	line, total := zerolog.Dict().Int("running", c.running), 0
	for reason, n := range c.sent {
		line.Int(reason.String(), n)
		total += n
	}
	if total > 0 {
		line.Float64("load", roundLoad(c.load/float64(total)))
	}
	line.Float64("underway", roundLoad(meanCount(c.underWay, elapsed)))
	if c.opened > 0 {
		line.Int("opened", c.opened)
	}
	if c.refused > 0 {
		line.Int("refused", c.refused)
	}
	clear(c.sent)
	c.load, c.opened, c.refused, c.underWay = 0, 0, 0, 0
	return line
}

// takeRefused returns how many callers were refused since the previous call, a time ago, and how
// many of those were away at a time on the average, and starts to count anew.
func (r *regionCounts) takeRefused(elapsed time.Duration) (refused int, away float64) {
	return int(r.refused.Swap(0)), meanCount(time.Duration(r.away.Swap(0)), elapsed)
}

// meanCount returns how many of something there were at a time on the average of a period, if all
// of them together lasted for a time.
func meanCount(together, elapsed time.Duration) float64 {
	return together.Seconds() / max(elapsed, regionLogPeriod).Seconds()
}

// roundLoad rounds a number to two digits, for the log.
func roundLoad(load float64) float64 {
	const digits = 100
	return math.Round(load*digits) / digits
}

// logRegions logs once in regionLogPeriod in which regions the requests of this instance run, why
// they were sent there and how many are under way, unless there were none. The caller must hold
// e.mu.
func (e *Edge) logRegions(now time.Time) {
	for region, count := range e.regions.regions {
		e.Meter.Running(region, count.running)
	}
	elapsed := now.Sub(e.regions.loggedAt)
	if elapsed < regionLogPeriod {
		return
	}
	e.regions.loggedAt = now
	elapsed = min(elapsed, 2*regionLogPeriod)
	for region, count := range e.regions.regions {
		e.Meter.UnderWay(region, meanCount(count.underWay, elapsed))
	}
	refused, away := e.regions.takeRefused(elapsed)
	e.Meter.Away(away)
	regions := e.regions.take(elapsed)
	if regions == nil && refused == 0 {
		return
	}
	l := e.Log.Info()
	if regions != nil {
		l = l.Dict("regions", regions)
	}
	if refused > 0 {
		l = l.Int("refused", refused).Float64("away", roundLoad(away))
	}
	l.Msg("requests by region")
}
