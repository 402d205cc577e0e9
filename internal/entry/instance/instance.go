// Package instance is one entry instance: it joins the decisions in State to
// the network, the store and the time service.
//
// An instance starts without anything, takes the newest Table from the store
// or from a peer into force, asks its siblings for its shards and serves. On
// Stop it hands everything over, goes on serving callers with old answers,
// and then ends without cutting a request.
//
// # Usage
//
//	i := instance.New(instance.Settings{Name: "uy1-a", Domain: "uy1"}, parts)
//	i.Start()
//	defer i.Stop(ctx)
package instance

import (
	"context"
	"crypto/rand"
	_ "embed" // the state chart is part of the program
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/change/chart"
	"lacewingramp.example/lacewingramp/internal/entry/carrier"
	"lacewingramp.example/lacewingramp/internal/entry/front"
	"lacewingramp.example/lacewingramp/internal/entry/state"
	"lacewingramp.example/lacewingramp/internal/report/tally"
)

//go:embed life.json
var lifecycleFile []byte

var lifecycle = chart.MustParse(lifecycleFile)

// Periods of the instance's work.
const (
	tickPeriod  = 100 * time.Millisecond
	digestPeriod  = 500 * time.Millisecond
	shardPeriod  = 500 * time.Millisecond
	tablePollPeriod  = 2 * time.Second
	registrationPeriod  = 5 * time.Second
	callTimeout = time.Second
	loanTimeout = 500 * time.Millisecond
)

// nameSuffixLength is how much of a random text tells two lives of a name apart.
const nameSuffixLength = 8

// Settings say who the instance is and how it is reached.
type Settings struct {
	Name   string
	Domain string
	Peer   string
	Caller string
	// Seeds are peer addresses to start from when the store is down.
	Seeds []string
}

// Parts are what an instance is connected to.
type Parts struct {
	Store lacewingramp.Store
	Peer  lacewingramp.Peer
	Timer lacewingramp.Timer
	Log   zerolog.Logger
}

// Instance is one entry instance.
type Instance struct {
	Parts

	State   *state.State
	Carrier *carrier.Carrier
	Front   *front.Handler
	Tally   *tally.Tally

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	lifecycle    chart.State
	stopTimers   []func()
	runningTasks    map[string]bool
	lease   lacewingramp.LeaseID
	leaseRenewedAt time.Time
	registrationsReadAt  time.Time
	adoption  tableAdoption
	unsavedOutcomes []lacewingramp.Outcome
	storeRevision    int64
	audit   []Taken
	targetCaller   *attempt.Caller
	faults  Faults
}

// Faults counts what operators should know of.
type Faults struct {
	// Older counts tables of the store that were older than the one in force.
	Older atomic.Int64
	// Bad counts tables of the store that did not pass their check.
	Bad atomic.Int64
	// Pauses counts suspensions after the process stood still.
	Pauses atomic.Int64
	// Forfeits counts shards that another instance had taken.
	Forfeits atomic.Int64
	// Store counts calls to the store that failed.
	Store atomic.Int64
}

// New returns an instance that has not started.
func New(s Settings, p Parts) *Instance {
	self := lacewingramp.Endpoint{
		Name:   s.Name + "." + rand.Text()[:nameSuffixLength],
		Domain: s.Domain, Peer: s.Peer, Caller: s.Caller,
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.Name))
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		Parts: p, State: state.New(self, s.Seeds, h.Sum64()), Tally: &tally.Tally{},
		ctx: ctx, cancel: cancel, lifecycle: lifecycle.Initial, runningTasks: make(map[string]bool), targetCaller: &attempt.Caller{},
	}
	i.State.Confirmed = p.Timer.Now()
	i.Carrier = &carrier.Carrier{
		State: i.State, Timer: p.Timer, Peer: p.Peer, Calls: i.targetCaller,
		Borrower: i, Chooser: i.State.Rollouts, Deaths: i,
	}
	i.Front = &front.Handler{State: i.State, Timer: p.Timer, Carrier: i.Carrier, Counter: i.Tally}
	return i
}

// Start begins the instance's work.
func (i *Instance) Start() {
	i.schedule(tickPeriod, i.tick)
	i.schedule(digestPeriod, i.exchangeDigests)
	i.schedule(shardPeriod, i.startRebalance)
	i.schedule(tablePollPeriod, i.pollTable)
	i.schedule(registrationPeriod, i.syncRegistrations)
	i.startTask("start", i.initialize)
	go i.watchTable()
}

// initialize reads what there is at the start.
func (i *Instance) initialize() {
	i.fetchTable()
	i.readRegistrations()
	i.readOutcomes()
	i.register()
	i.exchangeDigests(i.Timer.Now())
	i.startRebalance(i.Timer.Now())
}

func (i *Instance) schedule(period time.Duration, f func(time.Time)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopTimers = append(i.stopTimers, i.Timer.Every(period, f))
}

// startTask runs f on a goroutine of its own, unless one with the same name is
// still at it.
func (i *Instance) startTask(name string, f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.runningTasks[name] || i.ctx.Err() != nil {
		return
	}
	i.runningTasks[name] = true
	go func() {
		defer func() {
			i.mu.Lock()
			delete(i.runningTasks, name)
			i.mu.Unlock()
		}()
		f()
	}()
}

// transition moves the instance's life on, where the chart says so.
func (i *Instance) transition(e chart.Event) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	next, ok := lifecycle.Next(i.lifecycle, e)
	if !ok {
		return false
	}
	i.Log.Info().Str("from", string(i.lifecycle)).Str("to", string(next)).Msg("life")
	i.lifecycle = next
	return true
}

// Life returns the state of the instance's life.
func (i *Instance) Life() chart.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lifecycle
}

// Faults returns the counters of what operators should know of.
func (i *Instance) Faults() *Faults {
	return &i.faults
}

// tick runs what depends on time alone.
func (i *Instance) tick(now time.Time) {
	i.State.Lock()
	suspended := i.State.Quota.Suspended(now)
	i.State.Quota.Tick(now)
	i.State.Quota.Peers(i.livePeers(now))
	i.State.Roster.Tick(now)
	i.Carrier.Wake(i.State.Pool.Tick(now))
	needs := i.State.Quota.Needs(now)
	returns := i.State.Quota.Returns(now)
	renewals := i.State.Quota.Renewals(now)
	outcomes := i.State.Rollouts.Tick(now)
	i.State.Unlock()
	if suspended {
		i.startTask("confirm", i.confirmShards)
	}
	for _, n := range needs {
		i.BorrowQuota(n.Subject)
	}
	if len(outcomes) > 0 {
		i.handleOutcomes(outcomes)
	}
	for _, r := range renewals {
		i.extendLoan(r)
	}
	for _, loan := range returns {
		i.returnLoan(loan)
	}
}

func (i *Instance) callContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(i.ctx, d)
}
