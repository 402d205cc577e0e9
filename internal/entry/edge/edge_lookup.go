package edge

import (
	"strconv"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/steer/naming"
)

const (
	// lookupPart is the part of the longest life that a look-up is given, so
	// that callers soon leave an instance that stops.
	lookupPart = 0.4
	// processorARequest is the processor time that a request takes, twice over,
	// and bitsARequest what it moves over a link.
	processorARequest = time.Millisecond
	bitsARequest      = 100_000.0
	// rateTime is over how long the rate of requests is averaged.
	rateTime = 2 * time.Second
)

// room is how many requests a second an instance can carry.
func room(processor, bandwidth float64) int {
	n := processor / processorARequest.Seconds()
	if bandwidth > 0 {
		n = min(n, bandwidth/bitsARequest)
	}
	return int(n)
}

// setRate takes in the requests since the last heartbeat.
func (e *Edge) setRate() {
	const part = float64(heartbeat.Period) / float64(rateTime)
	now := float64(e.asked.Swap(0)) / heartbeat.Period.Seconds()
	e.rate += part * (now - e.rate)
}

// choices are the instances that look-ups name, by the regions that they may be
// in. They are worked out anew once a round of heartbeats, and when an instance is
// heard to come or go: look-ups come more often than that.
type choices struct {
	worked time.Time
	// ready is whether this instance took requests then.
	ready bool
	all   map[string][]string
}

// Lookup says which instances a caller should connect to: those of its own
// region, or where there are none, those of the regions in which all routes of
// the host may run, or any.
func (e *Edge) Lookup(host, region string) (addresses []string, life time.Duration) {
	homes := e.homes(host)
	life = time.Duration(float64(e.LookupLife) * lookupPart)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	for _, regions := range []lacewingramp.Names{{region}, homes, nil} {
		if found := e.choicesIn(now, regions); len(found) > 0 {
			return naming.Some(found), life
		}
	}
	return nil, 0
}

func (e *Edge) homes(host string) lacewingramp.Names {
	if m := e.routes.Load(); m != nil {
		return m.Homes(host)
	}
	return nil
}

// choicesIn returns the addresses of all instances in some regions that a look-up
// may name. The caller holds the lock.
func (e *Edge) choicesIn(now time.Time, regions lacewingramp.Names) []string {
	ready := e.Ready()
	if ready != e.choices.ready || now.Sub(e.choices.worked) >= heartbeat.Period {
		e.choices = choices{worked: now, ready: ready, all: make(map[string][]string)}
	}
	// No regions are any, which is not the region without a name.
	key := strconv.Itoa(len(regions)) + " " + strings.Join(regions, " ")
	found, ok := e.choices.all[key]
	if !ok {
		found = e.workOut(now, regions, ready)
		e.choices.all[key] = found
	}
	return found
}

func (e *Edge) workOut(now time.Time, regions lacewingramp.Names, ready bool) []string {
	serving := e.roll.Serving(now)
	rates := e.roll.Rates(now)
	rates[e.Name] = e.rate
	if ready {
		serving = append(serving, e.self)
	}
	var in []lacewingramp.Endpoint
	rate := 0.0
	for _, m := range serving {
		if regions.Allow(e.Regions[m.Domain]) {
			in = append(in, m)
			rate += rates[m.Name]
		}
	}
	var found []string
	for _, m := range naming.Pick(in, rate) {
		found = append(found, m.Caller)
	}
	return found
}
