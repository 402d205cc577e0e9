package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/freshness"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
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
//   - freshness is how recently the mirror was known to be complete, and completeBefore when
//     it was before the update that is being applied.
//   - confirmations counts the confirmations of which this instance is the origin.
//   - checking is set while checkStore calls the store, and checkedAt is when it did so
//     last.
type storeState struct {
	lost           bool
	lostAt         time.Time
	respondedAt    time.Time
	lastOutage     time.Time
	watchedAt      time.Time
	interrupt      func()
	catchingUp     bool
	followAddress  string
	avoidUntil     map[string]time.Time
	peerFeed       *follower.ChangeFeed
	freshness      freshness.Tracker
	completeBefore time.Time
	confirmations  int64
	checking       bool
	checkedAt      time.Time
}

// follow keeps the mirror up to date until ctx ends. Two instances watch the store
// and all others follow them, directly or by way of others.
func (e *Edge) follow(ctx context.Context) {
	backoff := minStoreBackoff
	needSnapshot := true
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		source := e.source(cancel)
		err := e.pull(callCtx, source, needSnapshot)
		interrupted := callCtx.Err() != nil
		switch {
		case err == nil:
			needSnapshot = false
			backoff = minStoreBackoff
			if source.address == "" {
				e.recordStoreResponse()
				sleep(callCtx, batchInterval)
			}
		case errors.Is(err, lacewingramp.ErrCompacted):
			e.Log.Warn().Str("from", source.address).Msg("changes were compacted, reading all keys")
			needSnapshot = true
		case interrupted:
			// updateFollowAddress or catchUp has changed what to follow.
		case errors.Is(err, errPeerEmpty) && e.position().Revision == 0:
			// Both have just started, and every other instance may be as empty.
			sleep(callCtx, minStoreBackoff)
		case source.address != "":
			e.followFailed(source.address, err)
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

// source returns where to read changes from. It registers interrupt as the function that
// ends a waiting call there.
func (e *Edge) source(interrupt func()) changeSource {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.interrupt = interrupt
	address := e.store.followAddress
	if address == "" {
		return e.storeSource(storeLongPoll)
	}
	if e.store.peerFeed == nil || e.store.peerFeed.Address != address {
		if e.store.peerFeed != nil {
			e.store.peerFeed.Close()
		}
		e.store.peerFeed = &follower.ChangeFeed{Address: address}
	}
	return peerSource(e.store.peerFeed, peerLongPoll)
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

// changeSource is where changes are read from: the peer at address, or the store if the
// address is empty. A call waits for changes for at most longPoll.
type changeSource struct {
	lacewingramp.ChangeFeed
	address  string
	longPoll time.Duration
}

func (e *Edge) storeSource(longPoll time.Duration) changeSource {
	return changeSource{ChangeFeed: e.Store, longPoll: longPoll}
}

func peerSource(f *follower.ChangeFeed, longPoll time.Duration) changeSource {
	return changeSource{ChangeFeed: f, address: f.Address, longPoll: longPoll}
}

// pull applies the changes from a source to the mirror, or replaces the mirror with a
// snapshot if needSnapshot is set or the mirror is empty. A response of the store
// confirms that the mirror is complete.
func (e *Edge) pull(ctx context.Context, s changeSource, needSnapshot bool) error {
	after := e.position()
	if needSnapshot || after.Revision == 0 {
		return e.pullSnapshot(ctx, s)
	}
	sentAt := e.Timer.Now()
	changes, position, err := s.Changes(ctx, after, s.longPoll)
	if err != nil {
		return err
	}
	e.update(func() []lacewingramp.Change { return e.mirror.Apply(changes, position) })
	if s.address == "" {
		e.confirm(position, responseTime(sentAt, e.Timer.Now(), s.longPoll))
	}
	return nil
}

// pullOnce brings the mirror up to date with a source, by a snapshot if the source no
// longer has all changes.
func (e *Edge) pullOnce(ctx context.Context, s changeSource) error {
	err := e.pull(ctx, s, false)
	if errors.Is(err, lacewingramp.ErrCompacted) {
		err = e.pull(ctx, s, true)
	}
	return err
}

func (e *Edge) pullSnapshot(ctx context.Context, s changeSource) error {
	startedAt := e.Timer.Now()
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	keyValues, position, err := s.Snapshot(ctx)
	if err != nil {
		return err
	}
	if s.address != "" && position.Revision == 0 {
		return errPeerEmpty
	}
	e.update(func() []lacewingramp.Change { return e.mirror.ApplySnapshot(keyValues, position) })
	if s.address == "" {
		// Its pages were read one after another.
		e.confirm(position, startedAt)
	}
	return nil
}

// update updates the mirror and applies the changes that this makes.
func (e *Edge) update(updateMirror func() []lacewingramp.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.mirror.Position()
	e.store.completeBefore = e.store.freshness.Complete().At
	changes := updateMirror()
	e.store.freshness.Advance(e.mirror.Position())
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
