package rollout

import (
	"cmp"
	"fmt"
	"math"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Policy of judging. Each route's failures and slow answers are followed with
// a cumulative sum of log-likelihood ratios: how much more likely they are
// under a faulty version than under one like the old. It answers to a fault
// that begins late as fast as to one there from the start.
const (
	// failureStep and slowStep are how much more often a faulty version fails
	// or is slow, as parts of its requests.
	failureStep = 0.1
	slowStep    = 0.25
	// rateLeast is the least part that the old version is taken to have.
	rateLeast = 0.005
	// tolerance is how many times the old version's faults a good one shows.
	tolerance = 1.6
	// alarm is the sum at which a version counts as faulty. A version like
	// the old one reaches it once in about e^alarm requests.
	alarm = 14
	// failuresLeast is how many faults are seen before that.
	failuresLeast = 4
	// priorCount weighs rateLeast as that many requests of the old version.
	priorCount = 50
	// slowFactor is how many times the old version's usual time is slow.
	slowFactor = 2.0
	// slowLeast is what an answer takes at least to count as slow: below it the
	// network and the instance's own load decide.
	slowLeast = 20 * time.Millisecond
	// usualCount is how many answers of the old version set its usual time.
	usualCount = 20
	// coldCount is how many first answers of a version, per route and
	// instance, do not count as slow: caches are cold.
	coldCount = 10
)

// route is what is known of one route: its usual time at this instance and
// the sums over all instances.
type route struct {
	usual    float64
	answers  int
	cold     int
	failures sum
	slow     sum
	old      tally
	new      tally
}

// sum is a cumulative sum for one kind of fault.
type sum struct {
	value  float64
	faults int64
}

// tally is what all instances together have seen of one version.
type tally struct {
	count    int64
	failures int64
	slow     int64
}

// add follows count more requests of the new version of which faults showed
// the fault, against the old version's rate.
func (s *sum) add(count, faults int64, rate, step float64) {
	faulty := math.Min(0.99, rate+step)
	up := math.Log(faulty / rate)
	down := math.Log((1 - faulty) / (1 - rate))
	s.value = math.Max(0, s.value+float64(faults)*up+float64(count-faults)*down)
	if s.value == 0 {
		s.faults = 0
		return
	}
	s.faults += faults
}

func (s *sum) faulty() bool {
	return s.value >= alarm && s.faults >= failuresLeast
}

// rateOf is the part of its requests in which a version that is as good as
// the old one may show a fault.
func rateOf(faults, count int64) float64 {
	old := (float64(faults) + rateLeast*priorCount) / (float64(count) + priorCount)
	return old*tolerance + rateLeast
}

func (r *rollout) route(name string) *route {
	p, ok := r.routes[name]
	if !ok {
		p = &route{}
		r.routes[name] = p
	}
	return p
}

// Observe counts a request that ran on a version.
func (m *Manager) Observe(name, service, version string, failed bool, took time.Duration) {
	r := m.active(service)
	if r == nil || (version != r.row.Version && version != r.old) {
		return
	}
	k := evidenceKey{instance: m.instance, route: name, version: version}
	e := r.evidence[k]
	e.Instance, e.Service, e.Route, e.Version, e.Rollout = m.instance, service, name, version, id(r.row.Name, r.row.Start)
	e.Count++
	if failed {
		e.Failures++
	}
	if r.isSlow(name, version, failed, took) {
		e.Slow++
	}
	r.take(k, e)
}

// isSlow holds an answer against the old version's usual time on this
// instance. The first answers of a new version are set aside.
func (r *rollout) isSlow(name, version string, failed bool, took time.Duration) bool {
	p := r.route(name)
	if version == r.old {
		if !failed && p.answers < usualCount {
			p.usual = (p.usual*float64(p.answers) + took.Seconds()) / float64(p.answers+1)
		}
		p.answers++
	} else if p.cold < coldCount {
		p.cold++
		return false
	}
	return took >= slowLeast && p.answers >= usualCount && took.Seconds() > cmp.Or(r.slowFactor, slowFactor)*p.usual
}

// take replaces what one instance has seen, and adds what is new to the sums.
func (r *rollout) take(k evidenceKey, e lacewingramp.Evidence) {
	old := r.evidence[k]
	if e.Count < old.Count || e.Failures < old.Failures || e.Slow < old.Slow {
		return
	}
	r.evidence[k] = e
	count, failures, slow := e.Count-old.Count, e.Failures-old.Failures, e.Slow-old.Slow
	p := r.route(k.route)
	if k.version == r.old {
		p.old.add(count, failures, slow)
		return
	}
	p.new.add(count, failures, slow)
	p.failures.add(count, failures, rateOf(p.old.failures, p.old.count), failureStep)
	p.slow.add(count, slow, rateOf(p.old.slow, p.old.count), slowStep)
}

func (t *tally) add(count, failures, slow int64) {
	t.count += count
	t.failures += failures
	t.slow += slow
}

// Hear takes in what another instance has seen and decided.
func (m *Manager) Hear(all []lacewingramp.Evidence, outcomes []lacewingramp.Outcome) {
	for _, o := range outcomes {
		m.Decide(o)
	}
	for _, e := range all {
		r, ok := m.rollouts[e.Rollout]
		if !ok || e.Instance == m.instance || e.Count < 0 || e.Failures < 0 || e.Slow < 0 {
			continue
		}
		r.take(evidenceKey{instance: e.Instance, route: e.Route, version: e.Version}, e)
	}
}

// Evidence lists what this instance has seen of rollouts under way.
func (m *Manager) Evidence() []lacewingramp.Evidence {
	var all []lacewingramp.Evidence
	for _, k := range m.order {
		r := m.rollouts[k]
		if states.Final(r.state) {
			continue
		}
		for key, e := range r.evidence {
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

// fault reports the first route on which the new version is faulty.
func (r *rollout) fault() (string, bool) {
	names := make([]string, 0, len(r.routes))
	for n := range r.routes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p := r.routes[n]
		if p.failures.faulty() {
			return fmt.Sprintf("fails on route %s: %d of %d, the old version %d of %d",
				n, p.new.failures, p.new.count, p.old.failures, p.old.count), true
		}
		if p.slow.faulty() {
			return fmt.Sprintf("slow on route %s: %d of %d, the old version %d of %d",
				n, p.new.slow, p.new.count, p.old.slow, p.old.count), true
		}
	}
	return "", false
}

// enough reports whether the new version has been seen often, and on every
// route that matters.
func (r *rollout) enough() bool {
	var all, fresh int64
	for _, p := range r.routes {
		all += p.old.count
		fresh += p.new.count
	}
	if fresh < evidenceLeast {
		return false
	}
	for _, p := range r.routes {
		part := float64(p.old.count) / max(1, float64(all))
		least := min(routeLeast, evidenceLeast*part*routeFactor)
		if part >= routePart && float64(p.new.count) < least {
			return false
		}
	}
	return true
}
