package rollout

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Until a rollout is done, each instance sends at most the Table's share of the requests that
// it has sent since the start to the new version. How the share is spread over the window:
// all of it until there is enough evidence, then less to save some of it, and at the end of
// the window a ramp up to all requests, for as long as the saved share lasts. A fault that
// shows only late or under load shows then.

// Points in time of a rollout, as fractions of the time from its start to its deadline.
const (
	rampStart    = 0.72
	rampEnd      = 0.79
	earliestDone = 0.95
	// canaryDeadline is when a canary that has not run enough requests is rolled back.
	canaryDeadline = 0.7
)

const (
	// savingFraction is the fraction of the Table's share that the new version gets
	// between the canary and the ramp.
	savingFraction = 0.2
	// minRampShare is the share at which a ramp begins if the saving share is smaller, as
	// a fraction of the service's requests.
	minRampShare = 0.001
	// maxCredit is how many requests of its share the new version can be behind.
	maxCredit = 1.5
	// sliceStep is by how much the slice of objects grows if it has too few requests for
	// the share.
	sliceStep = 1.0 / 12
)

// pace decides which requests of a service run on the new version at this instance. sent and
// sentNew count the requests since the start, credit adds up the share that the new version
// has not used. slice is the fraction of objects, by their hashes, whose requests may run on
// it: the same ones each time, so that its targets know them.
type pace struct {
	sent    int64
	sentNew int64
	credit  float64
	slice   float64
}

// allows reports whether the next request, for an object, may run on the new version. limit
// is the maximum share of all requests since the start, and share that of the next ones.
func (p *pace) allows(object string, limit, share float64) bool {
	if share <= 0 || float64(p.sentNew+1) > limit*float64(p.sent+1) || p.credit+share < 1 {
		return false
	}
	return object == "" || hashFraction(object) < max(p.slice, share)
}

// record counts a request that was sent.
func (p *pace) record(onNew bool, share float64) {
	p.sent++
	p.credit += share
	if onNew {
		p.sentNew++
		p.credit--
	}
	if p.credit > maxCredit {
		p.credit = maxCredit
		p.slice = math.Min(1, p.slice+sliceStep)
	}
}

// hashFraction maps an object to a fraction of 1, evenly and at all instances alike.
func hashFraction(object string) float64 {
	return float64(xxhash.Sum64String(object)>>11) / (1 << 53)
}

// Choose returns the version that the next request of a service, for an object, should run
// on, and the one that it may run on if the first has no free slot. The object is "" if the
// request names none.
func (m *Manager) Choose(now time.Time, service, object string) (prefer, fallback string) {
	r := m.active(service)
	if r == nil {
		v := m.version(service)
		return v, v
	}
	if !r.pace.allows(object, r.row.CanaryFraction, r.share(now)) {
		return r.old, r.old
	}
	return r.row.Version, r.old
}

// Concentrates reports whether requests that run on a service's new version should go to few
// targets, whatever their objects, so that these are under load.
func (m *Manager) Concentrates(now time.Time, service string) bool {
	r := m.active(service)
	return r != nil && r.state == StateRamp && !now.Before(r.timeAt(rampStart)) && now.Before(r.timeAt(rampEnd))
}

// RecordSent counts a request that is sent to a target of a version.
func (m *Manager) RecordSent(now time.Time, service, version string) {
	if r := m.active(service); r != nil {
		r.pace.record(version == r.row.Version, r.share(now))
	}
}

// share returns the planned share of the new version in the service's requests, as a
// fraction. It is 0 in doubt, and once the state has lasted too long: other instances may have
// rolled the version back.
func (r *rollout) share(now time.Time) float64 {
	switch {
	case r.inDoubt:
		return 0
	case r.state == StateCanary && now.Before(r.timeAt(canaryDeadline)):
		return r.row.CanaryFraction
	case r.state == StateRamp && now.Before(r.deadline):
		return r.rampShare(now)
	default:
		return 0
	}
}

func (r *rollout) rampShare(now time.Time) float64 {
	from := r.timeAt(rampStart)
	progress := now.Sub(from).Seconds() / math.Max(1e-9, r.timeAt(rampEnd).Sub(from).Seconds())
	initial := math.Max(minRampShare, savingFraction*r.row.CanaryFraction)
	return math.Min(1, initial*math.Pow(1/initial, math.Max(0, progress)))
}

// window returns the time from a rollout's start to its deadline.
func (r *rollout) window() time.Duration {
	return r.row.Deadline.Sub(r.row.Start)
}

// timeAt returns the time at which a fraction of the window has passed.
func (r *rollout) timeAt(fraction float64) time.Time {
	return r.start.Add(time.Duration(fraction * float64(r.window())))
}
