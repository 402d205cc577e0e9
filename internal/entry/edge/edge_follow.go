package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// storeLongPoll is how long one call to the store waits for a change. A
	// connection or watch that was lost without an error is detected when the call
	// ends.
	storeLongPoll = 800 * time.Millisecond
	// batchInterval is the pause between two calls to the store, during which
	// changes accumulate.
	batchInterval = 60 * time.Millisecond
	// peerLongPoll is how long a call to a peer waits for a change. It
	// can be longer than storeLongPoll because heartbeats reveal a missed change.
	peerLongPoll = 5 * time.Second
	// avoidPeerTime is how long a peer is not followed after a call to it failed.
	avoidPeerTime = 2 * time.Second
	// snapshotTimeout limits one read of all keys.
	snapshotTimeout = 3 * time.Second
	// minStoreBackoff and maxStoreBackoff limit the pause after a failed call to
	// the store.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = time.Second
	// unwatchedTime is how long no instance may seem to watch the store before one does
	// so whatever its place in the tree.
	unwatchedTime = 2 * time.Second
	// catchUpDelay is how long a peer must be at a newer revision before this
	// instance catches up from it. A change normally reaches all instances within
	// some tens of milliseconds.
	catchUpDelay = 200 * time.Millisecond
	// reregisterGrace is how long after a store outage the targets whose
	// registrations expired have to register again. A registration that ends later
	// means that its target is gone.
	reregisterGrace = 2200 * time.Millisecond
	// maxReregisterGrace is the maximum time for which the target of an expired
	// registration is kept while some instances can reach the store and others cannot.
	maxReregisterGrace = 1700 * time.Millisecond
)

// storeState is the state of the replication from the store.
//
//   - lost is set while calls to the store fail, and lostAt is when they began to.
//   - respondedAt is when the store last responded to this instance.
//   - lastOutage is the last time at which neither this instance nor any known peer
//     had a working watch of the store.
//   - watchedAt is the last time at which a peer watched the store, or the time of the
//     first tick.
//   - interrupt ends the call that waits for changes.
//   - catchingUp is set while catchUp reads from a peer.
//   - followAddress is the address of the peer to follow, empty if this instance
//     watches the store.
//   - avoidUntil maps addresses of peers to the time until which they are not followed.
//   - peerFeed is the feed of the peer that was followed last.
type storeState struct {
	lost          bool
	lostAt        time.Time
	respondedAt   time.Time
	lastOutage    time.Time
	watchedAt     time.Time
	interrupt     func()
	catchingUp    bool
	followAddress string
	avoidUntil    map[string]time.Time
	peerFeed      *follower.ChangeFeed
}

// mirrorSource serves the mirror to the peers that follow this instance.
type mirrorSource struct{ e *Edge }

func (s mirrorSource) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Snapshot()
}

func (s mirrorSource) Since(after lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Since(after)
}

func (s mirrorSource) Changed() <-chan struct{} {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Changed()
}

// follow keeps the mirror up to date until ctx ends. Two instances watch the store
// and all others follow them, directly or by way of others.
func (e *Edge) follow(ctx context.Context) {
	backoff := minStoreBackoff
	needSnapshot := true
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		feed, address := e.feed(cancel)
		err := e.pull(callCtx, feed, needSnapshot)
		interrupted := callCtx.Err() != nil
		switch {
		case err == nil:
			needSnapshot = false
			backoff = minStoreBackoff
			if address == "" {
				e.recordStoreResponse()
				sleep(callCtx, batchInterval)
			}
		case errors.Is(err, lacewingramp.ErrCompacted):
			e.Log.Warn().Str("from", address).Msg("changes were compacted, reading all keys")
			needSnapshot = true
		case interrupted:
			// updateFollowAddress or catchUp has changed what to follow.
		case errors.Is(err, errPeerEmpty) && e.position().Revision == 0:
			// Both have just started, and every other instance may be as empty.
			sleep(callCtx, minStoreBackoff)
		case address != "":
			e.followFailed(address, err)
		default:
			e.recordStoreFailure(err)
			sleep(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(maxStoreBackoff, 2*backoff)
		}
		cancel()
	}
}

func (e *Edge) position() lacewingramp.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mirror.Position()
}

// feed returns the feed to read changes from, and its address if it is a peer. It
// registers interrupt as the function that ends a waiting call on that feed.
func (e *Edge) feed(interrupt func()) (lacewingramp.ChangeFeed, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.interrupt = interrupt
	address := e.store.followAddress
	if address == "" {
		return e.Store, ""
	}
	if e.store.peerFeed == nil || e.store.peerFeed.Address != address {
		if e.store.peerFeed != nil {
			e.store.peerFeed.Close()
		}
		e.store.peerFeed = &follower.ChangeFeed{Address: address}
	}
	return e.store.peerFeed, address
}

// followFailed stops following a peer to which a call failed, and avoids it for
// avoidPeerTime.
func (e *Edge) followFailed(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoidPeer(address, e.Timer.Now().Add(avoidPeerTime))
	e.Log.Warn().Err(err).Str("from", address).Msg("could not follow a peer")
}

func (e *Edge) avoidPeer(address string, until time.Time) {
	if e.store.avoidUntil == nil {
		e.store.avoidUntil = make(map[string]time.Time)
	}
	e.store.avoidUntil[address] = until
	e.store.followAddress = ""
}

// errPeerEmpty is the error of a peer that has not read any keys yet. It can neither
// send the changes after a revision nor all keys.
var errPeerEmpty = errors.New("the peer has no keys yet")

// pull applies the changes from a feed to the mirror, or replaces the mirror with a
// snapshot if needSnapshot is set or the mirror is empty.
func (e *Edge) pull(ctx context.Context, f lacewingramp.ChangeFeed, needSnapshot bool) error {
	after := e.position()
	wait := storeLongPoll
	if _, ok := f.(*follower.ChangeFeed); ok {
		wait = peerLongPoll
	}
	if !needSnapshot && after.Revision > 0 {
		changes, position, err := f.Changes(ctx, after, wait)
		if err != nil {
			return err
		}
		e.update(func() []lacewingramp.Change { return e.mirror.Apply(changes, position) })
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	keyValues, position, err := f.Snapshot(ctx)
	if err != nil {
		return err
	}
	if _, ok := f.(*follower.ChangeFeed); ok && position.Revision == 0 {
		return errPeerEmpty
	}
	e.update(func() []lacewingramp.Change { return e.mirror.ApplySnapshot(keyValues, position) })
	return nil
}

// update updates the mirror and applies the changes that this makes.
func (e *Edge) update(updateMirror func() []lacewingramp.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.mirror.Position()
	changes := updateMirror()
	if after := e.mirror.Position(); before.Revision > 0 && after.Epoch > before.Epoch {
		e.handleRestored(before, after)
	}
	e.apply(changes)
}

func (e *Edge) recordStoreFailure(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.store.lost {
		return
	}
	e.store.lost, e.store.lostAt = true, e.Timer.Now()
	e.Log.Warn().Err(err).Int64("revision", e.mirror.Position().Revision).Msg("lost the store")
}

func (e *Edge) recordStoreResponse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.respondedAt = e.Timer.Now()
	if !e.store.lost {
		return
	}
	now := e.Timer.Now()
	e.store.lost = false
	e.Log.Info().Dur("away", now.Sub(e.store.lostAt)).Int64("revision", e.mirror.Position().Revision).Msg("regained the store")
}

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
	names := make([]string, len(candidates))
	for i, p := range candidates {
		names[i] = p.Name
	}
	return rendezvous.Owner(watcherKey, names) == e.Name
}

// watches reports whether this instance watches the store and the store responds.
func (e *Edge) watches(now time.Time) bool {
	return e.store.followAddress == "" && !e.store.lost && now.Sub(e.store.respondedAt) < maxResponseAge
}

// maxResponseAge is how long the store counts as available after a response.
const maxResponseAge = 2 * storeLongPoll

// maxFollowers is the maximum number of instances of the same region that follow one
// instance. Each follower is sent every change in full.
const maxFollowers = 6

// peerToFollow returns the address of the peer that self follows, or "" if self
// watches the store. candidates are the instances that can reach the store.
//
// The candidates of a region form a tree in which those with more capacity are closer to
// the root, as the others have slow links. Two roots of different regions watch the
// store, or two instances if there is only one region. The roots of the other regions
// follow the first of those two.
//
// An instance only follows one that comes before it in an order that is the same for all
// instances. That excludes cycles, even if they know of different candidates. An instance
// that cannot reach the store keeps its place in this order, as its followers may not know
// yet. If it is one of the two that others expect to watch the store, it follows the other.
// If no instance of its region can reach the store, it follows any other candidate.
func peerToFollow(self lacewingramp.Endpoint, candidates []lacewingramp.Endpoint, regions map[string]string) string {
	if len(candidates) == 0 {
		return ""
	}
	reaching := candidates
	lost := !slices.ContainsFunc(candidates, func(p lacewingramp.Endpoint) bool { return p.Name == self.Name })
	if lost {
		candidates = append(slices.Clone(candidates), self)
	}
	ranked := rankForFollowing(candidates)
	watchers := watchersOf(ranked, regions)
	if i := slices.IndexFunc(watchers, func(p lacewingramp.Endpoint) bool { return p.Name == self.Name }); i >= 0 {
		if lost {
			return watchers[1-i].Peer
		}
		return ""
	}
	region := slices.DeleteFunc(ranked, func(p lacewingramp.Endpoint) bool { return regions[p.Domain] != regions[self.Domain] })
	position := slices.IndexFunc(region, func(p lacewingramp.Endpoint) bool { return p.Name == self.Name })
	switch {
	case lost && len(region) == 1:
		return anyOf(reaching, self.Name).Peer
	case position == 0:
		return watchers[0].Peer
	default:
		return region[(position-1)/maxFollowers].Peer
	}
}

// anyOf returns one of the candidates, another one for different names.
func anyOf(candidates []lacewingramp.Endpoint, name string) lacewingramp.Endpoint {
	names := make([]string, len(candidates))
	for i, p := range candidates {
		names[i] = p.Name
	}
	return candidates[slices.Index(names, rendezvous.Owner(name, names))]
}

// watchersOf returns the instances that watch the store: the first one, and the first of
// another region, or the second one if there is only one region.
func watchersOf(ranked []lacewingramp.Endpoint, regions map[string]string) []lacewingramp.Endpoint {
	if len(ranked) == 1 {
		return ranked[:1:1]
	}
	second := slices.IndexFunc(ranked, func(p lacewingramp.Endpoint) bool { return regions[p.Domain] != regions[ranked[0].Domain] })
	return []lacewingramp.Endpoint{ranked[0], ranked[max(1, second)]}
}

// watcherKey is the hash key by which all instances agree on who watches the store.
// It has to be the same in all versions of the program that run together.
const watcherKey = "watch the store"

// rankForFollowing returns the candidates with the largest capacity first, and in the
// order of watcherKey where capacities are equal.
func rankForFollowing(candidates []lacewingramp.Endpoint) []lacewingramp.Endpoint {
	byName := make(map[string]lacewingramp.Endpoint, len(candidates))
	names := make([]string, 0, len(candidates))
	for _, p := range candidates {
		byName[p.Name] = p
		names = append(names, p.Name)
	}
	ranked := make([]lacewingramp.Endpoint, 0, len(candidates))
	for _, name := range rendezvous.Order(watcherKey, names) {
		ranked = append(ranked, byName[name])
	}
	slices.SortStableFunc(ranked, func(a, b lacewingramp.Endpoint) int { return cmp.Compare(b.Capacity, a.Capacity) })
	return ranked
}

// receivesChanges reports whether a reply of the followed peer is arriving. The caller
// must hold e.mu.
func (e *Edge) receivesChanges() bool {
	return e.store.followAddress != "" && e.store.peerFeed != nil && e.store.peerFeed.Receiving()
}

// catchUp reads the missing changes from a peer that is at a newer revision. It also
// interrupts the call that waits for changes, because its connection may be dead, and
// avoids the peer that was followed. It does nothing while a reply of that peer is
// arriving: the changes are on their way, and another peer would send them from the
// first byte on.
func (e *Edge) catchUp(ctx context.Context, now time.Time) {
	e.mu.Lock()
	address := e.peers.AheadOf(now, e.mirror.Position(), catchUpDelay)
	if address == "" || e.store.catchingUp || e.receivesChanges() {
		e.mu.Unlock()
		return
	}
	e.store.catchingUp = true
	if e.store.followAddress != "" {
		e.avoidPeer(e.store.followAddress, now.Add(avoidPeerTime))
	}
	e.store.interrupt()
	e.mu.Unlock()
	go func() {
		f := &follower.ChangeFeed{Address: address}
		defer f.Close()
		err := e.pull(ctx, f, false)
		if errors.Is(err, lacewingramp.ErrCompacted) {
			err = e.pull(ctx, f, true)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.store.catchingUp = false
		e.Log.Info().Str("from", address).Int64("revision", e.mirror.Position().Revision).AnErr("error", err).
			Msg("finished catching up from a peer")
	}()
}
