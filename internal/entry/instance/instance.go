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
var lifeFile []byte

var life = chart.MustParse(lifeFile)

// Periods of the instance's work.
const (
	tickPeriod  = 100 * time.Millisecond
	beatPeriod  = 500 * time.Millisecond
	planPeriod  = 500 * time.Millisecond
	pollPeriod  = 2 * time.Second
	listPeriod  = 5 * time.Second
	callTimeout = time.Second
	lendTimeout = 500 * time.Millisecond
)

// nonceLength is how much of a random text tells two lives of a name apart.
const nonceLength = 8

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
	life    chart.State
	stops   []func()
	busy    map[string]bool
	lease   lacewingramp.LeaseID
	renewed time.Time
	listed  time.Time
	agreed  agreement
	unsaved []lacewingramp.Outcome
	read    int64
	audit   []Taken
	calls   *attempt.Caller
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
		Name:   s.Name + "." + rand.Text()[:nonceLength],
		Domain: s.Domain, Peer: s.Peer, Caller: s.Caller,
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.Name))
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		Parts: p, State: state.New(self, s.Seeds, h.Sum64()), Tally: &tally.Tally{},
		ctx: ctx, cancel: cancel, life: life.Initial, busy: make(map[string]bool), calls: &attempt.Caller{},
	}
	i.State.Confirmed = p.Timer.Now()
	i.Carrier = &carrier.Carrier{
		State: i.State, Timer: p.Timer, Peer: p.Peer, Calls: i.calls,
		Borrower: i, Chooser: i.State.Rollouts, Deaths: i,
	}
	i.Front = &front.Handler{State: i.State, Timer: p.Timer, Carrier: i.Carrier, Counter: i.Tally}
	return i
}

// Start begins the instance's work.
func (i *Instance) Start() {
	i.every(tickPeriod, i.tick)
	i.every(beatPeriod, i.beat)
	i.every(planPeriod, i.plan)
	i.every(pollPeriod, i.poll)
	i.every(listPeriod, i.list)
	i.once("start", i.begin)
	go i.watch()
}

// begin reads what there is at the start.
func (i *Instance) begin() {
	i.fetch()
	i.readList()
	i.readOutcomes()
	i.register()
	i.beat(i.Timer.Now())
	i.plan(i.Timer.Now())
}

func (i *Instance) every(period time.Duration, f func(time.Time)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stops = append(i.stops, i.Timer.Every(period, f))
}

// once runs f on a goroutine of its own, unless one with the same name is
// still at it.
func (i *Instance) once(name string, f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[name] || i.ctx.Err() != nil {
		return
	}
	i.busy[name] = true
	go func() {
		defer func() {
			i.mu.Lock()
			delete(i.busy, name)
			i.mu.Unlock()
		}()
		f()
	}()
}

// event moves the instance's life on, where the chart says so.
func (i *Instance) event(e chart.Event) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	next, ok := life.Next(i.life, e)
	if !ok {
		return false
	}
	i.Log.Info().Str("from", string(i.life)).Str("to", string(next)).Msg("life")
	i.life = next
	return true
}

// Life returns the state of the instance's life.
func (i *Instance) Life() chart.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.life
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
	i.State.Quota.Peers(i.peers(now))
	i.State.Roster.Tick(now)
	i.Carrier.Wake(i.State.Pool.Tick(now))
	needs := i.State.Quota.Needs(now)
	back := i.State.Quota.Returns(now)
	renewals := i.State.Quota.Renewals(now)
	outcomes := i.State.Rollouts.Tick(now)
	i.State.Unlock()
	if suspended {
		i.once("confirm", i.confirm)
	}
	for _, n := range needs {
		i.BorrowQuota(n.Subject)
	}
	if len(outcomes) > 0 {
		i.decided(outcomes)
	}
	for _, r := range renewals {
		i.extend(r)
	}
	for _, g := range back {
		i.giveBack(g)
	}
}

func (i *Instance) callContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(i.ctx, d)
}
