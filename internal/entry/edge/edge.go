// Package edge is one instance on a platform that lists targets and holds the
// operators' table in its store: it answers look-ups, and carries requests
// from callers straight to targets.
//
// What lasts is in the store. An instance mirrors the store's keys, follows
// another instance where the store does not answer, and works on with what it
// knows where neither does. What is counted over all instances goes with the
// heartbeats. Nothing in the path of a request waits for the store or for
// another instance.
//
// # Usage
//
//	e := edge.New(settings, parts)
//	err := e.Run(ctx) // until ctx ends, then stops without cutting a request
package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/caller"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
	"lacewingramp.example/lacewingramp/internal/config/routing"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
	"lacewingramp.example/lacewingramp/internal/limit/retry"
	"lacewingramp.example/lacewingramp/internal/limit/share"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/report/lines"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// Settings is what an instance knows at its start.
type Settings struct {
	Name    string
	Domain  string
	Region  string
	Regions map[string]string
	// Callers is the address that callers connect to, Peer that of other
	// instances.
	Callers string
	Peer    string
	// Bootstrap says that the whole deployment starts for the first time, so
	// that no target can be cold from traffic that this instance has missed.
	Bootstrap bool
	// Stop is the time that a stop may take.
	Stop        time.Duration
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	ExposeShare float64
	// LookupLife is how long callers may keep a look-up.
	LookupLife time.Duration
	// Processor is the part of a processor that the instance has, and Bandwidth
	// what its link carries, in bits a second. 0 is not known.
	Processor float64
	Bandwidth float64
}

// Store is what an instance needs of the platform's store.
type Store interface {
	lacewingramp.Feed
	Put(ctx context.Context, key string, value []byte, lease lacewingramp.LeaseID) (int64, error)
	Swap(ctx context.Context, key string, value []byte, base int64, lease lacewingramp.LeaseID) (int64, error)
	Grant(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error)
	Renew(ctx context.Context, id lacewingramp.LeaseID) error
	End(ctx context.Context, id lacewingramp.LeaseID) error
}

// Parts is what an instance works with.
type Parts struct {
	Store  Store
	Reader lacewingramp.Reader
	Writer lacewingramp.Writer
	Wire   lacewingramp.Wire
	Timer  lacewingramp.Timer
	Log    zerolog.Logger
	Meter  Meter
}

// Meter counts what is measured.
type Meter interface {
	// Request counts a request that has been answered.
	Request(status int, cause lacewingramp.Cause, took time.Duration)
	// Attempt counts a request that was sent to a target.
	Attempt(verdict lacewingramp.Verdict, took time.Duration)
	// Dialled counts a new connection to a target.
	Dialled()
	// Drawn counts a request for a token of a customer's pool.
	Drawn(ok bool)
}

// Edge is one instance.
type Edge struct {
	Settings
	Parts

	routes atomic.Pointer[routing.Map]
	// tabled is closed when the first table is in force.
	tabled chan struct{}
	begun  time.Time
	ready  atomic.Bool
	ending atomic.Bool

	lines lines.Limiter
	// asked counts the requests of callers since the last heartbeat.
	asked  atomic.Int64
	client exchange.Client
	server caller.Server
	socket *heartbeat.Socket

	mu     sync.Mutex
	self   lacewingramp.Endpoint
	mirror mirror.Mirror
	place  placement.Placer
	quota  share.Book
	pool   pool.Keeper
	// draws are the requests that wait for tokens of pools, drawn counts them,
	// and dry tells until when a customer's pool is not asked.
	draws map[uint64]chan *lacewingramp.Drawn
	drawn uint64
	dry   map[string]time.Time
	// listed says that the store lists this instance.
	listed   bool
	budget   retry.Budget
	ward     poison.Ward
	rollouts *rollout.Manager
	orders   map[string]*order
	splits   map[string]*split
	roll     heartbeat.Roll
	lapsed   map[string]time.Time
	probes   map[string]*probe
	// rate is how many requests a second came lately.
	rate    float64
	choices choices
	store   storeState
}

// New returns an instance.
func New(s Settings, p Parts) *Edge {
	now := p.Timer.Now()
	e := &Edge{Settings: s, Parts: p, tabled: make(chan struct{}), begun: now}
	e.self = lacewingramp.Endpoint{
		Name: s.Name, Domain: s.Domain, Peer: s.Peer, Caller: s.Callers, Born: now.UnixMilli(),
		Room: room(s.Processor, s.Bandwidth),
	}
	e.client.Wire = p.Wire
	e.server = caller.Server{Handle: e.handle, Bounds: e.bounds, Malformed: e.malformed}
	e.place = placement.Placer{Self: s.Name, Regions: s.Regions, Home: s.Region}
	if !s.Bootstrap {
		e.place.Begun = now
	}
	e.budget = retry.Budget{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}
	e.pool = pool.Keeper{Self: s.Name}
	e.draws = make(map[uint64]chan *lacewingramp.Drawn)
	e.dry = make(map[string]time.Time)
	e.ward = poison.Ward{Instance: s.Name}
	e.rollouts = rollout.NewManager(s.Name + lifeMark + now.Format(time.RFC3339Nano))
	e.rollouts.SlowFactor = slowFactor
	e.orders = make(map[string]*order)
	e.splits = make(map[string]*split)
	e.lapsed = make(map[string]time.Time)
	e.probes = make(map[string]*probe)
	e.roll = heartbeat.Roll{Self: s.Name, Region: s.Region, Regions: s.Regions}
	e.store.reopen = func() {}
	return e
}

// lifeMark stands between an instance's name and the start of its life.
const lifeMark = "/"

// Run serves until ctx ends and then stops.
func (e *Edge) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", e.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp4", e.Peer)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	e.socket, err = heartbeat.Listen(e.Peer)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { e.follow(work) })
	wait.Go(func() { e.register(work) })
	wait.Go(func() { e.socket.Receive(e.receive, e.garbled) })
	wait.Go(func() { e.warn(follower.Serve(peers, source{e}), "serving instances") })
	wait.Go(func() { e.warn(e.server.Serve(callers), "serving callers") })
	stopBeat := e.Timer.Every(heartbeat.Period, func(now time.Time) { e.beat(work, now) })
	<-ctx.Done()
	e.stop(callers)
	stopBeat()
	cancel()
	_ = peers.Close()
	_ = e.socket.Close()
	wait.Wait()
	return nil
}

// warn logs an error of a part that should not have ended.
func (e *Edge) warn(err error, what string) {
	if err != nil {
		e.Log.Error().Err(err).Str("part", what).Msg("a part of the instance ended")
	}
}

func (e *Edge) garbled(err error) {
	e.Log.Warn().Err(err).Msg("passed over a datagram that can not be read")
}

// Ready reports whether the instance takes requests.
func (e *Edge) Ready() bool {
	return e.ready.Load() && !e.ending.Load()
}

// defaultBounds hold until a table is in force.
var defaultBounds = lacewingramp.Bounds{
	Header: 16 << 10, Body: 1 << 20,
	Receive: lacewingramp.Duration(3 * time.Second), Idle: lacewingramp.Duration(15 * time.Second),
}

func (e *Edge) bounds() lacewingramp.Bounds {
	m := e.routes.Load()
	if m == nil || m.Table.Bounds == nil || m.Table.Bounds.Check() != nil {
		return defaultBounds
	}
	return *m.Table.Bounds
}

func (e *Edge) malformed(remote string, err error) {
	e.Log.Info().Str("from", remote).Err(err).Msg("refused a malformed request")
}
