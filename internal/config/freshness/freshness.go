// Package freshness tracks how recently an instance's copy of the store's keys was known
// to be complete. The evidence are confirmations, that is responses of the store to this
// instance or to a peer, each with its position and time.
//
// Peers pass confirmations on with their age, without the time that the message takes.
// Only the first report of a response counts: if later ones did, a response would seem a
// little younger with each instance that passes it on, and never grow old.
//
// # Usage
//
//	var t freshness.Tracker
//	t.Record(confirmation, now.Add(-confirmation.Age()), mirror.Position())
//	t.Advance(mirror.Position()) // after each change of the mirror
//	stale := now.Sub(t.Complete().At) > limit
package freshness

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// retention is how long it is remembered which response of an instance was the latest.
const retention = time.Minute

// Confirmation is a confirmation with the time of the response. Its AgeMillis is not used.
type Confirmation struct {
	lacewingramp.Confirmation
	At time.Time
}

// Tracker holds the latest confirmations. The zero value has none. A Tracker is not safe
// for concurrent use.
type Tracker struct {
	// byOrigin holds the latest confirmation of each origin.
	byOrigin map[uint32]Confirmation
	latest   Confirmation
	// complete is the latest confirmation whose position the copy has reached.
	complete Confirmation
	// awaited is a confirmation whose position the copy has not reached yet, if its time
	// is set. Later ones do not replace it: while changes never cease, the copy may be
	// behind each of them when it arrives, although it reaches each soon after.
	awaited Confirmation
}

// Record records a confirmation by a response at a time, unless it is known. reached is
// the position of the copy.
func (t *Tracker) Record(confirmation lacewingramp.Confirmation, at time.Time, reached lacewingramp.Position) {
	c := Confirmation{Confirmation: confirmation, At: at}
	if !t.isNew(c) {
		return
	}
	if c.At.After(t.latest.At) {
		t.latest = c
	}
	if !reached.Before(c.Position()) {
		t.completeBy(c)
	} else if t.awaited.At.IsZero() {
		t.awaited = c
	}
}

// isNew reports whether a confirmation is later than those of the same origin before, and
// remembers it.
func (t *Tracker) isNew(c Confirmation) bool {
	known, ok := t.byOrigin[c.Origin]
	if ok && c.Count <= known.Count {
		return false
	}
	if !ok {
		t.forget(c.At.Add(-retention))
	}
	t.byOrigin[c.Origin] = c
	return true
}

// forget removes the confirmations of origins that have none since a time.
func (t *Tracker) forget(since time.Time) {
	if t.byOrigin == nil {
		t.byOrigin = make(map[uint32]Confirmation)
	}
	for origin, c := range t.byOrigin {
		if c.At.Before(since) {
			delete(t.byOrigin, origin)
		}
	}
}

// Advance records that the copy has reached a position.
func (t *Tracker) Advance(reached lacewingramp.Position) {
	if t.awaited.At.IsZero() || reached.Before(t.awaited.Position()) {
		return
	}
	t.completeBy(t.awaited)
	t.awaited = Confirmation{}
}

func (t *Tracker) completeBy(c Confirmation) {
	if c.At.After(t.complete.At) {
		t.complete = c
	}
}

// Latest returns the latest confirmation, whether or not the copy has reached its
// position. Its time is zero if there is none.
func (t *Tracker) Latest() Confirmation {
	return t.latest
}

// Complete returns the latest confirmation whose position the copy has reached. Its time
// is zero if there is none.
func (t *Tracker) Complete() Confirmation {
	return t.complete
}
