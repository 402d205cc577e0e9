package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

const (
	// reservedDescriptors are kept for the store, peers, lookups, metrics and files.
	reservedDescriptors = 200
	// callerDescriptors is the part of the other descriptors that callers' connections may
	// take, one in callerDescriptors. The rest is for connections to targets and relays.
	callerDescriptors = 2
	// minCallerConnections is the minimum bound of callers' connections.
	minCallerConnections = 16
	// bodyRetryAfter is the delay after which a caller may send a body again for which there
	// was no memory, and bodyRetryJitter the maximum of a random delay that is added.
	bodyRetryAfter  = 500 * time.Millisecond
	bodyRetryJitter = time.Second
)

// boundCallers bounds the memory of requests' bodies and the number of callers' connections,
// as far as the limits of the process are known.
func (e *Edge) boundCallers() {
	if e.Memory > 0 {
		e.server.Requests = message.NewRequestBudget(e.Memory)
		e.relayServer.Requests = e.server.Requests
	}
	if e.MaxDescriptors > 0 {
		e.server.MaxConnections = max(minCallerConnections, (e.MaxDescriptors-reservedDescriptors)/callerDescriptors)
	}
	e.server.SetRetryAfter = e.setBodyRetryAfter
	e.relayServer.SetRetryAfter = e.setBodyRetryAfter
}

func (e *Edge) setBodyRetryAfter(h http.Header) {
	e.HeaderCodec.SetRetryAfter(h, bodyRetryAfter+rand.N(bodyRetryJitter))
}

func (e *Edge) logMalformed(remote string, err error) {
	if e.loglimit.Allow(e.Timer.Now(), "malformed") {
		e.Log.Info().Str("from", remote).Err(err).Msg("refused a request that could not be read")
	}
}
