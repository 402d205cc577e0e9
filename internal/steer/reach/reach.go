// Package reach decides whether an instance is cut off from all targets, so that it has
// to leave its requests to other instances.
//
// Attempts that fail because of their target and attempts that fail because of the
// instance's network look alike. A failed attempt is therefore only a suspicion. It is
// dropped if a target responds to something that was sent later. Otherwise the instance
// checks a few targets in different failure domains, on new connections. It is cut off
// if none of them responds, until one does.
//
// A response on an old connection does not refute a connection that could not be opened:
// old connections may live on while new ones are refused.
//
// # Usage
//
//	var m reach.Monitor
//	attempt := m.Start(now)
//	...
//	m.End(now, attempt, reach.Result{Responded: true, OpenedConnection: true})
//	if m.CheckDue(now) {
//		m.CheckStarted(now)
//		reached := ... // on new connections
//		changed := m.CheckEnded(now, reached)
//	}
//
// A Monitor is not safe for use by more than one goroutine.
package reach

import "time"

const (
	// maxSilence is how long an attempt may wait for its response, without a response to
	// any other, before it counts as a failed one.
	maxSilence = time.Second
	// minCheckInterval is the minimum time between the end of a check and the start of
	// the next one.
	minCheckInterval = 500 * time.Millisecond
)

// Result is the outcome of an attempt to run a request on a target. Responded says that
// the target sent a response. Cancelled says that the instance ended the attempt itself,
// which says nothing of the target. OpenedConnection says that the attempt had to open a
// connection, successfully or not.
type Result struct {
	Responded        bool
	Cancelled        bool
	OpenedConnection bool
}

// Monitor tracks the attempts of one instance. Its zero value has seen none.
type Monitor struct {
	// running maps the attempts that have not ended to their start times.
	running map[uint64]time.Time
	lastID  uint64
	// respondedTo is the latest start time of an attempt with a response, and
	// connectedTo that of one with a response on a new connection.
	respondedTo time.Time
	connectedTo time.Time
	// silentSince and unconnectedSince are the start times of the first failed attempts
	// that no later response has refuted, zero if there is none.
	silentSince      time.Time
	unconnectedSince time.Time

	// checkStartedAt is when the check in progress began, zero if there is none, and
	// checkedAt when the last one ended.
	checkStartedAt time.Time
	checkedAt      time.Time
	// cutOffSince is the time of the first sign that the instance is cut off, zero if it
	// is not.
	cutOffSince time.Time
}

// Start records the start of an attempt and returns its ID.
func (m *Monitor) Start(now time.Time) (id uint64) {
	if m.running == nil {
		m.running = make(map[uint64]time.Time)
	}
	m.lastID++
	m.running[m.lastID] = now
	return m.lastID
}

// End records the end of an attempt.
func (m *Monitor) End(id uint64, r Result) {
	startedAt, ok := m.running[id]
	delete(m.running, id)
	switch {
	case !ok:
	case r.Responded:
		m.responded(startedAt, r.OpenedConnection)
	case r.Cancelled:
	case r.OpenedConnection:
		m.unconnectedSince = firstAfter(m.unconnectedSince, startedAt, m.connectedTo)
	default:
		m.silentSince = firstAfter(m.silentSince, startedAt, m.respondedTo)
	}
}

// firstAfter returns the time from which attempts have failed: first if there is one,
// otherwise startedAt unless an attempt that was started later has succeeded.
func firstAfter(first, startedAt, succeeded time.Time) time.Time {
	if first.IsZero() && startedAt.After(succeeded) {
		return startedAt
	}
	return first
}

// responded records a response to an attempt that began at startedAt.
func (m *Monitor) responded(startedAt time.Time, newConnection bool) {
	m.respondedTo = latest(m.respondedTo, startedAt)
	if !m.respondedTo.Before(m.silentSince) {
		m.silentSince = time.Time{}
	}
	if !newConnection {
		return
	}
	m.connectedTo = latest(m.connectedTo, startedAt)
	if !m.connectedTo.Before(m.unconnectedSince) {
		m.unconnectedSince = time.Time{}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CheckDue reports whether a check should start now.
func (m *Monitor) CheckDue(now time.Time) bool {
	if !m.checkStartedAt.IsZero() || now.Sub(m.checkedAt) < minCheckInterval {
		return false
	}
	return m.CutOff() || !m.silentSince.IsZero() || !m.unconnectedSince.IsZero() || m.silent(now)
}

// silent reports whether an attempt has waited for longer than maxSilence while no
// attempt that was started later got a response.
func (m *Monitor) silent(now time.Time) bool {
	for _, startedAt := range m.running {
		if now.Sub(startedAt) > maxSilence && startedAt.After(m.respondedTo) {
			return true
		}
	}
	return false
}

// CheckStarted records the start of a check.
func (m *Monitor) CheckStarted(now time.Time) {
	m.checkStartedAt = now
}

// MayBeSlow reports whether targets that have not responded to the check in progress may
// only be slow: if they have responded to an attempt that was started during the check, or
// if the instance is cut off already, so that there is no hurry.
func (m *Monitor) MayBeSlow() bool {
	return m.CutOff() || m.RespondedSince(m.checkStartedAt)
}

// CheckEnded records the end of a check and whether a target responded. It reports
// whether the instance has lost or regained the targets.
func (m *Monitor) CheckEnded(now time.Time, reached bool) (changed bool) {
	changed = m.CutOff() == reached
	switch {
	case reached:
		m.cutOffSince = time.Time{}
		m.responded(m.checkStartedAt, true)
	case changed:
		m.cutOffSince = m.firstSign(now)
	}
	m.checkStartedAt, m.checkedAt = time.Time{}, now
	m.silentSince, m.unconnectedSince = time.Time{}, time.Time{}
	return changed
}

// firstSign returns the time of the first failed attempt, or now if there is none.
func (m *Monitor) firstSign(now time.Time) time.Time {
	first := now
	for _, at := range []time.Time{m.silentSince, m.unconnectedSince} {
		if !at.IsZero() && at.Before(first) {
			first = at
		}
	}
	return first
}

// CutOff reports whether the instance reaches no target.
func (m *Monitor) CutOff() bool {
	return !m.cutOffSince.IsZero()
}

// CutOffSince returns the time of the first sign that the instance is cut off, or zero if
// it is not.
func (m *Monitor) CutOffSince() time.Time {
	return m.cutOffSince
}

// RespondedSince reports whether a target responded to an attempt that was started after
// a time.
func (m *Monitor) RespondedSince(at time.Time) bool {
	return m.respondedTo.After(at)
}
