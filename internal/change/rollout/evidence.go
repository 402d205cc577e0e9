package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Time constants with which evidence fades, as fractions of the rollout's window. The new
// version is compared with what the old one did lately.
const (
	// countMemory is that of the old version's counts and of the new version's latest ones.
	countMemory = 0.2
	// slowMemory is that of the new version's sums of slow responses, as targets can be slow
	// for a while.
	slowMemory = 0.4
)

// loadWeight is the weight of the latest attempt in the old version's average load.
const loadWeight = 0.05

// route is the evidence on one route, or on all, of all instances together.
type route struct {
	old versionGroups
	new versionGroups
	// latest are the counts of the new version, fading with time.
	latest counters
	// failures and slow are the sums of the new version, by group of targets.
	failures [lacewingramp.TargetGroups]cusum
	slow     [lacewingramp.TargetGroups]cusum
}

// versionGroups are the counts of one version by group of targets.
type versionGroups [lacewingramp.TargetGroups]counters

// counters are numbers of attempts, as in lacewingramp.TargetGroup. Those of the old version
// fade with time, so they are fractions.
type counters struct {
	count    float64
	failures float64
	compared float64
	slow     float64
	loaded   float64
}

func (c *counters) add(o counters) {
	c.count += o.count
	c.failures += o.failures
	c.compared += o.compared
	c.slow += o.slow
	c.loaded += o.loaded
}

func (c *counters) scale(factor float64) {
	c.count *= factor
	c.failures *= factor
	c.compared *= factor
	c.slow *= factor
	c.loaded *= factor
}

func (c counters) negative() counters {
	c.scale(-1)
	return c
}

// total returns the counts of all groups together.
func (v *versionGroups) total() counters {
	var all counters
	for _, c := range v {
		all.add(c)
	}
	return all
}

// targetGroup returns the group that a target belongs to at every instance.
func targetGroup(target string) int {
	return int(xxhash.Sum64String(target) % lacewingramp.TargetGroups)
}

func (r *rollout) route(name string) *route {
	evidence, ok := r.routes[name]
	if !ok {
		evidence = &route{}
		r.routes[name] = evidence
	}
	return evidence
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
	}
	if a.Version == r.old {
		r.oldLoad += loadWeight * (a.Load - r.oldLoad)
	}
	speed := r.latencies.compare(&a, a.Version == r.old)
	if a.Unfinished && speed != slow {
		// It may have been about to respond well.
		return
	}
	key := statsKey{instance: m.instance, route: a.Route, version: a.Version}
	s := r.statsByKey[key]
	s.Instance, s.Service, s.Route, s.Version, s.Rollout = m.instance, a.Service, a.Route, a.Version, rolloutID(r.row.Name, r.row.Start)
	s.Groups = append([]lacewingramp.TargetGroup(nil), s.Groups...)
	group := targetGroup(a.Target)
	for len(s.Groups) <= group {
		s.Groups = append(s.Groups, lacewingramp.TargetGroup{})
	}
	g := &s.Groups[group]
	g.RequestCount++
	s.RequestCount++
	if a.Failed {
		g.Failures++
		s.Failures++
	}
	if speed != unknownSpeed {
		g.Compared++
	}
	if a.Load >= r.oldLoad {
		g.Loaded++
		if a.Failed {
			s.LoadedFailures++
		}
	}
	if speed == slow {
		g.Slow++
		s.Slow++
	}
	r.merge(key, s)
}

// merge replaces an instance's stats of one route and version by newer ones and adds the
// difference to the evidence. Counts only rise, so it ignores stats with a lower one as
// outdated.
func (r *rollout) merge(key statsKey, s lacewingramp.RolloutStats) {
	before := r.statsByKey[key]
	if s.RequestCount < before.RequestCount || s.Failures < before.Failures || s.Slow < before.Slow {
		return
	}
	r.statsByKey[key] = s
	beforeGroups, groups := groupCounts(&before), groupCounts(&s)
	evidence := r.route(key.route)
	for i := range groups {
		c := groups[i]
		c.add(beforeGroups[i].negative())
		if c.count <= 0 {
			continue
		}
		for _, e := range []*route{evidence, &r.all} {
			if key.version == r.old {
				e.old[i].add(c)
			} else {
				r.addNew(e, i, c)
			}
		}
	}
}

// groupCounts returns the counts of stats by group of targets. An instance of an earlier
// version of the program sends no groups; all its counts are those of one group.
func groupCounts(s *lacewingramp.RolloutStats) versionGroups {
	var all versionGroups
	if len(s.Groups) == 0 {
		all[targetGroup(s.Instance)] = counters{count: float64(s.RequestCount), failures: float64(s.Failures), compared: float64(s.RequestCount), slow: float64(s.Slow), loaded: float64(s.RequestCount)}
		return all
	}
	for i, g := range s.Groups[:min(len(s.Groups), len(all))] {
		all[i] = counters{count: float64(g.RequestCount), failures: float64(g.Failures), compared: float64(g.Compared), slow: float64(g.Slow), loaded: float64(g.Loaded)}
	}
	return all
}

// addNew adds counts of the new version to a group and to its sums.
func (r *rollout) addNew(e *route, group int, c counters) {
	e.new[group].add(c)
	e.latest.add(c)
	e.failures[group].add(r.evaluatedAt, c.count, c.failures, r.toleratedRate(e, failureFault), failureFault.shift())
	e.slow[group].add(r.evaluatedAt, c.compared, c.slow, r.toleratedRate(e, slowFault), slowFault.shift())
}

// fade lets the evidence fade for the time since the last call.
func (r *rollout) fade(now time.Time) {
	if passed := now.Sub(r.evaluatedAt); !r.evaluatedAt.IsZero() && passed > 0 {
		windows := passed.Seconds() / r.window().Seconds()
		r.all.fade(windows)
		for _, e := range r.routes {
			e.fade(windows)
		}
	}
	r.evaluatedAt = now
}

// fade lets the evidence fade for a time that is given as a fraction of the window.
func (e *route) fade(windows float64) {
	counts, slow := math.Exp(-windows/countMemory), math.Exp(-windows/slowMemory)
	e.latest.scale(counts)
	for i := range e.old {
		e.old[i].scale(counts)
		e.slow[i].value *= slow
	}
}

// Record merges the stats and the outcomes that another instance has reported. It returns
// the outcomes that this changes.
func (m *Manager) Record(reports []lacewingramp.RolloutStats, outcomes []lacewingramp.RolloutOutcome) []Adoption {
	var adopted []Adoption
	for _, o := range outcomes {
		if a, ok := m.applyOutcome(o); ok {
			adopted = append(adopted, a)
		}
	}
	for _, s := range reports {
		r, ok := m.rollouts[s.Rollout]
		if !ok || s.Instance == m.instance || s.Check() != nil {
			continue
		}
		r.merge(statsKey{instance: s.Instance, route: s.Route, version: s.Version}, s)
	}
	return adopted
}

// RolloutStats returns this instance's own stats of the rollouts without a recorded outcome,
// ordered by route and version.
func (m *Manager) RolloutStats() []lacewingramp.RolloutStats {
	return m.stats(func(instance string) bool { return instance == m.instance })
}

// EndedStats returns the stats of instances that have ended, of the rollouts without a recorded
// outcome. The instances that started later know them from others only.
func (m *Manager) EndedStats(alive func(instance string) bool) []lacewingramp.RolloutStats {
	return m.stats(func(instance string) bool { return instance != m.instance && !alive(instance) })
}

// stats returns the latest stats of the instances that match, of the rollouts without a
// recorded outcome, ordered by instance, route and version.
func (m *Manager) stats(match func(instance string) bool) []lacewingramp.RolloutStats {
	var all []lacewingramp.RolloutStats
	for k, r := range m.rollouts {
		if m.outcomes[k].Recorded {
			continue
		}
		for key, s := range r.statsByKey {
			if match(key.instance) {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b lacewingramp.RolloutStats) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Rollout, b.Rollout), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
	})
	return all
}
