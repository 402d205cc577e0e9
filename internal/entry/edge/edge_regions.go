package edge

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// regionLogPeriod is the time between two log lines on the requests sent to each region.
const regionLogPeriod = time.Second

// regionCounts counts the requests of this instance by the region of the target that they are
// sent to. loggedAt is when they were last logged. The zero value is ready to use.
type regionCounts struct {
	regions  map[string]*regionCount
	loggedAt time.Time
}

// regionCount is the count of one region. running is the number of requests at its targets. The
// others count since the latest log line: the requests sent, by reason, and the sum of
// the requests per slot at the targets that they were sent to.
type regionCount struct {
	running int
	sent    map[placement.Reason]int
	load    float64
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

// end counts a request that has ended at a target of a region.
func (r *regionCounts) end(region string) {
	if count, ok := r.regions[region]; ok {
		count.running = max(0, count.running-1)
	}
}

// take returns the counts since the previous call, for the log, and starts to count anew. It
// returns nil if no requests were sent or are running.
func (r *regionCounts) take() *zerolog.Event {
	var lines *zerolog.Event
	for name, count := range r.regions {
		if count.running == 0 && len(count.sent) == 0 {
			continue
		}
		if lines == nil {
			lines = zerolog.Dict()
		}
		lines.Dict(name, count.take())
	}
	return lines
}

func (c *regionCount) take() *zerolog.Event {
	line, total := zerolog.Dict().Int("running", c.running), 0
	for reason, n := range c.sent {
		line.Int(reason.String(), n)
		total += n
	}
	if total > 0 {
		line.Float64("load", roundLoad(c.load/float64(total)))
	}
	clear(c.sent)
	c.load = 0
	return line
}

// roundLoad rounds a number of requests per slot to two digits, for the log.
func roundLoad(load float64) float64 {
	const digits = 100
	return math.Round(load*digits) / digits
}

// logRegions logs once in regionLogPeriod in which regions the requests of this instance run and
// why they were sent there, unless there were none. The caller must hold e.mu.
func (e *Edge) logRegions(now time.Time) {
	for region, count := range e.regions.regions {
		e.Meter.Running(region, count.running)
	}
	if now.Sub(e.regions.loggedAt) < regionLogPeriod {
		return
	}
	e.regions.loggedAt = now
	if regions := e.regions.take(); regions != nil {
		e.Log.Info().Dict("regions", regions).Msg("requests by region")
	}
}
