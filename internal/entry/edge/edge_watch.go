package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

// unwatchedTime is how long no instance may seem to watch the store before one does
// so whatever its place in the tree.
const unwatchedTime = 2 * time.Second

// updateFollowAddress decides whether this instance watches the store itself, or which
// peer it follows. A change waits for the end of a reply that is arriving, as the other
// peer would send the changes from the first byte on.
func (e *Edge) updateFollowAddress(now time.Time) {
	if !e.watches(now) && !e.peers.StoreWatched(now) {
		e.store.lastOutage = now
	}
	var candidates []lacewingramp.Endpoint
	for _, p := range e.peers.ReachingStore(now) {
		if !now.Before(e.store.avoidUntil[p.Peer]) {
			candidates = append(candidates, p)
		}
	}
	if !e.store.lost && !e.stopping.Load() {
		candidates = append(candidates, e.self)
	}
	followAddress := peerToFollow(e.self, candidates, e.Regions)
	if e.replacesWatchers(now, candidates) {
		followAddress = ""
	}
	if followAddress == e.store.followAddress || e.receivesChanges() {
		return
	}
	e.Log.Info().Str("from", followAddress).Bool("lost", e.store.lost).Msg("now following a peer, or watching the store if the peer address is empty")
	e.store.followAddress = followAddress
	e.store.interrupt()
}

// replacesWatchers reports whether this instance has to watch the store because no peer
// does. That happens while instances disagree on who does: older programs, which don't
// form a tree, expect it of the owner of watcherKey. The caller must hold e.mu.
func (e *Edge) replacesWatchers(now time.Time, candidates []lacewingramp.Endpoint) bool {
	if e.store.watchedAt.IsZero() || e.peers.StoreWatched(now) {
		e.store.watchedAt = now
	}
	if now.Sub(e.store.watchedAt) < unwatchedTime {
		return false
	}
	return rendezvous.Owner(watcherKey, lacewingramp.EndpointNames(candidates)) == e.Name
}

// watches reports whether this instance watches the store and the store responds.
func (e *Edge) watches(now time.Time) bool {
	return e.store.followAddress == "" && !e.store.lost && now.Sub(e.store.respondedAt) < maxResponseAge
}

// maxResponseAge is how long the store counts as available after a response.
const maxResponseAge = 2 * storeLongPoll
