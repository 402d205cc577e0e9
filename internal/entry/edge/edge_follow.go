package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
)

const (
	// changesWait is how long the store is asked to wait for a change, and
	// watchWait how long by the instances that keep watch: a connection that
	// has gone silent, or a watch that the store has dropped, is found by its
	// end. The others hear of a change that they miss by heartbeat.
	changesWait = 10 * time.Second
	watchWait   = 800 * time.Millisecond
	// watchers is how many instances keep watch.
	watchers = 2
	// snapshotTimeout bounds one reading of all keys.
	snapshotTimeout = 3 * time.Second
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// aheadPatience is how long another instance must know more of the store
	// before it is asked: a change reaches all within some tens of milliseconds.
	aheadPatience = 200 * time.Millisecond
	// lapseTime is how long after the store's return listings that ended while
	// it was away have to come back. Those that end later have left.
	lapseTime = 2200 * time.Millisecond
	// relayedLapse is the same for listings whose end another instance tells
	// while the store does not answer this one.
	relayedLapse = 1700 * time.Millisecond
)

// storeState is what an instance knows of its way to the store.
type storeState struct {
	lost     bool
	lostAt   time.Time
	regained time.Time
	reopen   func()
	asking   bool
	watching bool
}

// source is the mirror as other instances follow it.
type source struct{ e *Edge }

func (s source) Snapshot() ([]lacewingramp.Item, int64) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Snapshot()
}

func (s source) Since(after int64) ([]lacewingramp.Change, int64, bool) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Since(after)
}

// follow keeps the mirror up to the store until ctx ends.
func (e *Edge) follow(ctx context.Context) {
	pause := retryFirst
	whole := true
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		e.mu.Lock()
		e.store.reopen = cancel
		e.mu.Unlock()
		err := e.pull(call, e.Store, whole)
		reopened := call.Err() != nil
		cancel()
		switch {
		case err == nil:
			whole = false
			pause = retryFirst
			e.storeBack()
		case errors.Is(err, lacewingramp.ErrCompacted):
			e.Log.Warn().Msg("the store has dropped its history, reading all keys")
			whole = true
		case reopened:
			// Another instance knew more, the connection may be silent.
		default:
			e.storeLost(err)
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(retryMost, 2*pause)
		}
	}
}

// pull takes what is new from a feed into the mirror.
func (e *Edge) pull(ctx context.Context, f lacewingramp.Feed, whole bool) error {
	e.mu.Lock()
	after := e.mirror.Revision()
	wait := changesWait
	if e.store.watching {
		wait = watchWait
	}
	e.mu.Unlock()
	if !whole && after > 0 {
		changes, revision, err := f.Changes(ctx, after, wait)
		if err != nil {
			return err
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.apply(e.mirror.Apply(changes, revision))
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	items, revision, err := f.Snapshot(ctx)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(e.mirror.Reset(items, revision))
	return nil
}

func (e *Edge) storeLost(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.store.lost {
		return
	}
	e.store.lost, e.store.lostAt = true, e.Timer.Now()
	e.Log.Warn().Err(err).Int64("revision", e.mirror.Revision()).Msg("lost the store")
}

func (e *Edge) storeBack() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.store.lost {
		return
	}
	now := e.Timer.Now()
	e.store.lost, e.store.regained = false, now
	e.Log.Info().Dur("away", now.Sub(e.store.lostAt)).Int64("revision", e.mirror.Revision()).Msg("regained the store")
}

// setWatch finds out whether this instance keeps watch: the first few in an
// order of those that reach the store.
func (e *Edge) setWatch(now time.Time) {
	own := xxhash.Sum64String(e.Name)
	before := 0
	for _, name := range e.roll.Direct(now) {
		if xxhash.Sum64String(name) > own {
			before++
		}
	}
	watching := before < watchers
	if watching && !e.store.watching && !e.store.lost {
		e.store.reopen()
	}
	e.store.watching = watching
}

// catchUp asks another instance that knows more of the store, and has the
// store's connection opened anew, which may have gone silent.
func (e *Edge) catchUp(ctx context.Context, now time.Time) {
	e.mu.Lock()
	address := e.roll.Ahead(now, e.mirror.Revision(), aheadPatience)
	if address == "" || e.store.asking {
		e.mu.Unlock()
		return
	}
	e.store.asking = true
	if !e.store.lost {
		e.store.reopen()
	}
	e.mu.Unlock()
	go func() {
		f := follower.Feed{Address: address}
		err := e.pull(ctx, f, false)
		if errors.Is(err, lacewingramp.ErrCompacted) {
			err = e.pull(ctx, f, true)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.store.asking = false
		e.Log.Info().Str("from", address).Int64("revision", e.mirror.Revision()).AnErr("error", err).
			Msg("caught up with another instance")
	}()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
