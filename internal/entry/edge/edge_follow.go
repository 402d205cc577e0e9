package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
)

const (
	// watchWait is how long the store is asked to wait for a change: a
	// connection that has gone silent, or a watch that the store has dropped, is
	// found by its end.
	watchWait = 800 * time.Millisecond
	// gatherTime is how long changes gather between two calls of the store.
	gatherTime = 60 * time.Millisecond
	// followWait is how long another instance is asked to wait. One that misses
	// a change hears of it by heartbeat.
	followWait = 5 * time.Second
	// avoidTime is how long an instance that did not answer is not followed.
	avoidTime = 2 * time.Second
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
	// lapseMost is how long a listing is kept that ends while the store answers
	// some instances and not others.
	lapseMost = 1700 * time.Millisecond
)

// storeState is what an instance knows of its way to the store. Answered is
// when the store last answered a watch here, and dark when there last was no
// instance that it answers.
type storeState struct {
	lost     bool
	lostAt   time.Time
	answered time.Time
	dark     time.Time
	reopen   func()
	asking   bool
	follows  string
	avoid    map[string]time.Time
	followed *follower.Feed
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

func (s source) Changed() <-chan struct{} {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Changed()
}

// follow keeps the mirror up to the store until ctx ends. Two instances watch
// the store, the others follow them.
func (e *Edge) follow(ctx context.Context) {
	pause := retryFirst
	whole := true
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		feed, address := e.feed(cancel)
		err := e.pull(call, feed, whole)
		reopened := call.Err() != nil
		switch {
		case err == nil:
			whole = false
			pause = retryFirst
			if address == "" {
				e.storeBack()
				sleep(call, gatherTime)
			}
		case errors.Is(err, lacewingramp.ErrCompacted):
			e.Log.Warn().Str("from", address).Msg("changes are gone from the history, reading all keys")
			whole = true
		case reopened:
			// Another instance is to be followed, or knew more.
		case address != "":
			e.avoid(address, err)
		default:
			e.storeLost(err)
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(retryMost, 2*pause)
		}
		cancel()
	}
}

// feed returns what to follow, and its address if that is another instance.
// reopen ends the call that waits on it.
func (e *Edge) feed(reopen func()) (lacewingramp.Feed, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.reopen = reopen
	address := e.store.follows
	if address == "" {
		return e.Store, ""
	}
	if e.store.followed == nil || e.store.followed.Address != address {
		if e.store.followed != nil {
			e.store.followed.Close()
		}
		e.store.followed = &follower.Feed{Address: address}
	}
	return e.store.followed, address
}

// avoid leaves an instance that could not be followed alone for a while.
func (e *Edge) avoid(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoidUntil(address, e.Timer.Now().Add(avoidTime))
	e.Log.Warn().Err(err).Str("from", address).Msg("could not follow another instance")
}

func (e *Edge) avoidUntil(address string, until time.Time) {
	if e.store.avoid == nil {
		e.store.avoid = make(map[string]time.Time)
	}
	e.store.avoid[address] = until
	e.store.follows = ""
}

// pull takes what is new from a feed into the mirror.
func (e *Edge) pull(ctx context.Context, f lacewingramp.Feed, whole bool) error {
	e.mu.Lock()
	after := e.mirror.Revision()
	e.mu.Unlock()
	wait := watchWait
	if _, ok := f.(*follower.Feed); ok {
		wait = followWait
	}
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
	e.store.answered = e.Timer.Now()
	if !e.store.lost {
		return
	}
	now := e.Timer.Now()
	e.store.lost = false
	e.Log.Info().Dur("away", now.Sub(e.store.lostAt)).Int64("revision", e.mirror.Revision()).Msg("regained the store")
}

// setFollowed finds out whom this instance follows: one of the two that watch
// the store, or the store itself where that is this one.
func (e *Edge) setFollowed(now time.Time) {
	if !e.watches(now) && !e.roll.Watched(now) {
		e.store.dark = now
	}
	var all []lacewingramp.Endpoint
	for _, m := range e.roll.Direct(now) {
		if !now.Before(e.store.avoid[m.Peer]) {
			all = append(all, m)
		}
	}
	if !e.store.lost && !e.ending.Load() {
		all = append(all, e.self)
	}
	follows := followed(e.self, all, e.Regions)
	if follows == e.store.follows {
		return
	}
	e.Log.Info().Str("from", follows).Bool("lost", e.store.lost).Msg("follows another instance, or the store where none is named")
	e.store.follows = follows
	e.store.reopen()
}

// watches reports whether this instance watches the store and gets answers.
func (e *Edge) watches(now time.Time) bool {
	return e.store.follows == "" && !e.store.lost && now.Sub(e.store.answered) < answeredTime
}

// answeredTime is how long an answer of the store shows that it is there.
const answeredTime = 2 * watchWait

// followed picks whom an instance follows, out of those that the store answers.
// Two of them watch the store, in two regions if there are two: the first in an
// order, and the first that is not in its region. An instance follows the one
// in its region, or else the first. The result is empty for a watcher.
func followed(self lacewingramp.Endpoint, all []lacewingramp.Endpoint, regions map[string]string) string {
	first, ok := watcher(all, func(lacewingramp.Endpoint) bool { return true })
	if !ok {
		return ""
	}
	second, ok := watcher(all, func(m lacewingramp.Endpoint) bool { return regions[m.Domain] != regions[first.Domain] })
	if !ok {
		second, ok = watcher(all, func(m lacewingramp.Endpoint) bool { return m.Name != first.Name })
	}
	switch {
	case first.Name == self.Name || (ok && second.Name == self.Name):
		return ""
	case ok && regions[second.Domain] == regions[self.Domain]:
		return second.Peer
	default:
		return first.Peer
	}
}

// watchDuty is the duty to watch the store.
const watchDuty = "watch the store"

// watcher returns the one of the fitting instances whose duty it is to watch.
func watcher(all []lacewingramp.Endpoint, fits func(lacewingramp.Endpoint) bool) (lacewingramp.Endpoint, bool) {
	named := make(map[string]lacewingramp.Endpoint)
	var names []string
	for _, m := range all {
		if fits(m) {
			named[m.Name] = m
			names = append(names, m.Name)
		}
	}
	m, ok := named[duty.Owner(watchDuty, names)]
	return m, ok
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
	if e.store.follows != "" {
		e.avoidUntil(e.store.follows, now.Add(avoidTime))
	}
	e.store.reopen()
	e.mu.Unlock()
	go func() {
		f := &follower.Feed{Address: address}
		defer f.Close()
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
