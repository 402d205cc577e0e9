package edge

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp/internal/peer/follower"
)

// catchUpDelay is how long a peer must be at a newer revision before this
// instance catches up from it. A change normally reaches all instances within
// some tens of milliseconds.
const catchUpDelay = 200 * time.Millisecond

// receivesChanges reports whether a reply of the followed peer is arriving. The caller
// must hold e.mu.
func (e *Edge) receivesChanges() bool {
	return e.store.followAddress != "" && e.store.peerFeed != nil && e.store.peerFeed.Receiving()
}

// catchUp reads the missing changes from a peer that is at a newer revision.
func (e *Edge) catchUp(ctx context.Context, now time.Time) {
	address := e.catchUpFrom(now)
	if address == "" {
		return
	}
	go func() {
		f := &follower.ChangeFeed{Address: address}
		defer f.Close()
		// The peer has the changes: one that does not reply at once may be dead.
		err := e.pullOnce(ctx, peerSource(f, 0))
		e.mu.Lock()
		defer e.mu.Unlock()
		e.store.catchingUp = false
		e.Log.Info().Str("from", address).Int64("revision", e.mirror.Position().Revision).AnErr("error", err).
			Msg("finished catching up from a peer")
	}()
}

// catchUpFrom returns the address of the peer to catch up from, or "" if there is none
// or a catch-up is in progress. It also interrupts the call that waits for changes,
// because its connection may be dead, and avoids the peer that was followed. It returns
// "" while a reply of that peer is arriving: the changes are on their way, and another
// peer would send them from the first byte on.
func (e *Edge) catchUpFrom(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.peers.AheadOf(now, e.mirror.Position(), catchUpDelay)
	if address == "" || e.store.catchingUp || e.receivesChanges() {
		return ""
	}
	e.store.catchingUp = true
	if e.store.followAddress != "" {
		e.avoidPeer(e.store.followAddress, now.Add(avoidPeerTime))
	}
	e.store.interrupt()
	return address
}
