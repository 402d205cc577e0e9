package rollout

import (
	"cmp"
	"fmt"
	"math"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Parameters of fault detection, where a fault is a failure or a slow response. For
// each route and kind of fault, a cumulative sum (CUSUM) of log-likelihood ratios
// tracks how much more likely the new version's responses are if it is faulty than if
// it is like the old version. The sum detects a fault that begins late as fast as
// one that is there from the start.
const (
	// failureRateShift and slowRateShift are how much higher the rates of failures
	// and of slow responses of a faulty version are assumed to be, as fractions of
	// its requests.
	failureRateShift = 0.1
	slowRateShift    = 0.25
	// priorFaultRate is the fraction of requests that show a fault in the old
	// version, as assumed before any are observed. It is also the minimum of the
	// rate that is tolerated in the new version.
	priorFaultRate = 0.005
	// rateTolerance is the maximum ratio of a good version's fault rate to the old
	// version's.
	rateTolerance = 1.6
	// cusumThreshold is the sum from which on a version counts as faulty. A version
	// like the old one reaches it once in about e^cusumThreshold requests.
	cusumThreshold = 14
	// minFaults is the minimum number of faults for a version to count as faulty.
	minFaults = 4
	// priorRequests is the weight of priorFaultRate, as a number of requests of the
	// old version.
	priorRequests = 50
	// slowFactor is the ratio to the old version's average time above which a
	// response counts as slow.
	slowFactor = 2.0
	// minSlowTime is the minimum time of a response that counts as slow. Shorter
	// times depend on the network and on the instance's own load.
	minSlowTime = 20 * time.Millisecond
	// averageTimeSamples is the number of the old version's first responses that its
	// average time is taken over. No response counts as slow until there are as many.
	averageTimeSamples = 20
	// warmupResponses is how many of the new version's first responses, per route and
	// instance, do not count as slow, as caches are cold.
	warmupResponses = 10
)

// route is what is known of one route. averageTime is the old version's average
// time for a response, in seconds and without failures, oldResponses the number of
// its responses, and warmupSeen the number of the new version's first responses that
// could not count as slow, all at this instance. The other fields cover all instances.
type route struct {
	averageTime  float64
	oldResponses int
	warmupSeen   int
	failures     cusum
	slow         cusum
	old          counters
	new          counters
}

// cusum is the cumulative sum for one kind of fault. faults is the number of
// faults since the sum was last 0.
type cusum struct {
	value  float64
	faults int64
}

// counters are the numbers of requests, failures and slow responses of one version
// at all instances together.
type counters struct {
	count    int64
	failures int64
	slow     int64
}

// add updates the sum for count more requests of the new version, of which faults
// showed the fault. rate is the fraction of requests that may show it in a good
// version, and shift how much higher that fraction is in a faulty one.
func (s *cusum) add(count, faults int64, rate, shift float64) {
	faultyRate := math.Min(0.99, rate+shift)
	faultLogRatio := math.Log(faultyRate / rate)
	faultlessLogRatio := math.Log((1 - faultyRate) / (1 - rate))
	s.value = math.Max(0, s.value+float64(faults)*faultLogRatio+float64(count-faults)*faultlessLogRatio)
	if s.value == 0 {
		s.faults = 0
		return
	}
	s.faults += faults
}

func (s *cusum) exceeded() bool {
	return s.value >= cusumThreshold && s.faults >= minFaults
}

// toleratedRate returns the fraction of requests in which a version as good as the
// old one may show a fault, given the counts of the old version.
func toleratedRate(faults, count int64) float64 {
	oldRate := (float64(faults) + priorFaultRate*priorRequests) / (float64(count) + priorRequests)
	return oldRate*rateTolerance + priorFaultRate
}

func (r *rollout) route(name string) *route {
	stats, ok := r.routes[name]
	if !ok {
		stats = &route{}
		r.routes[name] = stats
	}
	return stats
}

// Observe records the result of an attempt on a version, if the service has a rollout
// under way.
func (m *Manager) Observe(a lacewingramp.AttemptResult) {
	r := m.active(a.Service)
	if r == nil || (a.Version != r.row.Version && a.Version != r.old) {
		return
	}
	if a.Unfinished {
		r.unfinished[a.Version]++
		return
	}
	k := statsKey{instance: m.instance, route: a.Route, version: a.Version}
	e := r.statsByKey[k]
	e.Instance, e.Service, e.Route, e.Version, e.Rollout = m.instance, a.Service, a.Route, a.Version, rolloutID(r.row.Name, r.row.Start)
	e.RequestCount++
	if a.Failed {
		e.Failures++
	}
	if r.isSlow(a.Route, a.Version, a.Failed, a.Took) {
		e.Slow++
	}
	r.merge(k, e)
}

// isSlow reports whether a response counts as slow, compared with the old version's
// average time at this instance. The old version's first averageTimeSamples responses
// also update that average. The new version's first warmupResponses responses never
// count as slow.
func (r *rollout) isSlow(routeName, version string, failed bool, took time.Duration) bool {
	stats := r.route(routeName)
	if version == r.old {
		if !failed && stats.oldResponses < averageTimeSamples {
			stats.averageTime = (stats.averageTime*float64(stats.oldResponses) + took.Seconds()) / float64(stats.oldResponses+1)
		}
		stats.oldResponses++
	} else if stats.warmupSeen < warmupResponses {
		stats.warmupSeen++
		return false
	}
	return took >= minSlowTime && stats.oldResponses >= averageTimeSamples && took.Seconds() > cmp.Or(r.slowFactor, slowFactor)*stats.averageTime
}

// merge replaces an instance's stats of one route and version by newer ones and adds
// the difference to the sums. Counts only rise, so it ignores stats with a lower one as
// outdated.
func (r *rollout) merge(key statsKey, e lacewingramp.RolloutStats) {
	old := r.statsByKey[key]
	if e.RequestCount < old.RequestCount || e.Failures < old.Failures || e.Slow < old.Slow {
		return
	}
	r.statsByKey[key] = e
	count, failures, slow := e.RequestCount-old.RequestCount, e.Failures-old.Failures, e.Slow-old.Slow
	stats := r.route(key.route)
	if key.version == r.old {
		stats.old.add(count, failures, slow)
		return
	}
	stats.new.add(count, failures, slow)
	stats.failures.add(count, failures, toleratedRate(stats.old.failures, stats.old.count), failureRateShift)
	stats.slow.add(count, slow, toleratedRate(stats.old.slow, stats.old.count), slowRateShift)
}

func (t *counters) add(count, failures, slow int64) {
	t.count += count
	t.failures += failures
	t.slow += slow
}

// Record merges the stats and the outcomes that another instance has reported.
func (m *Manager) Record(reports []lacewingramp.RolloutStats, outcomes []lacewingramp.RolloutOutcome) {
	for _, o := range outcomes {
		m.ApplyOutcome(o)
	}
	for _, e := range reports {
		r, ok := m.rollouts[e.Rollout]
		if !ok || e.Instance == m.instance || e.RequestCount < 0 || e.Failures < 0 || e.Slow < 0 {
			continue
		}
		r.merge(statsKey{instance: e.Instance, route: e.Route, version: e.Version}, e)
	}
}

// RolloutStats returns this instance's own stats of the rollouts that have not ended,
// ordered by route and version.
func (m *Manager) RolloutStats() []lacewingramp.RolloutStats {
	var all []lacewingramp.RolloutStats
	for _, k := range m.order {
		r := m.rollouts[k]
		if stateChart.Final(r.state) {
			continue
		}
		for key, e := range r.statsByKey {
			if key.instance == m.instance {
				all = append(all, e)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Route != all[j].Route {
			return all[i].Route < all[j].Route
		}
		return all[i].Version < all[j].Version
	})
	return all
}

// findFault returns the reason for a rollback for the first route, by name, on
// which the new version counts as faulty.
func (r *rollout) findFault() (string, bool) {
	names := make([]string, 0, len(r.routes))
	for n := range r.routes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		stats := r.routes[n]
		if stats.failures.exceeded() {
			return fmt.Sprintf("fails on route %s: %d of %d, the old version %d of %d",
				n, stats.new.failures, stats.new.count, stats.old.failures, stats.old.count), true
		}
		if stats.slow.exceeded() {
			return fmt.Sprintf("slow on route %s: %d of %d, the old version %d of %d",
				n, stats.new.slow, stats.new.count, stats.old.slow, stats.old.count), true
		}
	}
	return "", false
}

// enoughRequests reports whether the new version has run enough requests in total
// and on every route that has at least minRouteShare of the requests.
func (r *rollout) enoughRequests() bool {
	var oldTotal, newTotal int64
	for _, stats := range r.routes {
		oldTotal += stats.old.count
		newTotal += stats.new.count
	}
	if newTotal < minRequests {
		return false
	}
	for _, stats := range r.routes {
		routeShare := float64(stats.old.count) / max(1, float64(oldTotal))
		required := min(minRouteRequests, minRequests*routeShare*routeSampleFactor)
		if routeShare >= minRouteShare && float64(stats.new.count) < required {
			return false
		}
	}
	return true
}
