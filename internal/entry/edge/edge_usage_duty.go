package edge

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// leaseMarginPart is the part of the lease by which the holder stops early.
	leaseMarginPart = 6
	// renewalPart is the part of the lease after which it is renewed.
	renewalPart = 6
	// dutyStep is the time between two looks at the state of the duty, and usageStoreTimeout
	// bounds each call to the store.
	dutyStep          = 50 * time.Millisecond
	usageStoreTimeout = time.Second
	// readBackPause is the pause between attempts to read the key back.
	readBackPause = 100 * time.Millisecond
	// A candidate waits for a random time up to acquireSpread, the preferred one for
	// preferredDelay. All others wait longer than that one, by acquireHandicap.
	preferredDelay  = 50 * time.Millisecond
	acquireHandicap = 150 * time.Millisecond
	acquireSpread   = 400 * time.Millisecond
	// platformTimeout is how long connections to the platform may fail before the holder leaves
	// the duty to others, and avoidTime how long it then leaves them avoidDelay of precedence.
	platformTimeout = 4 * time.Second
	avoidTime       = 15 * time.Second
	avoidDelay      = 1500 * time.Millisecond
	// A candidate to which the store does not respond tries again after up to acquireBackoff,
	// doubled each time up to maxAcquireBackoff, so that a large fleet does not overload a store
	// that recovers.
	acquireBackoff    = 500 * time.Millisecond
	maxAcquireBackoff = 3 * time.Second
)

// dutyRecord is the value of the key of the duty. Nonce identifies the write.
type dutyRecord struct {
	Instance string `json:"instance"`
	Start    int64  `json:"start"`
	Nonce    uint64 `json:"nonce"`
	StandBy  string `json:"standBy,omitempty"`
}

func decodeDuty(value []byte) (dutyRecord, error) {
	var r dutyRecord
	err := json.Unmarshal(value, &r)
	return r, err
}

// candidate is the state of an instance that may acquire the duty. attemptAt is when it tries
// next, zero if the duty is held, and backoff is set while the store does not respond. wasHolder
// says that it has renounced the duty because the store was restored, and record is its own
// record.
type candidate struct {
	attemptAt  time.Time
	backoff    time.Duration
	avoidUntil time.Time
	wasHolder  bool
	record     dutyRecord
}

// runUsage runs the duty of usage reports until ctx ends.
func (e *Edge) runUsage(ctx context.Context, goFunc func(func())) {
	if e.usage == nil {
		return
	}
	goFunc(func() {
		for ctx.Err() == nil {
			e.stepDuty(ctx)
			sleep(ctx, dutyStep)
		}
	})
	goFunc(func() {
		for ctx.Err() == nil {
			e.stepReport(ctx)
			sleep(ctx, dutyStep)
		}
	})
}

// stepDuty acquires or renews the duty if that is due.
func (e *Edge) stepDuty(ctx context.Context) {
	u := e.usage
	e.mu.Lock()
	known, present := e.mirror.KeyValue(lacewingramp.KeyUsageDuty)
	position := e.mirror.Position()
	standBy := e.chooseStandBy(u.standBy())
	e.mu.Unlock()
	stopping := e.stopping.Load()
	e.observeEpoch(position.Epoch)
	u.mu.Lock()
	now := u.Now()
	token, held := u.holder.Token(now)
	if held && u.replaced(known, present) {
		u.holder.Lost(now)
		u.mu.Unlock()
		e.Log.Warn().Int64("token", token).Msg("lost the duty of usage reports: another instance has acquired it")
		return
	}
	renew := held && !stopping && now.Sub(u.holder.RenewedAt()) >= u.Lease/renewalPart
	acquire := !held && !stopping && position.Revision > 0 && u.acquireDue(now, present)
	if held && u.duty.StandBy != standBy {
		u.setDuty(now, lacewingramp.UsageDuty{Token: token, StandBy: standBy}, e.Name)
	}
	u.mu.Unlock()
	switch {
	case renew:
		e.renewDuty(ctx)
	case acquire:
		e.acquireDuty(ctx, standBy)
	}
}

// replaced reports whether the mirror has a later record of the duty than that of this holder.
func (u *usageState) replaced(known lacewingramp.KeyValue, present bool) bool {
	token, _ := u.holder.Token(u.Now())
	return present && duty.Token(known.Position()) > token
}

// acquireDue reports whether this instance should try to acquire the duty now. present says that
// the mirror has a holder.
func (u *usageState) acquireDue(now time.Time, present bool) bool {
	c := &u.candidate
	switch {
	case present:
		c.attemptAt = time.Time{}
		return false
	case c.attemptAt.IsZero():
		c.attemptAt = now.Add(u.acquireDelay(now))
		return false
	case now.Before(c.attemptAt):
		return false
	}
	c.attemptAt = now.Add(u.acquireDelay(now))
	return true
}

// recordAttempt records whether the store has responded to an attempt to acquire the duty.
func (u *usageState) recordAttempt(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil {
		u.candidate.backoff = 0
		return
	}
	u.candidate.backoff = min(maxAcquireBackoff, max(acquireBackoff, 2*u.candidate.backoff))
	u.candidate.attemptAt = u.Now().Add(u.acquireDelay(u.Now()))
}

func (u *usageState) acquireDelay(now time.Time) time.Duration {
	switch {
	case u.candidate.backoff > 0:
		return u.candidate.backoff/2 + rand.N(u.candidate.backoff/2)
	case now.Before(u.candidate.avoidUntil):
		return avoidDelay + rand.N(acquireSpread)
	case u.candidate.wasHolder || u.duty.StandBy == u.self.Name:
		return rand.N(preferredDelay)
	default:
		return acquireHandicap + rand.N(acquireSpread)
	}
}

// standBy returns the announced stand-by of this holder, "" if there is none.
func (u *usageState) standBy() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dutyHolder != u.self.Name {
		return ""
	}
	return u.duty.StandBy
}

// chooseStandBy returns the instance that should succeed this one as the holder, "" if there is
// none. The present one stays if it is still alive. One in another failure domain is preferred. The
// caller must hold e.mu.
func (e *Edge) chooseStandBy(present string) string {
	var near, far []string
	for _, p := range e.peers.ReachingStore(e.Timer.Now()) {
		if p.Name == present {
			return present
		}
		if p.Domain == e.Domain {
			near = append(near, p.Name)
		} else {
			far = append(far, p.Name)
		}
	}
	if len(far) == 0 {
		far = near
	}
	return rendezvous.Owner("usage "+e.Name, far)
}

// observeEpoch renounces the duty if the store was restored since it was acquired.
func (e *Edge) observeEpoch(epoch int64) {
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	e.observeEpochLocked(e.usage.Now(), epoch)
}

// observeEpochLocked is like observeEpoch. The caller must hold u.mu.
func (e *Edge) observeEpochLocked(now time.Time, epoch int64) {
	u := e.usage
	token, held := u.holder.Token(now)
	if u.holder.ObserveEpoch(now, epoch) && held {
		u.candidate.wasHolder = true
		e.Log.Warn().Int64("token", token).Int64("epoch", epoch).Msg("renounced the duty of usage reports: the store was restored from a backup")
	}
}

// acquireDuty tries to acquire the duty: it writes the key where it is absent, and reads it back.
func (e *Edge) acquireDuty(ctx context.Context, standBy string) {
	u := e.usage
	known, err := e.readKey(ctx, lacewingramp.KeyUsageDuty)
	u.recordAttempt(err)
	if err != nil || known.Revision != 0 {
		return
	}
	sentAt := u.Now()
	lease, err := withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (lacewingramp.LeaseID, error) {
		return u.Store.GrantLease(ctx, int64(math.Ceil(u.Lease.Seconds())))
	})
	if err != nil {
		return
	}
	record := dutyRecord{Instance: e.Name, Start: u.self.StartMillis, Nonce: rand.Uint64(), StandBy: standBy}
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.holder.Granted(sentAt, u.Now(), lease, known.Epoch)
	u.candidate.record = record
	u.mu.Unlock()
	position, err := withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (lacewingramp.Position, error) {
		return u.Store.CompareAndSwapInEpoch(ctx, lacewingramp.KeyUsageDuty, value, 0, lease)
	})
	switch {
	case err == nil:
		u.mu.Lock()
		u.holder.Written(u.Now(), position)
		u.mu.Unlock()
	case !errors.Is(err, lacewingramp.ErrUnknownOutcome):
		e.loseDuty()
		return
	}
	for !e.readBackDuty(ctx) {
		if ctx.Err() != nil || u.Now().Sub(sentAt) >= u.Lease {
			e.loseDuty()
			return
		}
		sleep(ctx, readBackPause)
	}
}

func (e *Edge) loseDuty() {
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	e.usage.holder.Lost(e.usage.Now())
}

// readBackDuty reads the key of the duty, and reports false if that failed.
func (e *Edge) readBackDuty(ctx context.Context) bool {
	u := e.usage
	kv, err := e.readKey(ctx, lacewingramp.KeyUsageDuty)
	if err != nil {
		return false
	}
	record, err := decodeDuty(kv.Value)
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	before, held := u.holder.Token(now)
	if !u.holder.ReadBack(now, kv, err == nil && record == u.candidate.record) {
		if _, still := u.holder.Token(now); held && !still {
			e.Log.Warn().Int64("token", before).Msg("lost the duty of usage reports: the store no longer has it")
		}
		return true
	}
	token, _ := u.holder.Token(now)
	if held {
		e.Log.Info().Int64("token", token).Msg("resumed the duty of usage reports: its lease has not expired")
		return true
	}
	u.candidate.wasHolder, u.failingSince = false, time.Time{}
	u.setDuty(now, lacewingramp.UsageDuty{Token: token, StandBy: record.StandBy}, e.Name)
	e.Log.Info().Int64("token", token).Int64("epoch", kv.Epoch).Int64("revision", kv.Revision).Str("standby", record.StandBy).Dur("quiet", u.Lease).
		Msg("gained the duty of usage reports")
	go e.listOldReports()
	return true
}

// renewDuty renews the lease of the duty.
func (e *Edge) renewDuty(ctx context.Context) {
	u := e.usage
	sentAt := u.Now()
	u.mu.Lock()
	lease, ok := u.holder.LeaseID(sentAt)
	u.mu.Unlock()
	if !ok {
		return
	}
	epoch, err := withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (int64, error) { return u.Store.RenewLeaseInEpoch(ctx, lease) })
	e.observeEpoch(epoch)
	u.mu.Lock()
	now := u.Now()
	token, held := u.holder.Token(now)
	switch {
	case !held:
	case errors.Is(err, lacewingramp.ErrLeaseExpired):
		u.holder.Lost(now)
		e.Log.Warn().Int64("token", token).Msg("lost the duty of usage reports: its lease has expired")
	case err != nil:
		if e.loglimit.Allow(e.Timer.Now(), "usage-renewal") {
			e.Log.Info().Err(err).Int64("token", token).Dur("age", now.Sub(u.holder.RenewedAt())).Msg("could not renew the duty of usage reports")
		}
	}
	readBack := held && err == nil && u.holder.Renewed(sentAt, now, epoch)
	u.mu.Unlock()
	if readBack {
		e.readBackDuty(ctx)
	}
}

// readKey reads a key of the store.
func (e *Edge) readKey(ctx context.Context, key string) (lacewingramp.KeyValue, error) {
	kv, err := withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (lacewingramp.KeyValue, error) { return e.usage.Store.Get(ctx, key) })
	if err == nil {
		e.observeEpoch(kv.Epoch)
	}
	return kv, err
}

func withTimeout[T any](ctx context.Context, d time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return call(ctx)
}

// reportKey returns the key of the report of a window.
func reportKey(id int64) string {
	return lacewingramp.KeyUsageReports + strconv.FormatInt(id, 10)
}
