package placement

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rotation"
)

// A target is suspected to be slow if a request timed out there after much longer than targets of
// its service usually take. One that still responds is not avoided, as its objects are unknown to
// others. In a large deployment an instance sees few responses of each target, so
// instances tell each other of those that they suspect. Instances of one failure domain may all
// be cut off from a target that others reach, so the word of two domains is needed.

const (
	// slowRatio is the ratio of a duration to the longest usual one from which a target is
	// suspected.
	slowRatio = 1.4
	// minReportingDomains is how many failure domains have to suspect a target, for an instance
	// without evidence of its own.
	minReportingDomains = 2
	// suspicionDuration is how long a target is suspected after the latest evidence.
	suspicionDuration = 6 * time.Second
	// A heartbeat carries the newestSuspicions latest suspicions, and rotatedSuspicions of the
	// others in rotation.
	newestSuspicions  = 4
	rotatedSuspicions = 4
)

// suspicion holds until when a target is suspected to be slow: by this instance's evidence, and
// by that of others, by their failure domain.
type suspicion struct {
	until   time.Time
	reports map[string]time.Time
}

// reportedBy returns how many failure domains suspect the target.
func (s *suspicion) reportedBy(now time.Time) (domains int) {
	for domain, until := range s.reports {
		if now.Before(until) {
			domains++
		} else {
			delete(s.reports, domain)
		}
	}
	return domains
}

// recordDuration records how long a target took for a request.
func (p *Placer) recordDuration(now time.Time, t *target, r Report) {
	if t.cold(now) || r.Took <= 0 {
		return
	}
	if !r.Ran {
		if r.TimedOut {
			p.suspectSilent(now, t, now.Add(-r.Took))
		}
		return
	}
	l := p.longestOf(t.Service)
	l.respondedAt = now
	if now.Add(-r.Took).Before(p.resumedAt) {
		return
	}
	l.record(r.Took)
	t.suspicion = suspicion{}
}

func (p *Placer) longestOf(service string) *longestUsual {
	l, ok := p.longest[service]
	if !ok {
		if p.longest == nil {
			p.longest = make(map[string]*longestUsual)
		}
		l = &longestUsual{}
		p.longest[service] = l
	}
	return l
}

// Resume records that the process was paused until now. The times of requests that were in
// flight then say nothing of their targets.
func (p *Placer) Resume(now time.Time) {
	p.resumedAt = now
}

// suspectSilent suspects a target that has not responded to a request for too long, while
// another target of the service has.
func (p *Placer) suspectSilent(now time.Time, t *target, beganAt time.Time) {
	l := p.longest[t.Service]
	limit, ok := l.times(slowRatio)
	if !ok || now.Sub(beganAt) <= limit || beganAt.Before(p.resumedAt) || !l.respondedAt.After(beganAt.Add(limit/2)) {
		return
	}
	t.suspicion.until = now.Add(suspicionDuration)
}

// slow reports whether a target is suspected to be slow.
func (p *Placer) slow(now time.Time, t *target) bool {
	return now.Before(t.suspicion.until) || t.suspicion.reportedBy(now) >= minReportingDomains
}

// Slow reports whether a target is suspected to be slow.
func (p *Placer) Slow(now time.Time, name string) bool {
	t, ok := p.targets[name]
	return ok && p.slow(now, t)
}

// SlowTargets returns the targets for the next heartbeat that this instance suspects on its own
// evidence. There are not more of them than a heartbeat should carry.
func (p *Placer) SlowTargets(now time.Time) []lacewingramp.SlowTarget {
	var names []string
	for name, t := range p.targets {
		if now.Before(t.suspicion.until) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := p.targets[names[i]].suspicion.until, p.targets[names[j]].suspicion.until
		return a.After(b) || a.Equal(b) && names[i] < names[j]
	})
	names = rotation.Select(&p.suspicionRotation, names, newestSuspicions, rotatedSuspicions)
	list := make([]lacewingramp.SlowTarget, 0, len(names))
	for _, name := range names {
		left := p.targets[name].suspicion.until.Sub(now)
		list = append(list, lacewingramp.SlowTarget{Target: name, RemainingMillis: left.Milliseconds()})
	}
	return list
}

// MarkSlow records that an instance of a failure domain suspects a target.
func (p *Placer) MarkSlow(now time.Time, s lacewingramp.SlowTarget, domain string) {
	t, ok := p.targets[s.Target]
	if !ok {
		return
	}
	left := min(time.Duration(s.RemainingMillis)*time.Millisecond, suspicionDuration)
	if until := now.Add(left); until.After(t.suspicion.reports[domain]) {
		if t.suspicion.reports == nil {
			t.suspicion.reports = make(map[string]time.Time)
		}
		t.suspicion.reports[domain] = until
	}
}
