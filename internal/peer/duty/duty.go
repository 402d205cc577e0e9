// Package duty decides when an instance may act as the only holder of a duty of the fleet.
//
// The holder has written a key of the store under a lease. It may act until Lease less Margin
// after it sent its last successful renewal, and not before Lease has passed since the
// acquisition was confirmed. So two holders never act at the same time, also if the store drops a
// lease early or is restored from a backup. docs/design/duty.md has the reasons.
//
// # Usage
//
//	h := duty.Holder{Lease: 3 * time.Second, Margin: 500 * time.Millisecond, StartedAt: now}
//	h.Granted(sentAt, now, lease, epoch)       // a lease of the store
//	h.Written(position)                        // the key was written under it
//	h.ReadBack(now, keyValue, own)             // and read back
//	h.Renewed(sentAt, now, epoch)              // repeatedly
//	if token, ok := h.MayAct(now); ok { ... }
//
// The time passed in must continue while the machine is suspended. A Holder is a plain value and
// is not safe for concurrent use.
package duty

import (
	_ "embed"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
)

// States of a Holder.
const (
	StateIdle      chart.State = "idle"
	StateAcquiring chart.State = "acquiring"
	StateQuiet     chart.State = "quiet"
	StateHolding   chart.State = "holding"
	StateSuspended chart.State = "suspended"
)

const (
	eventGranted   chart.Event = "granted"
	eventConfirmed chart.Event = "confirmed"
	eventSettled   chart.Event = "settled"
	eventLapsed    chart.Event = "lapsed"
	eventLost      chart.Event = "lost"
)

//go:embed duty.json
var file []byte

var states = chart.MustParse(file)

// tokenRevisionBits is the number of bits of a fencing token that hold the revision.
const tokenRevisionBits = 40

// Token returns the fencing token of a write at a position.
func Token(p lacewingramp.Position) int64 {
	return p.Epoch<<tokenRevisionBits | p.Revision
}

// Epoch returns the store's epoch that is part of a fencing token.
func Epoch(token int64) int64 {
	return token >> tokenRevisionBits
}

// Holder is the state of one instance as a candidate for a duty, or as its holder.
type Holder struct {
	// Lease is the time of the store's lease, and Margin how much earlier the holder stops to
	// act. It covers the way to the platform.
	Lease  time.Duration
	Margin time.Duration
	// StartedAt is when the instance started.
	StartedAt time.Time

	state chart.State
	epoch int64
	// grantedIn is the epoch in which the lease was granted.
	grantedIn  int64
	lease      lacewingramp.LeaseID
	written    lacewingramp.Position
	position   lacewingramp.Position
	renewedAt  time.Time
	quietUntil time.Time
	// epochFrom is the time from which on no holder of an earlier epoch has acted, and clearFrom
	// that from which on nobody but this instance may have.
	epochFrom time.Time
	clearFrom time.Time
}

// State returns the state at a time.
func (h *Holder) State(now time.Time) chart.State {
	h.update(now)
	return h.state
}

// update takes the transitions that are due by the time alone.
func (h *Holder) update(now time.Time) {
	if h.state == "" {
		h.state = states.Initial
	}
	held := h.state == StateQuiet || h.state == StateHolding
	switch {
	case held && !now.Before(h.ValidUntil()):
		h.apply(eventLapsed)
	case h.state == StateQuiet && !now.Before(h.quietUntil):
		h.apply(eventSettled)
	}
}

func (h *Holder) apply(e chart.Event) bool {
	next, ok := states.Next(h.state, e)
	if ok {
		h.state = next
	}
	return ok
}

// ObserveEpoch records an epoch of the store that was seen anywhere. It reports whether this
// ends the duty or an acquisition in progress.
func (h *Holder) ObserveEpoch(now time.Time, epoch int64) (renounced bool) {
	h.update(now)
	if epoch <= h.epoch {
		return false
	}
	h.setClearFrom(now)
	h.epoch = epoch
	return h.apply(eventLost)
}

// maxClockError is the maximum difference of the clocks of two instances.
const maxClockError = time.Second

// setClearFrom sets clearFrom as a new epoch is first seen. The holder of the earlier epoch may
// act for up to Lease after the restoration, which was before now. If this instance still was
// that holder, nobody else has acted since its quiet time ended.
func (h *Holder) setClearFrom(now time.Time) {
	first := now
	if h.epoch == 0 {
		first = h.StartedAt
	}
	h.epochFrom = first.Add(h.Lease + maxClockError)
	clearFrom := h.epochFrom
	if h.state == StateQuiet || h.state == StateHolding {
		clearFrom = h.quietUntil.Add(maxClockError)
	}
	if h.clearFrom.Before(clearFrom) {
		h.clearFrom = clearFrom
	}
}

// ClearFrom returns the time from which on no holder of an earlier epoch has acted, unless it
// was this instance.
func (h *Holder) ClearFrom() time.Time {
	return h.clearFrom
}

// EpochFrom returns the time from which on no holder of an earlier epoch than SeenEpoch has acted.
func (h *Holder) EpochFrom() time.Time {
	return h.epochFrom
}

// LearnEpochFrom takes over the EpochFrom of another instance that has seen an epoch earlier, from
// the store.
func (h *Holder) LearnEpochFrom(epoch int64, from time.Time) {
	if epoch != h.epoch || !from.Before(h.epochFrom) {
		return
	}
	h.epochFrom = from
	if from.Before(h.clearFrom) {
		h.clearFrom = from
	}
}

// SeenEpoch returns the highest epoch that was seen.
func (h *Holder) SeenEpoch() int64 {
	return h.epoch
}

// Granted records the lease for an acquisition, when it was requested, and the epoch of the
// response.
func (h *Holder) Granted(sentAt, now time.Time, lease lacewingramp.LeaseID, epoch int64) {
	h.ObserveEpoch(now, epoch)
	if epoch != h.epoch || !h.apply(eventGranted) {
		return
	}
	h.lease, h.grantedIn, h.renewedAt = lease, epoch, sentAt
	h.written, h.position = lacewingramp.Position{}, lacewingramp.Position{}
}

// Written records the position of the write that acquires the duty. It is not called if the
// outcome is unknown.
func (h *Holder) Written(now time.Time, p lacewingramp.Position) {
	h.ObserveEpoch(now, p.Epoch)
	h.written = p
}

// ReadBack records the key as it was read after the write or after a renewal of a lapsed lease,
// and whether it has this instance's own value. It reports whether the duty is now held.
func (h *Holder) ReadBack(now time.Time, kv lacewingramp.KeyValue, own bool) bool {
	h.ObserveEpoch(now, kv.Epoch)
	p := kv.Position()
	switch h.state {
	case StateAcquiring:
		if !own || p.Revision == 0 || p.Epoch != h.epoch || p.Epoch != h.grantedIn || (h.written != lacewingramp.Position{} && h.written != p) {
			h.apply(eventLost)
			return false
		}
		h.position, h.quietUntil = p, now.Add(h.Lease)
	case StateSuspended:
		if !own || p != h.position {
			h.apply(eventLost)
			return false
		}
		if !now.Before(h.ValidUntil()) {
			return false
		}
	default:
		return false
	}
	h.apply(eventConfirmed)
	h.update(now)
	return h.state != StateSuspended
}

// Renewed records a successful renewal of the lease, when it was sent, and the epoch of the
// response. It reports whether the key has to be read back, as the lease might have expired
// before.
func (h *Holder) Renewed(sentAt, now time.Time, epoch int64) (readBack bool) {
	h.ObserveEpoch(now, epoch)
	if h.lease == 0 || h.state == StateIdle || epoch != h.position.Epoch {
		return false
	}
	h.renewedAt = sentAt
	return h.state == StateSuspended
}

// Lost records that the duty is no longer held, or was not acquired.
func (h *Holder) Lost(now time.Time) {
	h.update(now)
	h.apply(eventLost)
}

// LeaseID returns the lease of the duty, and false if there is none to renew.
func (h *Holder) LeaseID(now time.Time) (lacewingramp.LeaseID, bool) {
	h.update(now)
	return h.lease, h.state == StateQuiet || h.state == StateHolding || h.state == StateSuspended
}

// RenewedAt returns when the last successful renewal was sent.
func (h *Holder) RenewedAt() time.Time {
	return h.renewedAt
}

// ValidUntil returns the time until which the holder may act.
func (h *Holder) ValidUntil() time.Time {
	return h.renewedAt.Add(h.Lease - h.Margin)
}

// MayAct reports whether the instance may act as the holder now, and its fencing token.
func (h *Holder) MayAct(now time.Time) (token int64, ok bool) {
	h.update(now)
	return Token(h.position), h.state == StateHolding
}

// Token returns the fencing token of the duty, and false if it is not held. A holder that may not
// act yet, or not until its next renewal, has one.
func (h *Holder) Token(now time.Time) (int64, bool) {
	_, ok := h.LeaseID(now)
	return Token(h.position), ok
}
