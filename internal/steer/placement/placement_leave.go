package placement

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rotation"
)

// A target that is leaving may say so in its responses, before its registration does or
// without it ever doing so. That holds for one incarnation: its registration never takes
// it back, and a new incarnation under the same name starts without it.

const (
	// departureRetention is how long it is remembered that an incarnation leaves whose
	// registration has ended, as it may register again.
	departureRetention = time.Hour
	// A heartbeat carries the newestDepartures latest departures, and rotatedDepartures of
	// the others in rotation.
	newestDepartures  = 4
	rotatedDepartures = 4
)

// departure is the latest incarnation of a target that has said that it is leaving, and
// when this instance learned of it.
type departure struct {
	startMillis int64
	learnedAt   time.Time
}

// MarkLeaving records that an incarnation of a target is leaving. It reports whether this
// was not known of it.
func (p *Placer) MarkLeaving(now time.Time, l lacewingramp.LeavingTarget) bool {
	if t, ok := p.targets[l.Target]; ok && t.StartMillis > l.StartMillis {
		return false
	}
	if d, ok := p.departures[l.Target]; ok && d.startMillis >= l.StartMillis {
		return false
	}
	if p.departures == nil {
		p.departures = make(map[string]departure)
	}
	p.departures[l.Target] = departure{startMillis: l.StartMillis, learnedAt: now}
	return true
}

// leaving reports whether a target gets no new requests because it is leaving, by its
// registration or by what its incarnation has said.
func (p *Placer) leaving(t *target) bool {
	if t.Leaving {
		return true
	}
	d, ok := p.departures[t.Name]
	return ok && d.startMillis == t.StartMillis
}

// endDeparture forgets that earlier incarnations of a target were leaving. Incarnations
// without a start time cannot be told apart: a new registration is a new incarnation.
func (p *Placer) endDeparture(name string, startMillis int64) {
	if d, ok := p.departures[name]; ok && (d.startMillis < startMillis || startMillis == 0) {
		delete(p.departures, name)
	}
}

// LeavingTargets returns the targets for the next heartbeat that are leaving and whose
// registration does not say so. There are not more of them than a heartbeat should carry.
func (p *Placer) LeavingTargets(now time.Time) []lacewingramp.LeavingTarget {
	var names []string
	for name, d := range p.departures {
		t, ok := p.targets[name]
		switch {
		case ok && !t.Leaving && t.StartMillis == d.startMillis:
			names = append(names, name)
		case !ok && now.Sub(d.learnedAt) > departureRetention:
			delete(p.departures, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := p.departures[names[i]].learnedAt, p.departures[names[j]].learnedAt
		return a.After(b) || a.Equal(b) && names[i] < names[j]
	})
	names = rotation.Select(&p.departureRotation, names, newestDepartures, rotatedDepartures)
	list := make([]lacewingramp.LeavingTarget, 0, len(names))
	for _, name := range names {
		list = append(list, lacewingramp.LeavingTarget{Target: name, StartMillis: p.departures[name].startMillis})
	}
	return list
}
