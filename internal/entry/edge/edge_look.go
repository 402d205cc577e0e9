package edge

import (
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

// Lookup says which instances a caller should connect to: those of its own
// region, or where there are none, those of the regions in which all routes of
// the host may run, or any.
func (e *Edge) Lookup(host, region string) (addresses []string, life time.Duration) {
	e.mu.Lock()
	now := e.Timer.Now()
	serving := e.roll.Serving(now)
	rates := e.roll.Rates(now)
	rates[e.Name] = e.rate
	e.mu.Unlock()
	if e.Ready() {
		serving = append(serving, e.self)
	}
	life = time.Duration(float64(e.LookupLife) * lookupPart)
	for _, regions := range []lacewingramp.Names{{region}, e.homes(host), nil} {
		if found := e.inRegions(serving, rates, regions); len(found) > 0 {
			return found, life
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

func (e *Edge) inRegions(all []lacewingramp.Endpoint, rates map[string]float64, regions lacewingramp.Names) []string {
	var in []lacewingramp.Endpoint
	rate := 0.0
	for _, m := range all {
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
