package edge

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// takeoverStep is how long each instance has to write a record before the next one
	// tries as well, and takeoverDelay how long until all do.
	takeoverStep        = 400 * time.Millisecond
	takeoverDelay       = 1500 * time.Millisecond
	rolloutWriteTimeout = 2 * time.Second
)

// write is a record to be written: its store key and its value. The value is a string
// so that two writes can be compared.
type write struct {
	key   string
	value string
}

// dueWrite is the pending write of an order that has to be made now. base is the revision of
// its key on which the write was decided.
type dueWrite struct {
	order *order
	write write
	base  int64
}

// pendingWrite returns the write of the next record that the store lacks for an order:
// its start, the start of its ramp, or its status. It is empty if none is missing.
func (e *Edge) pendingWrite(o *order) (write, error) {
	s := e.localStatus(o)
	switch {
	case o.startAt.IsZero():
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.seenAt.UTC()})
	case !o.startStored:
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.startAt, RampStartedAt: o.rampAt})
	case s.Decided == rollout.StateDone:
		return statusWrite(e.DocumentEncoder, o, lacewingramp.StatusDone)
	case s.Decided == rollout.StateRolledBack:
		return statusWrite(e.DocumentEncoder, o, lacewingramp.StatusRolledBack)
	case o.storedStatus == nil:
		return statusWrite(e.DocumentEncoder, o, lacewingramp.StatusRunning)
	case s.State == rollout.StateRamp && o.rampAt.IsZero():
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.startAt, RampStartedAt: s.RampStarted.UTC()})
	default:
		return write{}, nil
	}
}

func startWrite(encoder lacewingramp.DocumentEncoder, o *order, s lacewingramp.RolloutStart) (write, error) {
	s.Service, s.Revision = o.Service, o.revision
	key, value, err := encoder.RolloutStart(s)
	return write{key: key, value: string(value)}, err
}

// statusWrite returns the write of the RolloutStatus record for a state. It is empty if
// the store already has a final state, because the first final state is kept.
func statusWrite(encoder lacewingramp.DocumentEncoder, o *order, state string) (write, error) {
	if o.storedStatus != nil && o.storedStatus.State != lacewingramp.StatusRunning {
		return write{}, nil
	}
	key, value, err := encoder.RolloutStatus(lacewingramp.RolloutStatus{Service: o.Service, Version: o.Version, State: state})
	return write{key: key, value: string(value)}, err
}

// shouldWrite reports whether this instance writes the pending record of an order. The live
// instances take their turn by rendezvous hashing, as the first ones may not know that a
// record is due.
func (e *Edge) shouldWrite(now time.Time, o *order) bool {
	waited := now.Sub(o.pendingSince)
	if waited > takeoverDelay {
		return true
	}
	names := []string{e.Name}
	for _, p := range e.peers.Alive(now) {
		names = append(names, p.Name)
	}
	turn := slices.Index(rendezvous.Order(o.rolloutName(), names), e.Name)
	return waited >= time.Duration(turn)*takeoverStep
}

// write writes a record, unless its key has changed in the store since it was decided. After
// a conflict or an unknown outcome, the mirror shows whether to write again.
func (e *Edge) write(ctx context.Context, d dueWrite) {
	writeCtx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	w := d.write
	_, err := e.Store.CompareAndSwap(writeCtx, w.key, []byte(w.value), d.base, 0)
	if err != nil && !errors.Is(err, lacewingramp.ErrConflict) {
		e.Log.Warn().Err(err).Str("key", w.key).Msg("could not write a rollout record")
	}
	e.Log.Info().Str("key", w.key).Bool("written", err == nil).Str("value", w.value).Msg("rollout written")
	e.endWrite(d.order)
}

// endWrite ends a write after the mirror has had time to receive it.
func (e *Edge) endWrite(o *order) {
	e.Timer.After(heartbeat.Period, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		o.writing = false
	})
}
