package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
	"lacewingramp.example/lacewingramp/internal/report/usage"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// UsageSettings configures the reports of how many requests of each customer targets began.
type UsageSettings struct {
	// Window is the time that each report is about, and MaxDelay the maximum time from its end to
	// the report.
	Window   time.Duration
	MaxDelay time.Duration
	// Lease is the lease of the duty, and CallsPerSecond the maximum rate of calls of all instances.
	Lease          time.Duration
	CallsPerSecond float64
}

// UsageStore is the part of the platform's store that usage reports need.
type UsageStore interface {
	Get(ctx context.Context, key string) (lacewingramp.KeyValue, error)
	Range(ctx context.Context, prefix string) ([]lacewingramp.KeyValue, error)
	Delete(ctx context.Context, key string) error
	GrantLease(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error)
	CompareAndSwapInEpoch(ctx context.Context, key string, value []byte, base int64, lease lacewingramp.LeaseID) (lacewingramp.Position, error)
	RenewLeaseInEpoch(ctx context.Context, id lacewingramp.LeaseID) (int64, error)
}

// UsageDependencies are the dependencies of usage reports. Now is true time that continues while
// the machine is suspended.
type UsageDependencies struct {
	Store    UsageStore
	Platform lacewingramp.UsagePlatform
	Now      func() time.Time
}

const (
	// usageInterval is the time between two messages with counts, in fleets of up to
	// usageFleet instances. It grows with larger ones, as the holder receives all of them.
	usageInterval = 2 * time.Second
	usageFleet    = 300
	// usageBytesPerSecond bounds what an instance sends on average, of which it may send
	// maxBudgetAdvance ahead for settled counts. usageMessageBytes is the size of a message without
	// counts, with the headers of its packet.
	usageBytesPerSecond = 480
	maxBudgetAdvance    = 2500 * time.Millisecond
	usageMessageBytes   = 200
	usageWindowBytes    = 16
	usageOtherBytes     = 6
	// usageSettleFraction times MaxDelay is how long after its end a window waits for attempts in
	// flight.
	usageSettleFraction = 0.25
	// finalSends is how often the settled counts of a window are sent, as messages may be lost, and
	// finalInterval the time between them.
	finalSends    = 2
	finalInterval = 1500 * time.Millisecond
	// finalSpread spreads the first of them in fleets of up to usageFleet instances,
	// maxFinalSpread in the largest, and resendSpread what is sent to a new holder.
	finalSpread    = 500 * time.Millisecond
	maxFinalSpread = 2 * time.Second
	resendSpread   = time.Second
	// maxDelays bounds the number of addresses whose network delay is kept.
	maxDelays = 8192
)

// usageState is the state of usage reports of an instance. mu guards what follows it; it may be
// locked while Edge.mu is, but not the other way round.
type usageState struct {
	UsageSettings
	UsageDependencies
	self usage.Source

	mu      sync.Mutex
	counter usage.Counter
	ledger  usage.Ledger
	reports usage.Reports
	names   usage.Names
	// oneWayDelays maps addresses of targets to the shortest time that connecting took, halved.
	oneWayDelays map[string]time.Duration

	holder duty.Holder
	// duty is the latest known holder's announcement, and dutyHolder its name.
	duty       lacewingramp.UsageDuty
	dutyHolder string
	candidate  candidate
	// failingSince is since when this holder could not connect to the platform.
	failingSince time.Time
	callAt       time.Time
	// oldReports are the keys of reports to delete, with the end of their windows.
	oldReports map[string]time.Time

	sequence  uint64
	nextSend  time.Time
	lastSend  time.Time
	finalSent map[int64]int
	// finalPart is the part of the spread after which this instance sends settled counts, and
	// budgetUsedUntil until when the bytes that it has sent use up usageBytesPerSecond.
	finalPart       float64
	budgetUsedUntil time.Time
}

// newUsage returns the state of usage reports, nil if these are off.
func newUsage(s Settings, d Dependencies, startMillis int64) *usageState {
	if s.Usage == nil || d.Usage == nil {
		return nil
	}
	u := &usageState{
		UsageSettings: *s.Usage, UsageDependencies: *d.Usage, self: usage.Source{Name: s.Name, StartMillis: startMillis},
		oneWayDelays: make(map[string]time.Duration), finalSent: make(map[int64]int), finalPart: rand.Float64(), oldReports: make(map[string]time.Time),
	}
	u.counter = usage.Counter{Window: u.Window, Retention: u.MaxDelay, SettleTimeout: time.Duration(usageSettleFraction * float64(u.MaxDelay))}
	u.ledger = usage.Ledger{Window: u.Window, Retention: u.MaxDelay}
	u.reports = usage.Reports{Window: u.Window, Late: u.MaxDelay}
	u.holder = duty.Holder{Lease: u.Lease, Margin: u.Lease / leaseMarginPart, StartedAt: u.Now()}
	return u
}

// startUsage records that a request is sent to a target, and returns an ID for endUsage.
func (e *Edge) startUsage(j *job, c placement.Choice, sentAt time.Time) uint64 {
	u := e.usage
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.Start(usage.Attempt{
		Customer: j.customerName(), Route: j.route.Name, SentAt: u.Now().Add(sentAt.Sub(e.Timer.Now())), OneWay: u.oneWayDelays[c.Target.Address],
		Load: c.Load - 1/float64(max(1, c.Target.Slots)), Slots: c.Target.Slots,
	})
}

// endUsage records the end of an attempt.
func (e *Edge) endUsage(id uint64, c placement.Choice, r exchange.Result) {
	u := e.usage
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Connecting > 0 {
		u.recordDelay(c.Target.Address, r.Connecting/2)
	}
	u.counter.End(u.Now(), id, usage.Result{
		Outcome: r.Verdict, Load: r.ResponseHeaders.TargetLoad, OneWay: u.oneWayDelays[c.Target.Address], Connecting: r.Connecting,
	})
}

func (u *usageState) recordDelay(address string, delay time.Duration) {
	if known, ok := u.oneWayDelays[address]; ok && known <= delay {
		return
	}
	if len(u.oneWayDelays) >= maxDelays {
		clear(u.oneWayDelays)
	}
	u.oneWayDelays[address] = delay
}

// setUsageNames takes over the customers of a table.
func (e *Edge) setUsageNames(t *lacewingramp.Table) {
	if e.usage == nil {
		return
	}
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	e.usage.names = usage.NewNames(t.Customers)
	e.usage.ledger.SetNames(e.usage.names)
}

// usageDuty returns the announcement of the duty for a heartbeat, nil if this instance does not
// hold it.
func (e *Edge) usageDuty() *lacewingramp.UsageDuty {
	if e.usage == nil {
		return nil
	}
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	token, ok := e.usage.holder.Token(e.usage.Now())
	if !ok || token != e.usage.duty.Token {
		return nil
	}
	announced := e.usage.duty
	return &announced
}

// handleUsage handles the counts and the announcement in a datagram with a heartbeat.
func (e *Edge) handleUsage(d *lacewingramp.Datagram) {
	u := e.usage
	if u == nil || d.Heartbeat == nil || d.Heartbeat.Endpoint.Name == e.Name {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	if d.UsageCounts != nil {
		u.ledger.Record(now, usage.Source{Name: d.Heartbeat.Endpoint.Name, StartMillis: d.Heartbeat.Endpoint.StartMillis}, d.UsageCounts)
	}
	if announced := d.Heartbeat.UsageDuty; announced != nil {
		u.setDuty(now, *announced, d.Heartbeat.Endpoint.Name)
	}
}

// setDuty records an announcement of the duty. The highest token wins. A new holder, or a new
// stand-by, is sent all windows again.
func (u *usageState) setDuty(now time.Time, announced lacewingramp.UsageDuty, holder string) {
	if announced.Token < u.duty.Token || announced == u.duty {
		return
	}
	if announced.Token > u.duty.Token && holder != u.self.Name {
		u.nextSend, u.budgetUsedUntil = now.Add(rand.N(resendSpread)), now
	}
	u.duty, u.dutyHolder = announced, holder
	clear(u.finalSent)
}

// usageChanged takes over a change of a key of the duty, and reports whether it is one. The
// caller must hold e.mu.
func (e *Edge) usageChanged(c lacewingramp.Change) bool {
	u := e.usage
	if u == nil || !strings.HasPrefix(c.Key, lacewingramp.KeyUsageDuty) {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	e.observeEpochLocked(now, c.Epoch)
	if c.Deleted {
		return true
	}
	if c.Key == lacewingramp.KeyUsageDuty {
		if r, err := decodeDuty(c.Value); err == nil {
			u.setDuty(now, lacewingramp.UsageDuty{Token: duty.Token(c.Position()), StandBy: r.StandBy}, r.Instance)
		}
		return true
	}
	if c.Key == lacewingramp.KeyUsageEpoch {
		if r, err := decodeEpoch(c.Value); err == nil {
			u.holder.LearnEpochFrom(r.Epoch, time.UnixMilli(r.FromMillis))
		}
		return true
	}
	id, r, err := decodeReport(&c.KeyValue)
	if err == nil && duty.Epoch(r.Token) == c.Epoch {
		u.reports.Learn(id, r.Body)
	}
	return true
}

// windowOfKey returns the window of the key of a report.
func windowOfKey(key string) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(key, lacewingramp.KeyUsageReports), 10, 64)
}

// tickUsage sends the counts of this instance that are due to the holder and its stand-by.
func (e *Edge) tickUsage(final bool) {
	u := e.usage
	if u == nil {
		return
	}
	e.mu.Lock()
	holder, standBy := u.destinations()
	var addresses []string
	for _, name := range []string{holder, standBy} {
		if address := e.peers.Address(name); address != "" && name != e.Name {
			addresses = append(addresses, address)
		}
	}
	fleet := e.peers.FleetSize(e.Timer.Now())
	h := e.shortHeartbeat(e.Timer.Now())
	e.mu.Unlock()
	counts := u.due(len(addresses), fleet, final)
	e.Meter.UsageLeaseAge(u.leaseAge())
	if counts == nil {
		return
	}
	if err := e.socket.Send(&lacewingramp.Datagram{Heartbeat: h, UsageCounts: counts}, addresses); err != nil {
		e.Log.Error().Err(err).Msg("could not send usage counts")
	}
}

// shortHeartbeat returns a heartbeat without what only regular heartbeats need. The caller must
// hold e.mu.
func (e *Edge) shortHeartbeat(now time.Time) *lacewingramp.Heartbeat {
	self := e.self
	self.Leaving = e.stopping.Load()
	return &lacewingramp.Heartbeat{
		Endpoint: self, Ready: e.Ready(), Revision: e.mirror.Position().Revision, Epoch: e.mirror.Position().Epoch,
		ReachesStore: !e.store.lost, WatchesStore: e.watches(now), CutOff: e.reach.CutOff(), RequestRate: float32(e.requestRate),
	}
}

func (u *usageState) destinations() (holder, standBy string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dutyHolder == u.duty.StandBy {
		return u.dutyHolder, ""
	}
	return u.dutyHolder, u.duty.StandBy
}

// leaseAge returns how long ago the lease of the duty was renewed, 0 if this instance is not the
// holder.
func (u *usageState) leaseAge() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	if _, ok := u.holder.Token(now); !ok {
		return 0
	}
	return now.Sub(u.holder.RenewedAt())
}

// due returns the counts to send now, nil if there is nothing to send. The last counts of an
// instance that stops are always due.
func (u *usageState) due(destinations, fleet int, final bool) *lacewingramp.UsageCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	u.sweep(now)
	if destinations == 0 {
		return nil
	}
	due := !now.Before(u.nextSend) && !now.Before(u.budgetUsedUntil)
	if !final && !due && !u.finalDue(now, fleet) {
		return nil
	}
	counts := &lacewingramp.UsageCounts{Fingerprint: u.names.Fingerprint}
	size := usageMessageBytes
	current := usage.WindowOf(now, u.Window)
	for _, w := range u.counter.Windows(now, now.Add(-u.MaxDelay)) {
		if w.ID != current && u.finalSent[w.ID] >= finalSends && !final {
			continue
		}
		if w.Settled {
			u.finalSent[w.ID]++
		}
		w.Settled = w.Settled || final
		encoded := u.names.Encode(w)
		counts.Windows = append(counts.Windows, encoded)
		size += windowSize(&encoded)
	}
	if excess := len(counts.Windows) - lacewingramp.MaxUsageWindows; excess > 0 {
		counts.Windows = counts.Windows[excess:]
	}
	u.sequence++
	counts.Sequence = u.sequence
	interval := usageInterval * time.Duration(max(usageFleet, fleet)) / usageFleet
	u.lastSend = now
	u.nextSend = now.Add(interval)
	if u.budgetUsedUntil.Before(now) {
		u.budgetUsedUntil = now
	}
	u.budgetUsedUntil = u.budgetUsedUntil.Add(time.Duration(float64(size*destinations) / usageBytesPerSecond * float64(time.Second)))
	return counts
}

// windowSize returns about how many bytes a window takes in a message.
func windowSize(w *lacewingramp.UsageWindow) int {
	size := usageWindowBytes + len(w.Counts)
	for name := range w.Others {
		size += len(name) + usageOtherBytes
	}
	return size
}

// finalDue reports whether a window has settled whose counts were not sent often enough since. Each
// instance sends them at another time after the end of the window.
func (u *usageState) finalDue(now time.Time, fleet int) bool {
	id := usage.WindowOf(now, u.Window) - 1
	spread := min(maxFinalSpread, finalSpread*time.Duration(max(usageFleet, fleet))/usageFleet)
	sent := u.finalSent[id]
	switch {
	case sent >= finalSends || now.Before(usage.EndOf(id, u.Window).Add(time.Duration(u.finalPart*float64(spread)))):
		return false
	case sent > 0 && now.Sub(u.lastSend) < finalInterval || now.Add(maxBudgetAdvance).Before(u.budgetUsedUntil):
		return false
	}
	return u.counter.At(now, id).Settled
}

func (u *usageState) sweep(now time.Time) {
	u.counter.Sweep(now)
	u.ledger.Sweep(now)
	u.reports.Sweep(now)
	for id := range u.finalSent {
		if now.Sub(usage.EndOf(id, u.Window)) > 2*u.MaxDelay {
			delete(u.finalSent, id)
		}
	}
}
