package rollout

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Parameters of fault detection, where a fault is a failure or a slow response. For
// each route, group of targets and kind of fault, a cumulative sum (CUSUM) of
// log-likelihood ratios tracks how much more likely the new version's responses are if it
// is faulty than if it is like the old version. The sum detects a fault that begins late
// as fast as one that is there from the start.
//
// A faulty version is faulty on all its targets, while a few targets may be slow or fail in
// any version. The groups of the new version's targets with the most faults are therefore
// left out: twice the fraction that is faulty of the old version's groups. Of the others, none
// counts for more than all the rest together.
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
	// minFailures and minSlow are the minimum numbers of faults for a version to count as
	// faulty. Responses can be slow for a moment, several at a time.
	minFailures = 4
	minSlow     = 8
	// priorRequests is the weight of priorFaultRate, as a number of requests of the
	// old version.
	priorRequests = 50
	// suspicionThreshold is the sum from which on a rollout is not done.
	suspicionThreshold = 8
	// suspicionTime is how long after its last fault a group counts for that, as a fraction
	// of the rollout's window.
	suspicionTime = 0.2
	// maxToleratedRate leaves room for a faulty version's rate above the tolerated one.
	maxToleratedRate = 0.9
)

// Parameters of the old version's faulty groups of targets. A group is faulty if it has at
// least minGroupFaults, its rate is at least minGroupRate and groupRateFactor times the
// median rate of all groups.
const (
	minGroupFaults  = 2
	minGroupRate    = 0.1
	groupRateFactor = 3.0
	// maxLeftOut is the maximum fraction of the new version's groups that are left out.
	maxLeftOut = 0.6
)

// cusum is the cumulative sum for one kind of fault. faults is the number of
// faults since the sum was last 0, and faultAt the time of the latest one.
type cusum struct {
	value   float64
	faults  float64
	faultAt time.Time
}

// add updates the sum at a time for count more requests of the new version, of which faults
// showed the fault. rate is the fraction of requests that may show it in a good
// version, and shift how much higher that fraction is in a faulty one.
func (s *cusum) add(now time.Time, count, faults, rate, shift float64) {
	if faults > 0 {
		s.faultAt = now
	}
	faultyRate := math.Min(0.99, rate+shift)
	faultLogRatio := math.Log(faultyRate / rate)
	faultlessLogRatio := math.Log((1 - faultyRate) / (1 - rate))
	s.value = math.Max(0, s.value+faults*faultLogRatio+(count-faults)*faultlessLogRatio)
	if s.value == 0 {
		s.faults = 0
		return
	}
	s.faults += faults
}

// faultKind is a kind of fault.
type faultKind uint8

const (
	failureFault faultKind = iota
	slowFault
)

// counts returns the number of faults of a kind, and that of the attempts that could show it.
func (k faultKind) counts(c counters) (faults, count float64) {
	if k == failureFault {
		return c.failures, c.count
	}
	return c.slow, c.compared
}

// shift returns how much higher the rate of a faulty version is assumed to be.
func (k faultKind) shift() float64 {
	if k == failureFault {
		return failureRateShift
	}
	return slowRateShift
}

// faultyGroups returns which groups of the old version's targets are faulty, on all routes
// together. None is if most are: then it is not the targets.
func (r *rollout) faultyGroups(k faultKind) (faulty [lacewingramp.TargetGroups]bool, fraction float64) {
	var rates []float64
	for _, c := range r.all.old {
		if faults, count := k.counts(c); count >= 1 {
			rates = append(rates, faults/count)
		}
	}
	if len(rates) == 0 {
		return faulty, 0
	}
	slices.Sort(rates)
	limit := math.Max(minGroupRate, groupRateFactor*rates[(len(rates)-1)/2])
	n := 0
	for i, c := range r.all.old {
		faults, count := k.counts(c)
		if faulty[i] = faults >= minGroupFaults && faults >= limit*count; faulty[i] {
			n++
		}
	}
	if 2*n > len(rates) {
		return [lacewingramp.TargetGroups]bool{}, 0
	}
	return faulty, float64(n) / float64(len(rates))
}

// toleratedRate returns the fraction of requests on a route in which a version as good as
// the old one may show a fault, by the old version's targets that are not faulty.
func (r *rollout) toleratedRate(e *route, k faultKind) float64 {
	faulty, _ := r.faultyGroups(k)
	faults, count := priorFaultRate*priorRequests, float64(priorRequests)
	for i, c := range e.old {
		if !faulty[i] {
			f, n := k.counts(c)
			faults += f
			count += n
		}
	}
	return math.Min(maxToleratedRate, faults/count*rateTolerance+priorFaultRate)
}

// suspicion returns how likely a kind of fault is on a route, as the total of the sums of
// the new version's groups, and the number of faults. Sums of groups without a fault since
// the given time do not count. faultyGroups is the fraction of the old version's groups that
// are faulty.
func (e *route) suspicion(k faultKind, faultyGroups float64, since time.Time) (value, faults float64) {
	sums := &e.failures
	if k == slowFault {
		sums = &e.slow
	}
	var groups float64
	var values []float64
	for i, s := range sums {
		if _, count := k.counts(e.new[i]); count > 0 {
			groups++
		}
		if !s.faultAt.Before(since) {
			faults += s.faults
			values = append(values, s.value)
		}
	}
	slices.Sort(values)
	leftOut := min(math.Ceil(2*faultyGroups*groups), math.Ceil(maxLeftOut*groups))
	values = values[:max(0, len(values)-int(leftOut))]
	if len(values) == 0 {
		return 0, faults
	}
	for _, v := range values[:len(values)-1] {
		value += v
	}
	highest := values[len(values)-1]
	if groups > 1 {
		highest = min(highest, value)
	}
	return value + highest, faults
}

// suspected reports whether there is some recent evidence that the new version is faulty.
func (r *rollout) suspected(now time.Time) bool {
	since := now.Add(-time.Duration(suspicionTime * float64(r.window())))
	for _, k := range []faultKind{failureFault, slowFault} {
		_, faultyGroups := r.faultyGroups(k)
		if value, _ := r.all.suspicion(k, faultyGroups, since); value >= suspicionThreshold && r.aboveTolerated(&r.all, k) {
			return true
		}
		for _, e := range r.routes {
			if value, _ := e.suspicion(k, faultyGroups, since); value >= suspicionThreshold && r.aboveTolerated(e, k) {
				return true
			}
		}
	}
	return false
}

// aboveTolerated reports whether the new version's latest rate of slow responses is closer to
// that of a faulty version than to the tolerated one, as responses can be slow for a moment.
// It is true for failures.
func (r *rollout) aboveTolerated(e *route, k faultKind) bool {
	if k == failureFault {
		return true
	}
	faults, count := k.counts(e.latest)
	return faults >= (r.toleratedRate(e, k)+k.shift()/2)*count
}

// findFault returns the reason for a rollback for the first route, by name, on which the new
// version counts as faulty, or for all routes together.
func (r *rollout) findFault() (string, bool) {
	names := make([]string, 0, len(r.routes))
	for n := range r.routes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, k := range []faultKind{failureFault, slowFault} {
		_, faultyGroups := r.faultyGroups(k)
		for _, n := range names {
			if r.faulty(r.routes[n], k, faultyGroups) {
				return r.routes[n].reason(k, "route "+n), true
			}
		}
		if r.faulty(&r.all, k, faultyGroups) {
			return r.all.reason(k, "all routes"), true
		}
	}
	return "", false
}

// minimum returns the minimum number of faults for a version to count as faulty.
func (k faultKind) minimum() float64 {
	if k == failureFault {
		return minFailures
	}
	return minSlow
}

// faulty reports whether the new version counts as faulty.
func (r *rollout) faulty(e *route, k faultKind, faultyGroups float64) bool {
	value, faults := e.suspicion(k, faultyGroups, time.Time{})
	return value >= cusumThreshold && faults >= k.minimum() && r.aboveTolerated(e, k)
}

// reason returns why the new version is rolled back.
func (e *route) reason(k faultKind, where string) string {
	verb := "fails"
	if k == slowFault {
		verb = "slow"
	}
	faults, count := k.counts(e.new.total())
	oldFaults, oldCount := k.counts(e.old.total())
	return fmt.Sprintf("%s on %s: %.0f of %.0f, the old version lately %.0f of %.0f", verb, where, faults, count, oldFaults, oldCount)
}

// The minimum numbers of requests on the new version, in total and on each route, before
// a rollout goes on. If there is time, it waits for minCompared responses whose latency
// could be compared.
const (
	minCompared = 25
	// minDoneCompared is the number of them without which a rollout is not done, and
	// minDoneLoaded that of requests to targets under load. Fewer than fewCompared with
	// minThinSlow slow ones among them are looked at all together.
	minDoneCompared  = 10
	minDoneLoaded    = 12
	fewCompared      = 40
	minThinSlow      = 3
	minRequests      = 20
	minRouteRequests = 20
	// minRouteShare is the minimum share of a route in the old version's requests.
	// Routes with a smaller share need no minimum number of requests.
	minRouteShare = 0.02
	// routeSampleFactor lowers the minimum for a route with few requests to this
	// fraction of the number that the route has, on average, among minRequests
	// requests.
	routeSampleFactor = 0.5
)

// compared returns the number of responses of the new version whose latency could be
// compared.
func (r *rollout) compared() float64 {
	return r.all.new.total().compared
}

// failsMore reports whether the new version has failed more often than the old one, whatever
// the targets: it may have been under load on a few only.
func (r *rollout) failsMore() bool {
	added, old := r.all.new.total(), r.all.old.total()
	tolerated := old.failures/max(1, old.count)*rateTolerance + failureRateShift/2
	return added.failures >= minFailures && added.failures >= tolerated*added.count
}

// failsUnderLoad reports whether the new version has failed on loaded targets more often than
// is likely of one like the old version. The sums do not show it where few targets were under
// load, and these requests are few beside all others.
func (r *rollout) failsUnderLoad() bool {
	var failures, count float64
	for key, s := range r.statsByKey {
		if key.version != r.row.Version {
			continue
		}
		failures += float64(s.LoadedFailures)
		for _, g := range s.Groups {
			count += float64(g.Loaded)
		}
	}
	old := r.all.old.total()
	return failures >= minFailures && logLikelihoodRatio(failures, count, toleratedOf(old.failures, old.count)) >= suspicionThreshold
}

// toleratedOf returns the fraction of requests in which a version as good as the old one may
// show a fault, if the old one has shown it in faults of count.
func toleratedOf(faults, count float64) float64 {
	return min(maxToleratedRate, faults/max(1, count)*rateTolerance+priorFaultRate)
}

// logLikelihoodRatio returns how much more likely a number of faults among count responses is
// at the rate that they have than at a lower one, as a logarithm, 0 if theirs is not higher.
func logLikelihoodRatio(faults, count, rate float64) float64 {
	own := min(maxToleratedRate, faults/max(1, count))
	if own <= rate {
		return 0
	}
	return faults*math.Log(own/rate) + (count-faults)*math.Log((1-own)/(1-rate))
}

// doubtfulCanary reports whether fewer responses could be compared than a canary waits for, and more
// of them were slow than is likely of a version like the old one, its slow targets included.
func (r *rollout) doubtfulCanary() bool {
	added, old := r.all.new.total(), r.all.old.total()
	if added.compared >= minCompared || added.slow < minThinSlow {
		return false
	}
	return logLikelihoodRatio(added.slow, added.compared, toleratedOf(old.slow, old.compared)) >= suspicionThreshold
}

// doubtfulAtEnd reports whether few responses could be compared and too many of them were slow.
func (r *rollout) doubtfulAtEnd() bool {
	c := r.all.new.total()
	return c.compared < fewCompared && c.slow >= minThinSlow && c.slow >= (r.toleratedRate(&r.all, slowFault)+slowRateShift/2)*c.compared
}

// enoughRequests reports whether the new version has run enough requests in total
// and on every route that has at least minRouteShare of the requests.
func (r *rollout) enoughRequests() bool {
	var oldTotal, newTotal float64
	for _, e := range r.routes {
		oldTotal += e.old.total().count
		newTotal += e.new.total().count
	}
	if newTotal < minRequests {
		return false
	}
	for _, e := range r.routes {
		routeShare := e.old.total().count / max(1, oldTotal)
		required := min(minRouteRequests, minRequests*routeShare*routeSampleFactor)
		if routeShare >= minRouteShare && e.new.total().count < required {
			return false
		}
	}
	return true
}
