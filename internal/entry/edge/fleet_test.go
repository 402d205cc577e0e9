package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/manual"
)

// The steps and delays of a simulatedFleet. A call to the store that is not answered
// fails after the same time as a call of the platform's client.
const (
	simulationStep   = 10 * time.Millisecond
	sameRegionDelay  = 2 * time.Millisecond
	otherRegionDelay = 36 * time.Millisecond
	unansweredSlack  = 500 * time.Millisecond
	// catchUpTrips is how many times a catch-up crosses the way to the peer.
	catchUpTrips = 4
	// A fleet of more than smallFleet instances has largePerDomain instances with
	// largeCapacity in each failure domain.
	smallFleet     = 20
	largePerDomain = 2
	largeCapacity  = 20
	// maxBuffered is the number of heartbeats that are kept for a paused process, the oldest.
	maxBuffered = 40
	// settleTime is how long a fleet runs before the store falls silent.
	settleTime = 6 * time.Second
	// maxSilenceBeforeChange is the maximum time from then to the next change.
	maxSilenceBeforeChange = 500 * time.Millisecond
)

var simulatedRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// simulatedFleet runs the decisions of a fleet's instances on a manual clock: whom to
// follow, what to report to peers, and when to catch up. It stands in for the calls
// between them and to the store, each with the delay that it has.
type simulatedFleet struct {
	timer     *manual.Timer
	random    *rand.Rand
	instances []*simulatedInstance
	byAddress map[string]*simulatedInstance
	revision  int64
	// changes are the store's changes that have a content, in order.
	changes []lacewingramp.Change
	// storeCalls counts the calls to the store other than renewals.
	storeCalls int
	// checks counts the checks of the store by instances that follow a peer.
	checks int
	// cutOff holds the failure domain that is cut off from all others, "" for none.
	cutOff string
	// onTick is called before each instance's tick, nil for none.
	onTick func(s *simulatedInstance, now time.Time)
}

// skewedTimer is a timer of a machine whose clock is ahead.
type skewedTimer struct {
	*manual.Timer
	ahead time.Duration
}

func (t skewedTimer) Now() time.Time {
	return t.Timer.Now().Add(t.ahead)
}

// simulatedInstance is an instance of a simulatedFleet.
type simulatedInstance struct {
	*Edge
	fleet *simulatedFleet
	// silentFrom is when the store stops to answer this instance, zero for never.
	silentFrom time.Time
	// pausedUntil is until when the process is paused.
	pausedUntil time.Time
	// deaf is set if no heartbeat of a peer reaches the instance.
	deaf bool
	// writes are the writes that are on their way to the store.
	writes []simulatedWrite
	// earlier is set for an instance of an earlier program, which knows of no confirmations.
	earlier   bool
	nextTick  time.Time
	nextRenew time.Time
	// renewFails is when the renewal that is not answered fails, zero if there is none.
	renewFails time.Time
	call       simulatedCall
	heartbeats []delayedHeartbeat
	// catchUpEnds is when the catch-up from catchUpPeer ends.
	catchUpEnds time.Time
	catchUpPeer *simulatedInstance
	// checkEnds is when the check of the store ends, zero if there is none, and
	// checkAnswered whether the store answers it.
	checkEnds     time.Time
	checkAnswered bool
}

// simulatedCall is the call that waits for changes. It starts at its start time, and was
// interrupted if interrupted is set.
type simulatedCall struct {
	address     string
	start       time.Time
	interrupted bool
}

type delayedHeartbeat struct {
	due       time.Time
	heartbeat *lacewingramp.Heartbeat
}

// simulatedWrite is a record that an instance writes to the store, where it arrives when it is
// due.
type simulatedWrite struct {
	dueWrite
	due time.Time
}

// ignoreChanges decodes each change as one of an unknown kind.
type ignoreChanges struct{}

func (ignoreChanges) Decode(c lacewingramp.Change) (lacewingramp.StoreEvent, error) {
	return lacewingramp.StoreEvent{Key: c.Key, Revision: c.Revision}, nil
}

func newSimulatedFleet(seed uint64, size int) *simulatedFleet {
	f := &simulatedFleet{
		timer: manual.New(time.Unix(1_800_000_000, 0)), random: rand.New(rand.NewPCG(seed, uint64(size))),
		byAddress: make(map[string]*simulatedInstance), revision: 1,
	}
	domains := []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	for i := range size {
		domain := domains[i%len(domains)]
		name := fmt.Sprintf("edge-%s-%d", domain, i/len(domains))
		e := New(
			Settings{Name: name, Domain: domain, Region: simulatedRegions[domain], Regions: simulatedRegions, Peer: name + ":1"},
			Dependencies{Timer: f.timer, Log: zerolog.Nop(), EventDecoder: ignoreChanges{}, Meter: meter.New()},
		)
		if size > smallFleet && i/len(domains) < largePerDomain {
			e.self.Capacity = largeCapacity
		}
		e.mirror.ApplySnapshot(nil, lacewingramp.Position{Revision: f.revision})
		now := f.timer.Now()
		s := &simulatedInstance{Edge: e, fleet: f, nextTick: now.Add(f.upTo(250 * time.Millisecond)), nextRenew: now.Add(f.upTo(leaseRenewInterval))}
		f.instances = append(f.instances, s)
		f.byAddress[e.Peer] = s
	}
	for _, s := range f.instances {
		for _, p := range f.instances {
			s.peers.MarkRegistered(f.timer.Now(), p.self)
		}
	}
	return f
}

// skew puts the clock of an instance ahead, before the fleet runs.
func (s *simulatedInstance) skew(ahead time.Duration) {
	s.Timer = skewedTimer{Timer: s.fleet.timer, ahead: ahead}
	s.tickedAt = s.tickedAt.Add(ahead)
	s.nextTick, s.nextRenew = s.nextTick.Add(ahead), s.nextRenew.Add(ahead)
}

// restart starts an instance again, which keeps nothing of what it knew.
func (s *simulatedInstance) restart() {
	before := s.Edge
	s.Edge = New(before.Settings, before.Dependencies)
	s.call, s.heartbeats, s.writes = simulatedCall{}, nil, nil
	s.renewFails, s.checkEnds, s.catchUpPeer = time.Time{}, time.Time{}, nil
	s.take(s.fleet.revision)
	for _, p := range s.fleet.instances {
		s.peers.MarkRegistered(s.Timer.Now(), p.self)
	}
}

// upTo returns a random duration.
func (f *simulatedFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

// silence lets the store fall silent for a random half of the instances, and for those
// that watch it.
func (f *simulatedFleet) silence() {
	left := len(f.instances) / 2
	for _, watching := range []bool{true, false} {
		for _, i := range f.random.Perm(len(f.instances)) {
			s := f.instances[i]
			if left > 0 && (s.store.followAddress == "") == watching {
				s.silentFrom = f.timer.Now()
				left--
			}
		}
	}
}

// run advances the clock.
func (f *simulatedFleet) run(d time.Duration) {
	for end := f.timer.Now().Add(d); f.timer.Now().Before(end); {
		f.timer.Advance(simulationStep)
		for _, s := range f.instances {
			if !f.timer.Now().Before(s.pausedUntil) {
				s.wake(s.Timer.Now())
				s.step(s.Timer.Now())
			}
		}
	}
}

// put changes a key of the store.
func (f *simulatedFleet) put(key string, event lacewingramp.StoreEvent) {
	value, err := json.Marshal(event)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Value: value}})
}

func (f *simulatedFleet) change(c lacewingramp.Change) {
	f.revision++
	c.Revision = f.revision
	f.changes = append(f.changes, c)
}

// latest returns the latest change of a key.
func (f *simulatedFleet) latest(key string) (c lacewingramp.Change) {
	for _, one := range f.changes {
		if one.Key == key {
			c = one
		}
	}
	return c
}

// behind returns the names of the instances that reach the store and are not at its
// latest revision.
func (f *simulatedFleet) behind() (names []string) {
	for _, s := range f.instances {
		if s.silentFrom.IsZero() && s.mirror.Position().Revision < f.revision {
			names = append(names, s.Name)
		}
	}
	return names
}

func (f *simulatedFleet) delay(one, two *simulatedInstance) time.Duration {
	if one.Region == two.Region {
		return sameRegionDelay
	}
	return otherRegionDelay
}

// connected reports whether messages between two instances arrive.
func (f *simulatedFleet) connected(one, two *simulatedInstance) bool {
	return (one.Domain == f.cutOff) == (two.Domain == f.cutOff)
}

// reachesStore reports whether the store answers a call that is sent now.
func (s *simulatedInstance) reachesStore() bool {
	return s.silentFrom.IsZero() || s.fleet.timer.Now().Before(s.silentFrom)
}

// wake lets the first tick that was due in a pause run before anything that has arrived.
func (s *simulatedInstance) wake(now time.Time) {
	if s.pausedUntil.IsZero() {
		return
	}
	s.pausedUntil = time.Time{}
	s.tickFollowing(now)
	s.nextTick = now.Add(250 * time.Millisecond)
}

func (s *simulatedInstance) step(now time.Time) {
	s.heartbeats = slices.DeleteFunc(s.heartbeats, func(h delayedHeartbeat) bool {
		if s.fleet.timer.Now().Before(h.due) {
			return false
		}
		if !s.deaf {
			s.handleHeartbeat(h.heartbeat)
		}
		return true
	})
	s.stepRenewal(now)
	s.stepCatchUp(now)
	s.stepCheck(now)
	s.stepCall(now)
	s.stepWrites(now)
	if !now.Before(s.nextTick) {
		s.nextTick = s.nextTick.Add(250 * time.Millisecond)
		s.tickFollowing(now)
	}
}

// tickFollowing does the part of a tick that concerns the store's changes.
func (s *simulatedInstance) tickFollowing(now time.Time) {
	s.recordTick(now)
	if s.fleet.onTick != nil {
		s.fleet.onTick(s, now)
	}
	s.updateFollowAddress(now)
	for _, d := range s.advanceRollouts(now) {
		s.writes = append(s.writes, simulatedWrite{dueWrite: d, due: now.Add(otherRegionDelay)})
	}
	own, others := s.peers.NextRound()
	h := s.newHeartbeat(now)
	if s.earlier {
		h.Confirmation = nil
	}
	for _, address := range slices.Concat(own, others) {
		p := s.fleet.byAddress[address]
		if !s.fleet.connected(s, p) || len(p.heartbeats) >= maxBuffered {
			continue
		}
		p.heartbeats = append(p.heartbeats, delayedHeartbeat{due: s.fleet.timer.Now().Add(s.fleet.delay(s, p)), heartbeat: h})
	}
	if address := s.catchUpFrom(now); address != "" {
		s.catchUpPeer = s.fleet.byAddress[address]
		s.catchUpEnds = now.Add(catchUpTrips * s.fleet.delay(s, s.catchUpPeer))
	}
	if !s.earlier && s.beginStoreCheck(now) {
		s.fleet.checks++
		s.fleet.storeCalls++
		s.checkAnswered = s.reachesStore()
		s.checkEnds = now.Add(unansweredSlack)
		if s.checkAnswered {
			s.checkEnds = now.Add(catchUpTrips * otherRegionDelay)
		}
	}
}

// stepWrites lets the writes arrive at the store that are due.
func (s *simulatedInstance) stepWrites(now time.Time) {
	s.writes = slices.DeleteFunc(s.writes, func(w simulatedWrite) bool {
		if now.Before(w.due) {
			return false
		}
		if s.reachesStore() && s.fleet.latest(w.write.key).Revision == w.base {
			s.fleet.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: w.write.key, Value: []byte(w.write.value)}})
		}
		s.endWrite(w.order)
		return true
	})
}

// stepCheck ends a check of the store.
func (s *simulatedInstance) stepCheck(now time.Time) {
	if s.checkEnds.IsZero() || now.Before(s.checkEnds) {
		return
	}
	s.checkEnds = time.Time{}
	if !s.checkAnswered {
		s.endStoreCheck(lacewingramp.ErrUnknownOutcome)
		return
	}
	s.takeFromStore(now)
	s.endStoreCheck(nil)
}

// stepCatchUp ends a catch-up.
func (s *simulatedInstance) stepCatchUp(now time.Time) {
	if s.catchUpPeer == nil || now.Before(s.catchUpEnds) {
		return
	}
	if s.fleet.connected(s, s.catchUpPeer) {
		s.take(s.catchUpPeer.mirror.Position().Revision)
	}
	s.catchUpPeer = nil
	s.store.catchingUp = false
}

// stepRenewal renews the lease of the registration.
func (s *simulatedInstance) stepRenewal(now time.Time) {
	switch {
	case !s.renewFails.IsZero():
		if !now.Before(s.renewFails) {
			s.renewFails = time.Time{}
			s.nextRenew = now.Add(minStoreBackoff)
			s.recordStoreCall(lacewingramp.ErrUnknownOutcome)
		}
	case now.Before(s.nextRenew):
	case s.reachesStore():
		s.nextRenew = now.Add(leaseRenewInterval)
		s.recordStoreCall(nil)
	default:
		s.renewFails = now.Add(registerTimeout)
	}
}

// stepCall advances the call that waits for changes, or starts the next one.
func (s *simulatedInstance) stepCall(now time.Time) {
	c := &s.call
	if c.start.IsZero() || c.interrupted {
		source := s.source(func() { s.call.interrupted = true })
		*c = simulatedCall{address: source.address, start: now}
		if source.address == "" {
			s.fleet.storeCalls++
		}
	}
	if now.Before(c.start) {
		return
	}
	if c.address == "" {
		s.stepStoreCall(now)
		return
	}
	p := s.fleet.byAddress[c.address]
	arrives := s.fleet.connected(s, p) && now.Sub(c.start) > s.fleet.delay(s, p)
	if revision := p.mirror.Position().Revision; arrives && revision > s.mirror.Position().Revision {
		s.take(revision)
		c.start = time.Time{}
	} else if now.Sub(c.start) > peerLongPoll {
		c.start = time.Time{}
	}
}

// stepStoreCall advances a call to the store.
func (s *simulatedInstance) stepStoreCall(now time.Time) {
	waited := now.Sub(s.call.start)
	answered := s.reachesStore()
	switch {
	case answered && waited > 2*otherRegionDelay && (waited > storeLongPoll || s.fleet.revision > s.mirror.Position().Revision):
		s.takeFromStore(now)
		s.recordStoreResponse()
		s.restartStoreCall(now.Add(batchInterval))
	case !answered && waited > storeLongPoll+unansweredSlack:
		s.recordStoreFailure(context.DeadlineExceeded)
		s.restartStoreCall(now.Add(maxStoreBackoff))
	}
}

func (s *simulatedInstance) restartStoreCall(at time.Time) {
	s.call = simulatedCall{start: at}
	s.fleet.storeCalls++
}

// takeFromStore applies the changes in a response of the store.
func (s *simulatedInstance) takeFromStore(now time.Time) {
	s.take(s.fleet.revision)
	s.confirm(s.mirror.Position(), now)
}

// take applies the changes up to a revision.
func (s *simulatedInstance) take(revision int64) {
	position := lacewingramp.Position{Revision: revision}
	changes := []lacewingramp.Change{{KeyValue: lacewingramp.KeyValue{Key: "table", Revision: revision}}}
	if len(s.fleet.changes) > 0 {
		changes = s.fleet.changesBetween(s.mirror.Position().Revision, revision)
	}
	s.update(func() []lacewingramp.Change { return s.mirror.Apply(changes, position) })
}

// changesBetween returns the changes after a revision, up to another one.
func (f *simulatedFleet) changesBetween(after, last int64) (changes []lacewingramp.Change) {
	for _, c := range f.changes {
		if c.Revision > after && c.Revision <= last {
			changes = append(changes, c)
		}
	}
	return changes
}

// changeInSilence lets the store fall silent for half of the fleet and then change. It
// returns the instances that reach the store and do not have the change in time.
func (f *simulatedFleet) changeInSilence(within time.Duration) []string {
	f.run(settleTime + f.upTo(time.Second))
	f.silence()
	f.run(f.upTo(maxSilenceBeforeChange))
	f.revision++
	f.run(within)
	return f.behind()
}

// changeBehindCut cuts a failure domain off from all others, and lets the store, which all
// instances reach, change. It returns the instances that do not have the change in time.
func (f *simulatedFleet) changeBehindCut(within time.Duration) []string {
	f.run(settleTime + f.upTo(time.Second))
	f.cutOff = f.instances[f.random.IntN(len(f.instances))].Domain
	f.run(f.upTo(maxSilenceBeforeChange))
	f.revision++
	f.run(within)
	return f.behind()
}

// expectForSeeds expects that check returns no instance for any seed. It runs several
// checks at a time.
func expectForSeeds(seeds uint64, check func(seed uint64) []string) {
	failures := make([][]string, seeds)
	var next atomic.Uint64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < seeds; seed = next.Add(1) - 1 {
				failures[seed] = check(seed)
			}
		})
	}
	wg.Wait()
	for seed, names := range failures {
		gomega.Expect(names).To(gomega.BeEmpty(), "seed %d", seed)
	}
}
