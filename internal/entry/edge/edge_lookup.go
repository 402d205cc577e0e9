package edge

import (
	"strconv"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/steer/lookup"
)

const (
	// lookupTTLFraction is the fraction of MaxLookupTTL for which callers may cache a
	// lookup, so that they leave a stopping instance early.
	lookupTTLFraction = 0.4
	// cpuPerRequest is the CPU time that requestCapacity assumes for a request, which is
	// twice the actual CPU time, and bitsPerRequest is the number of bits that a request
	// transfers over the network.
	cpuPerRequest  = time.Millisecond
	bitsPerRequest = 100_000.0
	// rateWindow is the time constant of the average request rate.
	rateWindow = 2 * time.Second
)

// requestCapacity estimates the requests per second that an instance can handle. It is
// 0 if the number of CPUs is unknown.
func requestCapacity(cpus, bandwidth float64) int {
	n := cpus / cpuPerRequest.Seconds()
	if bandwidth > 0 {
		n = min(n, bandwidth/bitsPerRequest)
	}
	return int(n)
}

// updateRequestRate adds the requests since the last heartbeat to the moving average.
func (e *Edge) updateRequestRate() {
	const weight = float64(heartbeat.Period) / float64(rateWindow)
	current := float64(e.arrivals.Swap(0)) / heartbeat.Period.Seconds()
	e.requestRate += weight * (current - e.requestRate)
}

// lookupCache holds the addresses that lookups return, per list of allowed regions.
// Because lookups are frequent, they are computed only once per heartbeat period, and
// again when a peer has joined or is leaving or when this instance's readiness changes.
type lookupCache struct {
	computedAt time.Time
	// ready reports whether this instance accepted requests at computedAt.
	ready     bool
	byRegions map[string][]string
}

// Lookup returns the addresses of the instances that a caller should connect to and
// how long the caller may cache them. It chooses instances of the caller's region. If
// there are none it chooses from the regions to which the host's routes are restricted,
// and if there are none there either, from all regions. It prefers instances that reach
// targets, but not those of other regions to which the host's routes are not allowed.
func (e *Edge) Lookup(host, region string) (addresses []string, ttl time.Duration) {
	allowedRegions := e.allowedRegions(host)
	ttl = time.Duration(float64(e.MaxLookupTTL) * lookupTTLFraction)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	for _, c := range []struct {
		regions lacewingramp.NameList
		cutOff  bool
	}{
		{lacewingramp.NameList{region}, false}, {allowedRegions, false},
		{lacewingramp.NameList{region}, true}, {allowedRegions, true},
		{nil, false}, {nil, true},
	} {
		if found := e.cachedAddresses(now, c.regions, c.cutOff); len(found) > 0 {
			return lookup.Sample(found), ttl
		}
	}
	return nil, 0
}

func (e *Edge) allowedRegions(host string) lacewingramp.NameList {
	if m := e.routes.Load(); m != nil {
		return m.AllowedRegions(host)
	}
	return nil
}

// cachedAddresses returns the addresses that a lookup may return for the given regions: of
// the instances that reach targets, or of those that are cut off from all of them. The
// caller must hold e.mu.
func (e *Edge) cachedAddresses(now time.Time, regions lacewingramp.NameList, cutOff bool) []string {
	if len(regions) == 1 && !e.knowsRegion(regions[0]) {
		return nil
	}
	ready := e.Ready()
	if ready != e.lookupCache.ready || now.Sub(e.lookupCache.computedAt) >= heartbeat.Period {
		e.lookupCache = lookupCache{computedAt: now, ready: ready, byRegions: make(map[string][]string)}
	}
	// The length distinguishes an empty list, which allows any region, from a list
	// with one empty region name.
	key := strconv.FormatBool(cutOff) + strconv.Itoa(len(regions)) + " " + strings.Join(regions, " ")
	found, ok := e.lookupCache.byRegions[key]
	if !ok {
		found = e.selectAddresses(now, regions, ready, cutOff)
		e.lookupCache.byRegions[key] = found
	}
	return found
}

// knowsRegion reports whether instances may be in a region. A caller may name any.
func (e *Edge) knowsRegion(region string) bool {
	if region == "" {
		return true
	}
	for _, r := range e.Regions {
		if r == region {
			return true
		}
	}
	return false
}

func (e *Edge) selectAddresses(now time.Time, regions lacewingramp.NameList, ready, cutOff bool) []string {
	serving := e.peers.Serving(now, cutOff)
	rates := e.peers.RequestRates(now)
	rates[e.Name] = e.requestRate
	if ready && e.reach.CutOff() == cutOff {
		serving = append(serving, e.self)
	}
	var allowed []lacewingramp.Endpoint
	requestRate := 0.0
	for _, p := range serving {
		if regions.Allows(e.Regions[p.Domain]) {
			allowed = append(allowed, p)
			requestRate += rates[p.Name]
		}
	}
	var found []string
	for _, p := range lookup.Pick(allowed, requestRate) {
		found = append(found, p.Caller)
	}
	return found
}
