package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
)

// An instance that follows a peer cannot tell a store without changes from a path to the
// store that is broken somewhere between them. So all instances pass on when the store
// last responded to one of them, and up to which position. An instance that has not
// reached such a position for maxUnconfirmed reads from the store itself, and so do all
// others in its place. None has to wait until another one has found out that it cannot
// reach the store.
const (
	// maxUnconfirmed is how long the mirror is used without a confirmation that it is
	// complete. It is longer than a long poll of the store and the rounds of heartbeats
	// that bring the confirmation to all instances.
	maxUnconfirmed = 1400 * time.Millisecond
	// slowReplyTime is how much longer it is used while a reply of the followed peer is
	// arriving: the changes are on their way, and the store would send them once more.
	slowReplyTime = 800 * time.Millisecond
	// maxChecksPerSecond limits the checks of all instances together, to a small part of
	// what the store answers.
	maxChecksPerSecond = 1000
	// maxTickGap is the maximum time between two ticks of a process that is not paused.
	maxTickGap = time.Second
	// maxReplyDelay is how much longer a call to the store lasts at most than it waits for a
	// change, if the process is not paused.
	maxReplyDelay = time.Second
	// impliedAge is the assumed age of the confirmation that is implied by an instance
	// that reports to watch the store, and no confirmation.
	impliedAge = 400 * time.Millisecond
)

// confirm records that the store had no change after a position at a time.
func (e *Edge) confirm(position lacewingramp.Position, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addConfirmation(position, at)
}

// addConfirmation is like confirm. The caller must hold e.mu.
func (e *Edge) addConfirmation(position lacewingramp.Position, at time.Time) {
	e.store.confirmations++
	e.store.freshness.Record(lacewingramp.Confirmation{
		Origin: lacewingramp.ConfirmationOrigin(&e.self), Count: e.store.confirmations,
		Revision: position.Revision, Epoch: position.Epoch,
	}, at, e.mirror.Position())
}

// latestConfirmation returns the latest confirmation for a heartbeat, nil if there is
// none. The caller must hold e.mu.
func (e *Edge) latestConfirmation(now time.Time) *lacewingramp.Confirmation {
	latest := e.store.freshness.Latest()
	if latest.At.IsZero() {
		return nil
	}
	c := latest.Confirmation
	c.AgeMillis = max(0, now.Sub(latest.At).Milliseconds())
	return &c
}

// recordTick records that a tick runs. The caller must hold e.mu.
func (e *Edge) recordTick(now time.Time) {
	if e.pausedSince(now) {
		e.Log.Warn().Dur("for", now.Sub(e.tickedAt)).Msg("the process was paused")
		e.resumedAt = now
		e.placer.Resume(now)
	}
	e.tickedAt = now
}

// noticePause tells the placer of a pause of the process, as requests may end or choose a target
// before the first tick after it. The caller must hold e.mu.
func (e *Edge) noticePause(now time.Time) {
	if e.pausedSince(now) {
		e.placer.Resume(now)
	}
}

// pausedSince reports whether the process has been paused since its last tick.
func (e *Edge) pausedSince(now time.Time) bool {
	return now.Sub(e.tickedAt) > maxTickGap
}

// mayReadOld reports whether a datagram that is read now may have arrived before or in a
// pause of the process, and waited. The caller must hold e.mu.
func (e *Edge) mayReadOld(now time.Time) bool {
	return e.pausedSince(now) || now.Sub(e.resumedAt) < heartbeat.Period
}

// responseTime returns a time at which the store had responded to a call that was sent at
// sentAt and has just ended. In a pause of the process, the response may have waited.
func responseTime(sentAt, now time.Time, longPoll time.Duration) time.Time {
	if now.Sub(sentAt) > longPoll+maxReplyDelay {
		return sentAt
	}
	return now
}

// recordConfirmation records the confirmation in a peer's heartbeat. Earlier programs
// send none. If such a peer watches the store, this instance confirms the position of the
// peer in its place. The caller must hold e.mu.
func (e *Edge) recordConfirmation(now time.Time, h *lacewingramp.Heartbeat) {
	if e.mayReadOld(now) {
		return
	}
	if c := h.Confirmation; c != nil {
		e.store.freshness.Record(*c, now.Add(-c.Age()), e.mirror.Position())
	} else if h.WatchesStore {
		e.addConfirmation(h.Position(), now.Add(-impliedAge))
	}
}

// originName returns the name of the instance that is the origin of a confirmation, "" if
// it is not alive. The caller must hold e.mu.
func (e *Edge) originName(now time.Time, origin uint32) string {
	for _, p := range append(e.peers.Alive(now), e.self) {
		if lacewingramp.ConfirmationOrigin(&p) == origin {
			return p.Name
		}
	}
	return ""
}

// unconfirmed returns how long ago the mirror was last known to be complete. The caller
// must hold e.mu.
func (e *Edge) unconfirmed(now time.Time) time.Duration {
	at := e.store.freshness.Complete().At
	if at.Before(e.startedAt) {
		at = e.startedAt
	}
	return now.Sub(at)
}

// checkStore reads the changes from the store if this instance follows a peer and its
// mirror may no longer be complete.
func (e *Edge) checkStore(ctx context.Context, now time.Time) {
	if !e.beginStoreCheck(now) {
		return
	}
	go func() {
		err := e.pullOnce(ctx, e.storeSource(0))
		if ctx.Err() != nil {
			return
		}
		e.endStoreCheck(err)
	}()
}

// beginStoreCheck reports whether a check of the store is due, and records its start.
func (e *Edge) beginStoreCheck(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	unconfirmed := e.unconfirmed(now)
	e.Meter.Unconfirmed(unconfirmed)
	limit := maxUnconfirmed + e.checkDelay(now)
	if e.receivesChanges() {
		limit += slowReplyTime
	}
	if e.store.followAddress == "" || e.store.checking || unconfirmed < limit || now.Sub(e.store.checkedAt) < limit {
		return false
	}
	e.store.checking, e.store.checkedAt = true, now
	latest := e.store.freshness.Latest()
	e.Log.Warn().Dur("unconfirmed", unconfirmed).Int64("revision", e.mirror.Position().Revision).
		Int64("confirmed", latest.Revision).Dur("age", now.Sub(latest.At)).Str("origin", e.originName(now, latest.Origin)).Str("from", e.store.followAddress).
		Msg("reading from the store, as the followed peer may have lost it")
	return true
}

// checkDelay spreads the checks of a large fleet over time, in which the first answers
// make most others needless.
func (e *Edge) checkDelay(now time.Time) time.Duration {
	spread := time.Duration(e.peers.FleetSize(now)) * time.Second / maxChecksPerSecond
	const parts = 1 << 10
	return spread * time.Duration(xxhash.Sum64String(e.Name)%parts) / parts
}

func (e *Edge) endStoreCheck(err error) {
	e.Meter.StoreCheck(err == nil)
	if err == nil {
		e.recordStoreResponse()
	} else {
		e.recordStoreFailure(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.checking = false
	e.Log.Info().AnErr("error", err).Int64("revision", e.mirror.Position().Revision).Msg("finished reading from the store")
}
