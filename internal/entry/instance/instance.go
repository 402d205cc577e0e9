// Package instance implements an entry instance. It connects the data and the
// decisions in State to the network, the store and the timer.
//
// An instance starts without any state. It puts the newest Table in force, from the
// store or from a peer, requests its shards from its siblings, which are the other
// instances of its failure domain, and serves requests. Leave hands the shards over
// and keeps serving the callers that still have old lookup responses. Close then ends
// the instance, after the listeners have been shut down, without aborting a request.
//
// # Usage
//
//	i := instance.New(instance.Settings{Name: "uy1-a", Domain: "uy1"}, deps)
//	i.Start()
//	...
//	i.Leave(ctx)
//	// Shut the listeners down.
//	i.Close()
package instance

import (
	"context"
	"crypto/rand"
	_ "embed" // for the state chart in life.json
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/change/chart"
	"lacewingramp.example/lacewingramp/internal/entry/dispatch"
	"lacewingramp.example/lacewingramp/internal/entry/front"
	"lacewingramp.example/lacewingramp/internal/entry/state"
	"lacewingramp.example/lacewingramp/internal/report/tally"
)

//go:embed life.json
var lifecycleFile []byte

var lifecycle = chart.MustParse(lifecycleFile)

// Periods of the background work, and timeouts of the calls to the store and to peers.
const (
	tickPeriod         = 100 * time.Millisecond
	digestPeriod       = 500 * time.Millisecond
	shardPeriod        = 500 * time.Millisecond
	tablePollPeriod    = 2 * time.Second
	registrationPeriod = 5 * time.Second
	callTimeout        = time.Second
	loanTimeout        = 500 * time.Millisecond
)

// nameSuffixLength is the length of the random suffix that distinguishes the runs of an
// instance with the same configured name.
const nameSuffixLength = 8

// processMemory is the memory that an instance counts on, in bytes.
const processMemory = 1 << 30

// Settings are the identity of an instance and the addresses it is reached at.
type Settings struct {
	Name   string
	Domain string
	Peer   string
	Caller string
	// SeedAddresses are peer addresses to contact at the start, so that the instance finds
	// its peers while the store is unavailable.
	SeedAddresses []string
}

// Dependencies are the services that an instance uses, and its logger.
type Dependencies struct {
	Store lacewingramp.Store
	Peer  lacewingramp.Peer
	Timer lacewingramp.Timer
	Log   zerolog.Logger
}

// Instance is an entry instance.
type Instance struct {
	Dependencies

	State      *state.State
	Dispatcher *dispatch.Dispatcher
	Front      *front.Handler
	Tally      *tally.Tally

	ctx                 context.Context
	cancel              context.CancelFunc
	mu                  sync.Mutex
	lifecycle           chart.State
	stopTimers          []func()
	runningTasks        map[string]bool
	lease               lacewingramp.LeaseID
	leaseRenewedAt      time.Time
	registrationsReadAt time.Time
	adoption            tableAdoption
	// The outcomes of rollouts in the store are known up to outcomesReadAt, and were last
	// waited for at outcomesRequestedAt.
	outcomesReadAt      time.Time
	outcomesRequestedAt time.Time
	storeRevision       int64
	audit               []AuditEntry
	targetClient        *attempt.Caller
	faults              Faults
}

// Faults counts events that operators may have to look into.
type Faults struct {
	// OlderTables counts the Tables read from the store that were older than the one in force.
	OlderTables atomic.Int64
	// InvalidTables counts the Tables that could not be decoded or failed their check.
	InvalidTables atomic.Int64
	// Pauses counts the attempts to end a suspension after the process was paused.
	Pauses atomic.Int64
	// ForfeitedShards counts the shards that another instance has taken over.
	ForfeitedShards atomic.Int64
	// Store counts the failed calls to the store.
	Store atomic.Int64
}

// New returns an instance that has not been started.
func New(s Settings, deps Dependencies) *Instance {
	self := lacewingramp.Endpoint{
		Name:   s.Name + "." + rand.Text()[:nameSuffixLength],
		Domain: s.Domain, Peer: s.Peer, Caller: s.Caller,
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.Name))
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		Dependencies: deps, State: state.New(self, s.SeedAddresses, h.Sum64()), Tally: &tally.Tally{},
		ctx: ctx, cancel: cancel, lifecycle: lifecycle.Initial, runningTasks: make(map[string]bool),
		targetClient: &attempt.Caller{Budget: message.NewBudget(processMemory)},
	}
	i.State.TableConfirmedAt = deps.Timer.Now()
	i.Dispatcher = &dispatch.Dispatcher{
		State: i.State, Timer: deps.Timer, Peer: deps.Peer, TargetClient: i.targetClient,
		QuotaBorrower: i, VersionChooser: i.State.Rollouts, Crashes: i,
	}
	i.Front = &front.Handler{State: i.State, Timer: deps.Timer, Dispatcher: i.Dispatcher, RequestCounter: i.Tally}
	return i
}

// Start starts the instance's background work.
func (i *Instance) Start() {
	i.schedule(tickPeriod, i.tick)
	i.schedule(digestPeriod, i.exchangeDigests)
	i.schedule(shardPeriod, i.startRebalance)
	i.schedule(tablePollPeriod, i.pollTable)
	i.schedule(registrationPeriod, i.syncRegistrations)
	i.startTask("initialize", i.initialize)
	go i.watchTable()
}

// initialize does the first round of the background work: it reads the store,
// registers the instance and contacts its peers.
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

// startTask runs f in a new goroutine, unless a task with the same name is still
// running.
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

// transition applies an event to the instance's lifecycle. It returns false if the
// current state does not accept the event.
func (i *Instance) transition(e chart.Event) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	next, ok := lifecycle.Next(i.lifecycle, e)
	if !ok {
		return false
	}
	i.Log.Info().Str("from", string(i.lifecycle)).Str("to", string(next)).Msg("lifecycle state changed")
	i.lifecycle = next
	return true
}

// LifecycleState returns the current state of the instance's lifecycle.
func (i *Instance) LifecycleState() chart.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lifecycle
}

// Faults returns the counters of events that operators may have to look into.
func (i *Instance) Faults() *Faults {
	return &i.faults
}

// tick updates the parts of State that change with time, and starts the calls to peers
// and to the store that are due.
func (i *Instance) tick(now time.Time) {
	outcomesReadAt := i.outcomesReadTime()
	i.State.Lock()
	suspended := i.State.Quota.Suspended(now)
	i.State.Quota.Tick(now)
	i.State.Quota.SetPeers(i.livePeers(now))
	i.State.Roster.Tick(now)
	i.Dispatcher.DeliverGrants(i.State.Pool.Tick(now))
	needs := i.State.Quota.Needs(now)
	returns := i.State.Quota.ReturnRequests(now)
	extensions := i.State.Quota.ExtendRequests(now)
	outcomes := i.State.Rollouts.Tick(now, outcomesReadAt)
	awaitsRecord := i.State.Rollouts.AwaitsRecord(now)
	i.State.Unlock()
	if suspended {
		i.startTask("confirm shards", i.confirmShards)
	}
	for _, n := range needs {
		i.BorrowQuota(n.Subject)
	}
	if len(outcomes) > 0 {
		i.handleOutcomes(outcomes)
	}
	if awaitsRecord {
		i.awaitRecords(now)
	}
	for _, r := range extensions {
		i.extendLoan(r)
	}
	for _, loan := range returns {
		i.returnLoan(loan)
	}
}

func (i *Instance) callContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(i.ctx, d)
}
