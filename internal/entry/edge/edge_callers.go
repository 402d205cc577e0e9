package edge

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/caller"
	"lacewingramp.example/lacewingramp/internal/call/listener"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
)

const (
	// reservedDescriptors are kept for files and the store.
	reservedDescriptors = 200
	// callerDescriptors is the part of the other descriptors that callers' connections may
	// take, one in callerDescriptors. The rest is for connections to targets and at the other
	// ports.
	callerDescriptors = 2
	// connectionBytes is what a connection may take beside its requests: what it has received
	// and was not read, its goroutine and its buffers.
	connectionBytes = listener.QueueBytes + 16<<10
	// callerMemory is the part of the memory that callers' connections may take, and
	// wideMemory the part that wide ones may take beside: one in each.
	callerMemory = 8
	wideMemory   = 32
	// smallerPorts is how many times fewer connections there may be for relayed requests, and
	// for lookups, than of callers.
	smallerPorts = 4
	// minConnections is the minimum bound of connections at one port.
	minConnections = 16
	// maxCheckConnections is the maximum number of connections for readiness checks, and for
	// metrics.
	maxCheckConnections = 32
	// maxPeerConnections is the maximum number of connections on which other instances follow
	// this one, and peerMemory the part of the memory that replies to them may take, one in
	// peerMemory.
	maxPeerConnections = 64
	peerMemory         = 32
	// Connections that wait to be accepted, at the port for callers and at the others.
	callerBacklog = 256
	otherBacklog  = 64
	// checkIdleTimeout is how long connections for lookups, readiness checks and metrics may
	// be idle, at least.
	checkIdleTimeout = 30 * time.Second
	// bodyRetryAfter is the delay after which a caller may send a body again for which there
	// was no memory, and bodyRetryJitter the maximum of a random delay that is added.
	bodyRetryAfter  = 500 * time.Millisecond
	bodyRetryJitter = time.Second
)

// boundCallers bounds the memory of requests and the number of connections, as far as the limits
// of the process are known.
func (e *Edge) boundCallers() {
	e.server.MaxConnections = e.maxConnections()
	e.relayServer.MaxConnections = e.fewerConnections()
	for _, s := range []*caller.Server{&e.server, &e.relayServer} {
		e.bound(s)
	}
	if e.Memory > 0 {
		e.server.MaxWide = max(1, int(e.Memory/wideMemory/listener.WideQueueBytes))
		e.relayServer.MaxWide = max(1, e.server.MaxWide/smallerPorts)
	}
}

// bound sets what the servers at all ports share.
func (e *Edge) bound(s *caller.Server) {
	if e.Memory > 0 && e.requestBudget == nil {
		e.requestBudget = message.NewRequestBudget(e.Memory)
		e.requestBudget.MaxHeap = e.MaxHeap
	}
	s.Requests = e.requestBudget
	s.OnMalformed = e.logMalformed
	s.OnFault = e.logUnbounded
	s.SetRetryAfter = e.setBodyRetryAfter
}

// maxConnections returns the maximum number of callers' connections, 0 if no limit is known.
func (e *Edge) maxConnections() int {
	var bounds []int
	if e.MaxDescriptors > 0 {
		bounds = append(bounds, (e.MaxDescriptors-reservedDescriptors)/callerDescriptors)
	}
	if e.Memory > 0 {
		bounds = append(bounds, int(e.Memory/callerMemory/connectionBytes))
	}
	if len(bounds) == 0 {
		return 0
	}
	return max(minConnections, slices.Min(bounds))
}

// fewerConnections returns the maximum number of connections at a port that is not for callers'
// requests, 0 if no limit is known.
func (e *Edge) fewerConnections() int {
	n := e.maxConnections()
	if n == 0 {
		return 0
	}
	return max(minConnections, n/smallerPorts)
}

// ServeLookups answers requests at address with h, within the bounds for lookups. It returns an
// error if it cannot listen there.
func (e *Edge) ServeLookups(address string, h http.Handler) error {
	return e.serveHTTP(address, h, e.fewerConnections())
}

// ServeChecks answers requests at address with h, within the bounds for readiness checks and
// metrics. It returns an error if it cannot listen there.
func (e *Edge) ServeChecks(address string, h http.Handler) error {
	return e.serveHTTP(address, h, maxCheckConnections)
}

func (e *Edge) serveHTTP(address string, h http.Handler, maxConnections int) error {
	l, err := listener.Listen(address, otherBacklog, e.logUnbounded)
	if err != nil {
		return err
	}
	s := &caller.Server{Handle: caller.HTTP(h), Bounds: e.checkBounds, MaxConnections: maxConnections}
	e.bound(s)
	go func() { e.logServeError(s.Serve(l), "serving "+address) }()
	return nil
}

func (e *Edge) newFollowerServer() *follower.Server {
	return &follower.Server{Source: mirrorSource{e}, MaxConnections: maxPeerConnections, ReplyMemory: e.Memory / peerMemory}
}

// checkBounds returns the bounds of requests that are not callers' requests to routes.
func (e *Edge) checkBounds() lacewingramp.Bounds {
	b := e.bounds()
	b.IdleTimeout = max(b.IdleTimeout, lacewingramp.Duration(checkIdleTimeout))
	return b
}

func (e *Edge) logUnbounded(err error) {
	if e.loglimit.Allow(e.Timer.Now(), "unbounded") {
		e.Log.Warn().Err(err).Msg("the system did not bound what connections receive")
	}
}

func (e *Edge) setBodyRetryAfter(h http.Header) {
	e.HeaderCodec.SetRetryAfter(h, bodyRetryAfter+rand.N(bodyRetryJitter))
}

func (e *Edge) logMalformed(remote string, err error) {
	if e.loglimit.Allow(e.Timer.Now(), "malformed") {
		e.Log.Info().Str("from", remote).Err(err).Msg("refused a request that could not be read")
	}
}
