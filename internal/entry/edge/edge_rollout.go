package edge

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
)

const (
	// dutyPatience is how long the instance whose duty a write is has for it
	// before the others try.
	dutyPatience = 1500 * time.Millisecond
	writeTimeout = 2 * time.Second
)

// order is an operator's order for a service and what is known of it.
type order struct {
	lacewingramp.Order
	revision int64
	seen     time.Time
	// base is the version that the service is moved away from.
	base   string
	start  time.Time
	ramp   time.Time
	result *lacewingramp.Result
	// due is what is to be written, and dueAt since when.
	due     write
	dueAt   time.Time
	writing bool
}

// write is one key with its value, as text so that two can be compared.
type write struct {
	key   string
	value string
}

// name tells an order from an earlier one for the same service.
func (o *order) name() string {
	return o.Service + "@" + strconv.FormatInt(o.revision, 10)
}

// takeRollout takes in an order, its start or its result.
func (e *Edge) takeRollout(now time.Time, n *lacewingramp.Notice) {
	switch {
	case n.Order != nil && n.Removed:
		delete(e.orders, n.Order.Service)
	case n.Order != nil:
		e.takeOrder(now, n)
	case n.Start != nil && !n.Removed:
		if o, ok := e.orders[n.Start.Service]; ok && o.revision == n.Start.Revision {
			o.start, o.ramp = n.Start.Moment, n.Start.Ramp
		}
	case n.Result != nil && !n.Removed:
		e.takeResult(n)
	}
	e.setRollouts(now)
}

func (e *Edge) takeOrder(now time.Time, n *lacewingramp.Notice) {
	o := &order{Order: *n.Order, revision: n.Revision, seen: now}
	if before, ok := e.orders[o.Service]; ok {
		o.base = before.base
		if e.status(before).State == rollout.StateDone {
			o.base = before.Version
		}
	}
	e.orders[o.Service] = o
	e.Log.Info().Str("service", o.Service).Str("version", o.Version).Dur("allowed", o.Time).
		Int64("revision", n.Revision).Msg("rollout ordered")
	e.readRelated(o)
}

// readRelated takes in what the mirror already has on an order: in a snapshot
// the keys come in any order.
func (e *Edge) readRelated(o *order) {
	if key, _, err := e.Writer.Start(lacewingramp.Start{Service: o.Service}); err == nil {
		if n, ok := e.known(key); ok && n.Start != nil && n.Start.Revision == o.revision {
			o.start, o.ramp = n.Start.Moment, n.Start.Ramp
		}
	}
	if key, _, err := e.Writer.Result(lacewingramp.Result{Service: o.Service}); err == nil {
		if n, ok := e.known(key); ok && n.Result != nil {
			e.takeResult(&n)
		}
	}
}

func (e *Edge) known(key string) (lacewingramp.Notice, bool) {
	i, ok := e.mirror.Item(key)
	if !ok {
		return lacewingramp.Notice{}, false
	}
	n, err := e.Reader.Read(lacewingramp.Change{Item: i})
	return n, err == nil
}

// takeResult takes in a result that was written after its order.
func (e *Edge) takeResult(n *lacewingramp.Notice) {
	o, ok := e.orders[n.Result.Service]
	if !ok || n.Revision < o.revision || n.Result.Version != o.Version {
		return
	}
	o.result = n.Result
}

// setRollouts brings the rollouts in line with the orders and the targets.
func (e *Edge) setRollouts(now time.Time) {
	t := &lacewingramp.Table{}
	names := make([]string, 0, len(e.orders))
	for s := range e.orders {
		names = append(names, s)
	}
	sort.Strings(names)
	for _, s := range names {
		o := e.orders[s]
		e.setBase(o)
		t.Versions = append(t.Versions, lacewingramp.Version{Name: o.base, Service: s})
		if o.start.IsZero() {
			continue
		}
		t.Rollouts = append(t.Rollouts, lacewingramp.Rollout{
			Name: o.name(), Service: s, Version: o.Version, Share: e.ExposeShare * canaryPart,
			Start: o.start, Deadline: o.start.Add(o.Time - orderLag),
		})
	}
	e.rollouts.Configure(t)
	for _, s := range names {
		o := e.orders[s]
		if !o.ramp.IsZero() {
			e.rollouts.Resume(o.name(), o.start, o.ramp)
		}
		e.decideResult(now, o)
	}
}

// orderLag is how long before the operator's deadline a rollout ends: the order
// may have been on its way that long, and its end has to be written.
const orderLag = 2 * time.Second

// canaryPart is the part of the largest allowed share that a version under
// test gets at first.
const canaryPart = 1.0

// slowFactor tells a slow version from one whose targets have not met their
// objects yet: those take over three times as long at first.
const slowFactor = 3.5

// setBase finds the version that most targets of a service have, other than
// the new one.
func (e *Edge) setBase(o *order) {
	if o.base != "" {
		return
	}
	counts := make(map[string]int)
	for _, name := range e.place.Names() {
		if l, ok := e.place.Target(name); ok && l.Service == o.Service && l.Version != o.Version {
			counts[l.Version]++
		}
	}
	most := 0
	for v, n := range counts {
		if n > most || (n == most && v < o.base) {
			o.base, most = v, n
		}
	}
}

// decideResult makes an end that the store has the end here too.
func (e *Edge) decideResult(now time.Time, o *order) {
	if o.result == nil || o.start.IsZero() || o.result.State == lacewingramp.ResultRunning {
		return
	}
	e.rollouts.Decide(lacewingramp.Outcome{
		Rollout: o.name(), Start: o.start, State: o.result.State, Reason: "as the store has it", Moment: now,
	})
}

// status returns the state of an order's rollout here.
func (e *Edge) status(o *order) rollout.Status {
	for _, s := range e.rollouts.Statuses(e.Timer.Now()) {
		if s.Rollout == o.name() {
			return s
		}
	}
	return rollout.Status{State: rollout.StatePlanned}
}

// version returns the versions that a service's next request may run on. A
// service without orders runs on any.
func (e *Edge) version(now time.Time, service string) (prefer, fallback string) {
	o, ok := e.orders[service]
	if !ok {
		return "", ""
	}
	if o.start.IsZero() {
		return o.base, o.base
	}
	return e.rollouts.Choose(now, service)
}

// tickRollouts decides on rollouts and writes what is to be written.
func (e *Edge) tickRollouts(ctx context.Context, now time.Time) {
	for _, o := range e.rollouts.Tick(now) {
		e.Log.Info().Str("rollout", o.Rollout).Str("state", o.State).Str("reason", o.Reason).Msg("rollout decided")
	}
	for _, o := range e.orders {
		w, err := e.unwritten(o)
		if err != nil {
			e.Log.Error().Err(err).Str("service", o.Service).Msg("could not encode what a rollout needs")
			continue
		}
		if w != o.due {
			o.due, o.dueAt = w, now
		}
		if w.key != "" && !o.writing && e.onDuty(now, o) {
			o.writing = true
			go e.write(ctx, o, w)
		}
	}
}

// unwritten returns what the store should have of an order and does not: its
// start, the begin of its ramp, or its state.
func (e *Edge) unwritten(o *order) (write, error) {
	s := e.status(o)
	switch {
	case o.start.IsZero():
		return startWrite(e.Writer, o, lacewingramp.Start{Moment: o.seen.UTC()})
	case s.State == rollout.StateDone:
		return resultWrite(e.Writer, o, lacewingramp.ResultDone)
	case s.State == rollout.StateRolledBack:
		return resultWrite(e.Writer, o, lacewingramp.ResultRolledBack)
	case o.result == nil:
		return resultWrite(e.Writer, o, lacewingramp.ResultRunning)
	case s.State == rollout.StateRamp && o.ramp.IsZero():
		return startWrite(e.Writer, o, lacewingramp.Start{Moment: o.start, Ramp: s.RampAt.UTC()})
	default:
		return write{}, nil
	}
}

func startWrite(w lacewingramp.Writer, o *order, s lacewingramp.Start) (write, error) {
	s.Service, s.Revision = o.Service, o.revision
	key, value, err := w.Start(s)
	return write{key: key, value: string(value)}, err
}

// resultWrite returns the write of a state, unless the store has an end
// already: the first one stands.
func resultWrite(w lacewingramp.Writer, o *order, state string) (write, error) {
	if o.result != nil && o.result.State != lacewingramp.ResultRunning {
		return write{}, nil
	}
	key, value, err := w.Result(lacewingramp.Result{Service: o.Service, Version: o.Version, State: state})
	return write{key: key, value: string(value)}, err
}

// onDuty reports whether this instance writes what an order needs: one of
// those alive, or any when that one has not done so in time.
func (e *Edge) onDuty(now time.Time, o *order) bool {
	if now.Sub(o.dueAt) > dutyPatience {
		return true
	}
	names := []string{e.Name}
	for _, m := range e.roll.Alive(now) {
		names = append(names, m.Name)
	}
	return duty.Owner(o.name(), names) == e.Name
}

// write writes a key that no other instance has written meanwhile. A lost
// answer or a conflict is settled by what the mirror shows next.
func (e *Edge) write(ctx context.Context, o *order, w write) {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	e.mu.Lock()
	known, _ := e.mirror.Item(w.key)
	e.mu.Unlock()
	_, err := e.Store.Swap(call, w.key, []byte(w.value), known.Revision, 0)
	if err != nil && !errors.Is(err, lacewingramp.ErrConflict) {
		e.Log.Warn().Err(err).Str("key", w.key).Msg("could not write what a rollout needs")
	}
	e.Log.Info().Str("key", w.key).Bool("written", err == nil).Str("value", w.value).Msg("rollout written")
	// The mirror shows it in a moment: until then it is not written again.
	e.Timer.After(heartbeat.Period, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		o.writing = false
	})
}
