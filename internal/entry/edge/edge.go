// Package edge implements an instance on a platform whose store holds the targets'
// registrations and the operators' configuration table. The instance answers lookups and
// forwards requests from callers directly to targets.
//
// All durable state is in the store. An instance mirrors the store's keys. Two
// instances watch the store, and the others follow them in trees. An instance keeps
// running on its last known state if it can do neither. Heartbeats between instances
// carry the state for fleet-wide rates, for the guard against requests that crash their
// targets, and for rollouts.
//
// Requests never wait for the store, except in the first second of an instance that
// has no table yet. They wait for a peer, which is another instance, to get a token from
// a customer's pool or of a target whose rate is limited, for TokenTimeout at most each
// time. An instance that reaches no target relays its requests to a peer that does.
//
// # Usage
//
//	e := edge.New(settings, dependencies)
//	err := e.Run(ctx) // serves until ctx ends, then drains
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
	"lacewingramp.example/lacewingramp/internal/call/listener"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
	"lacewingramp.example/lacewingramp/internal/config/routing"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
	"lacewingramp.example/lacewingramp/internal/limit/retry"
	"lacewingramp.example/lacewingramp/internal/limit/share"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/peer/rotation"
	"lacewingramp.example/lacewingramp/internal/report/loglimit"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
	"lacewingramp.example/lacewingramp/internal/steer/reach"
)

// Settings configures an instance. Regions maps failure domains to their regions.
// RetryRatio, RetryExtra and RetryWindow are those of the retry.Budget. MaxCanaryFraction
// is the maximum fraction of a service's requests that a new version may get as a
// canary.
type Settings struct {
	Name    string
	Domain  string
	Region  string
	Regions map[string]string
	// CallerAddress is the address to listen on for callers, and Peer the address to
	// listen on for peers, over TCP and UDP.
	CallerAddress string
	Peer          string
	// Relay is the address to listen on for requests that peers relay, "" for none.
	Relay string
	// Bootstrap marks the first start of the whole deployment. The instance then does
	// not probe whether targets are cold, because none can have become cold before this
	// instance started.
	Bootstrap bool
	// StopTimeout is the maximum time from the stop signal to the end of the process.
	StopTimeout       time.Duration
	RetryRatio        float64
	RetryExtra        float64
	RetryWindow       time.Duration
	MaxCanaryFraction float64
	// MaxLookupTTL is the maximum time for which callers may cache the result of a lookup.
	MaxLookupTTL time.Duration
	// CPUs is the number of CPUs available to the instance, not always a whole number,
	// and Bandwidth the capacity of its network link in bits per second. 0 means
	// unknown.
	CPUs      float64
	Bandwidth float64
	// Memory is the memory limit of the process in bytes, 0 if unknown.
	Memory int64
	// MaxHeap is the memory of the Go runtime in bytes beyond which requests are refused, 0
	// for no maximum.
	MaxHeap int64
	// MaxDescriptors is the maximum number of open file descriptors, 0 if unknown.
	MaxDescriptors int
	// Usage is set if the instances report usage, nil if not.
	Usage *UsageSettings
}

// Store is the part of the platform's store that an instance uses.
type Store interface {
	lacewingramp.ChangeFeed
	Put(ctx context.Context, key string, value []byte, lease lacewingramp.LeaseID) (int64, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, base int64, lease lacewingramp.LeaseID) (int64, error)
	GrantLease(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error)
	RenewLease(ctx context.Context, id lacewingramp.LeaseID) error
	RevokeLease(ctx context.Context, id lacewingramp.LeaseID) error
}

// Dependencies holds the dependencies of an instance.
type Dependencies struct {
	Store           Store
	EventDecoder    lacewingramp.EventDecoder
	DocumentEncoder lacewingramp.DocumentEncoder
	HeaderCodec     lacewingramp.HeaderCodec
	Timer           lacewingramp.Timer
	Log             zerolog.Logger
	Meter           Meter
	// Dialer opens the connections to targets. If it is nil, those of the system are used.
	Dialer lacewingramp.Dialer
	// Usage is set if the settings have Usage.
	Usage *UsageDependencies
}

// Meter records the metrics of an instance.
type Meter interface {
	// Request records a response to a caller, the cause if it was refused, and the
	// time since the request was received.
	Request(status int, cause lacewingramp.Cause, took time.Duration)
	// Attempt records one attempt to run a request on a target and its duration.
	Attempt(verdict lacewingramp.Verdict, took time.Duration)
	// Sent counts a request that is sent to a target in a region, and why that one was
	// chosen.
	Sent(region, reason string)
	// Running records the number of this instance's requests at the targets of a region.
	Running(region string, requests int)
	// SentTo counts an attempt that has ended at a target in a region, if it was sent on a
	// new connection, and if the target did not run it.
	SentTo(region string, opened, refused bool)
	// UnderWay records how many requests were on their way to the targets of a region at a
	// time.
	UnderWay(region string, requests float64)
	// Away records how many callers that this instance has refused were away at a time.
	Away(callers float64)
	// ConnectionOpened counts a new connection to a target.
	ConnectionOpened()
	// Relayed counts a request that was relayed to a peer.
	Relayed(outcome lacewingramp.RelayOutcome)
	// TargetToken counts a request for a token of a target's limited rate.
	TargetToken(outcome lacewingramp.TokenOutcome)
	// TokenReply counts a token request to the keeper of a customer's pool. granted
	// reports whether the reply granted the token, and is false if there was no reply in
	// time.
	TokenReply(granted bool)
	// TargetLeaving counts a target of which this instance learned that it is leaving,
	// and whether a peer told it.
	TargetLeaving(byPeer bool)
	// TargetPause counts a refusal of a target that asks for a pause.
	TargetPause()
	// StoreCheck counts a check of the store by an instance that follows a peer, and whether
	// the store answered.
	StoreCheck(answered bool)
	// AdmissionWait records that a request of a priority class ended its wait for room at a
	// target, and whether it got any.
	AdmissionWait(class int, gotRoom bool, took time.Duration)
	// AdmissionQueue records the number of requests of a priority class that wait for room.
	AdmissionQueue(class, waiting int)
	// Unconfirmed records how long ago the instance's copy of the store's keys was last
	// known to be complete.
	Unconfirmed(age time.Duration)
	// EstimateError records by how many requests the estimate of the requests at a target
	// differs from a new report of that target, on the average.
	EstimateError(requests float64)
	// UsageReport counts a usage window that was sent, sent late or given up.
	UsageReport(outcome string)
	// UsageLeaseAge records how long ago the lease of the duty of usage reports was renewed,
	// 0 at all instances but the holder.
	UsageLeaseAge(age time.Duration)
}

// Edge is an instance. expired maps targets whose registration expired during a store
// outage to the time until which they are kept. reverted maps keys whose latest state a
// restored store has lost to the time until which that state stays in force. restored
// receives a value when the store was restored from a backup. mu guards the fields below
// it.
type Edge struct {
	Settings
	Dependencies

	routes atomic.Pointer[routing.Map]
	// tableLoaded is closed when the first table takes effect.
	tableLoaded chan struct{}
	startedAt   time.Time
	ready       atomic.Bool
	stopping    atomic.Bool
	// sendUntil is until when requests are sent to targets, nil unless the instance stops.
	sendUntil atomic.Pointer[time.Time]

	loglimit loglimit.Limiter
	// arrivals counts the requests received from callers since the last heartbeat.
	arrivals atomic.Int64
	client   exchange.Client
	server   caller.Server
	// relayClient relays requests to peers, and relayServer serves those from peers.
	relayClient exchange.Client
	relayServer caller.Server

	socket   *heartbeat.Socket
	restored chan struct{}
	// usage is nil if the instances do not report usage.
	usage *usageState

	mu     sync.Mutex
	self   lacewingramp.Endpoint
	mirror mirror.Mirror
	placer placement.Placer
	// regions counts the requests sent to each region.
	regions regionCounts
	quota   share.RateLimiter
	pool    pool.Keeper
	// tokenReplies maps the IDs of token requests to the channels on which callers'
	// requests wait for the reply, and poolBackoff maps customers to the time until
	// which no token is requested from their pool.
	tokenReplies       map[uint64]chan *lacewingramp.TokenReply
	lastTokenRequestID uint64
	poolBackoff        map[string]time.Time
	// registered reports whether the store holds this instance's registration.
	registered  bool
	retryBudget retry.Budget
	poisonGuard poison.Guard
	rollouts    *rollout.Manager
	// statsRotation selects the stats of ended instances for the next heartbeat.
	statsRotation rotation.Rotation
	orders        map[string]*order
	roundRobins   map[string]*weightedRoundRobin
	peers         heartbeat.Peers
	expired       map[string]time.Time
	reverted      map[string]time.Time
	probes        map[string]*probe
	// resetAt maps services to the latest time when a target closed a new connection.
	resetAt map[string]time.Time
	reach   reach.Monitor
	// reachCheck is closed when the check of the targets that is in progress ends. It is
	// nil if there is none.
	reachCheck chan struct{}
	// requestRate is the moving average of the requests received per second.
	requestRate float64
	// callersRecordedAt is when the rates of callers were last passed to the placer.
	callersRecordedAt time.Time
	lookupCache       lookupCache
	// requestBudget bounds the memory of requests at all ports, nil for no bound.
	requestBudget *message.RequestBudget
	admission     admissionState
	store         storeState
	// tickedAt is when the last tick ran, and resumedAt when the first one ran after a pause
	// of the process.
	tickedAt  time.Time
	resumedAt time.Time
}

// New returns an instance.
func New(s Settings, d Dependencies) *Edge {
	now := d.Timer.Now()
	e := &Edge{Settings: s, Dependencies: d, tableLoaded: make(chan struct{}), startedAt: now, tickedAt: now}
	e.self = lacewingramp.Endpoint{
		Name: s.Name, Domain: s.Domain, Peer: s.Peer, Caller: s.CallerAddress, StartMillis: now.UnixMilli(),
		Capacity: requestCapacity(s.CPUs, s.Bandwidth), Relay: s.Relay,
	}
	e.client.HeaderCodec, e.client.Dialer = d.HeaderCodec, d.Dialer
	e.relayClient.HeaderCodec = d.HeaderCodec
	if s.Memory > 0 {
		e.client.Budget = message.NewBudget(s.Memory)
		e.relayClient.Budget = e.client.Budget
	}
	e.relayServer = caller.Server{Handle: e.handleRelayed, Bounds: e.relayBounds}
	e.server = caller.Server{Handle: e.handle, Bounds: e.bounds}
	e.boundCallers()
	e.placer = placement.Placer{Self: s.Name, Regions: s.Regions, HomeRegion: s.Region}
	if !s.Bootstrap {
		e.placer.StartedAt = now
	}
	e.retryBudget = retry.Budget{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}
	e.pool = pool.Keeper{Self: s.Name}
	e.tokenReplies = make(map[uint64]chan *lacewingramp.TokenReply)
	e.poolBackoff = make(map[string]time.Time)
	e.poisonGuard = poison.Guard{Instance: s.Name}
	e.rollouts = rollout.NewManager(statsName(s.Name, now))
	e.orders = make(map[string]*order)
	e.roundRobins = make(map[string]*weightedRoundRobin)
	e.expired = make(map[string]time.Time)
	e.reverted = make(map[string]time.Time)
	e.restored = make(chan struct{}, 1)
	e.probes = make(map[string]*probe)
	e.resetAt = make(map[string]time.Time)
	e.peers = heartbeat.Peers{Self: s.Name, Region: s.Region, Regions: s.Regions}
	e.store.interrupt = func() {}
	e.usage = newUsage(s, d, e.self.StartMillis)
	return e
}

// Run serves until ctx ends, then drains and stops.
func (e *Edge) Run(ctx context.Context) error {
	callerListener, err := listener.Listen(e.CallerAddress, callerBacklog, e.logUnbounded)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peerListener, err := listener.Listen(e.Peer, otherBacklog, e.logUnbounded)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	relayListener, err := e.listenForRelays()
	if err != nil {
		return err
	}
	e.socket, err = heartbeat.Listen(e.Peer)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.follow(background) })
	wg.Go(func() { e.register(background) })
	wg.Go(func() { e.socket.Receive(e.handleDatagram, e.logBadDatagram) })
	wg.Go(func() { e.logServeError(e.newFollowerServer().Serve(peerListener), "serving peers") })
	wg.Go(func() { e.logServeError(e.server.Serve(callerListener), "serving callers") })
	if relayListener != nil {
		wg.Go(func() { e.logServeError(e.relayServer.Serve(relayListener), "serving relayed requests") })
	}
	e.runUsage(background, wg.Go)
	stopTicks := e.Timer.Every(heartbeat.Period, func(now time.Time) { e.tick(background, now) })
	<-ctx.Done()
	e.stop(callerListener)
	e.tickUsage(true)
	stopTicks()
	cancel()
	_ = peerListener.Close()
	if relayListener != nil {
		_ = relayListener.Close()
	}
	_ = e.socket.Close()
	wg.Wait()
	return nil
}

// listenForRelays opens the listener for requests that peers relay. It is nil if there is
// no address for it.
func (e *Edge) listenForRelays() (net.Listener, error) {
	if e.Relay == "" {
		return nil, nil
	}
	l, err := listener.Listen(e.Relay, otherBacklog, e.logUnbounded)
	if err != nil {
		return nil, errors.Wrap(err, "listen for relayed requests")
	}
	return l, nil
}

// logServeError logs the error, if any, with which a server ended.
func (e *Edge) logServeError(err error, part string) {
	if err != nil {
		e.Log.Error().Err(err).Str("part", part).Msg("server ended unexpectedly")
	}
}

func (e *Edge) logBadDatagram(err error) {
	if e.loglimit.Allow(e.Timer.Now(), "datagram") {
		e.Log.Warn().Err(err).Msg("ignored a datagram that cannot be decoded")
	}
}

// Ready reports whether the instance accepts requests: a table is in force and the
// instance is not stopping.
func (e *Edge) Ready() bool {
	return e.ready.Load() && !e.stopping.Load()
}

// defaultBounds applies until a table with valid bounds is in force.
var defaultBounds = lacewingramp.Bounds{
	Header: 16 << 10, Body: 1 << 20,
	ReceiveTimeout: lacewingramp.Duration(3 * time.Second), IdleTimeout: lacewingramp.Duration(15 * time.Second),
}

func (e *Edge) bounds() lacewingramp.Bounds {
	m := e.routes.Load()
	if m == nil || m.Table.Bounds == nil || m.Table.Bounds.Check() != nil {
		return defaultBounds
	}
	return *m.Table.Bounds
}
